"""What work costs in a zone, as the broker of the zone expects it."""

from dataclasses import dataclass, replace

from bluebellpitch.decisions.engine_placement import RUNNING_REQUEST_COST_S
from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.generation_decisions import start_deadline
from bluebellpitch.decisions.loads import WorkItem


@dataclass(frozen=True, slots=True)
class ZoneOutlook:
    """Costs in seconds of waiting, of prompts of which nothing is cached.

    A long prompt costs a fixed part plus a part per token, a short one ``short_s``.
    ``queue_s_per_token`` is the time that all engines of the zone together need per token.
    All but this are infinite while no engine of the zone can take work.
    """

    long_fixed_s: float
    long_s_per_token: float
    short_s: float
    queue_s_per_token: float

    def long_s(self, tokens: int) -> float:
        """Returns the cost of a long prompt of which so many tokens are read."""
        return self.long_fixed_s + tokens * self.long_s_per_token

    def with_prompt(self, tokens: int) -> "ZoneOutlook":
        """Returns the costs after one more prompt of which so many tokens are read."""
        return replace(
            self,
            long_fixed_s=self.long_fixed_s + tokens * self.queue_s_per_token,
            short_s=self.short_s + RUNNING_REQUEST_COST_S,
        )


UNKNOWN_OUTLOOK = ZoneOutlook(float("inf"), 0.0, float("inf"), 0.0)


@dataclass(frozen=True, slots=True)
class HomeOutlook:
    """What one piece of work costs in the zone of its caller, in seconds of waiting.

    ``unshared_tokens`` of its prompt are read wherever it runs. ``cache_miss_s`` is the cost of
    reading the others too, beside the caller's own wait.
    """

    cost_s: float
    has_engine: bool
    is_refused: bool
    is_short: bool
    unshared_tokens: int
    cache_miss_s: float

    def leaving_reason(self) -> str:
        """Returns why work leaves, if it does: ``no_engine``, ``refused`` or ``costs_less``."""
        if not self.has_engine:
            return "no_engine"
        return "refused" if self.is_refused else "costs_less"


def describe_home(
    broker: GenerationBroker, work: WorkItem, avoid: frozenset[str], now: float
) -> HomeOutlook:
    """Returns what work costs here."""
    placement = broker.placement
    is_short = placement.is_short_prompt(work)
    start_at = now + broker.expected_wait_s(work, avoid, now)
    return HomeOutlook(
        cost_s=(
            placement.short_prompt_cost_s(now)
            if is_short
            else broker.long_prompt_cost_s(work, avoid, now)
        ),
        has_engine=placement.has_usable_engine(now),
        is_refused=start_at > start_deadline(work),
        is_short=is_short,
        unshared_tokens=placement.unshared_tokens(work),
        cache_miss_s=0.0 if is_short else placement.cache_miss_cost_s(work),
    )


def describe_zone(broker: GenerationBroker, now: float) -> ZoneOutlook:
    """Returns what work with no cached parts costs here."""
    long_prompt = broker.estimate_long_prompt_cost(now)
    return ZoneOutlook(
        long_prompt.fixed_s,
        long_prompt.s_per_token,
        broker.placement.short_prompt_cost_s(now),
        broker.pool_s_per_token(now),
    )
