"""At-most-once execution: claims idempotency keys in the store before a request is dispatched."""

import asyncio
from collections.abc import Callable
from uuid import uuid4

from bluebellpitch.constants import CLAIM_TIMEOUT_S, HORIZON_MARGIN_S
from bluebellpitch.decisions.claiming import (
    AppendClaim,
    ClaimRequest,
    ClaimWon,
    GiveUp,
    PendingClaim,
    ReplayOutcome,
    next_claim_step,
)
from bluebellpitch.decisions.claims import (
    Claim,
    ClaimsStateMachine,
    Outcome,
    Withdrawal,
    encode_claim_record,
    is_within_horizon,
)
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.appender import Appender
from bluebellpitch.platform.store import Appended, Truncated
from bluebellpitch.platform.topic_reader import TopicReader
from bluebellpitch.verdicts import DidNotRun, MayHaveRun
from bluebellpitch.view import ViewHolder

APPEND_RETRY_DELAY_S = 0.25
EXPIRY_INTERVAL_S = 5.0


ClaimResult = ClaimWon | ReplayOutcome | DidNotRun | MayHaveRun


class ClaimCoordinator:
    """Owns this VM's copy of the claims topic, and claims keys for its requests."""

    def __init__(
        self,
        view_holder: ViewHolder,
        reader: TopicReader,
        appender: Appender,
        event_ring: EventRing,
        metrics: Metrics,
        now: Callable[[], float],
        wall: Callable[[], float],
        horizon_s: float,
    ):
        self._view_holder = view_holder
        self._reader = reader
        self._appender = appender
        self._event_ring = event_ring
        self._metrics = metrics
        self._now = now
        self._wall = wall
        self._horizon_s = horizon_s
        self._own_key = view_holder.current.own.identity.key
        self.state_machine = ClaimsStateMachine(horizon_s)
        self._state_changed = asyncio.Event()
        self._unfinished_appends: set[asyncio.Task] = set()

    async def follow_log(self) -> None:
        """Applies the records of the claims topic until cancelled."""
        async for page in self._reader.read_pages(lambda: self.state_machine.offset + 1):
            if isinstance(page, Truncated):
                log(
                    "WARNING",
                    "claims_expired",
                    wanted=self.state_machine.offset + 1,
                    first=page.oldest_offset,
                )
                self.state_machine.offset = page.oldest_offset - 1
                continue
            for offset, data in enumerate(page.records, page.start_offset):
                self.state_machine.apply(offset, data, self._wall())
            if page.records:
                self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    async def expire(self) -> None:
        """Drops expired keys and updates the metric of unresolved claims until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.state_machine.expire_keys(self._wall())
            self._metrics.unresolved.set(len(self.unresolved()))

    def unresolved(self) -> tuple[Claim, ...]:
        """Returns claims whose request may have run and whose outcome is unknown."""
        return self.state_machine.unresolved_claims(
            frozenset(self._view_holder.current.live_by_key)
        )

    async def claim_key(self, request: str, claim_request: ClaimRequest) -> ClaimResult:
        """Claims a key for one request; returns the claim, a recorded outcome or a refusal."""
        deadline = self._now() + CLAIM_TIMEOUT_S
        pending: PendingClaim | None = None
        while True:
            changed = self._state_changed
            timed_out = self._now() >= deadline
            match next_claim_step(
                self.state_machine, claim_request, pending, self._wall(), timed_out
            ):
                case ClaimWon(claim) as won:
                    self._event_ring.record(EventKind.CLAIMED, request, detail=claim.id)
                    return won
                case ReplayOutcome() as replay:
                    return replay
                case GiveUp(verdict):
                    if pending is not None:
                        self.withdraw(pending.claim)
                    return verdict
                case AppendClaim():
                    claim = Claim(
                        uuid4().hex,
                        claim_request.key,
                        claim_request.body_digest,
                        self._own_key,
                        claim_request.made_at,
                    )
                    pending = await self._append_claim(claim, deadline)
                case _:
                    await self._wait_for_change(changed, deadline)

    async def _append_claim(self, claim: Claim, deadline: float) -> PendingClaim | None:
        """Appends a claim; returns None if it certainly did not reach the store."""
        append = asyncio.ensure_future(self._appender.append(encode_claim_record(claim)))
        done, _ = await asyncio.wait({append}, timeout=max(0.0, deadline - self._now()))
        if not done:
            return PendingClaim(claim)
        match append.result():
            case Appended(offset):
                return PendingClaim(claim, offset)
            case DidNotRun():
                await asyncio.sleep(APPEND_RETRY_DELAY_S)
                return None
        return PendingClaim(claim)

    async def _wait_for_change(self, changed: asyncio.Event, deadline: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, deadline - self._now())):
                await changed.wait()
        except TimeoutError:
            return

    def withdraw(self, claim: Claim) -> None:
        """Withdraws a claim of this VM that was never dispatched; retries until it is stored."""
        self._event_ring.record(EventKind.WITHDRAWN, detail=claim.id)
        record = Withdrawal(uuid4().hex, claim.key, claim.id, claim.made_at)
        self._append_in_background(encode_claim_record(record))

    def may_dispatch(self, claim: Claim) -> bool:
        """Checks the horizon again, right before the first byte is sent."""
        return is_within_horizon(claim.made_at, self._wall(), self._horizon_s, HORIZON_MARGIN_S)

    def record_outcome(self, request: str, outcome: Outcome) -> None:
        """Appends an outcome to the store; retries until it is stored."""
        self._event_ring.record(
            EventKind.OUTCOME, request, detail=f"{outcome.verdict} {outcome.status}"
        )
        self._append_in_background(encode_claim_record(outcome))

    def _append_in_background(self, record: bytes) -> None:
        task = asyncio.create_task(self._append_with_retries(record))
        self._unfinished_appends.add(task)
        task.add_done_callback(self._unfinished_appends.discard)

    async def _append_with_retries(self, record: bytes) -> None:
        """Retries until the append succeeds. Duplicates are harmless: the first record counts."""
        while not isinstance(await self._appender.append(record), Appended):
            await asyncio.sleep(APPEND_RETRY_DELAY_S)

    def unfinished_appends(self) -> int:
        """Returns how many outcomes and withdrawals are not stored yet."""
        return len(self._unfinished_appends)
