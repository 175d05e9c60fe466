"""Discovers the other entry VMs through the store and tracks their liveness by heartbeats."""

import asyncio
from collections.abc import Callable, Iterable, Iterator

from bluebellpitch.decisions.heartbeats import (
    ROLE_HOLDER_INTERVAL_S,
    HeartbeatRound,
    HeartbeatSchedule,
)
from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.platform_messages import VmHeartbeat
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.platform.vm_records import VmRecord, read_vm_records, register_vm, unregister_vm

# The holder of a role, and the VM that takes it over, are told of this VM's presence more often.
NEAR_VMS_PER_ROLE = 2
VM_LIST_READ_INTERVAL_S = 20.0
VM_LIST_RETRY_INTERVAL_S = 0.5
# How many VMs there may be while the list has not been read.
UNREAD_LIST_VM_COUNT = 20


class PeerDiscovery:
    """Owns the list of VMs. ``records_by_vm`` may include VMs that no longer run."""

    def __init__(
        self,
        vm: str,
        own_record: VmRecord,
        client: StoreClient,
        bus: PeerBus,
        liveness: Liveness,
        now: Callable[[], float],
        configuration_version: Callable[[], int],
        is_draining: Callable[[], bool],
        store_era: StoreEra,
        on_vm_lost: Callable[[str], None],
        on_vm_heard: Callable[[str], None],
        roles: Callable[[], Iterable[str]],
    ):
        self._vm = vm
        self._own_record = own_record
        self._client = client
        self._bus = bus
        self._liveness = liveness
        self._now = now
        self._configuration_version = configuration_version
        self._is_draining = is_draining
        self._store_era = store_era
        self._on_vm_lost = on_vm_lost
        self._on_vm_heard = on_vm_heard
        self._roles = roles
        self._heartbeats = HeartbeatSchedule()
        self._told: set[str] = set()
        self.records_by_vm: dict[str, VmRecord] = {vm: own_record}
        self._introduced_at_by_address: dict[str, float] = {}
        self.has_list = False
        self._is_listed = False

    def introduce(self, address: str) -> None:
        """Records a VM that got this one's address from the store, but may not be in the list."""
        self._introduced_at_by_address[address] = self._now()

    def addresses(self) -> list[str]:
        """Returns the bus addresses of all other VMs that there may be."""
        oldest = self._now() - 2 * VM_LIST_READ_INTERVAL_S
        introduced = self._introduced_at_by_address.items()
        known = {
            *(record.bus for record in self.records_by_vm.values()),
            *(peer.address for peer in self._liveness.peers_by_key.values()),
            *(address for address, at in introduced if at > oldest),
        }
        return sorted(known - {self._own_record.bus})

    def listed_addresses(self) -> list[str]:
        """Returns the bus addresses of all VMs in the list, this one included."""
        return [record.bus for record in self.records_by_vm.values()]

    def vm_count(self) -> int:
        """Returns how many VMs there may be, at least as many as send heartbeats."""
        return max(len(self.records_by_vm), len(self._liveness.peers_by_key) + 1)

    def possible_vm_count(self) -> int:
        """Returns how many VMs may share a limit: many, as long as this one knows of no other."""
        known = max(self.vm_count(), len(self.addresses()) + 1)
        return known if self.has_list else max(known, UNREAD_LIST_VM_COUNT)

    def is_near(self, address: str) -> bool:
        """Returns whether the VM at a bus address may be of this zone."""
        zones = {r.zone for r in self.records_by_vm.values() if r.bus == address}
        return not zones or self._own_record.zone in zones

    def addresses_in_zone(self, zone: str) -> list[str]:
        """Returns the bus addresses of all known VMs of a zone, whether alive or not."""
        return sorted(r.bus for r in self.records_by_vm.values() if r.zone == zone)

    async def register(self) -> None:
        """Registers this VM in the store and reads the records of the others, until cancelled.

        It reads them again when the store comes back from a copy, and registers again if its own
        record is missing.
        """
        registered = False
        while True:
            if not registered:
                registered = await register_vm(self._client, self._vm, self._own_record)
            era = self._store_era.number
            was_read = await self._read_vm_list()
            registered = registered and (not was_read or self._is_listed)
            if registered and was_read:
                await self._wait_for_next_list(era)
            else:
                await asyncio.sleep(VM_LIST_RETRY_INTERVAL_S)

    async def _wait_for_next_list(self, era: int | None) -> None:
        """Waits until the list is to be read again; a new era makes that due at once."""
        until = self._now() + VM_LIST_READ_INTERVAL_S
        while self._now() < until and not self._store_era.is_past(era):
            await asyncio.sleep(VM_LIST_RETRY_INTERVAL_S)

    async def _read_vm_list(self) -> bool:
        try:
            records = await read_vm_records(self._client)
        except BluebellpitchError as error:
            log("WARNING", "members_unknown", error=error)
            return False
        self._is_listed = self._vm in records
        self.records_by_vm = records | {self._vm: self._own_record}
        self.has_list = True
        oldest = self._now() - 2 * VM_LIST_READ_INTERVAL_S
        introduced = self._introduced_at_by_address.items()
        self._introduced_at_by_address = {a: at for a, at in introduced if at > oldest}
        return True

    async def unregister(self, timeout_s: float) -> None:
        """Removes this VM's record before a planned shutdown."""
        await unregister_vm(self._client, self._vm, timeout_s)

    async def send_heartbeats(self) -> None:
        """Sends heartbeats to the VMs of this zone and reports lost peers, until cancelled."""
        while True:
            holds_role = self._holds_any_role()
            heartbeats = self._heartbeats.next_round(holds_role, self._is_draining())
            self._send_round(heartbeats)
            for key in self._liveness.remove_silent(self._now()):
                log("INFO", "peer_lost", peer=key)
                self._on_vm_lost(key)
            await self._wait_for_next_heartbeat(heartbeats.near_s, holds_role)

    def _send_round(self, heartbeats: HeartbeatRound) -> None:
        near, targets = self._near_addresses(), self._heartbeat_targets()
        new_here, self._told = targets - self._told, targets
        far = targets if heartbeats.is_far_due else new_here
        self._send_heartbeat(targets & near, heartbeats.near_s)
        self._send_heartbeat(far - near, heartbeats.far_s)

    def _send_heartbeat(self, addresses: set[str], interval_s: float) -> None:
        if not addresses:
            return
        heartbeat = VmHeartbeat(
            zone=self._own_record.zone,
            address=self._own_record.bus,
            draining=self._is_draining(),
            version=self._configuration_version(),
            interval_s=interval_s,
        )
        self._bus.send_to_addresses(addresses, heartbeat)

    async def _wait_for_next_heartbeat(self, seconds: float, held_role: bool) -> None:
        """Waits until the next heartbeat is due; gaining or losing a role makes it due early."""
        started_at = self._now()
        while self._now() - started_at < seconds - ROLE_HOLDER_INTERVAL_S / 2:
            await asyncio.sleep(ROLE_HOLDER_INTERVAL_S)
            if self._holds_any_role() != held_role:
                return

    def _ranked_vms(self) -> Iterator[list[str]]:
        now, is_draining = self._now(), self._is_draining()
        return (self._liveness.rank_for_role(role, now, is_draining) for role in self._roles())

    def _holds_any_role(self) -> bool:
        return any(ranked[0] == self._bus.vm_key for ranked in self._ranked_vms())

    def _near_addresses(self) -> set[str]:
        near = {key for ranked in self._ranked_vms() for key in ranked[:NEAR_VMS_PER_ROLE]}
        peers = self._liveness.peers_by_key
        return {peers[key].address for key in near if key in peers}

    def _heartbeat_targets(self) -> set[str]:
        records = (r.bus for r in self.records_by_vm.values() if r.zone == self._own_record.zone)
        heard = (
            peer.address
            for peer in self._liveness.peers_by_key.values()
            if peer.zone == self._own_record.zone
        )
        return {*records, *heard} - {self._own_record.bus}

    def record_heartbeat(self, sender: str, heartbeat: VmHeartbeat) -> Peer:
        """Records a heartbeat and returns the state of its sender."""
        peer = Peer(
            key=sender,
            zone=heartbeat.zone,
            address=heartbeat.address,
            is_draining=heartbeat.draining,
            version=heartbeat.version,
            last_heartbeat_at=self._now(),
            interval_s=heartbeat.interval_s,
        )
        self._bus.register_address(sender, heartbeat.address)
        if self._liveness.record_heartbeat(peer):
            log("INFO", "peer_heard", peer=sender, zone=heartbeat.zone, address=heartbeat.address)
            self._on_vm_heard(heartbeat.address)
        return peer
