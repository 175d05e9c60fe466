"""Requests, responses, limits and addresses of HTTP/1.1."""

from dataclasses import dataclass

from bluebellpitch.errors import ProtocolError

READ_BYTES = 65_536
Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds on what a client may send. Sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    receive_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 60.0
    connections: int = 2_000


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One whole request; header names are lower-case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Returns the first header of that lower-case name."""
        return next((value for key, value in self.headers if key == name), default)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One whole response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def parse_address(text: str) -> tuple[str, int]:
    """Splits ``IP:port``; raises ProtocolError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise ProtocolError(f"{text!r} is not an address of the form 127.0.0.1:8000")
    return host, int(port)
