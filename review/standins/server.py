"""A model or application server as the pages describe it, with a log of what it got and ran.

Writes lines to standard output: the time (monotonic seconds), ``arrived``, ``ran`` or ``other``
(421, not run), the request's id and its path.
"""

import argparse
import asyncio
import random
import socket
import time

HEAD_END = b"\r\n\r\n"
SERVER_HEADER_LIMIT = 65_536


class Server:
    """Answers requests for its own id.

    With ``events`` it answers with a stream of so many events, ``work_s`` apart. Their ids go up by
    one from ``first_event_id``; a request with Last-Event-Id gets what comes after that. It fails a
    share of the requests that it has run: ``failure_status`` is their status, without Not-Executed.
    """

    def __init__(
        self,
        server_id: str,
        work_s: float,
        events: range,
        failure_share: float,
        failure_status: str,
    ):
        self._id = server_id
        self._work_s = work_s
        self._events = events
        self._failure_share = failure_share
        self._failure_status = failure_status

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, one request at a time."""
        try:
            while True:
                await self._serve_request(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            writer.close()

    async def _serve_request(self, reader, writer) -> None:
        head = await reader.readuntil(HEAD_END)
        line, *fields = head.decode("latin-1").split("\r\n")
        path = line.split(" ")[1]
        headers = {name.lower(): value.strip() for name, _, value in map(split_field, fields)}
        request_id = headers.get("request-id", "")
        write_line("arrived", request_id, path)
        await reader.readexactly(int(headers.get("content-length", "0")))
        if path != "/health" and headers.get("target-instance") != self._id:
            write_line("other", request_id, path)
            writer.write(build_answer("421 Misdirected Request", request_id, b"", b""))
            return
        if path != "/health":
            write_line("ran", request_id, path)
            if self._events:
                await self._send_stream(writer, request_id, headers)
                return
            await asyncio.sleep(self._work_s)
        body = f"{self._id} did {request_id}".encode()
        signature = b"Response-Signature: s.%s\r\n" % request_id.encode()
        fails = path != "/health" and random.random() < self._failure_share
        status = self._failure_status if fails else "200 OK"
        writer.write(build_answer(status, request_id, signature, body))
        await writer.drain()

    async def _send_stream(self, writer, request_id: str, headers: dict[str, str]) -> None:
        last_id = int(headers.get("last-event-id", self._events.start - 1))
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Signature: s.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + HEAD_END)
        for event_id in range(last_id + 1, self._events.stop):
            event = f"id: {event_id}\ndata: piece {event_id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self._work_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def split_field(field: str) -> tuple[str, str, str]:
    """Splits a header line at its colon."""
    return field.partition(":")


def build_answer(status: str, request_id: str, extra: bytes, body: bytes) -> bytes:
    """Returns a complete answer with a length."""
    head = f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + extra + b"\r\n" + body


def write_line(*words: str) -> None:
    """Writes one line of the log."""
    print(f"{time.monotonic():.4f}", *words, flush=True)


async def main() -> None:
    """Serves until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("id")
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--failure-share", type=float, default=0.0)
    parser.add_argument("--failure-status", default="503 Service Unavailable")
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--first-event-id", type=int, default=1)
    parser.add_argument("--receive-buffer", type=int, default=0)
    options = parser.parse_args()
    events = range(options.first_event_id, options.first_event_id + options.events)
    server = Server(
        options.id,
        options.work_ms / 1000,
        events,
        options.failure_share,
        options.failure_status,
    )
    host, _, port = options.address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=512)
    if options.receive_buffer:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, options.receive_buffer)
    listening = await asyncio.start_server(server.serve, sock=listener, limit=SERVER_HEADER_LIMIT)
    await listening.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
