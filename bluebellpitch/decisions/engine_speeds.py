"""How fast each engine of a pool reads prompts, from the first tokens that callers saw.

Load pattern: engines of one pool that differ in speed, and some that turn slow for a while or for
good, whether or not their responses say so.
"""

from dataclasses import dataclass
from statistics import median_low

# Reading that counts as done at the usual speed before anything is known of an engine.
PRIOR_READING_S = 0.05
# So much measured reading halves the weight of what was measured before.
READING_HALF_LIFE_S = 0.4
# What is known of an engine loses half of its weight in this time, so a slow one is tried again.
SPEED_HALF_LIFE_S = 3.0
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 20.0


@dataclass(slots=True)
class ReadingSpeed:
    """How slowly one engine reads: 1.0 is the speed of its pool, 2.0 half of that.

    It is the ratio of two sums over its prompts, of the time that reading took and of the time that
    was expected by the pool's speed and the slowdown that the response named. The sums lose weight
    with further reading and with time.
    """

    sample_count: int = 0
    sampled_at: float = float("-inf")
    _measured_s: float = 0.0
    _expected_s: float = 0.0
    _read_until: float = float("-inf")

    def record_first_token(
        self, expected_s: float, since_sent_s: float, fixed_s: float, now: float
    ) -> None:
        """Records the end of reading a prompt for which ``expected_s`` were expected.

        Reading began ``fixed_s`` after the prompt was sent, or at the end of the prompt before it.
        """
        began_at = max(self._read_until, now - since_sent_s + fixed_s)
        self._read_until = max(self._read_until, now)
        measured_s = max(0.0, now - began_at)
        weight = self._age_weight(now) * 0.5 ** (measured_s / READING_HALF_LIFE_S)
        self._measured_s = self._measured_s * weight + measured_s
        self._expected_s = self._expected_s * weight + expected_s
        self.sample_count += 1
        self.sampled_at = max(self.sampled_at, now)

    def correct_expected(self, factor: float) -> None:
        """Corrects the time that was expected, as the pool's speed is known better now.

        Else engines that were last sampled while it was not known would count as slow for good.
        """
        self._expected_s *= factor

    def _age_weight(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self.sampled_at) / SPEED_HALF_LIFE_S)

    def measured_slowdown(self) -> float:
        """Returns the slowdown beside the named one, 1.0 before anything is known."""
        return self._measured_s / self._expected_s if self._expected_s else 1.0

    def slowdown(self, usual: float, named: float, now: float) -> float:
        """Returns the slowdown to expect, with the usual one of the pool's engines as the unit.

        ``named`` is what responses say of it now.
        """
        weight = self._age_weight(now)
        measured_s = PRIOR_READING_S + weight * self._measured_s / usual
        slowdown = measured_s / (PRIOR_READING_S + weight * self._expected_s) * named
        return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


def usual_slowdown(speeds: list[ReadingSpeed]) -> float:
    """Returns the slowdown of a pool's engine in the middle, which all are compared with."""
    slowdowns = (speed.measured_slowdown() for speed in speeds)
    return max(MIN_SLOWDOWN, median_low(slowdowns)) if speeds else 1.0
