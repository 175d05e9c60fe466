"""Discovers the other entry VMs through the store and tracks their liveness by heartbeats."""

import asyncio
from collections.abc import Callable

from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.platform_messages import VmHeartbeat
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.platform.vm_records import VmRecord, read_vm_records, register_vm, unregister_vm

# A VM that holds a role sends heartbeats more often: others rely on it, so its loss must be
# detected soon.
ROLE_HOLDER_HEARTBEAT_INTERVAL_S = 0.15
DEFAULT_HEARTBEAT_INTERVAL_S = 0.45
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
        holds_any_role: Callable[[], bool],
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
        self._holds_any_role = holds_any_role
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

    async def unregister(self) -> None:
        """Removes this VM's record before a planned shutdown."""
        await unregister_vm(self._client, self._vm)

    async def send_heartbeats(self) -> None:
        """Sends heartbeats to the VMs of this zone and reports lost peers, until cancelled."""
        while True:
            interval_s = (
                ROLE_HOLDER_HEARTBEAT_INTERVAL_S
                if self._holds_any_role()
                else DEFAULT_HEARTBEAT_INTERVAL_S
            )
            heartbeat = VmHeartbeat(
                zone=self._own_record.zone,
                address=self._own_record.bus,
                draining=self._is_draining(),
                version=self._configuration_version(),
                interval_s=interval_s,
            )
            for address in self._heartbeat_targets():
                self._bus.send_to_address(address, heartbeat)
            for key in self._liveness.remove_silent(self._now()):
                log("INFO", "peer_lost", peer=key)
                self._on_vm_lost(key)
            await self._wait_for_next_heartbeat(interval_s)

    async def _wait_for_next_heartbeat(self, seconds: float) -> None:
        """Waits until the next heartbeat is due; gaining or losing a role makes it due early."""
        started_at, held_role = self._now(), self._holds_any_role()
        while self._now() - started_at < seconds - ROLE_HOLDER_HEARTBEAT_INTERVAL_S / 2:
            await asyncio.sleep(ROLE_HOLDER_HEARTBEAT_INTERVAL_S)
            if self._holds_any_role() != held_role:
                return

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
