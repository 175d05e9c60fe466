"""Dependencies of the tasks that serve callers: the VM's components, budgets and clocks."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoint_pauses import EndpointPauses
from bluebellpitch.decisions.hedge_budget import HedgeBudget
from bluebellpitch.decisions.rows import Table
from bluebellpitch.decisions.shutdown import DurationEstimates
from bluebellpitch.draining import Shutdown
from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.events import EventRing
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.http_messages import Announcements
from bluebellpitch.roles.claim_coordinator import ClaimCoordinator
from bluebellpitch.roles.slot_client import SlotClient
from bluebellpitch.roles.slots import Slot
from bluebellpitch.roles.strike_replicator import StrikeReplicator
from bluebellpitch.settings import Settings
from bluebellpitch.view import ViewHolder


@dataclass(frozen=True)
class NodeContext:
    """Components of one VM that its request tasks use."""

    settings: Settings
    view_holder: ViewHolder
    slot_client: SlotClient
    claim_coordinator: ClaimCoordinator
    connection_pool: ConnectionPool
    strikes: StrikeReplicator
    hedge_budget: HedgeBudget
    event_ring: EventRing
    metrics: Metrics
    now: Callable[[], float]
    wall: Callable[[], float]
    mark_leaving: Callable[[str], None]
    shutdown: Shutdown = field(default_factory=Shutdown)
    pauses: EndpointPauses = field(default_factory=EndpointPauses)
    durations: DurationEstimates = field(default_factory=DurationEstimates)

    def record_announcements(self, slot: Slot, told: Announcements) -> None:
        """Records what an endpoint said of its future, and tells the broker."""
        endpoint = slot.granted.endpoint
        self.slot_client.report_limit(slot, told.limit_per_s)
        if told.is_leaving:
            self.mark_leaving(endpoint)
            self.slot_client.report_leaving(slot)
        if told.pause_s is not None:
            self.pauses.record((endpoint, 0), told.pause_s, self.now())
            log("INFO", "endpoint_pauses", endpoint=endpoint, pause_s=f"{told.pause_s:.2f}")

    def may_send(self, endpoint: str) -> bool:
        """Returns whether an endpoint may be sent a request now, and counts it if so."""
        if not self.view_holder.current.accepts_requests(endpoint):
            return False
        if self.pauses.wait_s((endpoint, 0), self.now()) > 0:
            return False
        self.pauses.count_sent((endpoint, 0))
        return True

    def paused_endpoints(self) -> tuple[str, ...]:
        """Returns the endpoints that want no request from this VM now."""
        return tuple(name for name, _ in self.pauses.in_force(self.now()))

    def pause_wait_s(self, pool: str) -> float:
        """Returns how long all endpoints of a pool pause; 0 if one does not, or there is none."""
        if not self.paused_endpoints():
            return 0.0
        names = self._open_endpoints(pool)
        waits_s = (self.pauses.wait_s((name, 0), self.now()) for name in names)
        return min(waits_s, default=0.0)

    def has_other_endpoint(self, pool: str, endpoint: str) -> bool:
        """Returns whether an endpoint of the pool other than this one may get requests now."""
        others = set(self._open_endpoints(pool)) - {endpoint}
        return not others <= set(self.paused_endpoints())

    def _open_endpoints(self, pool: str) -> Iterator[str]:
        """Yields the endpoints of a pool, in all zones, that accept requests."""
        view = self.view_holder.current
        zones = (zone for zone, _ in view.table.zones_by_pool.get(pool, ()))
        rows = (row for zone in zones for row in view.table.pool_endpoints(pool, zone))
        return (row.name for row in rows if view.accepts_requests(row.name))

    @property
    def table(self) -> Table:
        """The current table."""
        return self.view_holder.current.table
