"""This VM's part of the retry budget that all VMs share, and what it lends and borrows of it.

Within a sliding window, a VM may retry a ratio of its own requests plus its part of the burst. What
it lends counts as spent until the last moment at which the borrower's retries may be in the window.

Load pattern: the endpoints of one zone fail, and its VMs need many times the retries of others.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from bluebellpitch.constants import MAX_CLOCK_DRIFT_RATIO

# Share of the budget that is used; the rest covers VMs that are not known yet or start again.
USABLE_BUDGET_SHARE = 0.7
# Share of its burst that a VM may use while an earlier process of it may have used the rest.
STARTING_BURST_SHARE = 1 - USABLE_BUDGET_SHARE
# How long borrowed retries may be sent after they were asked for.
LOAN_S = 2.0
# A VM keeps what it needs itself in so much time, and this share of what is left beyond that.
DEMAND_WINDOW_S = 1.0
KEPT_SHARE = 0.5
MAX_LOAN_RETRIES = 50


@dataclass(frozen=True, slots=True)
class SpentRetry:
    """A retry that may be sent until ``expires_at``, by the clock of this VM."""

    pool: str
    expires_at: float = float("inf")


@dataclass(slots=True)
class BorrowedRetries:
    """Retries lent by another VM that are not spent yet."""

    count: int
    expires_at: float


@dataclass(slots=True)
class PoolUse:
    """What this VM recorded of one pool: times of events, and times until which retries count."""

    requests_at: deque[float] = field(default_factory=deque)
    wanted_at: deque[float] = field(default_factory=deque)
    spent_until: deque[float] = field(default_factory=deque)
    lent_until: deque[float] = field(default_factory=deque)
    borrowed: list[BorrowedRetries] = field(default_factory=list)

    def expire(self, window_s: float, now: float) -> None:
        """Forgets what no longer counts."""
        drop_first(self.requests_at, now - window_s)
        drop_first(self.wanted_at, now - DEMAND_WINDOW_S)
        drop_first(self.spent_until, now)
        drop_first(self.lent_until, now)
        self.borrowed = [loan for loan in self.borrowed if loan.count and now < loan.expires_at]


def drop_first(times: deque[float], until: float) -> None:
    """Removes the times up to ``until`` from the front."""
    while times and times[0] <= until:
        times.popleft()


@dataclass(slots=True)
class RetryBudget:
    """The budget by pool. ``ratio``, ``burst`` and ``window_s`` are those of all VMs together.

    ``vms`` in its methods is how many VMs share it. ``started_at`` is when this process started.
    """

    ratio: float
    burst: float
    window_s: float
    started_at: float = float("-inf")
    _use_by_pool: dict[str, PoolUse] = field(default_factory=dict)

    @property
    def _spent_s(self) -> float:
        """How long a retry counts, also where the clock of its VM is fast."""
        return self.window_s * (1 + MAX_CLOCK_DRIFT_RATIO)

    @property
    def _lent_s(self) -> float:
        """How long a lent retry counts: as one that is sent in the last moment of the loan."""
        return (self.window_s + LOAN_S) * (1 + MAX_CLOCK_DRIFT_RATIO) ** 2

    def _use(self, pool: str, now: float) -> PoolUse:
        use = self._use_by_pool.setdefault(pool, PoolUse())
        use.expire(self.window_s, now)
        return use

    def record_request(self, pool: str, now: float) -> None:
        """Records a request of a caller."""
        self._use(pool, now).requests_at.append(now)

    def record_demand(self, pool: str, now: float) -> None:
        """Records that a retry is wanted, whether there is one or not."""
        self._use(pool, now).wanted_at.append(now)

    def remaining(self, pool: str, vms: int, now: float) -> float:
        """Returns how many retries this VM may send now, borrowed ones included."""
        borrowed = sum(loan.count for loan in self._use(pool, now).borrowed)
        return max(0.0, self._own_remaining(pool, vms, now)) + borrowed

    def _own_remaining(self, pool: str, vms: int, now: float) -> float:
        use = self._use(pool, now)
        burst_share = STARTING_BURST_SHARE if self._may_follow_another(now) else USABLE_BUDGET_SHARE
        of_requests = USABLE_BUDGET_SHARE * self.ratio * len(use.requests_at)
        of_burst = burst_share * self.burst / max(1, vms)
        return of_requests + of_burst - len(use.spent_until) - len(use.lent_until)

    def _may_follow_another(self, now: float) -> bool:
        """Returns whether retries of an earlier process of this VM may still count."""
        return now < self.started_at + self._lent_s

    def spend(self, pool: str, vms: int, now: float) -> SpentRetry | None:
        """Uses one retry, a borrowed one first; returns None if none is left."""
        use = self._use(pool, now)
        if use.borrowed:
            loan = use.borrowed[0]
            loan.count -= 1
            return SpentRetry(pool, loan.expires_at)
        if self._own_remaining(pool, vms, now) < 1.0:
            return None
        use.spent_until.append(now + self._spent_s)
        return SpentRetry(pool)

    def shortfall(self, pool: str, vms: int, now: float) -> int:
        """Returns how many retries are missing if as many are wanted again as lately."""
        wanted = len(self._use(pool, now).wanted_at)
        lacking = math.ceil(wanted - self.remaining(pool, vms, now))
        return min(MAX_LOAN_RETRIES, max(0, lacking))

    def borrow(self, pool: str, count: int, expires_at: float, now: float) -> None:
        """Adds retries lent by another VM, to be sent until ``expires_at``."""
        self._use(pool, now).borrowed.append(BorrowedRetries(count, expires_at))

    def lend(self, pool: str, wanted: int, vms: int, now: float) -> int:
        """Lends up to ``wanted`` retries, which count as spent here; returns how many."""
        use = self._use(pool, now)
        spare = self._own_remaining(pool, vms, now) - len(use.wanted_at)
        if self._may_follow_another(now) or spare < 1.0:
            return 0
        count = min(wanted, MAX_LOAN_RETRIES, int(spare), math.ceil(spare * (1 - KEPT_SHARE)))
        use.lent_until.extend([now + self._lent_s] * max(0, count))
        return max(0, count)
