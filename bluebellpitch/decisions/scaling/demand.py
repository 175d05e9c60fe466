"""Demand on the engines of a pool, as the broker of one zone measures it."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from bluebellpitch.decisions.engine_state import EngineState
from bluebellpitch.decisions.generation_broker import GenerationBroker

SMOOTHING_S = 1.0


@dataclass(frozen=True, slots=True)
class DemandSample:
    """What one zone's broker sees. ``busy_share`` is the mean share of time in prefill.

    ``running`` and ``slots`` are slots in use and in all; ``engine_tokens_per_s`` is what one
    engine can prefill. Spillover from another zone counts as running, but not as an arrival.
    """

    tokens_per_s: float
    arrivals_per_s: float
    engine_tokens_per_s: float
    busy_share: float
    running: int
    slots: int
    waiting: int
    refused_per_s: float


@dataclass(slots=True)
class SmoothedRate:
    """Amounts per second, smoothed exponentially over ``SMOOTHING_S``."""

    _per_s: float = 0.0
    _updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Counts an amount that arrived now."""
        self._per_s = self.per_s(now) + amount / SMOOTHING_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Returns the rate as of now."""
        return self._per_s * math.exp(-max(0.0, now - self._updated_at) / SMOOTHING_S)


@dataclass(slots=True)
class DemandMeter:
    """Arrivals and refusals of one pool in one zone."""

    _tokens: SmoothedRate = field(default_factory=SmoothedRate)
    _arrivals: SmoothedRate = field(default_factory=SmoothedRate)
    _refusals: SmoothedRate = field(default_factory=SmoothedRate)

    def record_arrival(self, tokens: int, now: float) -> None:
        """Counts a request with a prompt of so many tokens."""
        self._tokens.add(tokens, now)
        self._arrivals.add(1, now)

    def record_refusal(self, now: float) -> None:
        """Counts a request refused for want of capacity."""
        self._refusals.add(1, now)

    def sample(self, broker: GenerationBroker, now: float) -> DemandSample:
        """Returns the demand as of now at the zone's broker."""
        engines = broker.placement.engines_by_key.values()
        busy = sum(min(1.0, prefill_share(engine, now)) for engine in engines)
        return DemandSample(
            tokens_per_s=self._tokens.per_s(now),
            arrivals_per_s=self._arrivals.per_s(now),
            engine_tokens_per_s=1 / broker.placement.speed.s_per_token,
            busy_share=busy / max(1, len(engines)),
            running=sum(len(engine.assigned_by_id) for engine in engines),
            slots=sum(engine.slots for engine in engines),
            waiting=len(broker.waiting_by_id),
            refused_per_s=self._refusals.per_s(now),
        )


class DemandMeters:
    """The meters of one VM, by pool."""

    def __init__(self):
        self.by_pool: dict[str, DemandMeter] = defaultdict(DemandMeter)


def prefill_share(engine: EngineState, now: float) -> float:
    """Returns the share of its recent time that an engine spent on prefill.

    Its activity is a sum with a half-life, which exceeds the share of a steady load.
    """
    return engine.prefill_activity(now) * math.log(2)
