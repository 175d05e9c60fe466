"""How many engines each zone's callers need, now and by the time that a new one serves.

The load: waves of some ten seconds, and bursts of twice the usual that begin within a second.
The usual level times a quantile of recent rises is needed by the time that an engine ordered now
serves. The quantile is that of a newsvendor: an engine is added while the price of one that stays
idle is less than what callers lose, on average, for want of it.
"""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from bluebellpitch.decisions.scaling.demand import DemandSample

# Shares of an engine's time in prefill, and of its slots in use, that keep answers quick.
PREFILL_TARGET = 0.5
SLOTS_TARGET = 0.6
# Part of the engines at those targets that can do the same work for a while.
TIGHT_SHARE = 0.7
# Waiting prompts should be read within this time.
CATCH_UP_S = 1.0
# What callers lose by a second of a missing engine, in prices of a second of an on-demand engine.
SHORTAGE_PRICE = 12.0
# How long the level of a peak is kept: cheap engines longer than expensive ones.
SPOT_HOLD_S = 30.0
ON_DEMAND_HOLD_S = 8.0
# The need at the crest of a wave of demand is remembered for longer than until the next crest.
WAVE_S = 15.0
USUAL_LEVEL_S = 8.0
PROFILE_S = 3.0
MIN_UNCACHED_SHARE = 0.1
DEFAULT_HOLDING_S = 1.0
MAX_HOLDING_S = 10.0
# A smaller usual level says nothing about rises.
MIN_RISE_LEVEL = 0.5
MAX_RISES = 1_000
# What is usual is not known before demand was seen for so long.
MIN_USUAL_S = 4.0
# Rises assumed before any is seen, each as often as this many samples.
PRIOR_RISES = (1.0, 1.0, 1.0, 1.0, 1.1, 1.1, 1.2, 1.2, 1.3, 1.3, 1.4, 1.5, 1.6, 1.8, 2.1, 2.5)
PRIOR_SAMPLES = 25


@dataclass(frozen=True, slots=True)
class ZoneNeed:
    """Engines that a zone's callers need: ``now``, ``must`` have at any price, ``want`` if cheap.

    ``lasting`` is what they need at the crest of a wave, so it stays the same while waves do.
    ``why`` names what decides: the level by ``prefill`` or ``slots``, and the reserve for a
    ``rise`` or a recent ``peak``, as in ``prefill_rise``.
    """

    now: float
    lasting: float
    must: float
    want: float
    why: str


@dataclass(slots=True)
class LoadProfile:
    """What a request of the pool needs, in all zones together.

    ``uncached_share`` is the part of prompts that engines have to read, the rest being cached;
    ``holding_s`` is how long a request keeps its slot.
    """

    uncached_share: float = 1.0
    holding_s: float = DEFAULT_HOLDING_S
    _updated_at: float | None = None

    def update(self, samples: Mapping[str, DemandSample], engine_slots: int, now: float) -> None:
        """Adjusts both to newer samples. While requests wait, the share is not lowered."""
        values = samples.values()
        arrived = sum(sample.tokens_per_s / sample.engine_tokens_per_s for sample in values)
        started_per_s = sum(max(0.0, s.arrivals_per_s - s.refused_per_s) for s in values)
        last_at, self._updated_at = self._updated_at, now
        if last_at is None or arrived <= 0 or started_per_s < 1:
            return
        weight = min(1.0, (now - last_at) / PROFILE_S)
        prefill = sum(sample.busy_share * sample.slots / engine_slots for sample in values)
        share = min(1.0, max(MIN_UNCACHED_SHARE, prefill / arrived))
        if share > self.uncached_share or not any(sample.waiting for sample in values):
            self.uncached_share += weight * (share - self.uncached_share)
        holding_s = min(MAX_HOLDING_S, sum(sample.running for sample in values) / started_per_s)
        self.holding_s += weight * (holding_s - self.holding_s)

    def engines_for_prefill(self, sample: DemandSample) -> float:
        """Returns how many engines the zone needs to read its callers' prompts."""
        tokens_each = sample.tokens_per_s / sample.arrivals_per_s if sample.arrivals_per_s else 0.0
        tokens_per_s = sample.tokens_per_s + sample.waiting * tokens_each / CATCH_UP_S
        prefill = tokens_per_s * self.uncached_share / sample.engine_tokens_per_s
        return prefill / PREFILL_TARGET

    def engines_for_slots(self, sample: DemandSample, engine_slots: int) -> float:
        """Returns how many engines the zone needs to have a slot for each request."""
        slots = sample.arrivals_per_s * self.holding_s + sample.waiting
        return slots / engine_slots / SLOTS_TARGET


class RiseDistribution:
    """How the level compares with what was usual when an engine for it had to be ordered."""

    def __init__(self):
        self._recent: deque[float] = deque()
        self._sorted = sorted(PRIOR_RISES * PRIOR_SAMPLES)

    def record(self, rise: float) -> None:
        """Counts one comparison."""
        self._recent.append(rise)
        insort(self._sorted, rise)
        if len(self._recent) > MAX_RISES:
            del self._sorted[bisect_left(self._sorted, self._recent.popleft())]

    def quantile(self, share: float) -> float:
        """Returns the rise that is not exceeded with this probability."""
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]


def critical_ratio(price: float) -> float:
    """Returns the share of cases in which there should be enough engines of this price."""
    return max(0.0, 1 - price / SHORTAGE_PRICE)


@dataclass(slots=True)
class ZoneLevel:
    """Recent levels of one zone, in engines, oldest first as (time, level, usual level)."""

    _levels: deque[tuple[float, float, float]] = field(default_factory=deque)
    why: str = "none"
    _usual_since: float | None = None

    def keep(self, engines: int, now: float) -> None:
        """Counts existing engines as a peak, so that a new holder does not remove them."""
        # Their usual level of 0 keeps them out of ``crest``.
        self._levels.append((now, float(engines), 0.0))

    def record(self, level: float, now: float, why: str) -> None:
        """Adds the level as of now. What is usual begins as the mean of the first levels."""
        usual = level
        if self._usual_since is None:
            self._usual_since = now if level > 0 else None
        else:
            last_at, _, last_usual = self._levels[-1]
            span_s = min(USUAL_LEVEL_S, now - self._usual_since)
            usual += (last_usual - level) * max(0.0, 1 - (now - last_at) / max(span_s, 0.01))
        self._levels.append((now, level, usual))
        self.why = why
        while self._levels[0][0] < now - SPOT_HOLD_S:
            self._levels.popleft()

    def rise_since(self, lead_s: float) -> float | None:
        """Returns the newest level over the usual one ``lead_s`` ago; None if that is not known."""
        now, level, _ = self._levels[-1]
        if self._usual_since is None or now - lead_s < self._usual_since + MIN_USUAL_S:
            return None
        known = (usual for at, _, usual in reversed(self._levels) if at <= now - lead_s)
        usual = next(known, 0.0)
        return level / usual if usual >= MIN_RISE_LEVEL else None

    def peak(self, hold_s: float) -> float:
        """Returns the highest level within the hold time."""
        now = self._levels[-1][0]
        return max(level for at, level, _ in self._levels if at >= now - hold_s)

    def crest(self) -> float:
        """Returns the highest level that callers needed within ``WAVE_S``, kept engines aside."""
        now = self._levels[-1][0]
        return max(
            (v for at, v, usual in self._levels if usual and at >= now - WAVE_S), default=0.0
        )

    def need(self, on_demand_rise: float, spot_rise: float) -> ZoneNeed:
        """Returns what the zone needs, given the rises that each capacity type is to cover."""
        _, level, usual = self._levels[-1]
        rise, peak = usual * spot_rise, self.peak(SPOT_HOLD_S)
        must = TIGHT_SHARE * max(usual * on_demand_rise, self.peak(ON_DEMAND_HOLD_S))
        want = max(must, rise, peak)
        why = "peak" if peak >= rise else "rise"
        return ZoneNeed(level, self.crest(), must, want, f"{self.why}_{why}")
