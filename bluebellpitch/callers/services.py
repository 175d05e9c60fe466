"""Serves one call of a plain service; what must not repeat is claimed first."""

from uuid import uuid4

from bluebellpitch.callers import answers
from bluebellpitch.callers.exchange import Exchange
from bluebellpitch.callers.requests import ServiceJob, forwarded_headers
from bluebellpitch.constants import ATTEMPTS_PER_REQUEST, OUTCOME_BODY_MAX_BYTES
from bluebellpitch.context import NodeContext
from bluebellpitch.decisions.claiming import Replay, Wish, Won
from bluebellpitch.decisions.claims import Claim, Outcome
from bluebellpitch.endpoints.service import ServiceCall, call_service
from bluebellpitch.events import Kind
from bluebellpitch.http1 import HttpResponse, ServerConnection
from bluebellpitch.roles.slot_client import Slot
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict

Result = HttpResponse | Replay | DidNotRun | MayHaveRun
DROPPED_HEADERS = frozenset(("connection", "content-length", "transfer-encoding", "keep-alive"))


class ServiceExchange(Exchange):
    """One call from admission to its answer. Owned by the caller's task."""

    def __init__(self, context: NodeContext, connection: ServerConnection, job: ServiceJob):
        super().__init__(context, connection, job)
        self.attempt = 0
        self.claim: Claim | None = None

    async def run(self) -> Verdict:
        """Serves the call to its end; returns the verdict that the caller got."""
        self.record(Kind.ADMITTED, detail=f"pool={self.job.pool.name}")
        started = self.context.now()
        result = await self._try_until_settled()
        self._settle_claim(result)
        match result:
            case HttpResponse():
                return await self._answer(result, started)
            case Replay(outcome):
                return await self._replay(outcome)
            case verdict:
                self.record(Kind.REFUSED, self.endpoint, f"{verdict.reason} {verdict.name}")
                await answers.answer_verdict(self.connection, verdict, self.caller.request_id)
                return verdict

    async def _try_until_settled(self) -> Result:
        """Tries again only what did not run, or may run again."""
        result: Result = DidNotRun("not_tried")
        for _ in range(ATTEMPTS_PER_REQUEST):
            result = await self._try_once()
            if isinstance(result, HttpResponse | Replay):
                return result
            if isinstance(result, MayHaveRun) and not self.job.repeatable:
                return result
            if isinstance(result, DidNotRun) and not self._is_worth_retrying(result):
                return result
            self.record(Kind.RETRIED, self.endpoint, result.reason)
        return result

    def _is_worth_retrying(self, verdict: DidNotRun) -> bool:
        return verdict.reason in ("endpoint_unreachable", "endpoint_did_not_run")

    async def _try_once(self) -> Result:
        self.attempt += 1
        expires_at = self.caller.arrived_at + self.caller.patience_s
        slot = await self.seek(self.attempt, expires_at, resumable=False)
        if isinstance(slot, DidNotRun):
            return slot
        self.endpoint = slot.granted.endpoint
        outcome = "cancelled"
        try:
            result = await self._claim_and_call(slot)
            outcome = "completed" if isinstance(result, HttpResponse) else "returned"
            if isinstance(result, DidNotRun) and result.reason == "endpoint_unreachable":
                outcome = "unreachable"
            return result
        finally:
            self.context.slot_client.release(slot, outcome)

    async def _claim_and_call(self, slot: Slot) -> Result:
        """Claims as late as can be, so that a claim that waits cannot be left behind."""
        if self.job.key and not self.job.repeatable and self.claim is None:
            wish = Wish(self.job.key, self.job.body_digest, self.job.made_at)
            verdict = await self.context.claims.claim_key(self.caller.request_id, wish)
            if not isinstance(verdict, Won):
                return verdict
            self.claim = verdict.claim
        if self.claim and not self.context.claims.may_dispatch(self.claim):
            return DidNotRun("request_too_old", 400)
        return await self._call(slot)

    async def _call(self, slot: Slot) -> HttpResponse | DidNotRun | MayHaveRun:
        request = self.job.request
        headers = (*forwarded_headers(request), ("X-Request-Id", self.caller.request_id))
        call = ServiceCall(request.method, self.job.target, headers, request.body)
        self.record(Kind.DISPATCHED, slot.granted.endpoint, f"attempt={self.attempt}")
        result = await call_service(
            self.context.connections,
            slot.granted.address,
            call,
            self.context.settings.service_timeout_s,
        )
        if isinstance(result, HttpResponse) and self.context.view_holder.current.is_cross_region(
            slot.region
        ):
            self.context.metrics.region_bytes.inc(len(request.body) + len(result.body))
        return result

    def _settle_claim(self, result: Result) -> None:
        """Ends this request's claim: with its outcome, or withdrawn when nothing ran."""
        if self.claim is None:
            return
        if isinstance(result, DidNotRun):
            self.context.claims.withdraw(self.claim)
            return
        status, content_type, body = 0, "", b""
        if isinstance(result, HttpResponse):
            status, body = result.status, result.body
            content_type = next((v for k, v in result.headers if k == "content-type"), "")
        kept = len(body) <= OUTCOME_BODY_MAX_BYTES
        verdict = Ran.name if isinstance(result, HttpResponse) else MayHaveRun.name
        outcome = Outcome(
            id=uuid4().hex,
            key=self.claim.key,
            claim_id=self.claim.id,
            verdict=verdict,
            status=status,
            content_type=content_type,
            answer=body if kept else b"",
            answer_kept=kept,
            made_at=self.claim.made_at,
        )
        self.context.claims.record_outcome(self.caller.request_id, outcome)

    async def _answer(self, response: HttpResponse, started: float) -> Verdict:
        row, metrics = self.caller.row, self.context.metrics
        took_s = self.context.now() - started
        metrics.first_token.labels(row.name).observe(took_s)
        if took_s <= row.first_token_ms / 1000:
            metrics.in_target.labels(row.name).inc()
        self.record(Kind.COMPLETED, self.endpoint, f"status={response.status}")
        headers = [(k, v) for k, v in response.headers if k.lower() not in DROPPED_HEADERS]
        headers += self.own_headers(Ran.name)
        await self.connection.respond(response.status, headers, response.body)
        return Ran()

    async def _replay(self, outcome: Outcome) -> Verdict:
        """Answers a repeated key with what is known of its one run."""
        if outcome.verdict == MayHaveRun.name:
            verdict = MayHaveRun("unresolved", 409)
            await answers.answer_verdict(self.connection, verdict, self.caller.request_id)
            return verdict
        self.record(Kind.COMPLETED, detail="replayed")
        headers = [("Content-Type", outcome.content_type or "application/octet-stream")]
        headers += [*self.own_headers(Ran.name), (answers.REPLAYED_HEADER, "true")]
        if not outcome.answer_kept:
            headers.append(("X-Bluebellpitch-Answer-Kept", "false"))
        await self.connection.respond(outcome.status, headers, outcome.answer)
        return Ran("replayed")
