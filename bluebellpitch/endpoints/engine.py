"""One attempt of a completion at a model engine, as a stream of complete events.

Engines speak the OpenAI-compatible protocol with two more fields: ``priority`` (lower runs first)
and ``continue_text`` (the text generated so far, from which the engine continues). Closing the
connection cancels the request.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import msgspec

from bluebellpitch.decisions.unread_responses import ReadingPauses
from bluebellpitch.endpoints.connections import ConnectionPool, probe
from bluebellpitch.endpoints.sse import EventBuffer, has_data
from bluebellpitch.errors import (
    ConnectionLostError,
    NotSentError,
    ReadTimeoutError,
    ResponseTooLargeError,
)
from bluebellpitch.http1 import MAX_RESPONSE_BYTES, ClientConnection, decode_headers
from bluebellpitch.logs import log
from bluebellpitch.platform.http_messages import Announcements, read_announcements

BUSY_STATUSES = (429, 503)
MAX_REJECTION_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class Rejection:
    """A response with an error status; the engine generated no token."""

    status: int
    body: bytes


class EngineAttempt:
    """One attempt. ``ending`` is set when ``events`` ends.

    Endings: ``completed``, ``preempted``, ``unreachable`` (no byte was sent), ``crashed`` (the
    connection or the engine was lost), ``unread`` (the same after the consumer of the events made a
    long pause, for which an engine may end its stream), ``stalled`` (no token for ``stall_s``),
    ``late`` (no first token in time), ``busy`` (status 429 or 503), ``rejected`` (another error
    status), ``left`` (no byte was sent, since the engine is leaving) and ``oversized`` (more bytes
    than any completion has). ``may_send`` is asked when everything else is ready to send.
    ``on_announcements`` is called with what the answer says of the engine's future.
    """

    def __init__(
        self,
        connection_pool: ConnectionPool,
        address: str,
        stall_s: float,
        may_send: Callable[[], bool],
        on_announcements: Callable[[Announcements], None],
    ):
        self._on_announcements = on_announcements
        self._connection_pool = connection_pool
        self._address = address
        self._stall_s = stall_s
        self._may_send = may_send
        self._connection: ClientConnection | None = None
        self._buffer = connection_pool.buffers.open()
        self._cancel_reason = ""
        self._has_first_token = False
        self._pauses = ReadingPauses()
        self.ending = ""
        self.rejection: Rejection | None = None

    def cancel(self, reason: str) -> None:
        """Cancels the attempt; the engine sees a closed connection."""
        self._cancel_reason = reason
        if self._connection:
            self._connection.close()

    async def events(
        self, target: str, body: dict, request_id: str, first_token_timeout_s: float
    ) -> AsyncIterator[bytes]:
        """Yields batches of complete events; the first must come within
        ``first_token_timeout_s``."""
        finished = False
        try:
            self._connection = await self._connection_pool.acquire(self._address)
            if self._cancel_reason:
                return
            if not self._may_send():
                self.ending = "left"
                return
            async for events in self._stream_events(
                target, body, request_id, first_token_timeout_s
            ):
                yield events
            finished = self.ending == "completed"
        except NotSentError:
            self.ending = "unreachable"
        except ReadTimeoutError:
            self.ending = await self._classify_stall()
        except ResponseTooLargeError as error:
            log("WARNING", "response_too_large", request=request_id, error=error)
            self.ending = "oversized"
        except ConnectionLostError:
            self.ending = self._classify_cut()
        finally:
            self._release_connection(finished)
            self._buffer.release()
            if self._cancel_reason and not finished:
                self.ending = "preempted"

    async def _stream_events(
        self, target, body, request_id, first_token_timeout_s
    ) -> AsyncIterator[bytes]:
        connection = self._connection
        headers = [("Content-Type", "application/json"), ("X-Request-Id", request_id)]
        await connection.send("POST", target, headers, msgspec.json.encode(body))
        head = await connection.read_head(first_token_timeout_s)
        headers = decode_headers(head.headers)
        self._on_announcements(read_announcements(head.status_code, headers))
        if head.status_code != 200:
            await self._read_rejection(connection, head.status_code)
            return
        buffer, received_bytes = EventBuffer(buffer=self._buffer), 0
        now = asyncio.get_running_loop().time
        token_due_at = now() + first_token_timeout_s
        while (data := await self._read_data(token_due_at - now())) is not None:
            received_bytes += len(data)
            if received_bytes > MAX_RESPONSE_BYTES:
                raise ResponseTooLargeError(f"more than {MAX_RESPONSE_BYTES} bytes of events")
            if events := buffer.feed(data):
                paused_at = now()
                yield events
                self._pauses.record(paused_at, now())
                token_due_at += now() - paused_at
            if buffer.done or has_data(events):
                self._has_first_token, token_due_at = True, now() + self._stall_s
        self.ending = "completed" if buffer.done else self._classify_cut()

    def _classify_cut(self) -> str:
        now = asyncio.get_running_loop().time()
        return "unread" if self._pauses.explain_cut(now) else "crashed"

    async def _read_data(self, timeout_s: float) -> bytes | None:
        """Reads the next part of the stream; raises ReadTimeoutError, even if data comes."""
        if timeout_s <= 0:
            raise ReadTimeoutError(f"no token of {self._address} in time")
        return await self._connection.read_data(timeout_s)

    async def _read_rejection(self, connection: ClientConnection, status: int) -> None:
        body = await connection.read_rest(self._stall_s, MAX_REJECTION_BYTES, self._buffer)
        self.rejection = Rejection(status, body)
        self.ending = "busy" if status in BUSY_STATUSES else "rejected"

    async def _classify_stall(self) -> str:
        """Probes the engine: if it answers, only the connection was lost, and the engine is up."""
        is_up = await probe(self._address)
        if not is_up:
            return "crashed"
        return "stalled" if self._has_first_token else "late"

    def _release_connection(self, finished: bool) -> None:
        if self._connection is None:
            return
        if finished:
            self._connection_pool.release(self._connection)
        else:
            self._connection.close()
