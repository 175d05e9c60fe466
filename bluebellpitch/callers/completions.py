"""Handles one completion: acquires a slot, streams, and resumes elsewhere until complete."""

from contextlib import aclosing
from dataclasses import dataclass, field

from bluebellpitch.callers import responses
from bluebellpitch.callers.completion_bodies import assemble_completion
from bluebellpitch.callers.request_handler import RequestHandler
from bluebellpitch.callers.requests import CompletionRequest
from bluebellpitch.constants import (
    HEDGE_DELAY_FACTOR,
    MAX_ATTEMPTS_PER_REQUEST,
    MAX_HEDGES_PER_REQUEST,
    MIN_HEDGE_DELAY_S,
    RESUME_TIMEOUT_S,
    STRIKE_CONFIRMATION_TIMEOUT_S,
)
from bluebellpitch.context import NodeContext
from bluebellpitch.decisions.strikes import IsolationLevel
from bluebellpitch.endpoints.engine import EngineAttempt, Rejection
from bluebellpitch.endpoints.sse import count_events, join_text
from bluebellpitch.errors import DisconnectedError, StalledError
from bluebellpitch.events import EventKind
from bluebellpitch.http1 import ServerConnection
from bluebellpitch.logs import log
from bluebellpitch.roles.slots import Slot
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict

FIRST_TOKEN_STALL_FACTOR = 3.0


@dataclass(slots=True)
class CompletionProgress:
    """Progress of a completion over all its attempts. Times are in monotonic seconds."""

    attempt: int = 0
    failures: int = 0
    preemptions: int = 0
    hedges: int = 0
    dispatched: bool = False
    tokens: int = 0
    first_token_at: float | None = None
    last_token_at: float | None = None
    avoided_endpoints: tuple[str, ...] = ()
    events: bytearray = field(default_factory=bytearray)

    def inter_token_s(self) -> float | None:
        """Returns the mean time between tokens, or None before the second token."""
        if self.tokens < 2:
            return None
        return (self.last_token_at - self.first_token_at) / (self.tokens - 1)


class CompletionHandler(RequestHandler):
    """Handles one completion. Owned by the task of the caller's connection."""

    def __init__(
        self, context: NodeContext, connection: ServerConnection, request: CompletionRequest
    ):
        super().__init__(context, connection, request)
        self.progress = CompletionProgress()
        self._buffer = context.connection_pool.buffers.open()
        self.response_started = False
        self.rejection: Rejection | None = None

    async def run(self) -> Verdict:
        """Handles the request to its end; returns the verdict sent to the caller."""
        self.record_event(EventKind.ADMITTED, detail=f"pool={self.request.pool.name}")
        self.context.hedge_budget.earn(self.caller.service_class.name)
        try:
            verdict = await self._serve()
        except DisconnectedError as error:
            self.context.metrics.wasted_tokens.labels(self.caller.service_class.name).inc(
                self.progress.tokens
            )
            has_stalled = isinstance(error, StalledError)
            verdict = MayHaveRun("caller_stalled" if has_stalled else "caller_gone", 499)
        finally:
            self._buffer.release()
        return verdict

    async def _serve(self) -> Verdict:
        while True:
            isolation_level = self._isolation_level()
            if isolation_level is IsolationLevel.REFUSED:
                return await self._refuse("crashes_endpoints", 422)
            slot = await self._acquire_next_slot(isolation_level)
            if isinstance(slot, DidNotRun):
                return await self._refuse(slot.reason, slot.status, slot.retry_after_s)
            if self._isolation_level() > isolation_level:
                self.context.slot_client.release(slot, "cancelled")
                continue
            ending = await self._run_attempt(slot)
            if ending == "completed":
                return await self._finish()
            if self.rejection is not None and ending == "rejected":
                return await self._forward_rejection()
            if self.progress.failures >= MAX_ATTEMPTS_PER_REQUEST:
                return await self._refuse("attempts_exhausted", 502)

    def _isolation_level(self) -> IsolationLevel:
        return self.context.strikes.tracker.isolation_level(
            self.request.fingerprint, self.context.now()
        )

    async def _acquire_next_slot(self, isolation_level: IsolationLevel) -> Slot | DidNotRun:
        progress, caller = self.progress, self.caller
        progress.attempt += 1
        expires_at = caller.arrived_at + caller.max_wait_s
        if progress.dispatched:
            expires_at = self.context.now() + RESUME_TIMEOUT_S
        return await self.acquire_slot(
            progress.attempt,
            expires_at,
            prefix=self.request.prefix_digest,
            avoid=progress.avoided_endpoints,
            suspicion=int(isolation_level),
            resumed=progress.tokens > 0,
            preemptions=progress.preemptions,
        )

    async def _run_attempt(self, slot: Slot) -> str:
        """Runs one attempt in a slot; returns its ending."""
        context, progress = self.context, self.progress
        attempt = EngineAttempt(
            context.connection_pool,
            slot.granted.address,
            context.settings.stall_s,
            may_send=lambda: context.may_send(slot.granted.endpoint),
            on_announcements=lambda told: context.record_announcements(slot, told),
        )
        slot.on_preempt = attempt.cancel
        if slot.preempt_reason:
            attempt.cancel(slot.preempt_reason)
        self.endpoint = slot.granted.endpoint
        self.record_event(EventKind.DISPATCHED, self.endpoint, f"attempt={progress.attempt}")
        dispatched_at = context.now()
        ending = "cancelled"
        try:
            await self._stream_attempt(attempt, slot, dispatched_at)
            ending = attempt.ending
        finally:
            is_late = ending == "late" and not slot.tokens
            first_token_s = context.now() - dispatched_at if is_late else None
            outcome = "unused" if ending == "left" else ending
            context.slot_client.release(slot, outcome, first_token_s, slot.inter_token_s())
        self.rejection = attempt.rejection
        self._record_ending(slot, ending)
        if ending == "crashed":
            await self._report_strike(slot.granted.endpoint)
        return ending

    async def _stream_attempt(
        self, attempt: EngineAttempt, slot: Slot, dispatched_at: float
    ) -> None:
        """Forwards events until the attempt ends; the caller's disconnect ends it at once."""
        source = attempt.events(
            self.request.target,
            self._build_engine_body(),
            self.caller.request_id,
            self._first_token_timeout_s(slot),
        )
        async with aclosing(source):
            async for events in source:
                if not self._buffer.grow(len(events)):
                    log("WARNING", "response_too_large", request=self.caller.request_id)
                    attempt.ending = "oversized"
                    return
                self._record_progress(events, slot, dispatched_at)
                await self._forward(events)

    def _record_progress(self, events: bytes, slot: Slot, dispatched_at: float) -> None:
        progress, context, now = self.progress, self.context, self.context.now()
        if slot.last_token_at is None:
            context.slot_client.report_first_token(slot, now - dispatched_at)
        if progress.first_token_at is None:
            progress.first_token_at = now
            self.record_event(EventKind.FIRST_TOKEN, slot.granted.endpoint)
        progress.last_token_at = now
        count = count_events(events)
        slot.record_tokens(count, now)
        progress.tokens += count
        progress.events += events
        if context.view_holder.current.is_cross_region(slot.region):
            context.metrics.region_bytes.inc(len(events))

    async def _forward(self, events: bytes) -> None:
        if self.request.stream:
            await self._send_events(events)
        elif self.connection.is_disconnected():
            raise DisconnectedError("the caller closed its connection")

    def _build_engine_body(self) -> dict:
        body = {**self.request.body, "stream": True, "priority": self.caller.service_class.tier}
        if not self.request.stream:
            body["stream_options"] = {"include_usage": True}
        if self.progress.events:
            body["continue_text"] = join_text(bytes(self.progress.events))
            self.record_event(EventKind.RESUMED, self.endpoint, f"tokens={self.progress.tokens}")
        return body

    def _first_token_timeout_s(self, slot: Slot) -> float:
        """Returns the timeout for the first token: short while a hedged attempt may follow."""
        expected_s = slot.granted.expected_first_s
        timeout_s = self.context.settings.stall_s * FIRST_TOKEN_STALL_FACTOR
        if not expected_s or self.progress.hedges >= MAX_HEDGES_PER_REQUEST:
            return timeout_s
        if not self.context.hedge_budget.allows(self.caller.service_class.name):
            return timeout_s
        if not self.context.has_other_endpoint(self.request.pool.name, slot.granted.endpoint):
            return timeout_s
        hedge_timeout_s = max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * expected_s)
        return min(timeout_s, hedge_timeout_s)

    async def _send_events(self, events: bytes) -> None:
        if not self.response_started:
            self.response_started = True
            await self.connection.send_head(200, self._response_headers("text/event-stream"))
        await self.connection.send_data(events)

    def _response_headers(self, content_type: str) -> list[tuple[str, str]]:
        headers = [("Content-Type", content_type), ("Cache-Control", "no-store")]
        return headers + self.common_headers(Ran.name)

    def _record_ending(self, slot: Slot, ending: str) -> None:
        """Updates progress and budgets after an attempt, for the attempts that follow."""
        progress, endpoint = self.progress, slot.granted.endpoint
        progress.dispatched |= ending not in ("unreachable", "left", "busy", "rejected")
        match ending:
            case "preempted":
                progress.preemptions += 1
                self.record_event(EventKind.PREEMPTED, endpoint, slot.preempt_reason)
            case "crashed":
                progress.failures += 1
            case "late":
                progress.hedges += 1
                self.context.hedge_budget.spend(self.caller.service_class.name)
                progress.avoided_endpoints = (endpoint,)
                self.record_event(EventKind.RETRIED, endpoint, "no first token in time")
            case "left":
                progress.failures += 1
                progress.avoided_endpoints += (endpoint,)
                self.record_event(EventKind.RETRIED, endpoint, "the endpoint is leaving")
            case "oversized":
                progress.failures += 1
                progress.avoided_endpoints += (endpoint,)
                self.record_event(EventKind.RETRIED, endpoint, "the response is too large")
            case "stalled" | "unread" | "unreachable" | "busy":
                progress.failures += 1
                self.record_event(EventKind.RETRIED, endpoint, ending)

    async def _report_strike(self, endpoint: str) -> None:
        """Records a strike at all VMs before the caller can retry at another of them."""
        attempt = f"{self.caller.request_id}.{self.progress.attempt}"
        self.record_event(EventKind.STRIKE, endpoint, "the endpoint died under the request")
        strikes, fingerprint = self.context.strikes, self.request.fingerprint
        await strikes.record_confirmed(fingerprint, attempt, STRIKE_CONFIRMATION_TIMEOUT_S)

    async def _finish(self) -> Verdict:
        if self.context.strikes.tracker.count(self.request.fingerprint, self.context.now()):
            self.context.strikes.clear(self.request.fingerprint)
        self._record_metrics()
        self.record_event(EventKind.COMPLETED, self.endpoint, f"tokens={self.progress.tokens}")
        if self.request.stream:
            await self._send_events(b"data: [DONE]\n\n")
            await self.connection.end_response()
        else:
            body = assemble_completion(
                bytes(self.progress.events), self.request, self.caller.request_id
            )
            await self.connection.respond(200, self._response_headers("application/json"), body)
        return Ran()

    def _record_metrics(self) -> None:
        progress, service_class, metrics = (
            self.progress,
            self.caller.service_class,
            self.context.metrics,
        )
        metrics.tokens.labels(service_class.name).inc(progress.tokens)
        if progress.first_token_at is None:
            return
        first_token_s = progress.first_token_at - self.caller.arrived_at
        inter_token_s = progress.inter_token_s() or 0.0
        metrics.first_token.labels(service_class.name).observe(first_token_s)
        metrics.between_tokens.labels(service_class.name).observe(inter_token_s)
        if (
            first_token_s <= service_class.first_token_ms / 1000
            and inter_token_s <= service_class.between_tokens_ms / 1000
        ):
            metrics.in_target.labels(service_class.name).inc()
            metrics.good_tokens.labels(service_class.name).inc(progress.tokens)

    async def _forward_rejection(self) -> Verdict:
        """Forwards an engine's rejection of a bad request unchanged."""
        status = self.rejection.status
        await self.connection.respond(
            status, self._response_headers("application/json"), self.rejection.body
        )
        return DidNotRun("endpoint_rejected", status)

    async def _refuse(self, reason: str, status: int, retry_after_s=None) -> Verdict:
        verdict: DidNotRun | MayHaveRun = DidNotRun(reason, status, retry_after_s)
        if self.progress.dispatched:
            verdict = MayHaveRun(reason, status, retry_after_s)
        self.record_event(EventKind.REFUSED, detail=f"{reason} {verdict.name}")
        if not self.response_started:
            await responses.send_verdict(self.connection, verdict, self.caller.request_id)
            return verdict
        error_body = responses.encode_error_body(verdict, self.caller.request_id)
        await self.connection.send_data(b"data: " + error_body + b"\n\n")
        await self.connection.end_response()
        return verdict
