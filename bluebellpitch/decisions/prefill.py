"""Prefill speed of the engines of a pool, and pacing of the prefills of one engine.

While an engine prefills a prompt, none of its streams gets an event. Prefill is paced so that all
that one event waits for stays within a share of the smallest gap target, and the next prompt starts
once each stream had time for an event.

Load pattern: a crest of long prompts at engines of which some read more slowly than expected for a
while. Prompts that are sent by the clock alone then pile up at these, where the gaps of all streams
grow, while a lower share makes the other engines idle.
"""

from collections import deque
from dataclasses import dataclass, field

# Initial value and lower bound of the share of a gap target that prefill may take.
DEFAULT_PREFILL_SHARE = 0.65
MIN_PREFILL_SHARE = 0.4
# At this share prefill is not paced.
MAX_PREFILL_SHARE = 1.0
# Shortest time for an event of each stream that is left between two runs of prefill.
MIN_EVENT_S = 0.02
# Share of the streams that may exceed their gap target before prefill is reduced.
TOLERATED_LATE_SHARE = 0.1
SHARE_STEP = 0.012
# Sums of times are compared with this tolerance.
ROUNDING_S = 1e-6
# Samples assumed before any measurement: (tokens, seconds).
PRIOR_SAMPLES = ((0.0, 0.06), (10_000.0, 0.26))
PRIOR_WEIGHT = 2.0
SAMPLE_DECAY = 0.97
MAX_S_PER_TOKEN = 1 / 5_000
MIN_S_PER_TOKEN = 1 / 1_000_000


class PrefillSpeed:
    """Least-squares fit of the time to first token: a fixed part plus a time per prompt token.

    The weights of older samples decay exponentially. ``s_per_token`` is the prefill time per token.
    """

    def __init__(self):
        # Weighted sums over samples (x tokens, y seconds): of 1, x, y, x * x and x * y.
        self._n = self._x = self._y = self._xx = self._xy = 0.0
        for tokens, seconds in PRIOR_SAMPLES:
            self._add(tokens, seconds, PRIOR_WEIGHT)
        self.s_per_token = self._fit()

    def _add(self, tokens: float, seconds: float, weight: float) -> None:
        self._n += weight
        self._x += weight * tokens
        self._y += weight * seconds
        self._xx += weight * tokens * tokens
        self._xy += weight * tokens * seconds

    def add_sample(self, tokens: float, seconds: float) -> None:
        """Adds the time to first token of a prompt whose prefill no other one overlapped."""
        for name in ("_n", "_x", "_y", "_xx", "_xy"):
            setattr(self, name, getattr(self, name) * SAMPLE_DECAY)
        self._add(tokens, seconds, 1.0)
        self.s_per_token = self._fit()

    def _fit(self) -> float:
        denominator = self._n * self._xx - self._x * self._x
        slope = (self._n * self._xy - self._x * self._y) / denominator if denominator > 0 else 0.0
        return min(MAX_S_PER_TOKEN, max(MIN_S_PER_TOKEN, slope))

    @property
    def fixed_s(self) -> float:
        """Time to first token of an empty prompt."""
        return max(0.0, (self._y - self.s_per_token * self._x) / self._n)


@dataclass(slots=True)
class PrefillShare:
    """The share of a gap target that prefill may take, adapted to the gaps of finished streams.

    It converges to the value at which the tolerated share of the streams exceeds its gap target.
    """

    value: float = DEFAULT_PREFILL_SHARE

    def record_stream(self, is_late: bool) -> None:
        """Records whether a stream exceeded its gap target while its engine did prefill."""
        step = (
            -SHARE_STEP * (1 - TOLERATED_LATE_SHARE)
            if is_late
            else SHARE_STEP * TOLERATED_LATE_SHARE
        )
        self.value = min(MAX_PREFILL_SHARE, max(MIN_PREFILL_SHARE, self.value + step))


@dataclass(slots=True)
class PrefillSchedule:
    """Scheduled prefill spans of one engine, oldest first, as (start, end)."""

    spans: deque[tuple[float, float]] = field(default_factory=deque)

    def free_at(self, now: float) -> float:
        """Returns when the scheduled prefill ends."""
        return max(now, self.spans[-1][1]) if self.spans else now

    def append(self, seconds: float, now: float) -> None:
        """Schedules one more prompt after the others."""
        start = self.free_at(now)
        self.spans.append((start, start + seconds))

    def end_at(self, end: float) -> None:
        """Ends the schedule at a time in the past, when the engine finished the last prompt.

        The prompt took longer than scheduled, or all of them finished early.
        """
        while self.spans and self.spans[-1][0] >= end:
            self.spans.pop()
        if self.spans:
            self.spans[-1] = (self.spans[-1][0], end)

    def start_wait_s(
        self,
        seconds: float,
        gap_target_s: float,
        share: float,
        now: float,
        event_s: float = MIN_EVENT_S,
    ) -> float:
        """Returns how long a prompt must wait so that prefill keeps to its share of each gap.

        The engine needs ``event_s`` for an event of each stream, prefill apart.
        """
        self._prune(now - gap_target_s)
        allowed_s = share * gap_target_s
        free_at = self.free_at(now)
        room_s = allowed_s - min(seconds, allowed_s) + ROUNDING_S
        return max(free_at, self._earliest_start(room_s, event_s)) - now

    def _earliest_start(self, room_s: float, event_s: float) -> float:
        """Returns from when on no event waits for more than ``room_s`` of the scheduled prefill.

        An event comes once the engine was idle for ``event_s`` in all, counted back from the start.
        """
        run_s = idle_s = 0.0
        next_start = last_end = self.spans[-1][1] if self.spans else 0.0
        for span_start, span_end in reversed(self.spans):
            idle_s += max(0.0, next_start - span_end)
            run_s += span_end - span_start
            if run_s > room_s:
                return last_end + max(0.0, event_s - idle_s)
            next_start = span_start
        return float("-inf")

    def _prune(self, before: float) -> None:
        while self.spans and self.spans[0][1] < before:
            self.spans.popleft()
