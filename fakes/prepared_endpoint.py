"""Fake endpoint of the prepared platform: an engine with streams, or a plain service."""

import asyncio
import socket
import struct
import time

from bluebellpitch.errors import DisconnectedError
from fakes.server import FakeServer

SIGNATURE_HEADER = ("Response-Signature", "3e1b.07.5a2")


class FakeEndpoint(FakeServer):
    """Answers requests for its own name, and records the ids of those that it ran in ``ran``.

    ``mode`` selects a fault: ``refuse`` (503, does not run), ``other`` (421, as another instance at
    its address), ``fail`` (500), ``reset`` (runs, then closes without a response), ``cut`` (closes
    inside an event), ``extra`` (a second response after each), ``unsigned`` (no signature),
    ``encoded`` (a content encoding), ``short`` (a body shorter than its Content-Length),
    ``garbage`` (no HTTP), ``slow``, ``unframed`` (neither a length nor chunks: a stream that ends
    with its connection; ``unframed cut`` ends inside an event, ``unframed reset`` with a reset),
    ``half head`` (closes after ``head_bytes`` of the head), ``old refusal`` (before each answer, a
    refusal without an id, as an earlier one), ``error`` (``error_status``). A request to resume a
    stream meets ``then_mode`` if that is set.

    The ids of its events go up by one from ``first_event_id``.

    Its answers say that it leaves while ``is_leaving`` is set, and name ``limit_per_s`` while that
    is set, and a refusal the pause ``pause_s``; ``arrived_at`` has the times of requests.
    A prompt with the part ``deadly_part`` crashes it after ``deadly_after_s``, before the first
    event: all connections break and none is accepted until ``restart``.
    """

    def __init__(self, name: str, events: int = 4):
        super().__init__()
        self.name = name
        self.mode = ""
        self.events = events
        self.pause_s = 0.0
        self.first_event_id = 1
        self.cut_after = 2
        self.then_mode = ""
        self.head_bytes = 0
        self.error_status = 500
        self.ran: list[str] = []
        self.requests: list = []
        self.cancelled = 0
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.pause_s: float | None = None
        self.arrived_at: list[float] = []
        self.deadly_part = ""
        self.deadly_after_s = 0.02
        self.is_down = False
        self._connections: set = set()

    async def start(self, host: str, port: int) -> int:
        """Starts to listen; returns the port."""
        self._listens_at = (host, await super().start(host, port))
        return self._listens_at[1]

    async def restart(self) -> None:
        """Listens again at the same port after a crash."""
        self.http.is_closing = self.is_down = False
        await super().start(*self._listens_at)

    def crash(self) -> None:
        """Breaks all connections and accepts no more."""
        self.is_down = True
        self.http.stop_listening()
        for connection in self._connections:
            connection.writer.transport.abort()
        self._connections.clear()

    async def serve(self, connection, request) -> None:
        """Handles one request."""
        self.requests.append(request)
        if self.then_mode and request.header("last-event-id"):
            self.mode = self.then_mode
        self._connections.add(connection)
        request_id = request.header("request-id")
        self.arrived_at.append(time.monotonic())
        headers = self._build_headers(request_id)
        if request.header("target-instance") != self.name or self.mode == "other":
            await connection.respond(421, headers, b"")
            return
        if self.mode == "refuse":
            await connection.respond(503, [*headers, ("Not-Executed", "1")], b"")
            return
        self.ran.append(request_id)
        headers.append(SIGNATURE_HEADER)
        if self.mode == "half head":
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\n"
            head += b"Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
            connection.writer.write((head % request_id.encode())[: self.head_bytes])
            await connection.writer.drain()
            connection.writer.close()
            raise DisconnectedError("half a head")
        if self.mode == "old refusal":
            old = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            connection.writer.write(old)
        if self.mode == "error":
            await connection.respond(self.error_status, headers, b"HTTP/1.1 error in a body")
            return
        await self._answer_badly(connection, request_id, headers)
        if self.mode == "slow":
            await self._sleep(connection, 3.0)
        if request.header("token-usage"):
            await self._send_stream(connection, request, headers)
        else:
            await self._send_response(connection, request_id, headers)

    def _build_headers(self, request_id: str) -> list[tuple[str, str]]:
        headers = [("Request-Id", request_id), ("Server-Load", "1,0,8,100")]
        if self.limit_per_s is not None:
            headers.append(("Server-Limit", f"{self.limit_per_s}"))
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        if self.mode == "refuse" and self.pause_s is not None:
            headers.append(("Retry-After", f"{self.pause_s}"))
        return headers

    async def _answer_badly(self, connection, request_id: str, headers) -> None:
        """Plays the faults that end the connection with no whole answer, or precede the answer."""
        writer = connection.writer
        match self.mode:
            case "reset":
                raise DisconnectedError("reset")
            case "garbage":
                writer.write(b"\x00\x01 these are no bytes of an answer\r\n\r\n")
                raise DisconnectedError("garbage")
            case "half head":
                writer.write(build_head(request_id, "Content-Length: 0")[: self.head_bytes])
                await writer.drain()
                raise DisconnectedError("half a head")
            case "old refusal":
                writer.write(b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            case "error":
                await connection.respond(self.error_status, headers, b"HTTP/1.1 error in a body")
                raise DisconnectedError("after an error")

    async def _sleep(self, connection, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await connection.wait_disconnected()
            self.cancelled += 1
            raise DisconnectedError("cancelled")
        except TimeoutError:
            return

    async def _send_response(self, connection, request_id: str, headers) -> None:
        body = f"{self.name} answers {request_id}".encode()
        if self.mode == "unsigned":
            headers = [pair for pair in headers if pair != SIGNATURE_HEADER]
        if self.mode == "encoded":
            headers = [*headers, ("Content-Encoding", "br")]
        if self.mode == "short":
            await connection.send_head(200, [*headers, ("Content-Length", str(len(body) + 9))])
            await connection.send_data(body)
            raise DisconnectedError("short")
        await connection.respond(500 if self.mode == "fail" else 200, headers, body)
        if self.mode == "extra":
            extra = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: x\r\n"
            extra += b"Content-Length: 5\r\n\r\nextra"
            # Sent when the next request is under way, the only time when it could be taken for the
            # response to that request.
            await asyncio.sleep(0.05)
            connection.writer.write(extra % request_id.encode())

    async def _send_unframed(self, connection, request_id: str) -> None:
        """Writes a stream that ends with its connection; ``unframed cut`` ends inside an event."""
        writer = connection.writer
        writer.write(build_head(request_id, "Connection: close"))
        for number in range(1, self.events + 1):
            writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        if self.mode == "unframed cut":
            writer.write(b"id: 9\ndata: pie")
        await writer.drain()
        if self.mode == "unframed reset":
            await asyncio.sleep(0.05)
            no_linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, no_linger
            )
        raise DisconnectedError("the answer ends with its connection")

    async def _send_stream(self, connection, request, headers) -> None:
        if self.deadly_part and f"{self.deadly_part}:" in request.header("prompt-prefix"):
            await self._sleep(connection, self.deadly_after_s)
            self.crash()
            raise DisconnectedError("crashed")
        first = self.first_event_id
        start = int(request.header("last-event-id", str(first - 1)))
        if self.mode.startswith("unframed"):
            await self._send_unframed(connection, request_id=request.header("request-id"))
            return
        await connection.send_head(200, [*headers, ("Content-Type", "text/event-stream")])
        for number in range(start + 1, first + self.events):
            if self.mode == "cut" and number >= first + self.cut_after:
                connection.writer.write(b"7\r\nid: 3\nd\r\n")
                raise DisconnectedError("cut inside an event")
            await connection.send_data(f"id: {number}\ndata: piece {number}\n\n".encode())
            if self.pause_s:
                await self._sleep(connection, self.pause_s)
        await connection.end_response()


def build_head(request_id: str, last_line: str) -> bytes:
    """Returns the head of a streamed response as bytes."""
    lines = (
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        "Response-Signature: x",
        "Content-Type: text/event-stream",
        last_line,
    )
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()
