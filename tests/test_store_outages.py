"""An outage that a VM saw ends too when only its peers see the store again."""

import asyncio
import random

import pytest

from bluebellpitch.decisions.directory import ENTRY_EXPIRY_GRACE_S
from tests.virtual_time import VirtualStore, run_in_virtual_time, start_vms

DRAIN_BOUND_S = 3.0
REFUSED_S = 9.0
# Longer than the platform takes to count as stable again.
CALM_S = 8.0
# By then a removal has been read, and has reached all VMs of the zone.
READ_BY_ALL_S = 1.0


def create_store(endpoints: int) -> VirtualStore:
    random.seed(38)
    store = VirtualStore()
    for number in range(endpoints):
        store.put(f"i-{number}", "ready")
    return store


async def write_entries(store: VirtualStore, name: str) -> None:
    """Writes an endpoint's entry often, so that each read of the store ends at once."""
    while True:
        store.put(name, "ready")
        await asyncio.sleep(0.01)


async def wait_for_read(vm) -> None:
    """Waits until a VM has just read the store: its next read is as far away as it can be."""
    count = vm.client.read_count
    while vm.client.read_count == count:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.03)


def leave_alone(store: VirtualStore, vms: list) -> None:
    """Does nothing more to the store or the VMs."""


def restore_copy(store: VirtualStore, vms: list) -> None:
    """Lets the store come back from a copy, in a new era."""
    store.copy()
    store.restore()


def suspend_vms(store: VirtualStore, vms: list) -> None:
    """Suspends all VMs for longer than an outage counts for."""
    asyncio.get_running_loop().advance(5.0)


def slow_reads(store: VirtualStore, vms: list) -> None:
    """Delays what all VMs read from then on."""
    for vm in vms:
        vm.client.late_s = 0.3


def add_second_reader(store: VirtualStore, vms: list) -> None:
    """Lets another VM take itself for the zone's reader too."""
    vms[-1].follower._is_zone_reader = lambda: True


@pytest.mark.parametrize("refused", [1, 2])
@pytest.mark.parametrize(
    "disturb", [leave_alone, restore_copy, suspend_vms, slow_reads, add_second_reader]
)
def test_vm_that_the_store_refused_once_stops_using_removed_endpoints_in_time(refused, disturb):
    """Guards against DRAIN: its outage never ended, so each removal counted as a lapse."""

    async def body():
        store = create_store(endpoints=9)
        vms = await start_vms(store, zones=1, vms_per_zone=3)
        reader = next(vm for vm in vms if not vm.follower.is_updated_by_peers())
        others = [vm for vm in vms if vm is not reader]
        turned_away = [reader, *others][:refused]
        for vm in turned_away:
            vm.client.is_refused = True
        await asyncio.sleep(REFUSED_S / 2)
        disturb(store, vms)
        await asyncio.sleep(REFUSED_S / 2)
        for vm in turned_away:
            vm.client.is_refused = False
        await asyncio.sleep(CALM_S)
        beats = asyncio.ensure_future(write_entries(store, "i-8"))
        late, lapsing = [], []
        for number in range(8):
            await wait_for_read(reader)
            store.remove(f"i-{number}")
            await asyncio.sleep(READ_BY_ALL_S)
            lapsing += [vm.name for vm in vms if vm.directory.is_lapsing(f"i-{number}")]
            await asyncio.sleep(DRAIN_BOUND_S - READ_BY_ALL_S)
            late += [vm.name for vm in vms if f"i-{number}" in vm.usable_ids()]
        beats.cancel()
        return late, lapsing

    assert run_in_virtual_time(body()) == ([], [])


def test_entries_that_lapsed_while_the_store_was_down_are_used_for_a_while():
    """Followers hear of the lapse from the reader, and may have had no answer themselves yet."""

    async def body():
        store = create_store(endpoints=2)
        vms = await start_vms(store, zones=1, vms_per_zone=4)
        store.is_down = True
        await asyncio.sleep(REFUSED_S)
        store.remove("i-0")
        store.is_down = False
        await asyncio.sleep(ENTRY_EXPIRY_GRACE_S - 0.1)
        lapsing = [vm.usable_ids() for vm in vms]
        await asyncio.sleep(CALM_S)
        return lapsing, [vm.usable_ids() for vm in vms]

    lapsing, after = run_in_virtual_time(body())
    assert lapsing == [{"i-0", "i-1"}] * 4
    assert after == [{"i-1"}] * 4
