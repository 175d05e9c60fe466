"""Dependencies of the tasks that serve callers: the VM's components, budgets and clocks."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellpitch.decisions.hedge_budget import HedgeBudget
from bluebellpitch.decisions.rows import Table
from bluebellpitch.decisions.shutdown import DurationEstimates, ShutdownSchedule
from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.events import EventRing
from bluebellpitch.metrics import Metrics
from bluebellpitch.roles.claim_coordinator import ClaimCoordinator
from bluebellpitch.roles.slot_client import SlotClient
from bluebellpitch.roles.strike_replicator import StrikeReplicator
from bluebellpitch.settings import Settings
from bluebellpitch.view import ViewHolder


@dataclass(frozen=True)
class NodeContext:
    """Components of one VM that its request tasks use.

    ``must_answer`` is set when the VM is about to end and open requests have to be answered.
    """

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
    shutdown: ShutdownSchedule = field(default_factory=ShutdownSchedule)
    durations: DurationEstimates = field(default_factory=DurationEstimates)
    must_answer: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def table(self) -> Table:
        """The current table."""
        return self.view_holder.current.table
