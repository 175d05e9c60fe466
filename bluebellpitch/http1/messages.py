"""HTTP/1.1 requests, responses, limits and addresses."""

from dataclasses import dataclass

from bluebellpitch.errors import ProtocolError

READ_BYTES = 65_536
MAX_RESPONSE_BYTES = 16_777_216
Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a server. Sizes are in bytes, times in seconds.

    ``receive_s`` limits the receipt of a request, ``idle_timeout_s`` the wait for the next one, and
    ``write_timeout_s`` the wait for a client that does not read.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    receive_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 60.0
    connections: int = 2_000


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request. Header names are in lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Returns the value of the first header called ``name``, which must be in lower case."""
        return next((value for key, value in self.headers if key == name), default)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def parse_address(text: str) -> tuple[str, int]:
    """Parses ``host:port``; raises ProtocolError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise ProtocolError(f"{text!r} is not an address of the form 127.0.0.1:8000")
    return host, int(port)
