"""At-most-once execution: claims idempotency keys in the store before a request is dispatched."""

import asyncio
import random
from collections.abc import Callable, Coroutine
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
    decode_claim_record,
    encode_claim_record,
    is_within_horizon,
)
from bluebellpitch.decisions.log_position import log_position
from bluebellpitch.decisions.store_era import StoreEra, is_other_era
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.appender import Appender
from bluebellpitch.platform.records import Page
from bluebellpitch.platform.store import Appended, Truncated
from bluebellpitch.platform.topic_reader import TopicReader
from bluebellpitch.verdicts import DidNotRun, MayHaveRun
from bluebellpitch.view import ViewHolder

APPEND_RETRY_DELAY_S = 0.25
# VMs append again at random moments within this time, so that few append the same records.
RESTORE_SPREAD_S = 0.8
EXPIRY_INTERVAL_S = 5.0
WIN_POLL_S = 0.1


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
        store_era: StoreEra,
    ):
        self._view_holder = view_holder
        self._reader = reader
        self._appender = appender
        self._event_ring = event_ring
        self._metrics = metrics
        self._now = now
        self._wall = wall
        self._horizon_s = horizon_s
        self._store_era = store_era
        self._log_era: int | None = None
        self._next_offset = 0
        # Ids of the records read since the store came back from a copy; None once all are read.
        self._ids_in_new_era: set[str] | None = None
        self._own_key = view_holder.current.own.identity.key
        self.state_machine = ClaimsStateMachine(horizon_s)
        self._state_changed = asyncio.Event()
        self._unfinished_appends: set[asyncio.Task] = set()

    async def follow_log(self) -> None:
        """Applies the records of the claims topic until cancelled."""
        async for page in self._reader.read_pages(lambda: self._next_offset):
            if self._store_era.is_past(page.era):
                continue
            if is_other_era(page.era, self._log_era):
                self._restart_in_era(page.era)
                continue
            self._log_era = page.era if page.era is not None else self._log_era
            if isinstance(page, Truncated):
                self._skip_expired(page.oldest_offset)
            else:
                self._apply_page(page)

    def _restart_in_era(self, era: int) -> None:
        """Reads the log of a store that came back from a copy from its start; forgets no claim."""
        log("WARNING", "claims_log_restored", era=era, was=self._log_era)
        self._log_era, self._ids_in_new_era = era, set()
        self._next_offset = 0

    def _skip_expired(self, oldest_offset: int) -> None:
        log("WARNING", "claims_expired", wanted=self._next_offset, first=oldest_offset)
        self._next_offset = oldest_offset

    def _apply_page(self, page: Page) -> None:
        for offset, data in enumerate(page.records, page.start_offset):
            position = log_position(self._log_era, offset)
            self.state_machine.apply(position, data, self._wall())
            if self._ids_in_new_era is not None and (record := decode_claim_record(data)):
                self._ids_in_new_era.add(record.id)
        self._next_offset = page.start_offset + len(page.records)
        if page.records:
            self._notify_waiters()
        if self._ids_in_new_era is not None and self._next_offset >= page.end_offset:
            self._run_in_background(self._restore_lost_records(self._ids_in_new_era))
            self._ids_in_new_era = None

    async def _restore_lost_records(self, known_ids: set[str]) -> None:
        """Appends what the log lacks again: records of this VM at once, those of others later."""
        missing = list(self.state_machine.records_missing_from(known_ids))
        own = [r for r in missing if isinstance(r, Claim) and r.vm == self._own_key]
        log("INFO", "claims_restored", missing=len(missing), own=len(own))
        await asyncio.sleep(0 if own else random.uniform(0, RESTORE_SPREAD_S))
        for record in missing:
            await self._append_with_retries(encode_claim_record(record))

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
                self.state_machine,
                claim_request,
                pending,
                self._wall(),
                timed_out,
                self._may_win_claims(),
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

    def _may_win_claims(self) -> bool:
        """Returns whether the log certainly holds all claims that were ever won.

        After the store came back from a copy, other VMs need time to append again what it lacks.
        """
        return self._ids_in_new_era is None and self._store_era.is_rewritten(self._now())

    async def _append_claim(self, claim: Claim, deadline: float) -> PendingClaim | None:
        """Appends a claim; returns None if it certainly did not reach the store."""
        append = asyncio.ensure_future(self._appender.append(encode_claim_record(claim)))
        done, _ = await asyncio.wait({append}, timeout=max(0.0, deadline - self._now()))
        if not done:
            return PendingClaim(claim)
        match append.result():
            case Appended(offset, era):
                return PendingClaim(claim, log_position(era, offset))
            case DidNotRun():
                await asyncio.sleep(APPEND_RETRY_DELAY_S)
                return None
        return PendingClaim(claim)

    async def _wait_for_change(self, changed: asyncio.Event, deadline: float) -> None:
        until = deadline if self._may_win_claims() else min(deadline, self._now() + WIN_POLL_S)
        try:
            async with asyncio.timeout(max(0.0, until - self._now())):
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
        self._run_in_background(self._append_with_retries(record))

    def _run_in_background(self, append: Coroutine) -> None:
        task = asyncio.create_task(append)
        self._unfinished_appends.add(task)
        task.add_done_callback(self._unfinished_appends.discard)

    async def _append_with_retries(self, record: bytes) -> None:
        """Retries until the append succeeds. Duplicates are harmless: the first record counts."""
        while not isinstance(await self._appender.append(record), Appended):
            await asyncio.sleep(APPEND_RETRY_DELAY_S)

    def unfinished_appends(self) -> int:
        """Returns how many outcomes and withdrawals are not stored yet."""
        return len(self._unfinished_appends)
