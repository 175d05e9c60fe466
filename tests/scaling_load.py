"""Replays loads at an OrderPlanner in virtual time, on a platform whose endpoints boot."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count

from bluebellpitch.decisions.catalogue import ScalingConfig
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.scaling.demand import DemandSample
from bluebellpitch.decisions.scaling.orders import EndpointOrder, OrderPlanner
from bluebellpitch.decisions.scaling.supply import EndpointGroup, Unavailable

TICK_S = 0.5
MAX_ORDERS = 1_000
BOOT_S = 4.0
NOTICE_S = 2.5
DRAIN_S = 4.0
SLOTS = 16
REGIONS_BY_ZONE = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
CONFIG = ScalingConfig(1, 20, BOOT_S, 0.2, dict.fromkeys(REGIONS_BY_ZONE, 1.0))


@dataclass
class Platform:
    """Endpoints of one pool. ``no_spot_until`` and ``crash_until`` are times by zone."""

    entries_by_id: dict[str, EndpointEntry] = field(default_factory=dict)
    desired: dict[EndpointGroup, int] = field(default_factory=dict)
    no_spot_until: dict[str, float] = field(default_factory=dict)
    crash_until: dict[str, float] = field(default_factory=dict)
    dry_until: float = 0.0
    _boots: list[tuple[float, EndpointGroup]] = field(default_factory=list)
    _leaves: list[tuple[float, str]] = field(default_factory=list)
    _numbers: count = field(default_factory=count)

    def add(self, group: EndpointGroup, number: int = 1) -> None:
        """Adds endpoints that serve at once."""
        for _ in range(number):
            id = f"i-{next(self._numbers)}"
            entry = EndpointEntry(id, "p", "10.0.0.1:80", group.zone, SLOTS, False, 1, 1)
            self.entries_by_id[id] = replace(entry, is_spot=group.is_spot)

    def ready(self, group: EndpointGroup) -> list[EndpointEntry]:
        entries = self.entries_by_id.values()
        return [
            e for e in entries if EndpointGroup(e.zone, e.is_spot) == group and not e.is_draining
        ]

    def is_available(self, group: EndpointGroup, now: float) -> bool:
        if now < self.dry_until:
            return False
        return not group.is_spot or now >= self.no_spot_until.get(group.zone, 0.0)

    def order(self, group: EndpointGroup, number: int, now: float) -> bool:
        booting = sum(other == group for _, other in self._boots)
        missing = number - len(self.ready(group)) - booting
        if missing > 0 and not self.is_available(group, now):
            return False
        self.desired[group] = number
        self._boots += [(now + BOOT_S, group)] * max(0, missing)
        for boot in [boot for boot in self._boots if boot[1] == group][: max(0, -missing)]:
            self._boots.remove(boot)
        for entry in self.ready(group)[number:]:
            self._drain(entry, now + DRAIN_S)
        return True

    def _drain(self, entry: EndpointEntry, leaves_at: float) -> None:
        self.entries_by_id[entry.id] = replace(entry, is_draining=True)
        self._leaves.append((leaves_at, entry.id))

    def reclaim(self, zone: str, for_s: float, now: float, is_dry: bool = False) -> None:
        """Takes all spot endpoints of a zone away."""
        self.no_spot_until[zone] = now + for_s
        self.dry_until = now + for_s if is_dry else self.dry_until
        self._boots = [boot for boot in self._boots if boot[1] != EndpointGroup(zone, True)]
        for entry in self.ready(EndpointGroup(zone, True)):
            self._drain(entry, now + NOTICE_S)

    def advance(self, now: float) -> None:
        due = [group for at, group in self._boots if at <= now]
        self._boots = [boot for boot in self._boots if boot[0] > now]
        for group in due:
            if now >= self.crash_until.get(group.zone, 0.0):
                self.add(group)
        for at, id in self._leaves:
            if at <= now:
                self.entries_by_id.pop(id, None)


@dataclass
class Replay:
    """``places(zone, now)`` is how many places callers need; one stays in use for a second."""

    places: Callable[[str, float], float]
    config: ScalingConfig = CONFIG
    platform: Platform = field(default_factory=Platform)
    silent: set[str] = field(default_factory=set)
    planner: OrderPlanner = None
    now: float = 0.0
    orders: list[tuple[float, EndpointOrder]] = field(default_factory=list)
    unavailable: list[Unavailable] = field(default_factory=list)
    missing_s: float = 0.0
    price: float = 0.0

    def __post_init__(self):
        self.restart()

    def start_with(self, on_demand: int, spot: int = 0) -> "Replay":
        for zone in REGIONS_BY_ZONE:
            self.platform.add(EndpointGroup(zone, False), on_demand)
            self.platform.add(EndpointGroup(zone, True), spot)
        return self

    def restart(self, knows_orders: bool = False) -> None:
        """Another VM takes the duty: all that the planner knew is lost, its orders maybe not."""
        placed = self.planner.supply.placed_orders() if knows_orders else {}
        self.planner = OrderPlanner("p", self.config, SLOTS, REGIONS_BY_ZONE, self.now, placed)

    def run(self, until: float) -> "Replay":
        while self.now < until:
            self._tick()
        return self

    def _tick(self) -> None:
        now = self.now = self.now + TICK_S
        self.platform.advance(now)
        serving = list(self.platform.entries_by_id.values())
        for region in set(REGIONS_BY_ZONE.values()):
            zones = [z for z, r in REGIONS_BY_ZONE.items() if r == region]
            places = sum(self.places(zone, now) for zone in zones)
            engines = sum(entry.zone in zones for entry in serving)
            self.missing_s += max(0.0, places / SLOTS - engines) * TICK_S
        self.price += sum(0.2 if entry.is_spot else 1.0 for entry in serving) * TICK_S
        for zone in REGIONS_BY_ZONE.keys() - self.silent:
            self.planner.observe_demand(zone, self._sample(zone), now)
        self.unavailable += self.planner.observe_entries(serving, now)
        while (order := self.planner.next_order(now)) is not None:
            self.orders.append((now, order))
            assert len(self.orders) < MAX_ORDERS
            if self.platform.order(order.group, order.count, now):
                self.planner.record_accepted(order, now)
            else:
                self.unavailable.append(self.planner.record_rejected(order, now))

    def _sample(self, zone: str) -> DemandSample:
        places = self.places(zone, self.now)
        slots = SLOTS * sum(e.zone == zone for e in self.platform.entries_by_id.values())
        return DemandSample(100.0 * places, places, 1e6, 0.0, round(places), slots, 0, 0.0)

    def count(self, zone: str, is_spot: bool) -> int:
        return len(self.platform.ready(EndpointGroup(zone, is_spot)))

    def total(self, zone: str) -> int:
        return self.count(zone, False) + self.count(zone, True)
