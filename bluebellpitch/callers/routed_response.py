"""The response to one routed request, as far as its caller has been sent it."""

from collections.abc import Callable, Iterable

from bluebellpitch.callers.admission import AdmittedRequest
from bluebellpitch.callers.responses import encode_error_body
from bluebellpitch.endpoints.attempt import CompleteResponse
from bluebellpitch.errors import BadRequestError, DisconnectedError
from bluebellpitch.http1 import ServerConnection
from bluebellpitch.logs import log
from bluebellpitch.platform.http_messages import (
    ResponseHead,
    build_error_headers,
    find_last_event_id,
)
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict


class RoutedResponse:
    """What has been sent to the caller, over all attempts. ``now`` is the VM's clock, in seconds.

    ``last_event_id`` is that of the last event sent, None before any; UNUSABLE_EVENT_ID if no
    stream can be resumed after it.
    """

    def __init__(
        self, connection: ServerConnection, is_draining: Callable[[], bool], now: Callable
    ):
        self._connection = connection
        self._is_draining = is_draining
        self._now = now
        self.has_started = False
        self.last_event_id: str | None = None
        self.first_event_at = 0.0
        self.longest_gap_s = 0.0
        self._last_event_at = 0.0

    async def send_complete(self, status: int, headers, body: bytes) -> None:
        """Sends a whole response."""
        self.has_started = True
        await self._connection.respond(status, self._own_headers(headers), body)

    async def forward(self, admitted: AdmittedRequest, response: CompleteResponse) -> Ran:
        """Sends the response of an endpoint that ran the request.

        Its status is unchanged, unless the caller would send a request again that may run only
        once: then the response is an error of the VM itself, which leaves it open whether it ran.
        """
        head = response.head
        if response.is_false_refusal and not admitted.is_retryable:
            error = MayHaveRun(f"answered {head.status}")
            await self.send_error(error, admitted.request.id)
            return Ran(f"answered {head.status} after a run", error.status)
        await self.send_complete(head.status, head.headers, response.body)
        return Ran(f"answered {head.status}", head.status)

    async def send_error(self, verdict: Verdict, request_id: str) -> None:
        """Sends the response to a request that failed; raises DisconnectedError in a stream."""
        if self.has_started:
            raise DisconnectedError("a response that has started cannot be completed")
        headers = build_error_headers(verdict.retry_after_s)
        await self.send_complete(verdict.status, headers, encode_error_body(verdict, request_id))

    async def start_stream(self, head: ResponseHead) -> None:
        """Sends the response head, unless an earlier attempt has sent it."""
        if not self.has_started:
            self.has_started = True
            await self._connection.send_head(head.status, self._own_headers(head.headers))

    async def send_events(self, head: ResponseHead, events: bytes) -> None:
        """Sends complete events, and the head before the first of them."""
        await self.start_stream(head)
        self._record_event_time()
        await self._connection.send_data(events)
        last = find_last_event_id(events)
        self.last_event_id = self.last_event_id if last is None else last

    async def end_stream(self, head: ResponseHead) -> None:
        """Ends a stream that is complete."""
        await self.start_stream(head)
        await self._connection.end_response()

    def _record_event_time(self) -> None:
        now = self._now()
        if self.first_event_at:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_event_at)
        else:
            self.first_event_at = now
        self._last_event_at = now

    def _own_headers(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Drops Content-Length, which the connection sets; a draining VM adds Connection: close."""
        kept = [pair for pair in headers if pair[0].lower() != "content-length"]
        return [*kept, ("Connection", "close")] if self._is_draining() else kept


async def refuse_malformed_request(connection: ServerConnection, error: BadRequestError) -> None:
    """Responds to a malformed request, and closes the connection."""
    verdict = DidNotRun(error.reason, error.status)
    log("INFO", "request_malformed", request=error.request_id, reason=error.reason, error=error)
    headers = [*build_error_headers(error.retry_after_s), ("Connection", "close")]
    await connection.respond(error.status, headers, encode_error_body(verdict, "", str(error)))
