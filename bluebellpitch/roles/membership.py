"""Who is alive: heartbeats, the VMs' records in the store, and proposals of epochs."""

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import replace

from bluebellpitch.constants import (
    CROSS_ZONE_HEARTBEAT_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    PEER_DEAD_AFTER_S,
)
from bluebellpitch.decisions.control import Epoch, VmIdentity, encode_control_record
from bluebellpitch.decisions.epochs import EpochProposer
from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.decisions.member_quotas import EpochHistory
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.events import Kind, Ring
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import Heartbeat
from bluebellpitch.platform.appender import Appender
from bluebellpitch.platform.endpoint_entries import (
    ENDPOINTS_TOPIC,
    decode_endpoint_entry,
    log_malformed_entry,
)
from bluebellpitch.platform.records import decode_values
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.platform.vm_records import VmRecord, read_vm_records, register_vm, unregister_vm
from bluebellpitch.view import ClusterView, KnownVm, ViewHolder

LIST_INTERVAL_S = 1.0
CROSS_ZONE_DEAD_AFTER_S = 3 * CROSS_ZONE_HEARTBEAT_INTERVAL_S


class Membership:
    """Owns the live set of this VM and its epoch history."""

    def __init__(
        self,
        holder: ViewHolder,
        bus: PeerBus,
        appender: Appender,
        ring: Ring,
        now: Callable[[], float],
        seeds: tuple[str, ...],
        store: StoreClient,
    ):
        self._holder = holder
        self._bus = bus
        self._appender = appender
        self._ring = ring
        self._now = now
        self._seeds = seeds
        self._store = store
        own = holder.current.own
        self._own_key = own.identity.key
        self._zone = own.zone
        self._proposer = EpochProposer(own.identity, own.zone)
        self.history = EpochHistory()
        self._heard_by_key: dict[str, tuple[KnownVm, float]] = {}
        self._listed_by_name: dict[str, VmRecord] | None = None
        self._ever_listed: set[str] = set()
        self._proposal: asyncio.Task | None = None
        self._cross_zone_at = 0.0

    def take_heartbeat(self, beat: Heartbeat) -> None:
        """Notes that a VM is alive. A newer incarnation replaces the older one."""
        rival = next((vm for vm in self._heard() if vm.identity.name == beat.vm.name), None)
        if rival and rival.identity.incarnation > beat.vm.incarnation:
            return
        if rival and rival.identity.incarnation < beat.vm.incarnation:
            del self._heard_by_key[rival.identity.key]
        known = KnownVm(
            beat.vm, beat.zone, beat.region, beat.draining, beat.control_offset, beat.epoch
        )
        self._heard_by_key[beat.vm.key] = (known, self._now())
        self._bus.register_address(beat.vm.key, beat.vm.bus)

    def _heard(self) -> Iterator[KnownVm]:
        return (vm for vm, _ in self._heard_by_key.values())

    def set_draining(self) -> None:
        """Tells peers at once that this VM is leaving."""
        view = self._holder.current
        self._holder.current = replace(view, own=replace(view.own, draining=True))
        self._cross_zone_at = 0.0
        self.tick()

    async def run(self) -> None:
        """Sends heartbeats and proposes epochs until cancelled."""
        while True:
            self.tick()
            self._propose()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def tick(self) -> None:
        """Refreshes the view and sends one round of heartbeats."""
        self._refresh()
        self._send_heartbeats()

    def _refresh(self) -> None:
        now = self._now()
        self._heard_by_key = {
            key: (vm, at)
            for key, (vm, at) in self._heard_by_key.items()
            if now - at < self._patience_s(vm)
        }
        view = self._holder.current
        self._learn_addresses()
        self._adopt_epoch(view)
        own = replace(view.own, epoch=self.history.current_number)
        live = {key: vm for key, (vm, _) in self._heard_by_key.items()}
        live[self._own_key] = own
        self._holder.current = replace(view, own=own, live_by_key=live)
        self.history.drop_unused({key: vm.epoch for key, vm in live.items()}, self._own_key)

    def _patience_s(self, vm: KnownVm) -> float:
        return PEER_DEAD_AFTER_S if vm.zone == self._zone else CROSS_ZONE_DEAD_AFTER_S

    def _learn_addresses(self) -> None:
        for epoch in self._holder.current.epochs_by_zone.values():
            for vm in epoch.vms:
                self._bus.register_address(vm.key, vm.bus)

    def _adopt_epoch(self, view: ClusterView) -> None:
        epoch = view.epochs_by_zone.get(self._zone)
        if epoch is None or epoch.number <= self.history.current_number:
            return
        self.history.add(view.unsettled_by_zone.get(self._zone, ()) + (epoch,))
        names = ",".join(vm.key for vm in epoch.vms)
        self._ring.record(Kind.EPOCH, detail=f"zone={self._zone} number={epoch.number} {names}")
        log("INFO", "epoch", zone=self._zone, number=epoch.number, vms=names)

    def _send_heartbeats(self) -> None:
        view = self._holder.current
        own = view.own
        beat = Heartbeat(
            own.identity, own.zone, own.region, own.draining, own.control_offset, own.epoch
        )
        for address in frozenset(self._targets()) - {view.own.identity.bus}:
            self._bus.send_to_address(address, beat)

    def _targets(self) -> Iterator[str]:
        """Yields bus addresses: all VMs of the zone, and now and then one of each other zone."""
        addresses_by_zone = self._addresses_by_zone()
        yield from addresses_by_zone.pop(self._zone, set())
        if self._now() - self._cross_zone_at < CROSS_ZONE_HEARTBEAT_INTERVAL_S:
            return
        self._cross_zone_at = self._now()
        for addresses in addresses_by_zone.values():
            yield rank_owners(self._own_key, addresses)[0]
        yield from self._seeds

    def _addresses_by_zone(self) -> dict[str, set[str]]:
        addresses: dict[str, set[str]] = {}
        for vm in self._heard():
            addresses.setdefault(vm.zone, set()).add(vm.identity.bus)
        for zone, epoch in self._holder.current.epochs_by_zone.items():
            addresses.setdefault(zone, set()).update(vm.bus for vm in epoch.vms)
        for listed in (self._listed_by_name or {}).values():
            addresses.setdefault(listed.zone, set()).add(listed.bus)
        return addresses

    async def follow_list(self) -> None:
        """Registers this VM and reads the list for ever; an unreachable list is unknown."""
        registered = False
        while True:
            if not registered:
                registered = await self._register()
            try:
                self._listed_by_name = await read_vm_records(self._store)
                self._ever_listed.update(self._listed_by_name)
                self._note_leaving(await self._read_leaving())
            except BluebellpitchError as error:
                if self._listed_by_name is not None:
                    log("WARNING", "members_unknown", error=error)
                self._listed_by_name = None
            await asyncio.sleep(LIST_INTERVAL_S)

    async def _register(self) -> bool:
        own = self._holder.current.own
        record = VmRecord(own.identity.bus, own.zone, own.identity.admin)
        return await register_vm(self._store, own.identity.name, record)

    async def unregister(self) -> None:
        """Takes this VM's record away: it runs nothing any more."""
        await unregister_vm(self._store, self._holder.current.own.identity.name)

    async def _read_leaving(self) -> frozenset[str]:
        """Returns the endpoints that announce that they will stop, whatever the table says."""
        records = (await self._store.read_newest(ENDPOINTS_TOPIC)).records
        entries_by_id = decode_values(records, decode_endpoint_entry, log_malformed_entry)
        return frozenset(id for id, entry in entries_by_id.items() if entry.is_draining)

    def _note_leaving(self, leaving: frozenset[str]) -> None:
        view = self._holder.current
        if leaving != view.leaving_endpoints:
            log("INFO", "leaving_endpoints", names=",".join(sorted(leaving)))
            self._holder.current = replace(view, leaving_endpoints=leaving)

    def _propose(self) -> None:
        """Starts to append a proposal when one is due; an outage must not hold heartbeats up."""
        if self._proposal is not None and not self._proposal.done():
            return
        epoch = self._holder.current.epochs_by_zone.get(self._zone, Epoch(0, ()))
        live, gone = self._live_here(), self._gone(epoch)
        change = self._proposer.propose(epoch, live, gone, self.history.oldest_number, self._now())
        if change is not None:
            append = self._appender.append(encode_control_record(change))
            self._proposal = asyncio.create_task(append)

    def _gone(self, epoch: Epoch) -> frozenset[str]:
        """Returns VMs proved to be no more: their records were taken away, or they started anew."""
        live_by_name = {vm.name: vm for vm in self._live_here()}
        former = epoch.vms + epoch.excluded
        replaced = {
            vm.key
            for vm in former
            if vm.name in live_by_name and live_by_name[vm.name].incarnation > vm.incarnation
        }
        if self._listed_by_name is None:
            return frozenset(replaced)
        unlisted = self._ever_listed - self._listed_by_name.keys() - live_by_name.keys()
        return frozenset(replaced | {vm.key for vm in former if vm.name in unlisted})

    def _live_here(self) -> frozenset[VmIdentity]:
        live = self._holder.current.live_by_key.values()
        return frozenset(vm.identity for vm in live if vm.zone == self._zone)
