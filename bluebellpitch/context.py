"""What the tasks that serve callers are given: the VM's roles, books and clocks."""

from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.decisions.hedge_budget import HedgeBudget
from bluebellpitch.decisions.rows import Table
from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.events import EventRing
from bluebellpitch.metrics import Metrics
from bluebellpitch.roles.claiming import ClaimRole
from bluebellpitch.roles.seeking import SlotRole
from bluebellpitch.roles.strike_replicator import StrikeReplicator
from bluebellpitch.settings import Settings
from bluebellpitch.view import ViewHolder


@dataclass(frozen=True)
class NodeContext:
    """One VM's parts, as its request tasks see them."""

    settings: Settings
    holder: ViewHolder
    slots: SlotRole
    claims: ClaimRole
    connections: ConnectionPool
    strikes: StrikeReplicator
    hedges: HedgeBudget
    ring: EventRing
    metrics: Metrics
    now: Callable[[], float]
    wall: Callable[[], float]

    @property
    def table(self) -> Table:
        """The present table."""
        return self.holder.current.table
