"""One attempt of a routed request at one endpoint.

A failed attempt ends in a verdict: DidNotRun when the endpoint processed no byte of the request,
MayHaveRun when the response was lost. Responses to other requests are discarded.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.unread_responses import ReadingPauses
from bluebellpitch.endpoints.endpoint_connections import EndpointConnectionPool
from bluebellpitch.endpoints.sse import EventSplitter
from bluebellpitch.errors import (
    ConnectionLostError,
    NotSentError,
    ReadTimeoutError,
    ResponseTooLargeError,
)
from bluebellpitch.http1 import ClientConnection
from bluebellpitch.logs import log
from bluebellpitch.platform.http_messages import (
    ForwardingContext,
    ResponseHead,
    RoutedRequest,
    build_forwarded_headers,
    decode_response_head,
)
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict

MAX_MISMATCHED_RESPONSES = 3
# As much as a request may have by default; a VM holds several responses at once.
MAX_ROUTED_RESPONSE_BYTES = 4_194_304
DRAIN_REFUSAL_TIMEOUT_S = 0.2
UNSENT_RETRY_AFTER_S = 0.1
# To callers, each of these means that the request has not run and never will.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """The complete response of an endpoint."""

    head: ResponseHead
    body: bytes

    @property
    def is_false_refusal(self) -> bool:
        """Whether callers would take it for a refusal that the endpoint does not give."""
        return self.head.status in REFUSAL_STATUSES and not self.head.did_not_run


@dataclass(frozen=True, slots=True)
class EndpointRefusal(DidNotRun):
    """The endpoint refused the request without running it.

    ``is_other_instance``: another instance now listens at the address.
    """

    is_other_instance: bool = False


@dataclass(frozen=True, slots=True)
class NotSent(DidNotRun):
    """The request was not sent: no connection could be opened, or it could not be encoded."""


@dataclass(frozen=True, slots=True)
class EndpointLeft(DidNotRun):
    """The request was not sent: the endpoint is draining or gone."""


class RoutedAttempt:
    """One attempt, which holds one connection while it lasts.

    ``now`` is the clock of all deadlines, in seconds. ``has_left`` is asked when everything else is
    ready to send. ``close`` may be called at any time.
    """

    def __init__(
        self,
        connection_pool: EndpointConnectionPool,
        entry: EndpointEntry,
        request: RoutedRequest,
        has_left: Callable[[EndpointEntry], Awaitable[bool]],
        now: Callable[[], float],
    ):
        self._connection_pool = connection_pool
        self._entry = entry
        self._request = request
        self._has_left = has_left
        self._now = now
        self._connection: ClientConnection | None = None
        self._buffer = connection_pool.buffers.open()
        self.head: ResponseHead | None = None
        self.sent_at = 0.0
        self.ending = ""

    async def start(
        self, forwarding: ForwardingContext, at_most_once: bool, head_deadline: float
    ) -> ResponseHead | DidNotRun | MayHaveRun:
        """Sends the request and returns the head of its response, or a verdict.

        ``at_most_once`` is set for a request that must not be repeated. The head must arrive
        before ``head_deadline``.
        """
        request = self._request
        try:
            self._connection = await self._connection_pool.acquire(
                self._entry, at_most_once, may_reuse=bool(request.id)
            )
            if await self._has_left(self._entry):
                self.close()
                return EndpointLeft("endpoint_left", 503, UNSENT_RETRY_AFTER_S)
            self.sent_at = self._now()
            if self.sent_at >= forwarding.expires_at:
                self.close()
                return DidNotRun("no_time", 503, UNSENT_RETRY_AFTER_S)
            headers = build_forwarded_headers(request, forwarding, self.sent_at)
            await self._connection.send_verbatim(
                request.method, request.target, headers, request.body
            )
            head = await self._read_matching_head(head_deadline)
        except NotSentError as error:
            self.close()
            return NotSent(str(error))
        except ConnectionLostError as error:
            self.close()
            return describe_lost_response(error, "silent", "broken")
        self.head = head
        if head.did_not_run and head.status >= 400:
            await self._drain_refusal()
            return EndpointRefusal(
                f"refused with {head.status}", is_other_instance=head.is_wrong_instance
            )
        if self._is_unusable(head):
            self.close()
            return MayHaveRun("garbled")
        return head

    def _is_unusable(self, head: ResponseHead) -> bool:
        if head.is_encoded:
            return True
        return 200 <= head.status < 300 and not (head.is_signed and head.request_id)

    async def _read_matching_head(self, deadline: float) -> ResponseHead:
        """Skips responses to other requests; one without an id could be to any of them."""
        for _ in range(MAX_MISMATCHED_RESPONSES):
            raw = await self._connection.read_head(self._remaining_s(deadline))
            head = decode_response_head(raw)
            if head.request_id == self._request.id:
                return head
            if not head.request_id:
                raise ConnectionLostError("received a response without the id of its request")
            await self._connection.discard_rest(self._remaining_s(deadline))
            self._connection.expect_next_response(self._request.method)
        raise ConnectionLostError("received too many responses to other requests")

    def _remaining_s(self, deadline: float) -> float:
        """Returns the time left; raises ReadTimeoutError past the deadline, even if data comes."""
        remaining_s = deadline - self._now()
        if remaining_s <= 0:
            raise ReadTimeoutError("the deadline has passed")
        return remaining_s

    async def _drain_refusal(self) -> None:
        """Reads a refusal to its end so that the connection can be reused."""
        try:
            await self._connection.discard_rest(DRAIN_REFUSAL_TIMEOUT_S)
        except ConnectionLostError:
            self.close()
            return
        self._release()

    async def read_complete_response(self, deadline: float) -> CompleteResponse | MayHaveRun:
        """Reads the body of a response that is not streamed; returns all of it or a verdict."""
        try:
            remaining_s = self._remaining_s(deadline)
            body = await self._connection.read_rest(
                remaining_s, MAX_ROUTED_RESPONSE_BYTES, self._buffer
            )
        except ConnectionLostError as error:
            self.close()
            return describe_lost_response(error, "cut", "cut")
        self._release()
        return CompleteResponse(self.head, body)

    async def events(self, deadline: float, max_silence_s: float) -> AsyncIterator[bytes]:
        """Yields batches of complete events until the stream ends, and then sets ``ending``.

        Endings: ``complete``, ``late`` (unfinished at ``deadline``), ``silent`` (no data for
        ``max_silence_s``), ``oversized`` (event too large, or no memory left for it), ``cut``
        (connection lost, or stream not at the end of an event) and ``unread`` (the same after the
        consumer of the events made a long pause, for which an endpoint may end its stream).
        """
        splitter, pauses = EventSplitter(buffer=self._buffer), ReadingPauses()
        while (events := await self._read_events(splitter, deadline, max_silence_s)) is not None:
            if events:
                paused_at = self._now()
                yield events
                pauses.record(paused_at, self._now())
        if self.ending == "complete" and splitter.is_incomplete:
            self.ending = "cut"
        if self.ending == "cut" and pauses.explain_cut(self._now()):
            self.ending = "unread"
        if self.ending == "complete":
            self._release()
        else:
            self.close()

    async def _read_events(
        self, splitter: EventSplitter, deadline: float, max_silence_s: float
    ) -> bytes | None:
        """Returns the events that the next data completes; None at the end, with ``ending`` set."""
        remaining_s = deadline - self._now()
        if remaining_s <= 0:
            self.ending = "late"
            return None
        try:
            data = await self._connection.read_data(min(remaining_s, max_silence_s))
        except ReadTimeoutError:
            self.ending = "late" if remaining_s <= max_silence_s else "silent"
            return None
        except ConnectionLostError:
            self.ending = "cut"
            return None
        if data is None:
            self.ending = "complete"
            return None
        try:
            return splitter.feed(data)
        except ResponseTooLargeError as error:
            log("WARNING", "response_too_large", request=self._request.id, error=error)
            self.ending = "oversized"
            return None

    def _release(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            is_last = self.head.closes_connection or self.head.is_leaving
            keep_alive_s = 0 if is_last else self.head.keep_alive_s
            self._connection_pool.release(self._entry, connection, keep_alive_s)

    def close(self) -> None:
        """Ends the attempt, and drops what it holds; if it is not complete, it is aborted."""
        self._buffer.release()
        connection, self._connection = self._connection, None
        if connection is not None:
            self._connection_pool.discard(self._entry, connection)


def describe_lost_response(error: ConnectionLostError, timeout: str, lost: str) -> MayHaveRun:
    """Returns the verdict on a response that did not arrive completely."""
    match error:
        case ReadTimeoutError():
            return MayHaveRun(f"{timeout}: {error}", status=504)
        case ResponseTooLargeError():
            return MayHaveRun(f"oversized: {error}")
        case _:
            return MayHaveRun(f"{lost}: {error}")


def outcome_of(verdict: Verdict) -> str:
    """Returns the outcome of an attempt, as load tracking names it."""
    match verdict:
        case NotSent():
            return "unreachable"
        case DidNotRun():
            return "refused"
        case MayHaveRun(_, status):
            return "withdrawn" if status == 504 else "failed"
        case Ran(_, status):
            return "failed" if status >= 500 else "ok"
