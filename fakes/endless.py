"""An endpoint whose responses have no end: it sends until the caller closes the connection."""

import asyncio

CHUNK = b"x" * 65_536
CHUNKED_HEAD = b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessEndpoint:
    """Answers each request with a response without end.

    ``part`` is what has no end: ``head``, ``informational`` (responses), ``body``, ``event`` (of a
    stream), ``stream`` (of complete events), ``refusal`` (body of a 503 that did not run) or
    ``other`` (body of a response to another request). ``sent_bytes`` counts what was taken.
    """

    def __init__(self, part: str):
        self.part = part
        self.sent_bytes = 0
        self.closed = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts to listen on loopback; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

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
        lines = (line.partition(b": ") for line in head.split(b"\r\n"))
        request_id = next((value for name, _, value in lines if name.lower() == b"request-id"), b"")
        prefix, repeated = self._build_parts(request_id)
        writer.write(prefix)
        while True:
            writer.write(repeated)
            await writer.drain()
            self.sent_bytes += len(repeated)

    def _build_parts(self, request_id: bytes) -> tuple[bytes, bytes]:
        ok = b"HTTP/1.1 200 OK\r\nRequest-Id: " + request_id + b"\r\nResponse-Signature: s\r\n"
        match self.part:
            case "head":
                return ok + b"X-Long: ", CHUNK
            case "informational":
                return b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100
            case "body":
                return ok + CHUNKED_HEAD, to_chunk(CHUNK)
            case "event":
                return ok + CHUNKED_HEAD + to_chunk(b"data: "), to_chunk(CHUNK)
            case "stream":
                return ok + CHUNKED_HEAD, to_chunk(b"id: 1\ndata: x\n\n" * 1_000)
            case "refusal":
                refused = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: " + request_id
                return refused + b"\r\n" + CHUNKED_HEAD, to_chunk(CHUNK)
            case "other":
                other = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n"
                return other + CHUNKED_HEAD, to_chunk(CHUNK)


def to_chunk(data: bytes) -> bytes:
    """Returns data framed as one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
