"""An endpoint whose responses have no end: it sends until the caller closes the connection."""

import asyncio

CHUNK = b"x" * 65_536
CHUNKED_HEAD = b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessEndpoint:
    """Answers each request with a response without end.

    ``part`` is what has no end: ``head``, ``informational`` (responses), ``body`` (in chunks),
    ``length`` (a body of more bytes than there are), ``until close`` (a body without length),
    ``small chunks`` (of two bytes), ``chunk size``, ``trailers``, ``event`` (of a stream),
    ``small events`` (an event in chunks of two bytes), ``comment`` (of a stream), ``stream`` (of
    complete events), ``large events`` (a stream of complete events of a megabyte), ``refusal``
    (body of a 503 that did not run) or ``other`` (body of a response to another request).
    ``sent_bytes`` counts what was taken. With ``is_healthy``, health checks get a proper answer.
    """

    def __init__(self, part: str):
        self.part = part
        self.is_healthy = False
        self.sent_bytes = 0
        self.closed = 0
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Starts to listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            await self._send(reader, writer)
        except OSError:
            self.closed += 1
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.transport.abort()

    async def _send(self, reader, writer) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if self.is_healthy and b" /health " in head:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
            return
        lines = (line.partition(b": ") for line in head.split(b"\r\n"))
        request_id = next((value for name, _, value in lines if name.lower() == b"request-id"), b"")
        prefix, repeated = build_parts(self.part, request_id)
        writer.write(prefix)
        while True:
            writer.write(repeated)
            await writer.drain()
            self.sent_bytes += len(repeated)


def build_parts(part: str, request_id: bytes) -> tuple[bytes, bytes]:
    """Returns the bytes that begin a response, and those that are repeated without end."""
    ok = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n"
    match part:
        case "informational":
            return b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100
        case "refusal":
            ok = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: %s\r\n"
        case "other":
            request_id = b"other"
    prefix, repeated = ENDLESS_PARTS.get(part, ENDLESS_PARTS["body"])
    return ok % request_id + prefix, repeated


def to_chunk(data: bytes) -> bytes:
    """Returns data framed as one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


# What follows the first headers of a response, and what is repeated then.
ENDLESS_PARTS = {
    "head": (b"X-Long: ", CHUNK),
    "body": (CHUNKED_HEAD, to_chunk(CHUNK)),
    "length": (b"Content-Length: %d\r\n\r\n" % 10**15, CHUNK),
    "until close": (b"Connection: close\r\n\r\n", CHUNK),
    "small chunks": (CHUNKED_HEAD, to_chunk(b"xy") * 10_000),
    "chunk size": (CHUNKED_HEAD, b"0" * 65_536),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-Trailer: x\r\n" * 4_000),
    "event": (CHUNKED_HEAD + to_chunk(b"data: "), to_chunk(CHUNK)),
    "small events": (CHUNKED_HEAD + to_chunk(b"data: "), to_chunk(b"xy") * 10_000),
    "comment": (CHUNKED_HEAD + to_chunk(b": "), to_chunk(CHUNK)),
    "stream": (CHUNKED_HEAD, to_chunk(b"id: 1\ndata: x\n\n" * 1_000)),
    "large events": (CHUNKED_HEAD, to_chunk(b"id: 1\ndata: %s\n\n" % (b"x" * 1_000_000))),
}
