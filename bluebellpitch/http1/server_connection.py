"""One connection that an HTTP/1.1 server has accepted: its requests and responses."""

import asyncio
import math

import h11

from bluebellpitch.decisions.buffer_budget import BufferBudget
from bluebellpitch.decisions.unread_responses import UnreadResponses
from bluebellpitch.errors import BadRequestError, DisconnectedError, StalledError
from bluebellpitch.http1.messages import (
    READ_BYTES,
    Headers,
    HttpLimits,
    HttpRequest,
    encode_headers,
)

WRITE_BUFFER_BYTES = 16_384
# How often a connection with unread bytes is looked at, in case its client has gone.
UNREAD_CHECK_INTERVAL_S = 0.25
# What is held of an endpoint's stream while the caller does not read: received, and being parsed.
READ_AHEAD_BYTES = 4 * READ_BYTES


class ServerConnection:
    """One accepted connection, used only by the task that serves it."""

    def __init__(
        self, reader, writer, limits: HttpLimits, buffers: BufferBudget, unread: UnreadResponses
    ):
        self.reader = reader
        self.writer = writer
        self.writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.limits = limits
        self.buffer = buffers.open()
        self._unread = unread
        self._unread_share = buffers.open_unread()
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        # When the response has to be sent, in seconds of the event loop's clock.
        self._send_by = math.inf
        self._is_ended_for_memory = False

    async def wait_for_request(self) -> bool:
        """Returns whether a request began before the client disconnected or stayed idle."""
        try:
            async with asyncio.timeout(self.limits.idle_timeout_s):
                await self._wait_first_bytes()
        except TimeoutError:
            return False
        return bool(self.h11.trailing_data[0])

    async def receive_request(self) -> HttpRequest | None:
        """Returns the request that began, or None when the client disconnected."""
        self._send_by = math.inf
        try:
            async with asyncio.timeout(self.limits.receive_s):
                return await self._receive()
        except TimeoutError as error:
            raise BadRequestError(
                408, "slow_request", "the request was not received in time"
            ) from error
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise BadRequestError(status, "malformed_http", f"malformed HTTP: {error}") from error

    async def _wait_first_bytes(self) -> None:
        if self.h11.trailing_data[0]:
            return
        self.h11.receive_data(await self._read())

    async def _read(self) -> bytes:
        try:
            return await self.reader.read(READ_BYTES)
        except OSError:
            return b""

    async def _next_event(self):
        event = self.h11.next_event()
        while event is h11.NEED_DATA:
            if self.h11.they_are_waiting_for_100_continue:
                self.writer.write(
                    self.h11.send(h11.InformationalResponse(status_code=100, headers=[]))
                )
            self.h11.receive_data(await self._read())
            event = self.h11.next_event()
        return event

    async def _receive(self) -> HttpRequest | None:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        self._check_head(head)
        body = await self._receive_body()
        headers = tuple((name.decode(), value.decode("latin-1")) for name, value in head.headers)
        method = head.method.decode("ascii")
        return HttpRequest(method, head.target.decode("ascii"), headers, body)

    def _check_head(self, head: h11.Request) -> None:
        """Checks the size of a complete head: h11 limits only heads that are still incomplete."""
        size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
        if size > self.limits.header_bytes:
            raise BadRequestError(431, "header_too_large", "the request head is too large")

    async def _receive_body(self) -> bytes:
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            if len(body) + len(event.data) > self.limits.body_bytes:
                raise BadRequestError(413, "body_too_large", "the request body is too large")
            if not self.buffer.grow(len(event.data)):
                raise BadRequestError(503, "no_memory", "no memory is left for the request body")
            body += event.data
        return bytes(body)

    def is_disconnected(self) -> bool:
        """Returns whether the client has closed its side of the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    def has_response_started(self) -> bool:
        """Returns whether part of the response to the current request has been sent."""
        return self.h11.our_state is not h11.SEND_RESPONSE

    async def wait_disconnected(self) -> None:
        """Returns when the client has closed its side of the connection."""
        while not self.is_disconnected():
            if len(self.h11.trailing_data[0]) > READ_BYTES:
                # The next request waits in the connection; a client that goes away is noticed late.
                await asyncio.sleep(UNREAD_CHECK_INTERVAL_S)
            elif data := await self._read():
                self.h11.receive_data(data)

    def limit_sending(self, seconds: float) -> None:
        """Gives up the response if the client has not read it in this time."""
        self._send_by = asyncio.get_running_loop().time() + seconds

    async def send_head(self, status: int, headers: Headers) -> None:
        """Sends the head of a response."""
        await self._send(h11.Response(status_code=status, headers=encode_headers(headers)))

    async def send_data(self, data: bytes) -> None:
        """Sends part of the body."""
        await self._send(h11.Data(data=data))

    async def end_response(self) -> None:
        """Ends the response."""
        await self._send(h11.EndOfMessage())

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response in one write."""
        headers = [*headers, ("Content-Length", str(len(body)))]
        head = self.h11.send(h11.Response(status_code=status, headers=encode_headers(headers)))
        data = self.h11.send(h11.Data(data=body)) if body else b""
        data += self.h11.send(h11.EndOfMessage()) or b""
        if len(data) > WRITE_BUFFER_BYTES:
            self.writer.write(head)
            self.writer.write(data)
        else:
            self.writer.write(head + data)
        await self._drain()

    async def _send(self, event) -> None:
        self.writer.write(self.h11.send(event) or b"")
        await self._drain()

    async def _drain(self) -> None:
        if self.writer.is_closing():
            raise DisconnectedError("the client closed the connection")
        if not self.writer.transport.get_write_buffer_size():
            return
        give_up_at = asyncio.get_running_loop().time() + self.limits.write_timeout_s
        try:
            async with asyncio.timeout_at(min(give_up_at, self._send_by)):
                await self._wait_until_read()
        except TimeoutError as error:
            self.writer.transport.abort()
            raise StalledError("the client stopped reading") from error
        except OSError as error:
            if not self._is_ended_for_memory:
                raise DisconnectedError("the client closed the connection") from error
        finally:
            self._unread.forget(self)
            self._unread_share.release()
        if self._is_ended_for_memory:
            raise StalledError("memory was needed for others")

    async def _wait_until_read(self) -> None:
        """Waits for the client, and keeps account of what is held for it meanwhile."""
        now = asyncio.get_running_loop().time
        while True:
            unsent_bytes = self.writer.transport.get_write_buffer_size()
            self._unread.record(self, unsent_bytes + READ_AHEAD_BYTES, now())
            self._unread_share.record(unsent_bytes + READ_AHEAD_BYTES)
            try:
                async with asyncio.timeout(UNREAD_CHECK_INTERVAL_S):
                    return await self.writer.drain()
            except TimeoutError:
                continue

    def end_for_memory(self) -> None:
        """Drops what is held for a client that does not read."""
        self._is_ended_for_memory = True
        self._unread.forget(self)
        self._unread_share.release()
        self.writer.transport.abort()

    def start_next_cycle(self) -> bool:
        """Prepares for another request; returns False when the connection must be closed."""
        if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            return False
        self.h11.start_next_cycle()
        return True

    async def close(self) -> None:
        """Closes the connection, once the client has read what was sent, if it does in time."""
        self.writer.close()
        try:
            async with asyncio.timeout(self.limits.write_timeout_s):
                await self.writer.wait_closed()
        except TimeoutError:
            self.writer.transport.abort()
        except OSError:
            return
