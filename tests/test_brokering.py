"""The broker role as its VM loses a pool and takes it back."""

from dataclasses import replace

from testtools.assertions import assert_that
from testtools.matchers import Equals, Not

from bluebellpitch.clock import HybridClock
from bluebellpitch.decisions.control import VmIdentity
from bluebellpitch.decisions.epochs import broker_of
from bluebellpitch.decisions.floors import EpochHistory
from bluebellpitch.decisions.order import Policy
from bluebellpitch.decisions.rows import EndpointRow, Table, VersionedRow
from bluebellpitch.events import Ring
from bluebellpitch.metrics import Metrics
from bluebellpitch.roles.brokering import BrokerRole
from bluebellpitch.view import ClusterView, ViewHolder, VmState

POOL, ZONE = "pool", "z"


class SilentBus:
    """Drops all messages."""

    def send(self, vm_key, message):
        return None


def known(name: str) -> VmState:
    return VmState(VmIdentity(name, "1", "bus", "admin"), ZONE, "r", False, 0, 0)


def test_pool_that_was_lost_and_taken_back_gives_other_grant_ids():
    """Grants of the first time may still be held, and must not be taken for new ones."""
    owner, other = known("a"), known("b")
    keys = frozenset((owner.identity.key, other.identity.key))
    if broker_of(POOL, ZONE, keys) == owner.identity.key:
        owner, other = other, owner
    row = EndpointRow("e", POOL, ZONE, "r", "127.0.0.1:1", 1, True)
    table = Table({"endpoint/e": VersionedRow(row, 0)}, 0)
    alone = ClusterView(owner, table, live_by_key={owner.identity.key: owner})
    both = replace(alone, live_by_key={vm.identity.key: vm for vm in (owner, other)})
    holder, clock = ViewHolder(alone), [10.0]
    ring = Ring("vm", HybridClock(lambda: 1.0), 10)
    role = BrokerRole(
        holder,
        SilentBus(),
        EpochHistory(),
        ring,
        Metrics(),
        lambda: clock[0],
        Policy(),
        lambda broker, pool: None,
    )
    role.tick()
    first = role.brokers_by_pool[POOL].tag
    holder.current, clock[0] = both, 11.0
    role.tick()
    assert_that(POOL in role.brokers_by_pool, Equals(False))
    holder.current, clock[0] = alone, 12.0
    role.tick()
    assert_that(role.brokers_by_pool[POOL].tag, Not(Equals(first)))
