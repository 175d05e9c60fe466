"""Finds the other entry VMs through the store, and hears which of them are alive."""

import asyncio
from collections.abc import Callable

from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.entry_messages import VmBeat
from bluebellpitch.platform.members import (
    MEMBERS_TOPIC,
    MemberRecord,
    encode_member,
    read_members,
)
from bluebellpitch.platform.store import Appended, StoreClient

BEAT_INTERVAL_S = 0.15
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
                verdict = await self._client.put(MEMBERS_TOPIC, self._vm, encode_member(self._own))
                registered = isinstance(verdict, Appended)
                log("INFO", "registered", verdict=verdict.name, reason=verdict.reason)
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
        verdict = await self._client.put(MEMBERS_TOPIC, self._vm, b"")
        log("INFO", "unregistered", verdict=verdict.name, reason=verdict.reason)

    async def beat(self) -> None:
        """Tells the VMs of this zone that this one is alive, until cancelled."""
        while True:
            beat = VmBeat(self._own.zone, self._own.bus, self._is_draining(), self._version())
            for address in self._addresses():
                self._bus.send_to_address(address, beat)
            for key in self._liveness.lost(self._now()):
                log("INFO", "peer_lost", peer=key)
                self._vm_lost(key)
            await asyncio.sleep(BEAT_INTERVAL_S)

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
        peer = Peer(sender, beat.zone, beat.address, beat.draining, beat.version, self._now())
        self._bus.know(sender, beat.address)
        if self._liveness.hear(peer):
            log("INFO", "peer_heard", peer=sender, zone=beat.zone, address=beat.address)
        return peer
