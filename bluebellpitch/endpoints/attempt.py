"""One attempt of a routed request at one endpoint.

An attempt ends in a verdict: DidNotRun when no byte of it was processed, MayHaveRun when its
answer is lost. An answer that belongs to another request is passed over.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.endpoints.links import Links
from bluebellpitch.endpoints.sse import SEPARATOR
from bluebellpitch.errors import BrokenError, NotSentError, StalledError
from bluebellpitch.http1 import ClientConnection
from bluebellpitch.platform.http_messages import (
    ForwardingContext,
    ResponseHead,
    RoutedRequest,
    build_forwarded_headers,
    decode_response_head,
)
from bluebellpitch.verdicts import DidNotRun, MayHaveRun

FOREIGN_ANSWERS_AT_MOST = 3
LARGEST_EVENT_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Turned(DidNotRun):
    """The endpoint refused the request; ``is_other`` when another one has its address."""

    is_other: bool = False


@dataclass(frozen=True, slots=True)
class Unsent(DidNotRun):
    """No connection could be made."""


class Attempt:
    """Owns one link while the attempt lasts. ``close`` is safe to call at any time."""

    def __init__(
        self, links: Links, entry: EndpointEntry, request: RoutedRequest, now: Callable[[], float]
    ):
        self._links = links
        self._entry = entry
        self._request = request
        self._now = now
        self._connection: ClientConnection | None = None
        self.head: ResponseHead | None = None
        self.sent_at = 0.0
        self.ending = ""

    async def start(
        self, forwarding: ForwardingContext, once: bool, head_by: float
    ) -> ResponseHead | DidNotRun | MayHaveRun:
        """Sends the request and returns the head of its answer, or a verdict.

        ``head_by`` bounds the wait for the head, in seconds of the owner's clock.
        """
        request = self._request
        try:
            self._connection = await self._links.take(self._entry, once)
            self.sent_at = self._now()
            headers = build_forwarded_headers(request, forwarding)
            await self._connection.send_exactly(
                request.method, request.target, headers, request.body
            )
            head = await self._read_own_head(head_by)
        except NotSentError as error:
            self.close()
            return Unsent(str(error))
        except StalledError as error:
            self.close()
            return MayHaveRun(f"silent: {error}", status=504)
        except BrokenError as error:
            self.close()
            return MayHaveRun(f"broken: {error}")
        self.head = head
        if head.did_not_run and head.status >= 400:
            await self._finish_refusal()
            return Turned(f"refused with {head.status}", is_other=head.is_wrong_instance)
        if self._is_unusable(head):
            self.close()
            return MayHaveRun("garbled")
        return head

    def _is_unusable(self, head: ResponseHead) -> bool:
        if head.is_encoded:
            return True
        return 200 <= head.status < 300 and not (head.is_signed and head.request_id)

    async def _read_own_head(self, head_by: float) -> ResponseHead:
        for _ in range(FOREIGN_ANSWERS_AT_MOST):
            raw = await self._connection.read_head(max(0.001, head_by - self._now()))
            head = decode_response_head(raw)
            if head.request_id in ("", self._request.id):
                return head
            async for _ in self._connection.read_body(max(0.001, head_by - self._now())):
                pass
            self._connection.expect_another(self._request.method)
        raise BrokenError("too many answers to other requests")

    async def _finish_refusal(self) -> None:
        """Reads a refusal to its end, so that the link can serve again."""
        try:
            async for _ in self._connection.read_body(0.2):
                pass
        except BrokenError:
            self.close()
            return
        self._give_back()

    async def read_whole(self, by: float) -> Answered | MayHaveRun:
        """Reads the rest of a plain answer; the whole of it or nothing is passed on."""
        parts = []
        try:
            while (
                data := await self._connection.read_data(max(0.001, by - self._now()))
            ) is not None:
                parts.append(data)
        except BrokenError as error:
            self.close()
            return MayHaveRun(
                f"cut: {error}", status=504 if isinstance(error, StalledError) else 502
            )
        self._give_back()
        return Answered(self.head, b"".join(parts))

    async def events(self, by: float, silence_s: float) -> AsyncIterator[bytes]:
        """Yields whole events in bulk until the stream ends; ``ending`` then tells how.

        Endings: ``complete``, ``late`` (not over at ``by``), ``silent``, ``cut``.
        """
        rest = b""
        while True:
            left = by - self._now()
            try:
                data = await self._connection.read_data(max(0.001, min(left, silence_s)))
            except StalledError:
                self.ending = "late" if left <= silence_s else "silent"
                break
            except BrokenError:
                self.ending = "cut"
                break
            if data is None:
                self.ending = "complete"
                break
            rest += data
            end = rest.rfind(SEPARATOR) + len(SEPARATOR)
            if end >= len(SEPARATOR):
                events, rest = rest[:end], rest[end:]
                yield events
            elif len(rest) > LARGEST_EVENT_BYTES:
                self.ending = "cut"
                break
        if self.ending == "complete" and rest:
            self.ending = "cut"
        if self.ending == "complete":
            self._give_back()
        else:
            self.close()

    def _give_back(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            idle_s = 0 if self.head.closes_connection else self.head.keep_alive_s
            self._links.give_back(self._entry, connection, idle_s)

    def close(self) -> None:
        """Breaks the attempt off; the endpoint sees a closed connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._links.discard(self._entry, connection)


async def settle(task: asyncio.Task) -> None:
    """Cancels a task and waits for its end."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
