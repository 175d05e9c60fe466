"""At most once: claims keys in the store before a request that must not repeat is sent."""

import asyncio
from collections.abc import Callable
from uuid import uuid4

from bluebellpitch.constants import CLAIM_WAIT_S, HORIZON_MARGIN_S
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
from bluebellpitch.events import Kind, Ring
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.appender import Appender
from bluebellpitch.platform.store import Appended, Truncated
from bluebellpitch.platform.topic_reader import TopicReader
from bluebellpitch.verdicts import DidNotRun, MayHaveRun
from bluebellpitch.view import ViewHolder

APPEND_RETRY_S = 0.25
EXPIRE_INTERVAL_S = 5.0


ClaimVerdict = ClaimWon | ReplayOutcome | DidNotRun | MayHaveRun


class ClaimRole:
    """Owns the claims fold of this VM."""

    def __init__(
        self,
        holder: ViewHolder,
        tail: TopicReader,
        appender: Appender,
        ring: Ring,
        metrics: Metrics,
        now: Callable[[], float],
        wall: Callable[[], float],
        horizon_s: float,
    ):
        self._holder = holder
        self._tail = tail
        self._appender = appender
        self._ring = ring
        self._metrics = metrics
        self._now = now
        self._wall = wall
        self._horizon_s = horizon_s
        self._own = holder.current.own.identity.key
        self.fold = ClaimsStateMachine(horizon_s)
        self._changed = asyncio.Event()
        self._backlog: set[asyncio.Task] = set()

    async def follow_log(self) -> None:
        """Folds the claims topic for ever."""
        async for page in self._tail.read_pages(lambda: self.fold.offset + 1):
            if isinstance(page, Truncated):
                log(
                    "WARNING",
                    "claims_expired",
                    wanted=self.fold.offset + 1,
                    first=page.oldest_offset,
                )
                self.fold.offset = page.oldest_offset - 1
                continue
            for offset, data in enumerate(page.records, page.start_offset):
                self.fold.apply(offset, data, self._wall())
            if page.records:
                self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire(self) -> None:
        """Forgets old keys, and counts unresolved ones, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self.fold.expire_keys(self._wall())
            self._metrics.unresolved.set(len(self.unresolved()))

    def unresolved(self) -> tuple[Claim, ...]:
        """Returns claims that may have run and whose end nobody knows."""
        return self.fold.unresolved_claims(frozenset(self._holder.current.live_by_key))

    async def claim(self, request: str, wish: ClaimRequest) -> ClaimVerdict:
        """Claims a key for one request."""
        deadline = self._now() + CLAIM_WAIT_S
        attempted: PendingClaim | None = None
        while True:
            changed = self._changed
            expired = self._now() >= deadline
            match next_claim_step(self.fold, wish, attempted, self._wall(), expired):
                case ClaimWon(claim) as won:
                    self._ring.record(Kind.CLAIMED, request, detail=claim.id)
                    return won
                case ReplayOutcome() as replay:
                    return replay
                case GiveUp(verdict):
                    if attempted is not None:
                        self.withdraw(attempted.claim)
                    return verdict
                case AppendClaim():
                    claim = Claim(uuid4().hex, wish.key, wish.body_digest, self._own, wish.made_at)
                    attempted = await self._try_claim(claim, deadline)
                case _:
                    await self._wait(changed, deadline)

    async def _try_claim(self, claim: Claim, deadline: float) -> PendingClaim | None:
        """Appends a claim; None when it is certain that it did not get into the store."""
        append = asyncio.ensure_future(self._appender.append(encode_claim_record(claim)))
        done, _ = await asyncio.wait({append}, timeout=max(0.0, deadline - self._now()))
        if not done:
            return PendingClaim(claim)
        match append.result():
            case Appended(offset):
                return PendingClaim(claim, offset)
            case DidNotRun():
                await asyncio.sleep(APPEND_RETRY_S)
                return None
        return PendingClaim(claim)

    async def _wait(self, changed: asyncio.Event, deadline: float) -> None:
        try:
            async with asyncio.timeout(max(0.0, deadline - self._now())):
                await changed.wait()
        except TimeoutError:
            return

    def withdraw(self, claim: Claim) -> None:
        """Voids a claim of this VM that was never dispatched; goes on until it is in the store."""
        self._ring.record(Kind.WITHDRAWN, detail=claim.id)
        record = Withdrawal(uuid4().hex, claim.key, claim.id, claim.made_at)
        self._keep_appending(encode_claim_record(record))

    def may_dispatch(self, claim: Claim) -> bool:
        """Checks the clock again, right before the first byte leaves."""
        return is_within_horizon(claim.made_at, self._wall(), self._horizon_s, HORIZON_MARGIN_S)

    def record_outcome(self, request: str, outcome: Outcome) -> None:
        """Puts an outcome into the store; goes on until it is there."""
        self._ring.record(Kind.OUTCOME, request, detail=f"{outcome.verdict} {outcome.status}")
        self._keep_appending(encode_claim_record(outcome))

    def _keep_appending(self, record: bytes) -> None:
        task = asyncio.create_task(self._append_until_done(record))
        self._backlog.add(task)
        task.add_done_callback(self._backlog.discard)

    async def _append_until_done(self, record: bytes) -> None:
        """A record that lands twice does no harm: the fold takes the first."""
        while not isinstance(await self._appender.append(record), Appended):
            await asyncio.sleep(APPEND_RETRY_S)

    def backlog(self) -> int:
        """Returns how many outcomes and withdrawals are not in the store yet."""
        return len(self._backlog)
