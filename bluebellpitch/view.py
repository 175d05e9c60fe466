"""What this VM knows of the federation, as one frozen value that tasks replace whole."""

from dataclasses import dataclass, field

from bluebellpitch.decisions.control import Epoch, VmIdentity
from bluebellpitch.decisions.epochs import broker_of
from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.decisions.rows import Table


@dataclass(frozen=True, slots=True)
class VmState:
    """An entry VM that is heard from."""

    identity: VmIdentity
    zone: str
    region: str
    draining: bool
    control_offset: int
    epoch: int


@dataclass(frozen=True)
class ClusterView:
    """The table, the epochs and the VMs that are live as far as this VM can tell."""

    own: VmState
    table: Table = field(default_factory=lambda: Table({}))
    epochs_by_zone: dict[str, Epoch] = field(default_factory=dict)
    unsettled_by_zone: dict[str, tuple[Epoch, ...]] = field(default_factory=dict)
    live_by_key: dict[str, VmState] = field(default_factory=dict)
    leaving_endpoints: frozenset[str] = frozenset()

    def eligible_vms(self, zone: str) -> frozenset[str]:
        """Returns the VMs of a zone that may hold roles.

        Of other zones only some VMs are heard, so their epoch tells; a message to a VM that no
        longer holds a role is passed on there. VMs that are in the epoch go before newcomers, for
        only they may borrow floors of limits.
        """
        epoch = self.epochs_by_zone.get(zone, Epoch(0, ()))
        if zone != self.own.zone and epoch.vms:
            return frozenset(vm.key for vm in epoch.vms)
        live = [vm for vm in self.live_by_key.values() if vm.zone == zone]
        ready = [vm for vm in live if not vm.draining] or live
        keys = frozenset(vm.identity.key for vm in ready)
        return keys & {vm.key for vm in epoch.vms} or keys

    def broker_vm(self, pool: str, zone: str) -> str | None:
        """Returns the VM key of a pool's broker in a zone."""
        return broker_of(pool, zone, self.eligible_vms(zone))

    def zones_by_proximity(self, pool: str, request: str) -> list[str]:
        """Returns the zones that serve a pool: own zone, own region, then the others."""
        zones = self.table.zones_by_pool.get(pool, ())
        ranked = rank_owners(request, (zone for zone, _ in zones))
        regions_by_zone = dict(zones)
        return sorted(
            ranked, key=lambda z: (z != self.own.zone, self.is_cross_region(regions_by_zone[z]))
        )

    def is_cross_region(self, region: str) -> bool:
        """Tells whether traffic to a region is paid by volume."""
        return region != self.own.region


class ViewHolder:
    """Holds the present view. Membership and control replace it; others read."""

    def __init__(self, view: ClusterView):
        self.current = view
