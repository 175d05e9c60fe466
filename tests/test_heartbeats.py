"""Heartbeats in a large zone, in virtual time: who hears whom how often, and what is noticed."""

import asyncio
from collections import Counter

from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Equals, LessThan

from bluebellpitch.decisions.heartbeats import NEAR_INTERVAL_S, HeartbeatSchedule
from bluebellpitch.decisions.liveness import MAX_MISSED_HEARTBEATS, Liveness
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.platform.vm_records import VmRecord
from bluebellpitch.roles.peer_discovery import PeerDiscovery
from tests.virtual_time import PEER_DELAY_S, run_in_virtual_time

ROLES = ("reads a topic", "reads another", "a pool")
WATCH_S = 9.0
# What a mesh of all VMs, each heard every 0.45 s, sends a VM and second in a zone of 36.
MESH_MESSAGES_PER_S = 35 / NEAR_INTERVAL_S


class ZoneBus:
    """Delivers heartbeats within a zone by address, which is the key too, and counts them."""

    def __init__(self, vms: dict[str, PeerDiscovery], vm_key: str, sent: Counter):
        self.vm_key = vm_key
        self._vms = vms
        self._sent = sent

    def register_address(self, vm_key: str, address: str) -> None:
        """Addresses are keys here."""

    def send_to_addresses(self, addresses, message) -> None:
        loop = asyncio.get_running_loop()
        for address in addresses:
            self._sent[self.vm_key] += 1
            if address in self._vms:
                receiver = self._vms[address]
                loop.call_later(PEER_DELAY_S, receiver.record_heartbeat, self.vm_key, message)


def start_zone(count: int, sent: Counter, lost: list):
    """Returns the VMs by key and the tasks that send their heartbeats."""
    now = asyncio.get_running_loop().time
    vms: dict[str, PeerDiscovery] = {}
    for number in range(count):
        key = f"vm-{number}"
        vms[key] = PeerDiscovery(
            vm=key,
            own_record=VmRecord(key, "z"),
            client=None,
            bus=ZoneBus(vms, key, sent),
            liveness=Liveness(key, "z"),
            now=now,
            configuration_version=lambda: 1,
            is_draining=lambda: False,
            store_era=StoreEra(),
            on_vm_lost=lambda peer, key=key: lost.append((now(), key, peer)),
            on_vm_heard=lambda address: None,
            roles=lambda: ROLES,
        )
    for vm in vms.values():
        vm.records_by_vm |= {key: VmRecord(key, "z") for key in vms}
    return vms, {key: asyncio.create_task(vm.send_heartbeats()) for key, vm in vms.items()}


def find_holders(vms: dict[str, PeerDiscovery]) -> set[str]:
    liveness = next(iter(vms.values()))._liveness
    now = asyncio.get_running_loop().time()
    return {liveness.role_holder(role, now, False) for role in ROLES}


def test_vm_without_a_role_sends_well_under_a_mesh_and_none_is_taken_for_lost():
    async def body():
        sent, lost = Counter(), []
        vms, _ = start_zone(36, sent, lost)
        await asyncio.sleep(2.0)
        sent.clear()
        await asyncio.sleep(WATCH_S)
        others = vms.keys() - find_holders(vms)
        return [sent[key] / WATCH_S for key in others], lost

    rates, lost = run_in_virtual_time(body())
    assert_that(rates, AllMatch(LessThan(0.7 * MESH_MESSAGES_PER_S)))
    assert_that(lost, Equals([]))


def test_role_holders_notice_a_lost_vm_as_soon_as_in_a_mesh():
    async def body():
        sent, lost = Counter(), []
        vms, tasks = start_zone(36, sent, lost)
        await asyncio.sleep(2.0)
        holders = find_holders(vms)
        victim = min(vms.keys() - holders)
        tasks[victim].cancel()
        del vms[victim]
        died_at = asyncio.get_running_loop().time()
        await asyncio.sleep(MAX_MISSED_HEARTBEATS * NEAR_INTERVAL_S + NEAR_INTERVAL_S)
        return {(key, peer) for at, key, peer in lost if at > died_at}, holders, victim

    noticed, holders, victim = run_in_virtual_time(body())
    assert_that({(holder, victim) for holder in holders} - noticed, Equals(set()))


def test_change_of_role_or_a_planned_stop_is_told_to_all_at_once():
    schedule = HeartbeatSchedule()
    rounds = [schedule.next_round(False, False) for _ in range(4)]
    assert_that([r.is_far_due for r in rounds], Equals([False, True, False, True]))
    assert schedule.next_round(True, False).is_far_due
    assert schedule.next_round(False, False).is_far_due
    assert not schedule.next_round(False, False).is_far_due
    assert schedule.next_round(False, False).is_far_due
    assert schedule.next_round(False, True).is_far_due
