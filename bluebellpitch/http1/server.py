"""HTTP/1.1 server: a listener that passes requests to a handler."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from bluebellpitch.decisions.buffer_budget import BufferBudget
from bluebellpitch.decisions.unread_responses import UnreadResponses
from bluebellpitch.errors import BadRequestError, DisconnectedError
from bluebellpitch.http1.messages import READ_BYTES, HttpLimits, HttpRequest
from bluebellpitch.http1.server_connection import ServerConnection
from bluebellpitch.http1.streams import start_stream_server
from bluebellpitch.logs import log

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
        self._buffers.free_unread = self._end_stalled
        self._unread = UnreadResponses()
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
        connection = ServerConnection(reader, writer, self.limits, self._buffers, self._unread)
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

    def _end_stalled(self, missing_bytes: float) -> int:
        """Disconnects clients that do not read, those that stalled longest first."""
        now = asyncio.get_running_loop().time()
        connections = self._unread.choose_to_end(missing_bytes, now)
        for connection in connections:
            connection.end_for_memory()
        return len(connections)

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
