"""This VM's view of the cluster: an immutable value that tasks replace as a whole."""

from dataclasses import dataclass, field

from bluebellpitch.decisions.control import Epoch, VmIdentity
from bluebellpitch.decisions.epochs import select_broker_vm
from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.decisions.rows import Table


@dataclass(frozen=True, slots=True)
class VmState:
    """State of an entry VM, as its heartbeats report it."""

    identity: VmIdentity
    zone: str
    region: str
    draining: bool
    control_offset: int
    epoch: int
    store_era: int | None = None


@dataclass(frozen=True)
class ClusterView:
    """The table, the epochs, and the VMs that this VM considers live."""

    own: VmState
    table: Table = field(default_factory=lambda: Table({}))
    epochs_by_zone: dict[str, Epoch] = field(default_factory=dict)
    unsettled_by_zone: dict[str, tuple[Epoch, ...]] = field(default_factory=dict)
    live_by_key: dict[str, VmState] = field(default_factory=dict)
    leaving_endpoints: frozenset[str] = frozenset()

    def eligible_vms(self, zone: str) -> frozenset[str]:
        """Returns keys of the VMs of a zone that may hold roles.

        Only some VMs of other zones send heartbeats here, so the zone's epoch decides; a VM that no
        longer holds the role forwards the message. VMs in the epoch are preferred to newer ones,
        because only they may borrow quotas.
        """
        epoch = self.epochs_by_zone.get(zone, Epoch(0, ()))
        if zone != self.own.zone and epoch.vms:
            return frozenset(vm.key for vm in epoch.vms)
        live = [vm for vm in self.live_by_key.values() if vm.zone == zone]
        ready = [vm for vm in live if not vm.draining] or live
        keys = frozenset(vm.identity.key for vm in ready)
        return keys & {vm.key for vm in epoch.vms} or keys

    def accepts_requests(self, endpoint: str) -> bool:
        """Returns whether an endpoint may be sent new requests: it is in the table and stays."""
        row = self.table.endpoints_by_name.get(endpoint)
        return row is not None and row.state == "live" and endpoint not in self.leaving_endpoints

    def broker_vm(self, pool: str, zone: str) -> str | None:
        """Returns the key of the VM that brokers a pool in a zone."""
        return select_broker_vm(pool, zone, self.eligible_vms(zone))

    def zones_by_distance(self, pool: str, request: str) -> list[str]:
        """Returns the zones that serve a pool: own zone first, then own region, then the others."""
        zones = self.table.zones_by_pool.get(pool, ())
        ranked = rank_owners(request, (zone for zone, _ in zones))
        regions_by_zone = dict(zones)
        return sorted(
            ranked, key=lambda z: (z != self.own.zone, self.is_cross_region(regions_by_zone[z]))
        )

    def is_cross_region(self, region: str) -> bool:
        """Returns whether a region is another than this VM's; such traffic is billed by volume."""
        return region != self.own.region


class ViewHolder:
    """Holds the current view. ClusterMembership and ControlLogReplica replace it."""

    def __init__(self, view: ClusterView):
        self.current = view
