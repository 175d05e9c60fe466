"""This VM's part of the retry budget that all VMs share.

Within a sliding window, a VM may retry a ratio of its own requests plus its part of the burst.
"""

from collections import deque
from dataclasses import dataclass, field

# Share of the budget that is used; the rest covers VMs that are not known yet.
USABLE_BUDGET_SHARE = 0.7


@dataclass(slots=True)
class RetryBudget:
    """Times of the requests and retries within the window, by pool."""

    ratio: float
    burst: float
    window_s: float
    _requests_by_pool: dict[str, deque[float]] = field(default_factory=dict)
    _retries_by_pool: dict[str, deque[float]] = field(default_factory=dict)

    def record_request(self, pool: str, now: float) -> None:
        """Records a request of a caller."""
        self._requests_by_pool.setdefault(pool, deque()).append(now)

    def remaining(self, pool: str, vms: int, now: float) -> float:
        """Returns how many retries this VM may send now."""
        requests = self._count_recent(self._requests_by_pool, pool, now)
        retries = self._count_recent(self._retries_by_pool, pool, now)
        allowed = USABLE_BUDGET_SHARE * (self.ratio * requests + self.burst / max(1, vms))
        return allowed - retries

    def spend(self, pool: str, vms: int, now: float) -> bool:
        """Uses one retry; returns False if none is left."""
        if self.remaining(pool, vms, now) < 1.0:
            return False
        self._retries_by_pool.setdefault(pool, deque()).append(now)
        return True

    def _count_recent(self, by_pool: dict[str, deque[float]], pool: str, now: float) -> int:
        times = by_pool.get(pool)
        if times is None:
            return 0
        while times and now - times[0] >= self.window_s:
            times.popleft()
        return len(times)
