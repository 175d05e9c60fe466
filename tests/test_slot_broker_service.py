"""The slot broker service of a VM that loses a pool and regains it."""

from dataclasses import replace

from testtools.assertions import assert_that
from testtools.matchers import Equals, Not

from bluebellpitch.clock import HybridClock
from bluebellpitch.decisions.class_scheduling import SchedulingPolicy
from bluebellpitch.decisions.control import VmIdentity
from bluebellpitch.decisions.epochs import select_broker_vm
from bluebellpitch.decisions.member_quotas import EpochHistory
from bluebellpitch.decisions.rows import EndpointRow, Table, VersionedRow
from bluebellpitch.events import EventRing
from bluebellpitch.metrics import Metrics
from bluebellpitch.roles.slot_broker_service import SlotBrokerService
from bluebellpitch.view import ClusterView, ViewHolder, VmState

POOL, ZONE = "pool", "z"


class DiscardingBus:
    """Discards all messages."""

    def send(self, vm_key, message):
        return None


def make_vm_state(name: str) -> VmState:
    return VmState(VmIdentity(name, "1", "bus", "admin"), ZONE, "r", False, 0, 0)


def test_broker_restarted_after_losing_its_pool_issues_new_grant_ids():
    """Grants from the first ownership may still be held and must not be confused with new ones."""
    owner, other = make_vm_state("a"), make_vm_state("b")
    keys = frozenset((owner.identity.key, other.identity.key))
    if select_broker_vm(POOL, ZONE, keys) == owner.identity.key:
        owner, other = other, owner
    row = EndpointRow("e", POOL, ZONE, "r", "127.0.0.1:1", 1, True)
    table = Table({"endpoint/e": VersionedRow(row, 0)}, 0)
    single_vm_view = ClusterView(owner, table, live_by_key={owner.identity.key: owner})
    two_vm_view = replace(
        single_vm_view, live_by_key={vm.identity.key: vm for vm in (owner, other)}
    )
    view_holder, clock = ViewHolder(single_vm_view), [10.0]
    event_ring = EventRing("vm", HybridClock(lambda: 1.0), 10)
    service = SlotBrokerService(
        view_holder,
        DiscardingBus(),
        EpochHistory(),
        event_ring,
        Metrics(),
        lambda: clock[0],
        SchedulingPolicy(),
        lambda broker, pool: None,
    )
    service.tick()
    first_prefix = service.brokers_by_pool[POOL].grant_id_prefix
    view_holder.current, clock[0] = two_vm_view, 11.0
    service.tick()
    assert_that(POOL in service.brokers_by_pool, Equals(False))
    view_holder.current, clock[0] = single_vm_view, 12.0
    service.tick()
    assert_that(service.brokers_by_pool[POOL].grant_id_prefix, Not(Equals(first_prefix)))
