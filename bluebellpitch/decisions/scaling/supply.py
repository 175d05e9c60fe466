"""Endpoints by zone and capacity type: those that serve, those that boot, and what was ordered."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoints import EndpointEntry

# An endpoint that has served for so long may replace another one.
MIN_READY_S = 2.0
# How long an endpoint may take beyond its boot time.
BOOT_MARGIN_S = 3.0
# Endpoints that nobody here ordered count as ordered after this time.
ADOPT_S = 5.0
# Where none could be had, the next try follows after this time, then twice as long, up to a limit.
FIRST_BACKOFF_S = 3.0
MAX_BACKOFF_S = 24.0


@dataclass(frozen=True, slots=True)
class EndpointGroup:
    """The on-demand or the spot endpoints of one zone."""

    zone: str
    is_spot: bool


@dataclass(frozen=True, slots=True)
class PlacedOrder:
    """How many endpoints of a group there should be, and the last count that the platform took.

    ``is_doubtful``: some did not come, so other zones stand in.
    """

    ordered: int
    accepted: int
    is_doubtful: bool = False


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No endpoints of a group can be had for now; ``missing`` is how many did not come."""

    group: EndpointGroup
    reason: str
    missing: int
    backoff_s: float


@dataclass(slots=True)
class GroupSupply:
    """One group's counts. ``stable`` endpoints have served for ``MIN_READY_S``.

    ``ordered`` is how many there should be; ``accepted`` is the last count that the platform took,
    which stays higher where ordered endpoints did not come.
    """

    ready: int = 0
    stable: int = 0
    draining: int = 0
    ordered: int = 0
    accepted: int = 0
    lowered_at: float = float("-inf")
    blocked_until: float = float("-inf")
    # Set from a failure until what was ordered afterwards has come.
    is_doubtful: bool = False
    backoff_s: float = FIRST_BACKOFF_S
    _is_tried_again: bool = False
    _short_since: float | None = None
    _extra_since: float | None = None

    @property
    def booting(self) -> int:
        """Endpoints that were ordered and do not serve yet."""
        return max(0, self.ordered - self.ready)

    @property
    def standing(self) -> int:
        """Endpoints that serve or boot."""
        return max(self.ordered, self.ready)

    def is_blocked(self, now: float) -> bool:
        """Returns whether none can be had for now."""
        return now < self.blocked_until

    def block(self, now: float) -> None:
        """Tries no more for a while, which grows with each failure in a row."""
        self.blocked_until = now + self.backoff_s
        self.is_doubtful, self._is_tried_again = True, False
        self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)

    def adopt(self, placed: PlacedOrder) -> None:
        """Goes on from what an earlier holder ordered."""
        self.ordered, self.accepted = placed.ordered, placed.accepted
        self.is_doubtful = placed.is_doubtful
        # What has not come yet was ordered after the failure, as that one ended the order before.
        self._is_tried_again = placed.ordered > self.ready

    def record_accepted(self, count: int, now: float) -> None:
        """Records an order that the platform took."""
        if count < self.ordered:
            self.lowered_at = now
        self._short_since = now if count > self.ready else None
        self._is_tried_again |= count > self.ready
        self.ordered = self.accepted = count

    def record_refused_decrease(self, now: float) -> None:
        """Lowers the order to what serves, since the platform has less than the lower count."""
        self.lowered_at = now
        self.ordered = self.ready

    def reconcile(self, group: EndpointGroup, boot_s: float, now: float) -> Unavailable | None:
        """Compares the order with what there is; returns why more cannot be had, or None."""
        if self.ready >= self.ordered:
            return self._reconcile_met(now)
        self._extra_since = None
        self._short_since = now if self._short_since is None else self._short_since
        if group.is_spot and not self.ready and self.draining:
            return self._give_up(group, "reclaimed", now)
        if now - self._short_since > boot_s + BOOT_MARGIN_S:
            return self._give_up(group, "not_met", now)
        return None

    def _reconcile_met(self, now: float) -> None:
        self._short_since = None
        if self.ready == self.ordered:
            self._extra_since = None
            if self._is_tried_again and self.ordered:
                self.backoff_s, self.is_doubtful = FIRST_BACKOFF_S, False
            return
        self._extra_since = now if self._extra_since is None else self._extra_since
        if now - self._extra_since > ADOPT_S:
            self.ordered, self.accepted = self.ready, max(self.accepted, self.ready)
            self._extra_since = None

    def _give_up(self, group: EndpointGroup, reason: str, now: float) -> Unavailable:
        missing, backoff_s = self.booting, self.backoff_s
        self.block(now)
        self.ordered, self._short_since = self.ready, None
        return Unavailable(group, reason, missing, backoff_s)


@dataclass(slots=True)
class PoolSupply:
    """The endpoints of one pool in all zones.

    A new holder goes on from the orders that earlier ones placed; where none is known, it takes
    what there is for ordered.
    """

    zones: tuple[str, ...]
    placed_by_group: Mapping[EndpointGroup, PlacedOrder] = field(default_factory=dict)
    by_group: dict[EndpointGroup, GroupSupply] = field(default_factory=dict)
    initial_by_zone: dict[str, int] = field(default_factory=dict)
    _ready_since_by_incarnation: dict[tuple[str, int], float] = field(default_factory=dict)

    def observe(
        self, entries: Iterable[EndpointEntry], boot_s: float, now: float
    ) -> Iterator[Unavailable]:
        """Counts the entries; yields the groups that turn out to be unavailable."""
        is_first = not self.by_group
        self._count(list(entries), now)
        if is_first:
            self._adopt_placed_orders()
            self.initial_by_zone = {zone: self.zone_ready(zone) for zone in self.zones}
        for group, supply in self.by_group.items():
            if (unavailable := supply.reconcile(group, boot_s, now)) is not None:
                yield unavailable

    def _adopt_placed_orders(self) -> None:
        for group, supply in self.by_group.items():
            unknown = PlacedOrder(supply.ready, supply.ready)
            supply.adopt(self.placed_by_group.get(group, unknown))

    def _count(self, entries: list[EndpointEntry], now: float) -> None:
        first_seen_at = now if self.by_group else float("-inf")
        for group in (
            EndpointGroup(zone, is_spot) for zone in self.zones for is_spot in (False, True)
        ):
            supply = self.by_group.setdefault(group, GroupSupply())
            supply.ready = supply.stable = supply.draining = 0
        ready_since = {}
        for entry in entries:
            supply = self.by_group.get(EndpointGroup(entry.zone, entry.is_spot))
            if supply is None:
                continue
            if entry.is_draining:
                supply.draining += 1
                continue
            known_since = self._ready_since_by_incarnation.get(entry.incarnation, first_seen_at)
            ready_since[entry.incarnation] = known_since
            supply.ready += 1
            supply.stable += now - known_since >= MIN_READY_S
        self._ready_since_by_incarnation = ready_since

    def zone_standing(self, zone: str) -> int:
        """Returns how many endpoints of both capacity types serve or boot in a zone."""
        return (
            self.by_group[EndpointGroup(zone, False)].standing
            + self.by_group[EndpointGroup(zone, True)].standing
        )

    def zone_ready(self, zone: str) -> int:
        """Returns how many endpoints of both capacity types serve in a zone."""
        return (
            self.by_group[EndpointGroup(zone, False)].ready
            + self.by_group[EndpointGroup(zone, True)].ready
        )

    def placed_orders(self) -> dict[EndpointGroup, PlacedOrder]:
        """Returns the orders of all groups, for a later holder."""
        if not self.by_group:
            return dict(self.placed_by_group)
        return {
            group: PlacedOrder(supply.ordered, supply.accepted, supply.is_doubtful)
            for group, supply in self.by_group.items()
        }
