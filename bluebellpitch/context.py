"""Dependencies of the tasks that serve callers: the VM's components, budgets and clocks."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellpitch.decisions.hedge_budget import HedgeBudget
from bluebellpitch.decisions.rows import Table
from bluebellpitch.decisions.shutdown import DurationEstimates
from bluebellpitch.draining import Shutdown
from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.events import EventRing
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
    durations: DurationEstimates = field(default_factory=DurationEstimates)

    def record_announcements(self, slot: Slot, told: Announcements) -> None:
        """Records what an endpoint said of its future, and tells the broker."""
        self.slot_client.report_limit(slot, told.limit_per_s)
        if told.is_leaving:
            self.mark_leaving(slot.granted.endpoint)
            self.slot_client.report_leaving(slot)

    @property
    def table(self) -> Table:
        """The current table."""
        return self.view_holder.current.table
