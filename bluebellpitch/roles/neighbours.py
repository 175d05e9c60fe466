"""Finds the other entry VMs through the store, and hears which of them are alive."""

import asyncio
from collections.abc import Callable

from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.entry_messages import VmBeat
from bluebellpitch.platform.members import MemberRecord, read_members, register, unregister
from bluebellpitch.platform.store import StoreClient

# VMs on which others rely, for a duty, beat often: their loss has to be noticed soon.
DUTY_BEAT_INTERVAL_S = 0.15
BEAT_INTERVAL_S = 0.45
MEMBERS_INTERVAL_S = 20.0
MEMBERS_RETRY_S = 0.5


class NeighboursRole:
    """Owns the list of VMs. ``records_by_vm`` may name VMs that are gone."""

    def __init__(
        self,
        vm: str,
        own: MemberRecord,
        store: str,
        bus: PeerBus,
        liveness: Liveness,
        now: Callable[[], float],
        version: Callable[[], int],
        is_draining: Callable[[], bool],
        vm_lost: Callable[[str], None],
        has_duty: Callable[[], bool],
    ):
        self._vm = vm
        self._own = own
        self._client = StoreClient(store)
        self._bus = bus
        self._liveness = liveness
        self._now = now
        self._version = version
        self._is_draining = is_draining
        self._vm_lost = vm_lost
        self._has_duty = has_duty
        self.records_by_vm: dict[str, MemberRecord] = {vm: own}

    def count(self) -> int:
        """Returns how many VMs there may be, not fewer than are heard."""
        return max(len(self.records_by_vm), len(self._liveness.peers_by_key) + 1)

    def addresses_elsewhere(self, zone: str) -> list[str]:
        """Returns the addresses of all VMs of another zone, alive or not."""
        return sorted(r.bus for r in self.records_by_vm.values() if r.zone == zone)

    async def register(self) -> None:
        """Writes this VM's record, and reads those of the others, until cancelled."""
        registered = False
        while True:
            if not registered:
                registered = await register(self._client, self._vm, self._own)
            known = await self._read_members()
            done = registered and known
            await asyncio.sleep(MEMBERS_INTERVAL_S if done else MEMBERS_RETRY_S)

    async def _read_members(self) -> bool:
        try:
            records = await read_members(self._client)
        except BluebellpitchError as error:
            log("WARNING", "members_unknown", error=error)
            return False
        self.records_by_vm = records | {self._vm: self._own}
        return True

    async def unregister(self) -> None:
        """Takes this VM's record away, for a planned stop."""
        await unregister(self._client, self._vm)

    async def beat(self) -> None:
        """Tells the VMs of this zone that this one is alive, until cancelled."""
        while True:
            interval_s = DUTY_BEAT_INTERVAL_S if self._has_duty() else BEAT_INTERVAL_S
            beat = VmBeat(
                zone=self._own.zone,
                address=self._own.bus,
                draining=self._is_draining(),
                version=self._version(),
                interval_s=interval_s,
            )
            for address in self._addresses():
                self._bus.send_to_address(address, beat)
            for key in self._liveness.remove_silent(self._now()):
                log("INFO", "peer_lost", peer=key)
                self._vm_lost(key)
            await self._pause(interval_s)

    async def _pause(self, seconds: float) -> None:
        """Waits for the next beat; a VM that has come to hold a duty beats at once."""
        begun_at, had_duty = self._now(), self._has_duty()
        while self._now() - begun_at < seconds - DUTY_BEAT_INTERVAL_S / 2:
            await asyncio.sleep(DUTY_BEAT_INTERVAL_S)
            if self._has_duty() != had_duty:
                return

    def _addresses(self) -> set[str]:
        records = (r.bus for r in self.records_by_vm.values() if r.zone == self._own.zone)
        heard = (
            peer.address
            for peer in self._liveness.peers_by_key.values()
            if peer.zone == self._own.zone
        )
        return {*records, *heard} - {self._own.bus}

    def take(self, sender: str, beat: VmBeat) -> Peer:
        """Notes a beat."""
        peer = Peer(
            key=sender,
            zone=beat.zone,
            address=beat.address,
            is_draining=beat.draining,
            version=beat.version,
            last_heartbeat_at=self._now(),
            interval_s=beat.interval_s,
        )
        self._bus.know(sender, beat.address)
        if self._liveness.record_heartbeat(peer):
            log("INFO", "peer_heard", peer=sender, zone=beat.zone, address=beat.address)
        return peer
