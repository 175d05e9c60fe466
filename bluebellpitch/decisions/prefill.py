"""How fast engines read prompts, and how closely prompts may follow each other at one engine.

While an engine reads a prompt, the tokens of all streams that run there wait. Reading is paced so
that within the time of the smallest gap target some of it is left for them.
"""

from collections import deque
from dataclasses import dataclass, field

# Part of a gap target during which an engine may read, at first and within bounds.
DEFAULT_PREFILL_SHARE = 0.65
MIN_PREFILL_SHARE = 0.4
# At this share an engine reads without a pause.
MAX_PREFILL_SHARE = 1.0
# So many streams may have a gap beyond their target before less is read.
TOLERATED_LATE_SHARE = 0.1
SHARE_STEP = 0.012
# What is assumed before anything was measured: (tokens, seconds).
PRIOR_SAMPLES = ((0.0, 0.06), (10_000.0, 0.26))
PRIOR_WEIGHT = 2.0
SAMPLE_DECAY = 0.97
MAX_S_PER_TOKEN = 1 / 5_000
MIN_S_PER_TOKEN = 1 / 1_000_000


class PrefillSpeed:
    """Least squares over the latest first tokens: a fixed part, and a time for each token."""

    def __init__(self):
        self._n = self._x = self._y = self._xx = self._xy = 0.0
        for tokens, seconds in PRIOR_SAMPLES:
            self._add(tokens, seconds, PRIOR_WEIGHT)

    def _add(self, tokens: float, seconds: float, weight: float) -> None:
        self._n += weight
        self._x += weight * tokens
        self._y += weight * seconds
        self._xx += weight * tokens * tokens
        self._xy += weight * tokens * seconds

    def add_sample(self, tokens: float, seconds: float) -> None:
        """Takes one measured time to the first token, of a prompt that was read alone."""
        for name in ("_n", "_x", "_y", "_xx", "_xy"):
            setattr(self, name, getattr(self, name) * SAMPLE_DECAY)
        self._add(tokens, seconds, 1.0)

    @property
    def s_per_token(self) -> float:
        """Seconds for each token read."""
        spread = self._n * self._xx - self._x * self._x
        slope = (self._n * self._xy - self._x * self._y) / spread if spread > 0 else 0.0
        return min(MAX_S_PER_TOKEN, max(MIN_S_PER_TOKEN, slope))

    @property
    def fixed_s(self) -> float:
        """Seconds until the first token of a prompt of no length."""
        return max(0.0, (self._y - self.s_per_token * self._x) / self._n)


@dataclass(slots=True)
class PrefillShare:
    """The part of a gap target that may go into reading, from what streams went through.

    It settles where the tolerated part of the streams has a gap beyond its target.
    """

    value: float = DEFAULT_PREFILL_SHARE

    def record_stream(self, late: bool) -> None:
        """Notes whether a stream had a gap beyond its target beside reading."""
        step = (
            -SHARE_STEP * (1 - TOLERATED_LATE_SHARE) if late else SHARE_STEP * TOLERATED_LATE_SHARE
        )
        self.value = min(MAX_PREFILL_SHARE, max(MIN_PREFILL_SHARE, self.value + step))


@dataclass(slots=True)
class PrefillSchedule:
    """Planned spans of reading at one engine, oldest first, as (start, end)."""

    spans: deque[tuple[float, float]] = field(default_factory=deque)

    def free_at(self, now: float) -> float:
        """Returns when the engine has read all that was sent to it."""
        return max(now, self.spans[-1][1]) if self.spans else now

    def append(self, seconds: float, now: float) -> None:
        """Plans one more prompt."""
        start = self.free_at(now)
        self.spans.append((start, start + seconds))

    def truncate(self, now: float) -> None:
        """Notes that all has been read by now."""
        while self.spans and self.spans[-1][0] >= now:
            self.spans.pop()
        if self.spans and self.spans[-1][1] > now:
            self.spans[-1] = (self.spans[-1][0], now)

    def start_wait_s(self, seconds: float, gap_s: float, share: float, now: float) -> float:
        """Returns how long a prompt has to wait so that every gap leaves time for tokens."""
        self._prune(now - gap_s)
        allowed = share * gap_s
        length = min(seconds, allowed)
        start = self.free_at(now)
        for _ in range(len(self.spans) + 1):
            busy = self._busy_s(start + length - gap_s, start)
            excess = busy + length - allowed
            if excess <= 1e-6:
                break
            start += max(excess, 0.002)
        return max(0.0, start - now)

    def _busy_s(self, begin: float, end: float) -> float:
        return sum(max(0.0, min(end, last) - max(begin, first)) for first, last in self.spans)

    def _prune(self, before: float) -> None:
        while self.spans and self.spans[0][1] < before:
            self.spans.popleft()
