"""Which capacity types of endpoints cover what the zones need, at what they cost.

Spot endpoints come first, since they are cheap. All those of a zone may be reclaimed at once, so
the zones must get by without those of any one of them, and each zone keeps a few on demand.
What a zone cannot get now is ordered in the zones of its region, then in the others.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bluebellpitch.decisions.catalogue import ScalingConfig
from bluebellpitch.decisions.scaling.levels import TIGHT_SHARE, ZoneNeed
from bluebellpitch.decisions.scaling.supply import EndpointGroup, PoolSupply

# Part of what a zone has that is on demand, so that a reclaimed zone still serves.
ON_DEMAND_SHARE = 0.1
# Part of what the crests of waves need that is enough for a while after a zone was reclaimed.
LOSS_SHARE = 0.8
# Spot endpoints at a higher part of the price are not worth their risk.
MAX_SPOT_PRICE = 0.8
# At a lower part of the price, endpoints in a second zone cost less than one on demand.
DOUBLED_SPOT_PRICE = 0.45


@dataclass(frozen=True, slots=True)
class ZoneTarget:
    """How many endpoints of each capacity type a zone should have in the end, and why."""

    on_demand: int
    spot: int
    why: str


class TargetPlan:
    """Targets of all zones that were heard from, while they are worked out."""

    def __init__(
        self,
        config: ScalingConfig,
        regions_by_zone: Mapping[str, str],
        needs_by_zone: Mapping[str, ZoneNeed],
        supply: PoolSupply,
        now: float,
    ):
        self._config = config
        self._regions_by_zone = regions_by_zone
        self._needs_by_zone = needs_by_zone
        self._supply = supply
        self._now = now
        self.on_demand: dict[str, int] = {}
        self.spot: dict[str, int] = {}
        self._reasons_by_zone = {zone: [need.why] for zone, need in needs_by_zone.items()}

    def build(self) -> dict[str, ZoneTarget]:
        """Returns the target of each zone."""
        for zone, need in self._needs_by_zone.items():
            self._cover(zone, need)
        unplaced = {zone: self._cut_to_available(zone) for zone in self._needs_by_zone}
        for zone, missing in unplaced.items():
            left = self._place_spot(self._zones_near(zone), missing, f"for_{zone}")
            self._place_must(zone, left)
        for zone in self._needs_by_zone:
            self._survive_loss(zone)
        return {zone: self._target(zone) for zone in self._needs_by_zone}

    def _cover(self, zone: str, need: ZoneNeed) -> None:
        most = self._config.max_count
        want, must = min(most, math.ceil(need.want)), min(most, math.ceil(need.must))
        is_spot_worth = self._config.spot_price <= MAX_SPOT_PRICE
        on_demand = math.ceil(ON_DEMAND_SHARE * want) if is_spot_worth else must
        spot = want - on_demand if is_spot_worth else 0
        if on_demand + spot < self._config.min_count:
            on_demand = max(on_demand, self._config.min_count - spot)
        self.on_demand[zone], self.spot[zone] = on_demand, spot

    def _cut_to_available(self, zone: str) -> int:
        """Returns how many spot endpoints other zones have to provide, until they come here."""
        supply = self._supply.by_group[EndpointGroup(zone, True)]
        missing = max(0, self.spot[zone] - supply.ready)
        if not missing or not supply.is_doubtful:
            return 0
        if supply.is_blocked(self._now):
            self.spot[zone] = min(self.spot[zone], supply.standing)
        self._reasons_by_zone[zone].append("no_spot")
        return missing

    def _zones_near(self, zone: str) -> list[str]:
        region = self._regions_by_zone.get(zone)
        others = (other for other in self._needs_by_zone if other != zone)
        return sorted(
            others,
            key=lambda other: (self._regions_by_zone.get(other) != region, self._price(other)),
        )

    def _price(self, zone: str) -> float:
        return self._config.prices_by_zone.get(zone, 1.0)

    def _room(self, zone: str) -> int:
        return max(0, self._config.max_count - self.on_demand[zone] - self.spot[zone])

    def _place_spot(self, zones: Iterable[str], count: int, why: str) -> int:
        """Adds spot endpoints where they can be had; returns how many found no place."""
        for zone in zones:
            if self._supply.by_group[EndpointGroup(zone, True)].is_blocked(self._now):
                continue
            added = min(count, self._room(zone))
            count -= added
            self.spot[zone] += added
            if added:
                self._reasons_by_zone[zone].append(why)
        return count

    def _place_must(self, zone: str, count: int) -> None:
        """Adds on-demand endpoints for what can't wait, first in the zone itself."""
        region = self._regions_by_zone.get(zone)
        group = [z for z in self._needs_by_zone if self._regions_by_zone.get(z) == region]
        must = sum(self._needs_by_zone[other].must for other in group)
        have = sum(self.on_demand[other] + self.spot[other] for other in group)
        count = min(count, math.ceil(must - have))
        for other in [zone, *self._zones_near(zone)]:
            supply = self._supply.by_group[EndpointGroup(other, False)]
            if count <= 0 or supply.is_blocked(self._now):
                continue
            added = min(count, self._room(other))
            count -= added
            self.on_demand[other] += added
            self._reasons_by_zone[other].append("on_demand_instead")

    def _survive_loss(self, zone: str) -> None:
        """Makes up for the loss of all spot endpoints of a zone."""
        most = self._config.max_count
        needed = LOSS_SHARE * sum(min(most, n.lasting) for n in self._needs_by_zone.values())
        on_demand = sum(map(self._on_demand_in, self._needs_by_zone))
        left = on_demand + sum(self.spot.values()) - self.spot[zone]
        short = min(math.ceil(needed - left), self.spot[zone])
        if short <= 0:
            return
        if self._config.spot_price <= DOUBLED_SPOT_PRICE:
            short = self._place_spot(self._zones_near(zone), short, f"if_{zone}_is_lost")
        self.on_demand[zone] += short
        self.spot[zone] -= short

    def _target(self, zone: str) -> ZoneTarget:
        reasons = ",".join(dict.fromkeys(self._reasons_by_zone[zone]))
        return ZoneTarget(self._on_demand_in(zone), self.spot[zone], reasons)

    def _on_demand_in(self, zone: str) -> int:
        return max(self.on_demand[zone], self._kept_on_demand(zone))

    def _kept_on_demand(self, zone: str) -> int:
        """Returns how many stay until spot endpoints have served for a while in their place.

        A zone that has as many as it may has to make room for these first.
        """
        is_full = self._supply.zone_standing(zone) >= self._config.max_count
        must = math.ceil(self._needs_by_zone[zone].must / (1.0 if is_full else TIGHT_SHARE))
        stable = self._supply.by_group[EndpointGroup(zone, True)].stable
        return min(self._supply.by_group[EndpointGroup(zone, False)].ready, must - stable)


def plan_targets(
    config: ScalingConfig,
    regions_by_zone: Mapping[str, str],
    needs_by_zone: Mapping[str, ZoneNeed],
    supply: PoolSupply,
    now: float,
) -> dict[str, ZoneTarget]:
    """Returns the target of each zone in ``needs_by_zone``; the others keep what they have."""
    return TargetPlan(config, regions_by_zone, needs_by_zone, supply, now).build()
