"""Tracks which VMs are alive through heartbeats and the store, and proposes epochs."""

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
from bluebellpitch.decisions.leaving_endpoints import LeavingEndpoints
from bluebellpitch.decisions.member_quotas import EpochHistory
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.events import EventKind, EventRing
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
from bluebellpitch.view import ClusterView, ViewHolder, VmState

VM_LIST_READ_INTERVAL_S = 1.0
CROSS_ZONE_DEAD_AFTER_S = 3 * CROSS_ZONE_HEARTBEAT_INTERVAL_S


class ClusterMembership:
    """Owns the set of live VMs as this VM sees it, and the epoch history of its zone."""

    def __init__(
        self,
        view_holder: ViewHolder,
        bus: PeerBus,
        appender: Appender,
        event_ring: EventRing,
        now: Callable[[], float],
        seeds: tuple[str, ...],
        store: StoreClient,
        store_era: StoreEra,
    ):
        self._view_holder = view_holder
        self._bus = bus
        self._appender = appender
        self._event_ring = event_ring
        self._now = now
        self._seeds = seeds
        self._store = store
        self._store_era = store_era
        self._leaving_endpoints = LeavingEndpoints()
        own = view_holder.current.own
        self._own_key = own.identity.key
        self._zone = own.zone
        self._proposer = EpochProposer(own.identity, own.zone)
        self.history = EpochHistory()
        self._last_heard_by_key: dict[str, tuple[VmState, float]] = {}
        self._listed_records_by_name: dict[str, VmRecord] | None = None
        self._ever_listed_names: set[str] = set()
        self._proposal_task: asyncio.Task | None = None
        self._cross_zone_sent_at = 0.0

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Records that a VM is alive. A newer incarnation of a VM replaces the older one."""
        known_vm = next(
            (vm for vm in self._heard_vms() if vm.identity.name == heartbeat.vm.name), None
        )
        if known_vm and known_vm.identity.incarnation > heartbeat.vm.incarnation:
            return
        if known_vm and known_vm.identity.incarnation < heartbeat.vm.incarnation:
            del self._last_heard_by_key[known_vm.identity.key]
        vm_state = VmState(
            heartbeat.vm,
            heartbeat.zone,
            heartbeat.region,
            heartbeat.draining,
            heartbeat.control_offset,
            heartbeat.epoch,
            heartbeat.store_era,
        )
        self._last_heard_by_key[heartbeat.vm.key] = (vm_state, self._now())
        self._bus.register_address(heartbeat.vm.key, heartbeat.vm.bus)

    def _heard_vms(self) -> Iterator[VmState]:
        return (vm for vm, _ in self._last_heard_by_key.values())

    def start_draining(self) -> None:
        """Marks this VM as draining and announces it to the peers at once."""
        view = self._view_holder.current
        self._view_holder.current = replace(view, own=replace(view.own, draining=True))
        self._cross_zone_sent_at = 0.0
        self.tick()

    async def run(self) -> None:
        """Sends heartbeats and proposes epochs until cancelled."""
        while True:
            self.tick()
            self._propose_epoch()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def tick(self) -> None:
        """Refreshes the view and sends one round of heartbeats."""
        self._refresh_view()
        self._send_heartbeats()

    def _refresh_view(self) -> None:
        now = self._now()
        self._last_heard_by_key = {
            key: (vm, heard_at)
            for key, (vm, heard_at) in self._last_heard_by_key.items()
            if now - heard_at < self._silence_limit_s(vm)
        }
        view = self._view_holder.current
        self._register_addresses()
        self._adopt_epoch(view)
        own = replace(view.own, epoch=self.history.current_number)
        live = {key: vm for key, (vm, _) in self._last_heard_by_key.items()}
        live[self._own_key] = own
        self._view_holder.current = replace(view, own=own, live_by_key=live)
        self.history.drop_unused({key: vm.epoch for key, vm in live.items()}, self._own_key)

    def _silence_limit_s(self, vm: VmState) -> float:
        return PEER_DEAD_AFTER_S if vm.zone == self._zone else CROSS_ZONE_DEAD_AFTER_S

    def _register_addresses(self) -> None:
        for epoch in self._view_holder.current.epochs_by_zone.values():
            for vm in epoch.vms:
                self._bus.register_address(vm.key, vm.bus)

    def _adopt_epoch(self, view: ClusterView) -> None:
        epoch = view.epochs_by_zone.get(self._zone)
        if epoch is None or epoch.number <= self.history.current_number:
            return
        self.history.add(view.unsettled_by_zone.get(self._zone, ()) + (epoch,))
        names = ",".join(vm.key for vm in epoch.vms)
        self._event_ring.record(
            EventKind.EPOCH, detail=f"zone={self._zone} number={epoch.number} {names}"
        )
        log("INFO", "epoch", zone=self._zone, number=epoch.number, vms=names)

    def _send_heartbeats(self) -> None:
        view = self._view_holder.current
        own = view.own
        heartbeat = Heartbeat(
            own.identity,
            own.zone,
            own.region,
            own.draining,
            own.control_offset,
            own.epoch,
            own.store_era,
        )
        for address in frozenset(self._heartbeat_addresses()) - {view.own.identity.bus}:
            self._bus.send_to_address(address, heartbeat)

    def _heartbeat_addresses(self) -> Iterator[str]:
        """Yields bus addresses: all VMs of this zone, and periodically one of each other zone."""
        addresses_by_zone = self._addresses_by_zone()
        yield from addresses_by_zone.pop(self._zone, set())
        if self._now() - self._cross_zone_sent_at < CROSS_ZONE_HEARTBEAT_INTERVAL_S:
            return
        self._cross_zone_sent_at = self._now()
        for addresses in addresses_by_zone.values():
            yield rank_owners(self._own_key, addresses)[0]
        yield from self._seeds

    def _addresses_by_zone(self) -> dict[str, set[str]]:
        addresses: dict[str, set[str]] = {}
        for vm in self._heard_vms():
            addresses.setdefault(vm.zone, set()).add(vm.identity.bus)
        for zone, epoch in self._view_holder.current.epochs_by_zone.items():
            addresses.setdefault(zone, set()).update(vm.bus for vm in epoch.vms)
        for record in (self._listed_records_by_name or {}).values():
            addresses.setdefault(record.zone, set()).add(record.bus)
        return addresses

    async def follow_vm_list(self) -> None:
        """Registers this VM and polls the VM list until cancelled.

        While the store is unreachable, the list counts as unknown, not as empty. When the store
        comes back from a copy, a VM that is not listed may have registered since: that it was
        listed before proves nothing.
        """
        registered, era = False, None
        while True:
            if self._store_era.is_past(era):
                registered = False
                self._ever_listed_names.clear()
            era = self._store_era.number
            if not registered:
                registered = await self._register()
            try:
                self._listed_records_by_name = await read_vm_records(self._store)
                if not self._store_era.is_past(era):
                    self._ever_listed_names.update(self._listed_records_by_name)
                registered = registered and self._own_name() in self._listed_records_by_name
                self._update_leaving_endpoints(await self._read_leaving_endpoints())
            except BluebellpitchError as error:
                if self._listed_records_by_name is not None:
                    log("WARNING", "members_unknown", error=error)
                self._listed_records_by_name = None
            await asyncio.sleep(VM_LIST_READ_INTERVAL_S)

    def _own_name(self) -> str:
        return self._view_holder.current.own.identity.name

    async def _register(self) -> bool:
        own = self._view_holder.current.own
        record = VmRecord(own.identity.bus, own.zone, own.identity.admin)
        return await register_vm(self._store, own.identity.name, record)

    async def unregister(self, timeout_s: float) -> None:
        """Deletes this VM's record, once it serves no request any more."""
        await unregister_vm(self._store, self._own_name(), timeout_s)

    async def _read_leaving_endpoints(self) -> frozenset[str]:
        """Returns the endpoints that announce their own shutdown, independent of the table."""
        records = (await self._store.read_newest(ENDPOINTS_TOPIC)).records
        entries_by_id = decode_values(records, decode_endpoint_entry, log_malformed_entry)
        return self._leaving_endpoints.update(entries_by_id.values())

    def mark_leaving(self, endpoint: str) -> None:
        """Records that an endpoint said in an answer that it leaves."""
        self._update_leaving_endpoints(self._leaving_endpoints.mark(endpoint))

    def _update_leaving_endpoints(self, leaving: frozenset[str]) -> None:
        view = self._view_holder.current
        if leaving != view.leaving_endpoints:
            log("INFO", "leaving_endpoints", names=",".join(sorted(leaving)))
            self._view_holder.current = replace(view, leaving_endpoints=leaving)

    def _propose_epoch(self) -> None:
        """Appends a due proposal in the background: a store outage must not delay heartbeats."""
        if self._proposal_task is not None and not self._proposal_task.done():
            return
        epoch = self._view_holder.current.epochs_by_zone.get(self._zone, Epoch(0, ()))
        live, departed = self._live_in_zone(), self._departed_keys(epoch)
        change = self._proposer.propose(
            epoch, live, departed, self.history.oldest_number, self._now()
        )
        if change is not None:
            append = self._appender.append(encode_control_record(change))
            self._proposal_task = asyncio.create_task(append)

    def _departed_keys(self, epoch: Epoch) -> frozenset[str]:
        """Returns keys of VMs that certainly stopped: deregistered, or replaced after a restart."""
        live_by_name = {vm.name: vm for vm in self._live_in_zone()}
        former = epoch.vms + epoch.excluded
        replaced = {
            vm.key
            for vm in former
            if vm.name in live_by_name and live_by_name[vm.name].incarnation > vm.incarnation
        }
        if self._listed_records_by_name is None:
            return frozenset(replaced)
        unlisted = (
            self._ever_listed_names - self._listed_records_by_name.keys() - live_by_name.keys()
        )
        return frozenset(replaced | {vm.key for vm in former if vm.name in unlisted})

    def _live_in_zone(self) -> frozenset[VmIdentity]:
        live = self._view_holder.current.live_by_key.values()
        return frozenset(vm.identity for vm in live if vm.zone == self._zone)
