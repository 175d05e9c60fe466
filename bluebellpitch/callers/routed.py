"""One routed request, from its arrival to its end."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bluebellpitch.callers.admission import Admitted, admit, make_work
from bluebellpitch.callers.answers import describe_verdict
from bluebellpitch.decisions.catalogue import Catalogue, Repeatability, Route
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.retry_budget import RetryBudget
from bluebellpitch.decisions.strikes import IsolationLevel
from bluebellpitch.endpoints.attempt import Attempt, Turned, Unsent, settle
from bluebellpitch.endpoints.links import Links
from bluebellpitch.errors import BadRequestError, GoneError, NotSentError
from bluebellpitch.http1 import ClientConnection, HttpRequest, ServerConnection
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.http_messages import (
    ForwardingContext,
    ResponseHead,
    RoutedRequest,
    build_error_headers,
    decode_request,
    find_last_event_id,
)
from bluebellpitch.roles.endpoint_selector import EndpointSelector, Placement
from bluebellpitch.roles.strike_replicator import StrikeReplicator
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict

# An endpoint's own answer at the deadline is waited for this long.
LAST_ANSWER_S = 0.06
# Connections that cannot be made are tried elsewhere this often.
UNSENT_AT_MOST = 4
# A repeat needs this much time to be of use.
REPEAT_WORTH_S = 0.05
NO_ENDPOINT_RETRY_S = 0.4
HARMFUL_RETRY_S = 60.0
CRASH_CHECK_S = 0.05


@dataclass(frozen=True)
class RoutingContext:
    """What the tasks that serve routed requests are given."""

    catalogue: Callable[[], Catalogue | None]
    freshness: Freshness
    placing: EndpointSelector
    links: Links
    repeats: RetryBudget
    live_vms: Callable[[], int]
    is_draining: Callable[[], bool]
    is_closing: Callable[[], bool]
    strikes: StrikeReplicator
    metrics: Metrics
    now: Callable[[], float]


class RoutedExchange:
    """Serves one request. Owned by the caller's task."""

    def __init__(self, context: RoutingContext, connection: ServerConnection):
        self._context = context
        self._connection = connection
        self._started = False
        self._last_event: int | None = None
        self._tried: list[str] = []
        self._first_at = 0.0
        self._last_at = 0.0
        self._longest_gap_s = 0.0
        self._route = ""
        self._fingerprint = ""

    async def serve(self, raw: HttpRequest) -> None:
        """Answers the request; stops at once when the caller leaves."""
        request = decode_request(raw)
        work = asyncio.ensure_future(self._answer(request))
        gone = asyncio.ensure_future(self._connection.wait_gone())
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                log("INFO", "caller_left", request=request.id, endpoints=",".join(self._tried))
                raise GoneError("the caller left")
            work.result()
        finally:
            await settle(gone)
            if not work.done():
                await settle(work)

    async def _answer(self, request: RoutedRequest) -> None:
        context, now = self._context, self._context.now()
        admitted = admit(request, context.catalogue(), context.freshness, now)
        if isinstance(admitted, DidNotRun):
            verdict: Verdict = admitted
        elif context.is_closing():
            verdict = DidNotRun("shutting_down", 503, 0.1)
        else:
            self._route = admitted.route.name
            context.repeats.record_request(admitted.pool, now)
            verdict = await self._dispatch_unless_harmful(admitted)
        await self._finish(request, verdict, now)

    async def _finish(self, request: RoutedRequest, verdict: Verdict, arrived_at: float) -> None:
        took_ms = (self._context.now() - arrived_at) * 1000
        self._count(verdict, arrived_at)
        log(
            "INFO",
            "ended",
            request=request.id,
            verdict=verdict.name,
            reason=verdict.reason,
            status=verdict.status,
            route=self._route,
            endpoints=",".join(self._tried) or "none",
            took_ms=f"{took_ms:.0f}",
            first_ms=f"{max(0.0, self._first_at - arrived_at) * 1000:.0f}",
            gap_ms=f"{self._longest_gap_s * 1000:.0f}",
        )
        if isinstance(verdict, Ran):
            return
        if self._started:
            raise GoneError("a started answer cannot be completed")
        headers = build_error_headers(verdict.retry_after_s)
        await self._respond(verdict.status, headers, describe_verdict(verdict, request.id))

    def _count(self, verdict: Verdict, arrived_at: float) -> None:
        metrics = self._context.metrics
        label = metrics.member_label(self._route)
        metrics.requests.labels(label, verdict.name).inc()
        if isinstance(verdict, DidNotRun):
            metrics.refusals.labels(label, verdict.reason.partition(" ")[0]).inc()
        if self._first_at:
            metrics.first_token.labels(label).observe(self._first_at - arrived_at)

    async def _respond(self, status: int, headers, body: bytes) -> None:
        self._started = True
        await self._connection.respond(status, self._headers_for_caller(headers), body)

    async def _dispatch_unless_harmful(self, admitted: Admitted) -> Verdict:
        """Refuses a request that has crashed endpoint after endpoint."""
        context, request = self._context, admitted.request
        member = admitted.member.name if admitted.member else ""
        self._fingerprint = digest_text(request.method, request.target, member, request.body)
        strikes = context.strikes.book.count(self._fingerprint, context.now())
        if (
            context.strikes.book.isolation_level(self._fingerprint, context.now())
            is IsolationLevel.REFUSED
        ):
            log("WARNING", "crashes_endpoints", request=request.id, strikes=strikes)
            return DidNotRun("crashes_endpoints", 503, HARMFUL_RETRY_S)
        verdict = await self._dispatch(admitted)
        if strikes and isinstance(verdict, Ran):
            context.strikes.clear(self._fingerprint)
        return verdict

    async def _note_crash(self, place: Placement, request: RoutedRequest) -> None:
        """Notes a strike if the endpoint under a broken request has really gone down."""
        try:
            connection = await ClientConnection.open(place.entry.address, CRASH_CHECK_S)
        except NotSentError:
            attempt = f"{place.entry.id}/{place.entry.started_ms}"
            log("WARNING", "strike", request=request.id, endpoint=place.entry.id)
            self._context.strikes.record(self._fingerprint, attempt)
        else:
            connection.close()

    async def _dispatch(self, admitted: Admitted) -> Verdict:
        """Tries endpoints until one answers, time is up, or no repeat is allowed."""
        sent, unsent = 0, 0
        verdict: Verdict | None = None
        ran_maybe: MayHaveRun | None = None
        while sent < admitted.route.max_attempts and unsent < UNSENT_AT_MOST:
            if (refusal := self._refuse_attempt(admitted, sent)) is not None:
                return ran_maybe or verdict or refusal
            place = await self._place(admitted)
            if isinstance(place, DidNotRun):
                return ran_maybe or verdict or place
            verdict = await self._try(admitted, place)
            match verdict:
                case Ran():
                    return verdict
                case Unsent():
                    unsent += 1
                    continue
                case MayHaveRun() if not self._may_go_on(admitted):
                    return verdict
                case MayHaveRun():
                    ran_maybe = verdict
            sent += 1
        return ran_maybe or verdict

    def _refuse_attempt(self, admitted: Admitted, sent: int) -> DidNotRun | None:
        """Returns why no further attempt may be made, if so."""
        context, now = self._context, self._context.now()
        if now >= admitted.expires_at - (REPEAT_WORTH_S if sent else 0):
            return DidNotRun("no_time", 503, NO_ENDPOINT_RETRY_S)
        if sent and not context.repeats.spend(admitted.pool, context.live_vms(), now):
            log("INFO", "repeat_budget_spent", request=admitted.request.id)
            return DidNotRun("repeat_budget_spent", 503, NO_ENDPOINT_RETRY_S)
        return None

    async def _place(self, admitted: Admitted) -> Placement | DidNotRun:
        work = make_work(admitted, len(self._tried))
        tried = frozenset(self._tried)
        return await self._context.placing.select(work, admitted.is_engine, tried)

    async def _try(self, admitted: Admitted, place: Placement) -> Verdict:
        """Makes one attempt, and enters how it ended in the books."""
        self._tried.append(place.entry.id)
        outcome = "withdrawn"
        try:
            verdict = await self._attempt(admitted, place)
            outcome = name_outcome(verdict)
        finally:
            self._context.placing.release(place, outcome, self._longest_gap_s)
        if outcome == "failed" and isinstance(verdict, MayHaveRun):
            await self._note_crash(place, admitted.request)
        return verdict

    def _may_go_on(self, admitted: Admitted) -> bool:
        """Tells whether a request that may have run may be sent again."""
        if not admitted.may_repeat:
            return False
        return not self._started or self._may_resume(admitted.route)

    def _may_resume(self, route: Route) -> bool:
        return route.repeatability is Repeatability.RESUMABLE and self._last_event is not None

    async def _attempt(self, admitted: Admitted, place: Placement) -> Verdict:
        """Sends the request to one endpoint and passes its answer on."""
        context = self._context
        attempt = Attempt(context.links, place.entry, admitted.request, context.now)
        last_event = (
            admitted.request.last_event_id if self._last_event is None else self._last_event
        )
        forwarding = ForwardingContext(
            endpoint_id=place.entry.id,
            remaining_s=admitted.expires_at - context.now(),
            member=admitted.member.name if admitted.member else "",
            rank=admitted.rank if admitted.is_engine else None,
            last_event_id=last_event,
        )
        try:
            once = admitted.route.repeatability is Repeatability.ONCE
            by = admitted.expires_at + LAST_ANSWER_S
            head = await attempt.start(forwarding, once, by)
            return await self._take_head(admitted, place, attempt, head, by)
        finally:
            attempt.close()

    async def _take_head(self, admitted, place: Placement, attempt: Attempt, head, by) -> Verdict:
        placing = self._context.placing
        match head:
            case Turned():
                if head.is_other:
                    placing.directory.mark_replaced(place.entry)
                placing.record_load_report(place, attempt.head)
                return DidNotRun(head.reason, 503, NO_ENDPOINT_RETRY_S)
            case Unsent() | MayHaveRun():
                return head
        placing.record_load_report(place, head)
        if admitted.route.is_stream and 200 <= head.status < 300:
            return await self._pass_stream(admitted, place, attempt, head, by)
        answer = await attempt.read_whole(by)
        return await self._pass_whole(admitted, answer)

    async def _pass_whole(self, admitted: Admitted, answer) -> Verdict:
        if isinstance(answer, MayHaveRun):
            return answer
        head: ResponseHead = answer.head
        if head.status >= 500 and admitted.may_repeat and self._can_repeat(admitted):
            return MayHaveRun(f"answered {head.status}", status=502)
        if self._started:
            return MayHaveRun(f"answered {head.status} to a resumed stream")
        await self._respond(head.status, head.headers, answer.body)
        return Ran(f"answered {head.status}", head.status)

    def _can_repeat(self, admitted: Admitted) -> bool:
        context, now = self._context, self._context.now()
        left = context.repeats.remaining(admitted.pool, context.live_vms(), now)
        return (
            len(self._tried) < admitted.route.max_attempts
            and left >= 1
            and now < admitted.expires_at - REPEAT_WORTH_S
        )

    async def _pass_stream(self, admitted, place: Placement, attempt: Attempt, head, by) -> Verdict:
        """Passes whole events on as they come. A cut stream is never ended as if complete."""
        placing = self._context.placing
        first = True
        async for events in attempt.events(by, silence_s=max(0.001, by - self._context.now())):
            if first:
                first = False
                placing.record_first_event(place, attempt.sent_at)
            await self._start_stream(head)
            self._note_events()
            await self._connection.send(events)
            last = find_last_event_id(events)
            self._last_event = self._last_event if last is None else last
        if attempt.ending != "complete":
            status = 504 if attempt.ending == "late" else 502
            return MayHaveRun(f"stream {attempt.ending}", status=status)
        await self._start_stream(head)
        await self._connection.end()
        return Ran("complete", head.status)

    def _note_events(self) -> None:
        now = self._context.now()
        if self._first_at:
            self._longest_gap_s = max(self._longest_gap_s, now - self._last_at)
        else:
            self._first_at = now
        self._last_at = now

    async def _start_stream(self, head: ResponseHead) -> None:
        """Sends the head, unless an earlier attempt has."""
        if not self._started:
            self._started = True
            await self._connection.start(head.status, self._headers_for_caller(head.headers))

    def _headers_for_caller(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Returns headers without a length, which the connection sets, as the VM's state asks."""
        kept = [pair for pair in headers if pair[0].lower() != "content-length"]
        return [*kept, ("Connection", "close")] if self._context.is_draining() else kept


def name_outcome(verdict: Verdict) -> str:
    """Returns how an attempt ended, for the books of load."""
    match verdict:
        case Unsent():
            return "unreachable"
        case DidNotRun():
            return "refused"
        case MayHaveRun(_, status):
            return "withdrawn" if status == 504 else "failed"
        case Ran(_, status):
            return "failed" if status >= 500 else "ok"


async def refuse_malformed(connection: ServerConnection, error: BadRequestError) -> None:
    """Answers what is no request, and closes the connection."""
    verdict = DidNotRun(error.reason, error.status)
    headers = [*build_error_headers(None), ("Connection", "close")]
    await connection.respond(error.status, headers, describe_verdict(verdict, "", str(error)))
