"""How fast each engine of a pool prefills prompts, measured by first tokens.

Load pattern: engines of one pool that differ in speed, and some that turn slow for a while or for
good, whether or not their responses say so.
"""

from dataclasses import dataclass
from statistics import median_low

# Prefill time that counts as measured at the usual speed before anything is known of an engine.
PRIOR_PREFILL_S = 0.05
# So much measured prefill time halves the weight of earlier samples.
SAMPLE_HALF_LIFE_S = 0.4
# All samples lose half of their weight in this time, so that a slow engine is tried again.
SPEED_HALF_LIFE_S = 3.0
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 20.0


@dataclass(slots=True)
class EngineSpeed:
    """The prefill speed of one engine, as a slowdown: 2.0 is half the speed of its pool.

    It is the ratio of two sums over its prompts: of measured prefill times, and of those expected
    from the pool's speed and the slowdown that the engine's responses named. Older prompts count
    less, by the prefill measured since and by time.
    """

    sample_count: int = 0
    sampled_at: float = float("-inf")
    _measured_s: float = 0.0
    _expected_s: float = 0.0
    _read_until: float = float("-inf")

    def record_first_token(
        self, expected_s: float, since_sent_s: float, fixed_s: float, now: float
    ) -> None:
        """Records the end of a prefill that was expected to take ``expected_s``.

        The prefill began ``fixed_s`` after the prompt was sent, or at the end of the one before it.
        """
        began_at = max(self._read_until, now - since_sent_s + fixed_s)
        self._read_until = max(self._read_until, now)
        measured_s = max(0.0, now - began_at)
        weight = self._age_weight(now) * 0.5 ** (measured_s / SAMPLE_HALF_LIFE_S)
        self._measured_s = self._measured_s * weight + measured_s
        self._expected_s = self._expected_s * weight + expected_s
        self.sample_count += 1
        self.sampled_at = max(self.sampled_at, now)

    def correct_expected(self, factor: float) -> None:
        """Corrects the expected times by ``factor`` after a change of the pool's speed.

        Otherwise engines that were sampled before the change would keep a wrong slowdown.
        """
        self._expected_s *= factor

    def _age_weight(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self.sampled_at) / SPEED_HALF_LIFE_S)

    def measured_slowdown(self) -> float:
        """Returns the slowdown apart from the named one; 1.0 before anything is known."""
        return self._measured_s / self._expected_s if self._expected_s else 1.0

    def slowdown(self, usual: float, named: float, now: float) -> float:
        """Returns the slowdown to expect, with the usual one of the pool's engines as the unit.

        ``named`` is what responses say of it now.
        """
        weight = self._age_weight(now)
        measured_s = PRIOR_PREFILL_S + weight * self._measured_s / usual
        slowdown = measured_s / (PRIOR_PREFILL_S + weight * self._expected_s) * named
        return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


def usual_slowdown(speeds: list[EngineSpeed]) -> float:
    """Returns the median slowdown of a pool's engines, the unit for all of them."""
    slowdowns = (speed.measured_slowdown() for speed in speeds)
    return max(MIN_SLOWDOWN, median_low(slowdowns)) if speeds else 1.0
