"""The planned end of a VM: which requests it still takes, and when it answers the others."""

from dataclasses import dataclass, field

# Share of the grace period by which all requests have been answered.
GRACE_SHARE = 0.94
# Share by which other open calls, such as those of the store, end; then connections are closed.
LAST_CALLS_SHARE = 0.96
# Messages to peers that are still queued then have this long to leave.
LAST_MESSAGES_S = 0.2
LAST_MESSAGES_SHARE = 0.02
# Time before ``GRACE_SHARE`` in which requests that are still open get their answers.
ANSWER_TIME_S = 0.3
# An estimate falls by this share towards each request that takes less time.
DECAY = 0.05
MAX_ESTIMATES = 4_096


def last_messages_s(grace_s: float) -> float:
    """Returns how long messages to peers may stay queued when the process ends."""
    return min(LAST_MESSAGES_S, grace_s * LAST_MESSAGES_SHARE)


@dataclass(slots=True)
class DurationEstimates:
    """How long requests of one kind take at most, from those that ended, in seconds."""

    _seconds_by_kind: dict[str, float] = field(default_factory=dict)

    def record(self, kind: str, seconds: float) -> None:
        """Records how long a request took."""
        known = self._seconds_by_kind.pop(kind, seconds)
        self._seconds_by_kind[kind] = max(seconds, known + DECAY * (seconds - known))
        if len(self._seconds_by_kind) > MAX_ESTIMATES:
            del self._seconds_by_kind[next(iter(self._seconds_by_kind))]

    def estimate(self, kind: str, limit_s: float) -> float:
        """Returns the estimate, but at most the time limit of the request."""
        return min(limit_s, self._seconds_by_kind.get(kind, limit_s))


@dataclass(slots=True)
class ShutdownSchedule:
    """``ends_at`` is when open requests are answered, None until the shutdown begins.

    ``last_calls_at`` is when calls that are still open are given up.
    """

    ends_at: float | None = None
    last_calls_at: float = float("inf")

    def begin(self, grace_s: float, now: float) -> None:
        """Begins the shutdown of a process that is killed in ``grace_s``."""
        self.ends_at = now + max(0.0, grace_s * GRACE_SHARE - ANSWER_TIME_S)
        self.last_calls_at = now + grace_s * LAST_CALLS_SHARE

    def time_left_s(self, now: float) -> float:
        """Returns the time until open requests are answered; infinity while the VM goes on."""
        return float("inf") if self.ends_at is None else self.ends_at - now

    def has_time_for(self, seconds: float, now: float) -> bool:
        """Returns whether a request that takes so long can be completed."""
        return seconds <= self.time_left_s(now)
