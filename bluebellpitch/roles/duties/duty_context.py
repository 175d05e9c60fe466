"""What the tasks of duties are given of their VM."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bluebellpitch.decisions.duties.lease import name_vm
from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus


def duty_role(duty: str) -> str:
    """Returns the role whose holder is the zone's candidate for a duty."""
    return f"duty:{duty}"


@dataclass(frozen=True, slots=True)
class DutyContext:
    """The VM as duties see it.

    ``vm_key`` names this process, ``address`` is its bus address. ``now`` returns seconds of a
    clock that also runs while the VM is suspended.
    """

    vm_key: str
    address: str
    zone: str
    zones: tuple[str, ...]
    bus: PeerBus
    liveness: Liveness
    store_era: StoreEra
    peer_addresses: Callable[[], Iterable[str]]
    has_vm_list: Callable[[], bool]
    is_draining: Callable[[], bool]
    metrics: Metrics
    now: Callable[[], float]

    @property
    def vm_name(self) -> str:
        """Name of the machine, whatever process runs on it."""
        return name_vm(self.vm_key)

    def is_candidate(self, duty: str) -> bool:
        """Returns whether this VM is the one of its zone that may take over a duty."""
        if self.is_draining() or not self.has_vm_list():
            return False
        return self.liveness.role_holder(duty_role(duty), self.now(), False) == self.vm_key

    def zone_rank(self, duty: str) -> int:
        """Returns how many zones are before this one in the order in which they try a duty."""
        zones = {*self.zones, self.zone}
        return rank_owners(duty_role(duty), zones).index(self.zone)

    def send_to_all(self, message) -> None:
        """Sends a message to all other VMs that there may be."""
        self.bus.send_to_addresses({*self.peer_addresses()} - {self.address}, message)
