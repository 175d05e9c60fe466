"""The budget of repeated sends that all VMs share, as this VM's part of it.

Each VM spends a share of its own requests and its part of the fixed burst, over a sliding window.
"""

from collections import deque
from dataclasses import dataclass, field

# Part of the whole budget that is spent at most; the rest covers VMs that are not known yet.
USABLE_BUDGET_SHARE = 0.7


@dataclass(slots=True)
class RetryBudget:
    """Requests and repeats by pool, as times within the window."""

    ratio: float
    burst: float
    window_s: float
    _requests_by_pool: dict[str, deque[float]] = field(default_factory=dict)
    _retries_by_pool: dict[str, deque[float]] = field(default_factory=dict)

    def record_request(self, pool: str, now: float) -> None:
        """Notes a caller's request for a pool."""
        self._requests_by_pool.setdefault(pool, deque()).append(now)

    def remaining(self, pool: str, vms: int, now: float) -> float:
        """Returns how many repeats this VM may send now."""
        requests = self._count_recent(self._requests_by_pool, pool, now)
        repeats = self._count_recent(self._retries_by_pool, pool, now)
        allowed = USABLE_BUDGET_SHARE * (self.ratio * requests + self.burst / max(1, vms))
        return allowed - repeats

    def spend(self, pool: str, vms: int, now: float) -> bool:
        """Takes one repeat out; returns False when none is left."""
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
