"""HTTP/1.1 server: connections, and a listener that passes requests to a handler."""

import asyncio
import math
from collections.abc import Awaitable, Callable

import h11

from bluebellpitch.decisions.buffer_budget import BufferBudget, BufferShare
from bluebellpitch.errors import BadRequestError, DisconnectedError
from bluebellpitch.http1.messages import (
    READ_BYTES,
    Headers,
    HttpLimits,
    HttpRequest,
    encode_headers,
)
from bluebellpitch.http1.streams import start_stream_server
from bluebellpitch.logs import log

WRITE_BUFFER_BYTES = 16_384
# How often a connection with unread bytes is looked at, in case its client has gone.
UNREAD_CHECK_INTERVAL_S = 0.25


class ServerConnection:
    """One accepted connection, used only by the task that serves it."""

    def __init__(self, reader, writer, limits: HttpLimits, buffer: BufferShare):
        self.reader = reader
        self.writer = writer
        self.writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.limits = limits
        self.buffer = buffer
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        # When the response has to be sent, in seconds of the event loop's clock.
        self._send_by = math.inf

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
                await self.writer.drain()
        except (OSError, TimeoutError) as error:
            self.writer.transport.abort()
            raise DisconnectedError("the client stopped reading") from error

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


Handler = Callable[[ServerConnection, HttpRequest], Awaitable[None]]
RefusalHandler = Callable[[ServerConnection, BadRequestError], Awaitable[None]]


class HttpServer:
    """Accepts connections and passes each request to a handler.

    ``refuse`` answers requests that are malformed or exceed a limit. Request bodies are held in
    ``buffers`` until their request is answered.
    """

    def __init__(
        self,
        handle: Handler,
        refuse: RefusalHandler,
        limits: HttpLimits,
        buffers: BufferBudget | None = None,
    ):
        self.handle = handle
        self.refuse = refuse
        self.limits = limits
        self._buffers = buffers or BufferBudget()
        self.in_flight = 0
        self.is_closing = False
        self._open_connections = 0
        self._idle_connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def busy_connections(self) -> int:
        """Connections with a request that is being received or answered, or with unsent bytes."""
        return self._open_connections - len(self._idle_connections)

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections; returns the port."""
        self._server = await start_stream_server(self._serve, host, port, backlog=1024)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        connection = ServerConnection(reader, writer, self.limits, self._buffers.open())
        self._open_connections += 1
        try:
            await self._serve_connection(connection)
        except asyncio.CancelledError:
            # Only the shutdown of the event loop cancels this task, which must not wait for clients
            # that do not read. Re-raising would make asyncio report an unhandled error.
            connection.writer.transport.abort()
        finally:
            self._open_connections -= 1

    async def _serve_connection(self, connection: ServerConnection) -> None:
        try:
            if self._open_connections > self.limits.connections:
                raise BadRequestError(503, "too_many_connections", "too many open connections")
            await self._serve_requests(connection)
        except BadRequestError as error:
            await self._refuse_and_drain(connection, error)
        except (DisconnectedError, OSError, h11.LocalProtocolError):
            pass
        except Exception as error:  # A fault in one request must not stop the VM.
            log("ERROR", "handler_failed", error=repr(error))
        finally:
            connection.buffer.release()
        await connection.close()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        """Serves a connection; one that is accepted last still serves a request."""
        while await self._wait_for_request(connection):
            request = await connection.receive_request()
            if request is None:
                return
            self.in_flight += 1
            try:
                await self.handle(connection, request)
            finally:
                self.in_flight -= 1
                connection.buffer.release()
            if self.is_closing or not connection.start_next_cycle():
                return

    async def _wait_for_request(self, connection: ServerConnection) -> bool:
        connection.limits = self.limits
        self._idle_connections.add(connection)
        try:
            return await connection.wait_for_request()
        finally:
            self._idle_connections.discard(connection)

    async def _refuse_and_drain(self, connection, error: BadRequestError) -> None:
        """Answers a bad request, then reads on briefly: a TCP reset could discard the response."""
        try:
            await self.refuse(connection, error)
            async with asyncio.timeout(0.2):
                while await connection.reader.read(READ_BYTES):
                    pass
        except (DisconnectedError, OSError, TimeoutError, h11.LocalProtocolError):
            return

    async def close_idle(self) -> None:
        """Closes the connections on which no request has begun.

        Nothing is read of them any more: their clients may repeat whatever is on its way. What was
        read already is served.
        """
        idle = list(self._idle_connections)
        for connection in idle:
            connection.writer.transport.pause_reading()
        # The tasks of connections that have received something run now.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for connection in idle:
            if connection in self._idle_connections:
                connection.writer.transport.abort()
            else:
                connection.writer.transport.resume_reading()

    def stop_listening(self) -> None:
        """Stops accepting connections; each open one serves at most one more request."""
        self.is_closing = True
        if self._server:
            self._server.close()
