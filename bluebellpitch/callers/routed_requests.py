"""Handles one request of ``bluebellpitch route``: admission, attempts, retries, response."""

import asyncio

from bluebellpitch.callers.admission import AdmittedRequest, admit_request, build_work_item
from bluebellpitch.callers.crash_guard import CrashGuard
from bluebellpitch.callers.routed_response import RoutedResponse
from bluebellpitch.callers.routing_context import RoutingContext
from bluebellpitch.decisions.catalogue import Repeatability, Route
from bluebellpitch.decisions.retry_budget import SpentRetry
from bluebellpitch.endpoints.attempt import (
    EndpointLeft,
    EndpointRefusal,
    NotSent,
    RoutedAttempt,
    outcome_of,
)
from bluebellpitch.errors import DisconnectedError, StalledError
from bluebellpitch.http1 import HttpRequest, ServerConnection
from bluebellpitch.logs import log
from bluebellpitch.platform.http_messages import (
    UNUSABLE_EVENT_ID,
    ForwardingContext,
    ResponseHead,
    RoutedRequest,
    decode_request,
)
from bluebellpitch.roles.crash_tracker import has_survived
from bluebellpitch.roles.endpoint_allocator import Placement
from bluebellpitch.tasks import cancel_and_wait
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict

# Extra wait after the deadline for a response that the endpoint itself sends at the deadline.
DEADLINE_RESPONSE_GRACE_S = 0.06
# Requests that were not sent don't count as attempts, so they have a limit of their own.
MAX_UNSENT = 4
# Least remaining time for which a retry is worth sending.
MIN_RETRY_TIME_S = 0.05
REFUSAL_RETRY_AFTER_S = 0.4
SHUTTING_DOWN = "shutting_down"
SHUTDOWN_RETRY_AFTER_S = 0.1


class RoutedRequestHandler:
    """Handles one request. Owned by the task of the caller's connection."""

    def __init__(self, context: RoutingContext, connection: ServerConnection):
        self._context = context
        self._connection = connection
        self._response = RoutedResponse(connection, context.is_draining, context.now)
        self._tried: list[str] = []
        # Time of the first event of the current attempt, 0 before it.
        self._run_began_at = 0.0
        # Set with the first run of the request; one that is resumed or retried goes on.
        self._is_counted = False
        self._route_name = ""
        self._guard: CrashGuard | None = None
        # The retry for the next attempt, until that is sent; the first attempt needs none.
        self._retry: SpentRetry | None = None

    async def serve(self, http_request: HttpRequest) -> None:
        """Responds to the request; cancels the work as soon as the caller disconnects."""
        request, arrived_at = decode_request(http_request), self._context.now()
        task = asyncio.ensure_future(self._handle(request))
        disconnected = asyncio.ensure_future(self._connection.wait_disconnected())
        must_answer = asyncio.ensure_future(self._context.shutdown.must_answer.wait())
        try:
            waits = {task, disconnected, must_answer}
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                task.result()
            elif disconnected.done():
                log("INFO", "caller_left", request=request.id, endpoints=",".join(self._tried))
                raise DisconnectedError("the caller disconnected")
            else:
                await cancel_and_wait(task)
                await self._finish(request, self._shutdown_verdict(), arrived_at)
        except StalledError as error:
            log("INFO", "caller_stalled", request=request.id, reason=error)
            raise
        finally:
            await cancel_and_wait(must_answer)
            await cancel_and_wait(disconnected)
            if not task.done():
                await cancel_and_wait(task)

    def _shutdown_verdict(self) -> DidNotRun | MayHaveRun:
        """Returns the verdict on a request that is open when the VM has to end."""
        if self._tried:
            return MayHaveRun(SHUTTING_DOWN, 504)
        return DidNotRun(SHUTTING_DOWN, 503, SHUTDOWN_RETRY_AFTER_S)

    async def _handle(self, request: RoutedRequest) -> None:
        context, now = self._context, self._context.now()
        admitted = admit_request(request, context.catalogue(), context.freshness, now)
        if isinstance(admitted, DidNotRun):
            verdict: Verdict = admitted
        elif context.shutdown.is_refusing or not self._has_time(admitted, now):
            verdict = DidNotRun(SHUTTING_DOWN, 503, SHUTDOWN_RETRY_AFTER_S)
        else:
            self._route_name = admitted.route.name
            context.retries.record_request(admitted.pool)
            verdict = await self._dispatch(admitted)
            context.durations.record(self._route_name, context.now() - now)
        await self._finish(request, verdict, now)

    def _has_time(self, admitted: AdmittedRequest, now: float) -> bool:
        """Returns whether the request can be completed before a VM that shuts down has to end."""
        limit_s = admitted.expires_at - now
        expected_s = self._context.durations.estimate(admitted.route.name, limit_s)
        return self._context.shutdown.schedule.has_time_for(expected_s, now)

    async def _finish(self, request: RoutedRequest, verdict: Verdict, arrived_at: float) -> None:
        took_ms = (self._context.now() - arrived_at) * 1000
        self._record_metrics(verdict, arrived_at)
        log(
            "INFO",
            "ended",
            request=request.id,
            verdict=verdict.name,
            reason=verdict.reason,
            status=verdict.status,
            route=self._route_name,
            endpoints=",".join(self._tried) or "none",
            took_ms=f"{took_ms:.0f}",
            first_ms=f"{max(0.0, self._response.first_event_at - arrived_at) * 1000:.0f}",
            gap_ms=f"{self._response.longest_gap_s * 1000:.0f}",
        )
        if not isinstance(verdict, Ran):
            await self._response.send_error(verdict, request.id)

    def _record_metrics(self, verdict: Verdict, arrived_at: float) -> None:
        metrics = self._context.metrics
        label = metrics.member_label(self._route_name)
        metrics.requests.labels(label, verdict.name).inc()
        if isinstance(verdict, DidNotRun):
            metrics.refusals.labels(label, verdict.reason.partition(" ")[0]).inc()
        if self._response.first_event_at:
            metrics.first_token.labels(label).observe(self._response.first_event_at - arrived_at)

    async def _dispatch(self, admitted: AdmittedRequest) -> Verdict:
        context = self._context
        self._guard = CrashGuard(
            context.strikes, context.crash_tracker, context.crash_reporter, context.now, admitted
        )
        return await self._guard.run(
            self._dispatch_with_retries(admitted),
            has_response=lambda: self._response.has_started,
            was_tried=lambda: bool(self._tried),
        )

    async def _dispatch_with_retries(self, admitted: AdmittedRequest) -> Verdict:
        """Tries endpoints until one responds, time runs out, or no further retry is allowed."""
        attempts, unsent = 0, 0
        verdict: Verdict | None = None
        may_have_run: MayHaveRun | None = None
        while attempts < admitted.route.max_attempts and unsent < MAX_UNSENT:
            if (refusal := await self._attempt_refusal(admitted, attempts)) is not None:
                return may_have_run or verdict or refusal
            place = await self._choose_endpoint(admitted)
            if isinstance(place, DidNotRun):
                return may_have_run or verdict or place
            verdict = await self._run_attempt(admitted, place)
            match verdict:
                case Ran():
                    return verdict
                case NotSent() | EndpointLeft():
                    unsent += 1
                    continue
                case MayHaveRun() if not self._may_retry(admitted):
                    return verdict
                case MayHaveRun():
                    may_have_run = verdict
            attempts += 1
        return may_have_run or verdict

    async def _attempt_refusal(
        self, admitted: AdmittedRequest, attempts: int
    ) -> DidNotRun | MayHaveRun | None:
        """Returns the reason why no further attempt is allowed, or None if one is."""
        now = self._context.now()
        if (refusal := self._guard.refusal(bool(self._tried))) is not None:
            return refusal
        if now >= admitted.expires_at - (MIN_RETRY_TIME_S if attempts else 0):
            return DidNotRun("no_time", 503, REFUSAL_RETRY_AFTER_S)
        if attempts and not await self._has_retry(admitted):
            log("INFO", "repeat_budget_spent", request=admitted.request.id)
            return DidNotRun("repeat_budget_spent", 503, REFUSAL_RETRY_AFTER_S)
        return None

    async def _has_retry(self, admitted: AdmittedRequest) -> bool:
        """Returns whether a retry is there to be sent; one that was not sent is kept."""
        if self._retry is None:
            give_up_at = admitted.expires_at - MIN_RETRY_TIME_S
            self._retry = await self._context.retries.spend(admitted.pool, give_up_at)
        return self._retry is not None

    async def _choose_endpoint(self, admitted: AdmittedRequest) -> Placement | DidNotRun:
        work = build_work_item(admitted, len(self._tried))
        tried = frozenset(self._tried)
        return await self._context.endpoint_allocator.allocate(work, admitted.is_engine_pool, tried)

    async def _run_attempt(self, admitted: AdmittedRequest, place: Placement) -> Verdict:
        """Makes one attempt and records its outcome in the load tracking."""
        self._tried.append(place.entry.id)
        self._run_began_at = 0.0
        outcome = "withdrawn"
        try:
            verdict = await self._send_to_endpoint(admitted, place)
            outcome = outcome_of(verdict)
        finally:
            self._context.endpoint_allocator.release(place, outcome, self._response.longest_gap_s)
        if outcome == "failed" and isinstance(verdict, MayHaveRun):
            await self._guard.report_lost_run(place.entry, self._run_began_at)
        return verdict

    def _may_retry(self, admitted: AdmittedRequest) -> bool:
        """Returns whether a request that may have run may be sent again."""
        if not admitted.is_retryable:
            return False
        return not self._response.has_started or self._may_resume(admitted.route)

    def _may_resume(self, route: Route) -> bool:
        has_place = self._response.last_event_id not in (None, UNUSABLE_EVENT_ID)
        return route.repeatability is Repeatability.RESUMABLE and has_place

    async def _send_to_endpoint(self, admitted: AdmittedRequest, place: Placement) -> Verdict:
        """Sends the request to one endpoint and forwards its response."""
        context = self._context
        attempt = RoutedAttempt(
            context.connection_pool,
            place.entry,
            admitted.request,
            lambda entry: self._must_not_send(place),
            context.now,
        )
        last_id = self._response.last_event_id
        if last_id is None:
            last_id = admitted.request.last_event_id
        forwarding = ForwardingContext(
            endpoint_id=place.entry.id,
            expires_at=admitted.expires_at,
            member=admitted.member.name if admitted.member else "",
            rank=admitted.rank if admitted.is_engine_pool else None,
            last_event_id=last_id,
        )
        try:
            at_most_once = admitted.route.repeatability is Repeatability.ONCE
            deadline = admitted.expires_at + DEADLINE_RESPONSE_GRACE_S
            head = await attempt.start(forwarding, at_most_once, deadline)
            self._record_announcements(place, attempt.head)
            return await self._handle_head(admitted, place, attempt, head, deadline)
        finally:
            attempt.close()

    def _record_announcements(self, place: Placement, head: ResponseHead | None) -> None:
        """Records what an answer, whichever it is, says of its endpoint's future."""
        if head is None or head.is_wrong_instance:
            return
        if head.is_leaving:
            self._context.endpoint_allocator.record_leaving(place)
            self._context.connection_pool.close_idle(place.entry)
        if head.pause_s is not None:
            self._context.endpoint_allocator.record_pause(place, head.pause_s)

    async def _must_not_send(self, place: Placement) -> bool:
        """Returns whether the endpoint has left or pauses, or a borrowed retry has expired.

        Otherwise counts the request as sent.
        """
        context = self._context
        if await context.endpoint_check.has_left(place.entry):
            return True
        if context.endpoint_allocator.is_paused(place.entry):
            return True
        if self._retry is not None and context.retries.renew(self._retry) is None:
            self._retry = None
            return True
        self._retry = None
        context.endpoint_allocator.count_sent(place)
        return False

    async def _handle_head(
        self, admitted, place: Placement, attempt: RoutedAttempt, head, deadline
    ) -> Verdict:
        allocator = self._context.endpoint_allocator
        match head:
            case EndpointRefusal():
                if head.is_other_instance:
                    allocator.directory.mark_replaced(place.entry)
                allocator.record_load_report(place, attempt.head)
                pause_s = allocator.pause_wait_s(admitted.pool)
                return DidNotRun(head.reason, 503, max(REFUSAL_RETRY_AFTER_S, pause_s))
            case DidNotRun() | MayHaveRun():
                return head
        allocator.record_load_report(place, head)
        if admitted.route.is_stream and 200 <= head.status < 300:
            return await self._forward_stream(admitted, place, attempt, head, deadline)
        self._record_run(admitted, attempt.sent_at)
        response = await attempt.read_complete_response(deadline)
        if not isinstance(response, MayHaveRun) and head.status < 300:
            self._guard.record_survival(attempt.sent_at)
        return await self._forward_response(admitted, response)

    def _record_run(self, admitted: AdmittedRequest, began_at: float) -> None:
        """Counts the request, once, as usage of its member."""
        if admitted.member is not None and not self._is_counted:
            self._is_counted = True
            self._context.record_run(admitted.member.name, began_at)

    async def _forward_response(self, admitted: AdmittedRequest, response) -> Verdict:
        if isinstance(response, MayHaveRun):
            return response
        head: ResponseHead = response.head
        if head.status >= 500 and admitted.is_retryable and await self._may_try_again(admitted):
            return MayHaveRun(f"answered {head.status}", status=502)
        if self._response.has_started:
            return MayHaveRun(f"answered {head.status} to a resumed stream")
        return await self._response.forward(admitted, response)

    async def _may_try_again(self, admitted: AdmittedRequest) -> bool:
        has_attempt_left = len(self._tried) < admitted.route.max_attempts
        has_time = self._context.now() < admitted.expires_at - MIN_RETRY_TIME_S
        return has_attempt_left and has_time and await self._has_retry(admitted)

    async def _forward_stream(
        self, admitted, place: Placement, attempt: RoutedAttempt, head, deadline
    ) -> Verdict:
        """Forwards events as they arrive; never ends a truncated stream as if it were complete."""
        context, first, is_old = self._context, True, False
        self._connection.limit_sending(deadline - context.now())
        async for events in attempt.events(
            deadline, max_silence_s=max(0.001, deadline - context.now())
        ):
            if first:
                first = False
                self._run_began_at = context.now()
                context.endpoint_allocator.record_first_event(place, attempt.sent_at)
                self._record_run(admitted, self._run_began_at)
            await self._response.send_events(head, events)
            if not is_old and has_survived(self._run_began_at, context.now()):
                is_old = True
                self._guard.record_survival(self._run_began_at)
        if attempt.ending != "complete":
            # A status of 504 does not count as a failure of the endpoint.
            status = 504 if attempt.ending in ("late", "unread") else 502
            return MayHaveRun(f"stream {attempt.ending}", status=status)
        self._guard.record_survival(self._run_began_at or attempt.sent_at)
        await self._response.end_stream(head)
        return Ran("complete", head.status)
