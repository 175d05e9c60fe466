"""Which orders for endpoints of one pool are due.

Orders go up at once, and down one step after the other. A zone that is silent keeps what it has,
and nothing goes down before all zones were heard.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from bluebellpitch.decisions.catalogue import ScalingConfig
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.scaling.demand import DemandSample
from bluebellpitch.decisions.scaling.levels import (
    LoadProfile,
    RiseDistribution,
    ZoneLevel,
    ZoneNeed,
    critical_ratio,
)
from bluebellpitch.decisions.scaling.supply import (
    EndpointGroup,
    GroupSupply,
    PlacedOrder,
    PoolSupply,
    Unavailable,
)
from bluebellpitch.decisions.scaling.targets import ZoneTarget, plan_targets

# Demand that is older than this is unknown.
DEMAND_MAX_AGE_S = 2.5
# A new holder waits so long for zones that are silent before it lowers any order.
SILENT_ZONE_WAIT_S = 10.0
# Pause between two steps down of one group, and the part of it that goes in one step.
ON_DEMAND_STEP_S = 1.5
SPOT_STEP_S = 3.0
ON_DEMAND_STEP = 1 / 4
SPOT_STEP = 1 / 8
# A smaller change of what a zone would like, but can do without, is not worth an order.
MIN_CHANGE = 1 / 6


@dataclass(frozen=True, slots=True)
class EndpointOrder:
    """An order of ``count`` endpoints of a group, in place of ``was``."""

    pool: str
    group: EndpointGroup
    count: int
    was: int
    why: str
    need: ZoneNeed


@dataclass(slots=True)
class _HeardDemand:
    sample: DemandSample
    heard_at: float


@dataclass(slots=True)
class OrderPlanner:
    """Plans the orders of one pool, for as long as this VM holds the duty.

    ``placed_by_group`` are the orders of earlier holders, as far as they are known.
    """

    pool: str
    config: ScalingConfig
    engine_slots: int
    regions_by_zone: Mapping[str, str]
    started_at: float
    placed_by_group: Mapping[EndpointGroup, PlacedOrder] = field(default_factory=dict)
    supply: PoolSupply = field(init=False)
    _demand_by_zone: dict[str, _HeardDemand] = field(default_factory=dict)
    _levels_by_zone: dict[str, ZoneLevel] = field(default_factory=dict)
    _profile: LoadProfile = field(default_factory=LoadProfile)
    _rises: RiseDistribution = field(default_factory=RiseDistribution)
    _has_seen_demand: bool = False

    def __post_init__(self):
        self.supply = PoolSupply(tuple(self.regions_by_zone), self.placed_by_group)

    def observe_demand(self, zone: str, sample: DemandSample, now: float) -> None:
        """Records what a zone's broker said."""
        if zone in self.regions_by_zone:
            self._demand_by_zone[zone] = _HeardDemand(sample, now)

    def observe_entries(
        self, entries: Iterable[EndpointEntry], now: float
    ) -> Iterator[Unavailable]:
        """Counts the pool's entries; yields the groups that turn out to be unavailable."""
        yield from self.supply.observe(entries, self.config.boot_s, now)

    def record_accepted(self, order: EndpointOrder, now: float) -> None:
        """Records that the platform took an order."""
        self.supply.by_group[order.group].record_accepted(order.count, now)

    def record_rejected(self, order: EndpointOrder, now: float) -> Unavailable:
        """Records that the platform refused an order; returns what cannot be had for now."""
        supply = self.supply.by_group[order.group]
        backoff_s = supply.backoff_s
        if order.count < order.was:
            supply.record_refused_decrease(now)
        else:
            supply.block(now)
        return Unavailable(order.group, "rejected", max(0, order.count - order.was), backoff_s)

    def next_order(self, now: float) -> EndpointOrder | None:
        """Returns the most urgent order that is due, if any.

        Others that are due may follow from what becomes of it, so they are not returned.
        """
        needs = self._update_needs(now)
        targets = plan_targets(self.config, self.regions_by_zone, needs, self.supply, now)
        orders = [
            order
            for zone, target in targets.items()
            for order in self._zone_orders(zone, target, needs[zone], now)
        ]
        return min(orders, key=self._urgency, default=None)

    def _urgency(self, order: EndpointOrder) -> tuple[bool, float]:
        return order.count < order.was, -self._shortage(order)

    def _shortage(self, order: EndpointOrder) -> float:
        return order.need.must - self.supply.zone_standing(order.group.zone)

    def _fresh_samples(self, now: float) -> dict[str, DemandSample]:
        return {
            zone: heard.sample
            for zone, heard in self._demand_by_zone.items()
            if now - heard.heard_at <= DEMAND_MAX_AGE_S
        }

    def _update_needs(self, now: float) -> dict[str, ZoneNeed]:
        samples = self._fresh_samples(now)
        self._profile.update(samples, self.engine_slots, now)
        self._has_seen_demand |= any(sample.arrivals_per_s >= 1 for sample in samples.values())
        return {zone: self._zone_need(zone, sample, now) for zone, sample in samples.items()}

    def _zone_need(self, zone: str, sample: DemandSample, now: float) -> ZoneNeed:
        prefill = self._profile.engines_for_prefill(sample)
        slots = self._profile.engines_for_slots(sample, self.engine_slots)
        level, why = (slots, "slots") if slots > prefill else (prefill, "prefill")
        is_new = zone not in self._levels_by_zone
        history = self._levels_by_zone.setdefault(zone, ZoneLevel())
        if is_new or not self._has_seen_demand:
            history.keep(self.supply.initial_by_zone.get(zone, 0), now)
        history.record(level, now, why)
        rise = history.rise_since(self.config.boot_s)
        if rise is not None:
            self._rises.record(rise)
        on_demand_price, spot_price = self._prices(zone)
        return history.need(
            self._rises.quantile(critical_ratio(on_demand_price)),
            self._rises.quantile(critical_ratio(spot_price)),
        )

    def _prices(self, zone: str) -> tuple[float, float]:
        """Returns a zone's on-demand and spot price; 1 is the mean of the zones on demand."""
        prices = [self.config.prices_by_zone.get(other, 1.0) for other in self.regions_by_zone]
        mean = sum(prices) / len(prices) or 1.0
        on_demand_price = self.config.prices_by_zone.get(zone, 1.0) / mean
        return on_demand_price, on_demand_price * self.config.spot_price

    def _may_lower(self, now: float) -> bool:
        if self.placed_by_group and now - self.started_at < self.config.boot_s:
            # What earlier holders ordered has not come yet.
            return False
        heard_all = self._demand_by_zone.keys() == self.regions_by_zone.keys()
        return heard_all or now - self.started_at >= SILENT_ZONE_WAIT_S

    def _zone_orders(
        self, zone: str, target: ZoneTarget, need: ZoneNeed, now: float
    ) -> Iterator[EndpointOrder]:
        for group, count in (
            (EndpointGroup(zone, True), target.spot),
            (EndpointGroup(zone, False), target.on_demand),
        ):
            supply = self.supply.by_group[group]
            order = EndpointOrder(self.pool, group, count, supply.ordered, target.why, need)
            if count > supply.standing and not supply.is_blocked(now):
                yield from self._raise(order, supply, now)
            elif count < supply.ordered and self._may_lower(now):
                yield from self._lower(order, supply, now)

    def _raise(
        self, order: EndpointOrder, supply: GroupSupply, now: float
    ) -> Iterator[EndpointOrder]:
        change = order.count - supply.standing
        if change < MIN_CHANGE * supply.standing and self._shortage(order) <= 0:
            return
        other_group = EndpointGroup(order.group.zone, not order.group.is_spot)
        other = self.supply.by_group[other_group]
        count = min(order.count, self.config.max_count - max(other.accepted, other.standing))
        if count > supply.standing:
            yield replace(order, count=count)
            return
        surplus = max(other.standing, self.config.min_count - supply.accepted)
        if other.accepted > surplus and now - other.lowered_at >= ON_DEMAND_STEP_S:
            yield EndpointOrder(
                order.pool, other_group, surplus, other.accepted, "did_not_come", order.need
            )

    def _lower(
        self, order: EndpointOrder, supply: GroupSupply, now: float
    ) -> Iterator[EndpointOrder]:
        is_spot, excess = order.group.is_spot, supply.ordered - order.count
        if is_spot and order.count and excess < MIN_CHANGE * supply.ordered:
            return
        if now - supply.lowered_at < (SPOT_STEP_S if is_spot else ON_DEMAND_STEP_S):
            return
        step = math.ceil(supply.ordered * (SPOT_STEP if is_spot else ON_DEMAND_STEP))
        other = self.supply.by_group[EndpointGroup(order.group.zone, not is_spot)]
        least = self.config.min_count - min(other.accepted, other.ready)
        count = max(order.count, supply.ordered - step, least)
        count = max(0, min(count, self.config.max_count - other.accepted))
        if count < supply.ordered:
            yield replace(order, count=count)
