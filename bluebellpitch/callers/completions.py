"""Serves one completion: seeks a slot, streams, and resumes elsewhere until it is complete."""

from contextlib import aclosing
from dataclasses import dataclass, field

from bluebellpitch.callers import answers
from bluebellpitch.callers.exchange import Exchange
from bluebellpitch.callers.requests import CompletionJob
from bluebellpitch.callers.whole import assemble
from bluebellpitch.constants import (
    ATTEMPTS_PER_REQUEST,
    FIRST_TOKEN_PATIENCE,
    FIRST_TOKEN_PATIENCE_FLOOR_S,
    HEDGES_PER_REQUEST,
    RESUME_PATIENCE_S,
    STRIKE_PATIENCE_S,
)
from bluebellpitch.context import NodeContext
from bluebellpitch.decisions.strikes import Suspicion
from bluebellpitch.endpoints.engine import EngineAttempt, Rejected
from bluebellpitch.endpoints.sse import count_events, join_text
from bluebellpitch.errors import GoneError
from bluebellpitch.events import Kind
from bluebellpitch.http1 import ServerConnection
from bluebellpitch.roles.slot_client import Slot
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict

FIRST_STALL_FACTOR = 3.0


@dataclass(slots=True)
class Progress:
    """How far a completion has come. Times are monotonic seconds."""

    attempt: int = 0
    failures: int = 0
    preemptions: int = 0
    hedges: int = 0
    dispatched: bool = False
    tokens: int = 0
    first_at: float | None = None
    last_at: float | None = None
    avoid: tuple[str, ...] = ()
    parts: list[bytes] = field(default_factory=list)

    def between_s(self) -> float | None:
        """Returns the mean time between tokens, if there were two."""
        if self.tokens < 2:
            return None
        return (self.last_at - self.first_at) / (self.tokens - 1)


class CompletionExchange(Exchange):
    """One completion from admission to its complete answer. Owned by the caller's task."""

    def __init__(self, context: NodeContext, connection: ServerConnection, job: CompletionJob):
        super().__init__(context, connection, job)
        self.progress = Progress()
        self.started = False
        self.rejected: Rejected | None = None

    async def run(self) -> Verdict:
        """Serves the request to its end; returns the verdict that the caller got."""
        self.record(Kind.ADMITTED, detail=f"pool={self.job.pool.name}")
        self.context.hedge_budget.earn(self.caller.row.name)
        try:
            verdict = await self._serve()
        except GoneError:
            self.context.metrics.wasted_tokens.labels(self.caller.row.name).inc(
                self.progress.tokens
            )
            verdict = MayHaveRun("caller_gone", 499)
        return verdict

    async def _serve(self) -> Verdict:
        while True:
            suspicion = self._judge()
            if suspicion is Suspicion.REFUSED:
                return await self._refuse("crashes_endpoints", 422)
            slot = await self._seek(suspicion)
            if isinstance(slot, DidNotRun):
                return await self._refuse(slot.reason, slot.status, slot.retry_after_s)
            if self._judge() > suspicion:
                self.context.slot_client.release(slot, "cancelled")
                continue
            ending = await self._attempt(slot)
            if ending == "completed":
                return await self._complete()
            if self.rejected is not None and ending == "rejected":
                return await self._pass_rejection()
            if self.progress.failures >= ATTEMPTS_PER_REQUEST:
                return await self._refuse("attempts_exhausted", 502)

    def _judge(self) -> Suspicion:
        return self.context.strikes.book.judge(self.job.fingerprint, self.context.now())

    async def _seek(self, suspicion: Suspicion) -> Slot | DidNotRun:
        progress, caller = self.progress, self.caller
        progress.attempt += 1
        expires_at = caller.arrived_at + caller.patience_s
        if progress.dispatched:
            expires_at = self.context.now() + RESUME_PATIENCE_S
        return await self.seek(
            progress.attempt,
            expires_at,
            prefix=self.job.prefix,
            avoid=progress.avoid,
            suspicion=int(suspicion),
            resumed=progress.tokens > 0,
            preemptions=progress.preemptions,
        )

    async def _attempt(self, slot: Slot) -> str:
        """Runs one attempt; returns its ending."""
        context, progress = self.context, self.progress
        attempt = EngineAttempt(context.connections, slot.granted.address, context.settings.stall_s)
        slot.on_preempt = attempt.stop
        if slot.preempt_reason:
            attempt.stop(slot.preempt_reason)
        self.endpoint = slot.granted.endpoint
        self.record(Kind.DISPATCHED, self.endpoint, f"attempt={progress.attempt}")
        dispatched_at = context.now()
        ending = "cancelled"
        try:
            await self._pump(attempt, slot, dispatched_at)
            ending = attempt.ending
        finally:
            late = ending == "late" and not slot.tokens
            first_s = context.now() - dispatched_at if late else None
            context.slot_client.release(slot, ending, first_s, slot.inter_token_s())
        self.rejected = attempt.rejected
        self._account(slot, ending)
        if ending == "crashed":
            await self._note_strike(slot.granted.endpoint)
        return ending

    async def _pump(self, attempt: EngineAttempt, slot: Slot, dispatched_at: float) -> None:
        """Passes events on until the attempt ends; a caller that leaves ends it at once."""
        source = attempt.events(
            self.job.target,
            self._engine_body(),
            self.caller.request_id,
            self._first_token_patience(slot),
        )
        async with aclosing(source):
            async for events in source:
                self._note_events(events, slot, dispatched_at)
                await self._pass_on(events)

    def _note_events(self, events: bytes, slot: Slot, dispatched_at: float) -> None:
        progress, context, now = self.progress, self.context, self.context.now()
        if slot.last_token_at is None:
            context.slot_client.report_first_token(slot, now - dispatched_at)
        if progress.first_at is None:
            progress.first_at = now
            self.record(Kind.FIRST_TOKEN, slot.granted.endpoint)
        progress.last_at = now
        count = count_events(events)
        slot.record_tokens(count, now)
        progress.tokens += count
        progress.parts.append(events)
        if context.view_holder.current.is_cross_region(slot.region):
            context.metrics.region_bytes.inc(len(events))

    async def _pass_on(self, events: bytes) -> None:
        if self.job.stream:
            await self._send(events)
        elif self.connection.is_gone():
            raise GoneError("the caller closed its connection")

    def _engine_body(self) -> dict:
        body = {**self.job.fields, "stream": True, "priority": self.caller.row.tier}
        if not self.job.stream:
            body["stream_options"] = {"include_usage": True}
        if self.progress.parts:
            body["continue_text"] = join_text(b"".join(self.progress.parts))
            self.record(Kind.RESUMED, self.endpoint, f"tokens={self.progress.tokens}")
        return body

    def _first_token_patience(self, slot: Slot) -> float:
        """Returns how long to wait for a first token: short while a hedge may follow."""
        expected_s = slot.granted.expected_first_s
        patience_s = self.context.settings.stall_s * FIRST_STALL_FACTOR
        if not expected_s or self.progress.hedges >= HEDGES_PER_REQUEST:
            return patience_s
        if not self.context.hedge_budget.allows(self.caller.row.name):
            return patience_s
        short_s = max(FIRST_TOKEN_PATIENCE_FLOOR_S, FIRST_TOKEN_PATIENCE * expected_s)
        return min(patience_s, short_s)

    async def _send(self, events: bytes) -> None:
        if not self.started:
            self.started = True
            await self.connection.start(200, self._headers("text/event-stream"))
        await self.connection.send(events)

    def _headers(self, content_type: str) -> list[tuple[str, str]]:
        kind = [("Content-Type", content_type), ("Cache-Control", "no-store")]
        return kind + self.own_headers(Ran.name)

    def _account(self, slot: Slot, ending: str) -> None:
        """Notes what an ending means for the next attempt and for other requests."""
        progress, endpoint = self.progress, slot.granted.endpoint
        progress.dispatched |= ending not in ("unreachable", "busy", "rejected")
        match ending:
            case "preempted":
                progress.preemptions += 1
                self.record(Kind.PREEMPTED, endpoint, slot.preempt_reason)
            case "crashed":
                progress.failures += 1
            case "late":
                progress.hedges += 1
                self.context.hedge_budget.spend(self.caller.row.name)
                progress.avoid = (endpoint,)
                self.record(Kind.RETRIED, endpoint, "no first token in time")
            case "stalled" | "unreachable" | "busy":
                progress.failures += 1
                self.record(Kind.RETRIED, endpoint, ending)

    async def _note_strike(self, endpoint: str) -> None:
        """Lets all VMs know before the caller can send the request to another of them."""
        attempt = f"{self.caller.request_id}.{self.progress.attempt}"
        self.record(Kind.STRIKE, endpoint, "the endpoint died under the request")
        strikes, fingerprint = self.context.strikes, self.job.fingerprint
        await strikes.note_confirmed(fingerprint, attempt, STRIKE_PATIENCE_S)

    async def _complete(self) -> Verdict:
        if self.context.strikes.book.count(self.job.fingerprint, self.context.now()):
            self.context.strikes.clear(self.job.fingerprint)
        self._measure()
        self.record(Kind.COMPLETED, self.endpoint, f"tokens={self.progress.tokens}")
        if self.job.stream:
            await self._send(b"data: [DONE]\n\n")
            await self.connection.end()
        else:
            body = assemble(b"".join(self.progress.parts), self.job, self.caller.request_id)
            await self.connection.respond(200, self._headers("application/json"), body)
        return Ran()

    def _measure(self) -> None:
        progress, row, metrics = self.progress, self.caller.row, self.context.metrics
        metrics.tokens.labels(row.name).inc(progress.tokens)
        if progress.first_at is None:
            return
        first_s = progress.first_at - self.caller.arrived_at
        between_s = progress.between_s() or 0.0
        metrics.first_token.labels(row.name).observe(first_s)
        metrics.between_tokens.labels(row.name).observe(between_s)
        if first_s <= row.first_token_ms / 1000 and between_s <= row.between_tokens_ms / 1000:
            metrics.in_target.labels(row.name).inc()
            metrics.good_tokens.labels(row.name).inc(progress.tokens)

    async def _pass_rejection(self) -> Verdict:
        """Passes an engine's refusal of a bad request on as it is."""
        status = self.rejected.status
        await self.connection.respond(status, self._headers("application/json"), self.rejected.body)
        return DidNotRun("endpoint_rejected", status)

    async def _refuse(self, reason: str, status: int, retry_after_s=None) -> Verdict:
        verdict: DidNotRun | MayHaveRun = DidNotRun(reason, status, retry_after_s)
        if self.progress.dispatched:
            verdict = MayHaveRun(reason, status, retry_after_s)
        self.record(Kind.REFUSED, detail=f"{reason} {verdict.name}")
        if not self.started:
            await answers.answer_verdict(self.connection, verdict, self.caller.request_id)
            return verdict
        error = answers.describe_verdict(verdict, self.caller.request_id)
        await self.connection.send(b"data: " + error + b"\n\n")
        await self.connection.end()
        return verdict
