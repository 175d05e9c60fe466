"""Handles one request to a plain service; claims the key of a non-idempotent one first."""

from uuid import uuid4

from bluebellpitch.callers import responses
from bluebellpitch.callers.request_handler import RequestHandler
from bluebellpitch.callers.requests import ServiceRequest, forwarded_headers
from bluebellpitch.constants import MAX_ATTEMPTS_PER_REQUEST, MAX_OUTCOME_BODY_BYTES
from bluebellpitch.context import NodeContext
from bluebellpitch.decisions.claiming import ClaimRequest, ClaimWon, ReplayOutcome
from bluebellpitch.decisions.claims import Claim, Outcome
from bluebellpitch.endpoints.service import ServiceCall, call_service
from bluebellpitch.events import EventKind
from bluebellpitch.http1 import HttpResponse, ServerConnection
from bluebellpitch.roles.slots import Slot
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict

CallResult = HttpResponse | ReplayOutcome | DidNotRun | MayHaveRun
EXCLUDED_RESPONSE_HEADERS = frozenset(
    ("connection", "content-length", "transfer-encoding", "keep-alive")
)


class ServiceHandler(RequestHandler):
    """Handles one service request. Owned by the task of the caller's connection."""

    def __init__(self, context: NodeContext, connection: ServerConnection, request: ServiceRequest):
        super().__init__(context, connection, request)
        self._buffer = context.connection_pool.buffers.open()
        self.attempt = 0
        self.claim: Claim | None = None
        self.left_endpoints: tuple[str, ...] = ()

    async def run(self) -> Verdict:
        """Handles the request to its end; returns the verdict sent to the caller."""
        self.record_event(EventKind.ADMITTED, detail=f"pool={self.request.pool.name}")
        try:
            return await self._respond()
        finally:
            self._buffer.release()

    async def _respond(self) -> Verdict:
        started_at = self.context.now()
        result = await self._call_with_retries()
        self._settle_claim(result)
        match result:
            case HttpResponse():
                return await self._send_response(result, started_at)
            case ReplayOutcome(outcome):
                return await self._replay_outcome(outcome)
            case verdict:
                self.record_event(
                    EventKind.REFUSED, self.endpoint, f"{verdict.reason} {verdict.name}"
                )
                await responses.send_verdict(self.connection, verdict, self.caller.request_id)
                return verdict

    async def _call_with_retries(self) -> CallResult:
        """Retries only requests that did not run, or that are idempotent."""
        result: CallResult = DidNotRun("not_tried")
        for _ in range(MAX_ATTEMPTS_PER_REQUEST):
            result = await self._run_attempt()
            if isinstance(result, HttpResponse | ReplayOutcome):
                return result
            if isinstance(result, MayHaveRun) and not self.request.is_idempotent:
                return result
            if isinstance(result, DidNotRun) and not self._is_retryable(result):
                return result
            self.record_event(EventKind.RETRIED, self.endpoint, result.reason)
        return result

    def _is_retryable(self, verdict: DidNotRun) -> bool:
        return verdict.reason in ("endpoint_unreachable", "endpoint_left", "endpoint_did_not_run")

    async def _run_attempt(self) -> CallResult:
        self.attempt += 1
        expires_at = self.caller.arrived_at + self.caller.max_wait_s
        slot = await self.acquire_slot(
            self.attempt, expires_at, resumable=False, avoid=self.left_endpoints
        )
        if isinstance(slot, DidNotRun):
            return slot
        self.endpoint = slot.granted.endpoint
        ending = "cancelled"
        try:
            result = await self._claim_and_call(slot)
            ending = "completed" if isinstance(result, HttpResponse) else "returned"
            match result:
                case DidNotRun("endpoint_unreachable"):
                    ending = "unreachable"
                case DidNotRun("endpoint_left"):
                    ending = "unused"
                    self.left_endpoints += (self.endpoint,)
            return result
        finally:
            self.context.slot_client.release(slot, ending)

    async def _claim_and_call(self, slot: Slot) -> CallResult:
        """Claims only once a slot is held, so that no claim is left behind by a waiting request."""
        if self.request.idempotency_key and not self.request.is_idempotent and self.claim is None:
            claim_request = ClaimRequest(
                self.request.idempotency_key, self.request.digest, self.request.made_at
            )
            verdict = await self.context.claim_coordinator.claim_key(
                self.caller.request_id, claim_request
            )
            if not isinstance(verdict, ClaimWon):
                return verdict
            self.claim = verdict.claim
        if self.claim and not self.context.claim_coordinator.may_dispatch(self.claim):
            return DidNotRun("request_too_old", 400)
        return await self._call_endpoint(slot)

    async def _call_endpoint(self, slot: Slot) -> HttpResponse | DidNotRun | MayHaveRun:
        request = self.request.http_request
        headers = (*forwarded_headers(request), ("X-Request-Id", self.caller.request_id))
        call = ServiceCall(request.method, self.request.target, headers, request.body)
        self.record_event(EventKind.DISPATCHED, slot.granted.endpoint, f"attempt={self.attempt}")
        result = await call_service(
            self.context.connection_pool,
            slot.granted.address,
            call,
            self.context.settings.service_timeout_s,
            may_send=lambda: self.context.may_send(self.endpoint),
            on_announcements=lambda told: self.context.record_announcements(slot, told),
            buffer=self._buffer,
        )
        if isinstance(result, HttpResponse) and self.context.view_holder.current.is_cross_region(
            slot.region
        ):
            self.context.metrics.region_bytes.inc(len(request.body) + len(result.body))
        return result

    def _settle_claim(self, result: CallResult) -> None:
        """Records the outcome of this request's claim, or withdraws it when nothing ran."""
        if self.claim is None:
            return
        if isinstance(result, DidNotRun):
            self.context.claim_coordinator.withdraw(self.claim)
            return
        status, content_type, body = 0, "", b""
        if isinstance(result, HttpResponse):
            status, body = result.status, result.body
            content_type = next((v for k, v in result.headers if k == "content-type"), "")
        is_kept = len(body) <= MAX_OUTCOME_BODY_BYTES
        verdict = Ran.name if isinstance(result, HttpResponse) else MayHaveRun.name
        outcome = Outcome(
            id=uuid4().hex,
            key=self.claim.key,
            claim_id=self.claim.id,
            verdict=verdict,
            status=status,
            content_type=content_type,
            answer=body if is_kept else b"",
            answer_kept=is_kept,
            made_at=self.claim.made_at,
        )
        self.context.claim_coordinator.record_outcome(self.caller.request_id, outcome)

    async def _send_response(self, response: HttpResponse, started_at: float) -> Verdict:
        service_class, metrics = self.caller.service_class, self.context.metrics
        took_s = self.context.now() - started_at
        metrics.first_token.labels(service_class.name).observe(took_s)
        if took_s <= service_class.first_token_ms / 1000:
            metrics.in_target.labels(service_class.name).inc()
        self.record_event(EventKind.COMPLETED, self.endpoint, f"status={response.status}")
        headers = [
            (k, v) for k, v in response.headers if k.lower() not in EXCLUDED_RESPONSE_HEADERS
        ]
        headers += self.common_headers(Ran.name)
        await self.connection.respond(response.status, headers, response.body)
        return Ran()

    async def _replay_outcome(self, outcome: Outcome) -> Verdict:
        """Responds to a reused key with the outcome of its only run."""
        if outcome.verdict == MayHaveRun.name:
            verdict = MayHaveRun("unresolved", 409)
            await responses.send_verdict(self.connection, verdict, self.caller.request_id)
            return verdict
        self.record_event(EventKind.COMPLETED, detail="replayed")
        headers = [("Content-Type", outcome.content_type or "application/octet-stream")]
        headers += [*self.common_headers(Ran.name), (responses.REPLAYED_HEADER, "true")]
        if not outcome.answer_kept:
            headers.append(("X-Bluebellpitch-Answer-Kept", "false"))
        await self.connection.respond(outcome.status, headers, outcome.answer)
        return Ran("replayed")
