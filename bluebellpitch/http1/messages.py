"""HTTP/1.1 requests, responses, limits and addresses."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from bluebellpitch.decoding import parse_whole_number
from bluebellpitch.errors import ProtocolError

READ_BYTES = 16_384
MAX_RESPONSE_BYTES = 16_777_216
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# Names and literal addresses; the longest name in the DNS has 253 characters.
HOST_PATTERN = re.compile(r"[A-Za-z0-9._:\[\]-]{1,253}")
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


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Returns headers as they are sent, the bytes of their values as they were received."""
    return [(name.encode("ascii"), encode_value(value)) for name, value in headers]


def encode_value(text: str) -> bytes:
    """Returns a header's value: received text is Latin-1, a name of an operator may be any."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode()


def parse_address(text: str) -> tuple[str, int]:
    """Parses ``host:port``, where port 0 means any free one; raises ProtocolError."""
    host, _, digits = text.rpartition(":")
    port = parse_whole_number(digits, MAX_PORT_DIGITS)
    if not HOST_PATTERN.fullmatch(host) or port is None or port > MAX_PORT:
        raise ProtocolError(f"{text[:80]!r} is not an address of the form 127.0.0.1:8000")
    return host, port


def parse_remote_address(text: str) -> tuple[str, int]:
    """Parses the address of another process; raises ProtocolError."""
    host, port = parse_address(text)
    if not port:
        raise ProtocolError(f"{text!r} has no port to connect to")
    return host, port
