"""What VMs know after the store came back from a copy some seconds old, in virtual time."""

import asyncio
import random

import pytest

from bluebellpitch.decisions.store_era import REWRITE_S
from bluebellpitch.peers.platform_messages import RecordsUpdate
from bluebellpitch.platform.endpoint_entries import ENDPOINTS_TOPIC
from tests.virtual_time import VirtualStore, run_in_virtual_time, start_vms

NOTICE_S = 2.0
HEARTBEAT_S = 1.2


def create_store() -> VirtualStore:
    random.seed(25)
    store = VirtualStore()
    for name in ("i-0", "i-1", "i-2"):
        store.put(name, "ready")
    return store


async def restore_after(store: VirtualStore, down_s: float, rewrite) -> None:
    """Takes the store away, brings it back from its copy, and lets the endpoints write again."""
    store.is_down = True
    await asyncio.sleep(down_s)
    store.restore()
    rewrite()
    store.is_down = False


def views_of(vms) -> set[frozenset[str]]:
    return {frozenset(vm.usable_ids()) for vm in vms}


@pytest.mark.parametrize("refused", [0, 2])
def test_records_under_offsets_given_out_again_are_read(refused):
    """As much is written again as was lost, so that the end of the topic looks whole."""

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=2, vms_per_zone=4)
        store.copy()
        for number in range(3):
            store.put("i-0", "ready", seq=10 + number)
        await asyncio.sleep(NOTICE_S)
        for vm in vms[:refused]:
            vm.client.is_refused = True

        def write_other_records():
            store.put("i-3", "ready")
            store.put("i-1", "draining", seq=20)
            store.put("i-4", "ready")

        await restore_after(store, 0.1, write_other_records)
        await asyncio.sleep(2 * NOTICE_S)
        return views_of(vms)

    expected = {frozenset({"i-0", "i-2", "i-3", "i-4"})}
    assert run_in_virtual_time(body()) == expected


def test_records_that_a_peer_sent_before_the_copy_are_not_applied_after_it():
    async def body():
        store = create_store()
        vms = await start_vms(store, zones=1, vms_per_zone=2)
        vm, peer = vms
        store.copy()
        store.put("i-1", "ready", born=5)
        await asyncio.sleep(NOTICE_S)
        request = vm.follower.request_to_peers(vm.name)
        late = peer.follower.reply_to_peer(request)
        await restore_after(store, 0.1, lambda: store.put("i-2", "draining"))
        await asyncio.sleep(NOTICE_S)
        before = vm.follower.request_to_peers(vm.name)
        assert vm.follower.accept_peer_records(late) == ()
        return before.start == vm.follower.request_to_peers(vm.name).start, views_of(vms)

    assert run_in_virtual_time(body()) == (True, {frozenset({"i-0", "i-1"})})


@pytest.mark.parametrize("is_removed", [False, True])
def test_endpoint_that_left_in_the_lost_span_gets_nothing_new(is_removed):
    """The copy shows it as ready until its next entry, or for good if it is gone."""

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=2, vms_per_zone=3)
        store.copy()
        if is_removed:
            store.remove("i-1")
        else:
            store.put("i-1", "draining")
        await asyncio.sleep(NOTICE_S)
        views = [views_of(vms)]
        await restore_after(store, 0.5, lambda: None)
        for _ in range(40):
            await asyncio.sleep(0.1)
            views.append(views_of(vms))
        return set.union(*views)

    assert run_in_virtual_time(body()) == {frozenset({"i-0", "i-2"})}


def test_endpoint_registered_in_the_lost_span_stays_until_it_writes_again():
    async def body():
        store = create_store()
        vms = await start_vms(store, zones=1, vms_per_zone=3)
        store.copy()
        store.put("i-3", "ready")
        await asyncio.sleep(NOTICE_S)
        await restore_after(store, 0.5, lambda: None)
        views = []
        for _ in range(10):
            await asyncio.sleep(HEARTBEAT_S / 10)
            views.append(views_of(vms))
        store.put("i-3", "ready")
        await asyncio.sleep(2 * NOTICE_S)
        return set.union(*views, views_of(vms))

    assert run_in_virtual_time(body()) == {frozenset({"i-0", "i-1", "i-2", "i-3"})}


def test_endpoint_that_lapsed_and_writes_again_is_used_again():
    """Its own newer entry, unlike one of the copy, shows that it is there."""

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=1, vms_per_zone=3)
        store.copy()
        store.remove("i-1")
        await asyncio.sleep(NOTICE_S)
        await restore_after(store, 0.5, lambda: None)
        await asyncio.sleep(REWRITE_S)
        store.put("i-1", "ready", seq=30)
        await asyncio.sleep(NOTICE_S)
        return views_of(vms)

    assert run_in_virtual_time(body()) == {frozenset({"i-0", "i-1", "i-2"})}


def create_update(start: int, era: int, is_complete: bool = False) -> RecordsUpdate:
    value = b'{"service": "app", "address": "127.0.0.1:80", "zone": "z", "slots": 4, "state": "%s",'
    value += b' "version": "v1", "cold_left_ms": 0, "seq": 1}'
    records = (("i-9", value % b"ready"),)
    return RecordsUpdate(ENDPOINTS_TOPIC, start, start + 1, records, 1e6, 0.0, is_complete, era)


@pytest.mark.parametrize("era", [1, 2, 3])
@pytest.mark.parametrize("is_complete", [False, True])
def test_records_of_a_peer_count_only_in_their_era(era, is_complete):
    """Those of the next era are missing something before them, unless they are all there are."""

    async def body():
        store = create_store()
        store.era = 2
        vm, _ = await start_vms(store, zones=1, vms_per_zone=2)
        start = vm.follower.request_to_peers(vm.name).start
        taken = vm.follower.accept_peer_records(create_update(start, era, is_complete))
        return "i-9" in {record.key for record in taken}

    assert run_in_virtual_time(body()) == (era == 2 or (era == 3 and is_complete))


def test_vm_frozen_across_the_copy_reads_all_records_again():
    async def body():
        store = create_store()
        vms = await start_vms(store, zones=1, vms_per_zone=2)
        store.copy()
        store.put("i-0", "ready")
        await asyncio.sleep(NOTICE_S)
        store.restore()
        asyncio.get_running_loop().advance(3.0)
        store.put("i-2", "draining")
        await asyncio.sleep(NOTICE_S)
        return views_of(vms)

    assert run_in_virtual_time(body()) == {frozenset({"i-0", "i-1"})}
