"""HTTP/1.1 client connections."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

import h11

from bluebellpitch.decisions.buffer_budget import BufferBudget, BufferShare
from bluebellpitch.errors import (
    ConnectionLostError,
    ConnectionRefusedByServerError,
    NotSentError,
    ReadTimeoutError,
    ResponseTooLargeError,
)
from bluebellpitch.http1.messages import (
    MAX_RESPONSE_BYTES,
    READ_BYTES,
    Headers,
    HttpResponse,
    encode_headers,
)
from bluebellpitch.http1.streams import CountingReader, open_streams

MAX_HEAD_BYTES = 16_384
MAX_INFORMATIONAL_RESPONSES = 8
# Most that is read of a body only to reuse the connection.
MAX_DISCARDED_BYTES = 262_144
HEADER_TOO_LARGE_STATUS = 431
# After so many events without a wait for data, other connections have their turn.
EVENTS_PER_TURN = 32


class ClientConnection:
    """One connection to a server. Its pool sets ``idle_since``, in seconds of the pool's clock."""

    def __init__(self, reader: CountingReader, writer, address: str):
        self.reader = reader
        self.writer = writer
        self.address = address
        self.idle_since = 0.0
        self.h11 = create_parser()
        self._consumed_bytes = 0
        self._events_in_turn = 0

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> "ClientConnection":
        """Connects to ``host:port``; raises NotSentError, refused or not."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await open_streams(host, int(port))
        except ConnectionRefusedError as error:
            message = f"cannot connect to {address}: {error}"
            raise ConnectionRefusedByServerError(message) from error
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise NotSentError(f"cannot connect to {address[:80]}: {error}") from error
        return cls(reader, writer, address)

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Adds Host and Content-Length and sends a request.

        Raises NotSentError when the request cannot be encoded, else ConnectionLostError, because
        bytes may have been sent.
        """
        headers = [("Host", self.address), *headers, ("Content-Length", str(len(body)))]
        await self.send_verbatim(method, target, headers, body)

    async def send_verbatim(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Sends a request with only these headers; raises ConnectionLostError or NotSentError.

        Does not wait until the server has read it: reading the response has a limit of time, and
        the response may come before the server has read a long body.
        """
        try:
            head = h11.Request(method=method, target=target, headers=encode_headers(headers))
            data = self.h11.send(head)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise NotSentError(f"the request cannot be encoded: {error}") from error
        if body:
            data += self.h11.send(h11.Data(data=body))
        data += self.h11.send(h11.EndOfMessage()) or b""
        try:
            self.writer.write(data)
        except OSError as error:
            raise ConnectionLostError(f"lost the connection to {self.address}: {error}") from error

    async def read_head(self, timeout_s: float) -> h11.Response:
        """Returns the head of the response.

        Raises ConnectionLostError, ReadTimeoutError or ResponseTooLargeError.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event(timeout_s)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError(f"{self.address} closed the connection without response")
        message = f"{self.address} sent over {MAX_INFORMATIONAL_RESPONSES} informational responses"
        raise ResponseTooLargeError(message)

    async def read_body(self, timeout_s: float) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; ``timeout_s`` limits each wait for data."""
        while (data := await self.read_data(timeout_s)) is not None:
            yield data

    async def read_data(self, timeout_s: float) -> bytes | None:
        """Returns the next part of the body as received; None at its end."""
        event = await self._next_event(timeout_s)
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def read_rest(self, timeout_s: float, max_bytes: int, buffer: BufferShare) -> bytes:
        """Returns the rest of the body, held in ``buffer``; ``timeout_s`` limits all of it.

        Raises ConnectionLostError, ReadTimeoutError or ResponseTooLargeError.
        """
        body = bytearray()

        def hold(data: bytes) -> None:
            if not buffer.grow(len(data)):
                message = f"{self.address} sent {len(body)} bytes, and no memory is left for more"
                raise ResponseTooLargeError(message)
            body.extend(data)

        await self._receive_rest(timeout_s, max_bytes, hold)
        return bytes(body)

    async def discard_rest(self, timeout_s: float) -> None:
        """Reads the rest of the body and holds none of it; ``timeout_s`` limits all of it.

        Raises ConnectionLostError, ReadTimeoutError or ResponseTooLargeError.
        """
        await self._receive_rest(timeout_s, MAX_DISCARDED_BYTES, lambda data: None)

    async def _receive_rest(
        self, timeout_s: float, max_bytes: int, take: Callable[[bytes], None]
    ) -> None:
        size = 0
        try:
            async with asyncio.timeout(timeout_s):
                while (data := await self.read_data(timeout_s)) is not None:
                    size += len(data)
                    if size > max_bytes:
                        message = f"{self.address} sent a body of more than {max_bytes} bytes"
                        raise ResponseTooLargeError(message)
                    take(data)
        except TimeoutError as error:
            raise ReadTimeoutError(f"no complete body of {self.address} in time") from error

    async def _next_event(self, timeout_s: float):
        self._events_in_turn += 1
        if self._events_in_turn >= EVENTS_PER_TURN:
            self._events_in_turn = 0
            await asyncio.sleep(0)
        try:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(timeout_s):
                    while event is h11.NEED_DATA:
                        self.h11.receive_data(await self._read())
                        event = self.h11.next_event()
            return event
        except TimeoutError as error:
            raise ReadTimeoutError(f"{self.address} sent nothing for {timeout_s} s") from error
        except h11.RemoteProtocolError as error:
            message = f"cannot read the response of {self.address}: {error}"
            if error.error_status_hint == HEADER_TOO_LARGE_STATUS:
                raise ResponseTooLargeError(message) from error
            raise ConnectionLostError(message) from error
        except OSError as error:
            raise ConnectionLostError(f"lost the response of {self.address}: {error}") from error

    async def _read(self) -> bytes:
        data = await self.reader.read(READ_BYTES)
        self._consumed_bytes += len(data)
        return data

    async def read_response(
        self,
        timeout_s: float,
        max_bytes: int = MAX_RESPONSE_BYTES,
        buffer: BufferShare | None = None,
    ) -> HttpResponse:
        """Returns the complete response; ``timeout_s`` limits the head and then the body.

        Raises ConnectionLostError, ReadTimeoutError or ResponseTooLargeError.
        """
        head = await self.read_head(timeout_s)
        body = await self.read_rest(timeout_s, max_bytes, buffer or BufferBudget().open())
        return HttpResponse(head.status_code, decode_headers(head.headers), body)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: Headers = (),
        max_bytes: int = MAX_RESPONSE_BYTES,
        buffer: BufferShare | None = None,
    ) -> HttpResponse:
        """Returns the response to a request; ``timeout_s`` limits the whole call.

        ``max_bytes`` limits its body, which is held in ``buffer``. Raises NotSentError,
        ConnectionLostError or ReadTimeoutError.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(method, target, headers, body)
                return await self.read_response(timeout_s, max_bytes, buffer)
        except TimeoutError as error:
            raise ReadTimeoutError(f"{self.address} did not answer within {timeout_s} s") from error

    def is_stale(self) -> bool:
        """Returns whether the server closed the connection or sent data without a request."""
        if self.reader.at_eof() or self.writer.is_closing() or self.reader.exception():
            return True
        return self.reader.received_bytes > self._consumed_bytes or bool(self.h11.trailing_data[0])

    def expect_next_response(self, method: str) -> None:
        """Prepares to read one more response to the request that was sent.

        Used when the response that was read belongs to an earlier request. Raises
        ConnectionLostError.
        """
        unparsed = self.h11.trailing_data[0]
        if self.h11.their_state is not h11.DONE:
            raise ConnectionLostError(
                f"{self.address} closed the connection after a response to another request"
            )
        self.h11 = create_parser()
        self.h11.send(h11.Request(method=method, target="/", headers=[("Host", "-")]))
        self.h11.send(h11.EndOfMessage())
        if unparsed:
            self.h11.receive_data(unparsed)

    def start_next_cycle(self) -> bool:
        """Prepares for another request; returns False when the connection cannot be reused.

        It cannot while the server has not read the previous request to its end.
        """
        if self.is_stale() or self.writer.transport.get_write_buffer_size():
            return False
        if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            return False
        self.h11.start_next_cycle()
        return True

    def close(self) -> None:
        """Closes the connection at once; the server sees a cancelled request."""
        self.writer.transport.abort()


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> tuple[tuple[str, str], ...]:
    """Returns the headers of a response as text, with names in lower case."""
    return tuple((name.decode(), value.decode("latin-1")) for name, value in headers)


def create_parser() -> h11.Connection:
    """Returns a parser of responses, which accepts heads of up to ``MAX_HEAD_BYTES``."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


async def fetch(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Headers = (),
    *,
    timeout_s=3.0,
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> HttpResponse:
    """Sends a request on a new connection and returns the response.

    Raises NotSentError, ConnectionLostError or ReadTimeoutError.
    """
    connection = await ClientConnection.open(address, timeout_s)
    headers = [*headers, ("Connection", "close")]
    try:
        return await connection.call(method, target, body, timeout_s, headers, max_bytes)
    finally:
        connection.close()
