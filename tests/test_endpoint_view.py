"""How VMs keep their view of the endpoints current, in virtual time."""

import asyncio
import random

import pytest

from bluebellpitch.decisions.confirmation import CONFIRMED_MAX_AGE_S
from bluebellpitch.decisions.directory import ENTRY_EXPIRY_GRACE_S
from bluebellpitch.roles.endpoint_check import ENTRIES_REFRESH_TIMEOUT_S, EndpointCheck
from tests.virtual_time import VirtualStore, run_in_virtual_time, start_vms

DRAIN_BOUND_S = 3.0
QUIET_S = 20.0


def create_store() -> VirtualStore:
    random.seed(19)
    store = VirtualStore()
    for name in ("i-0", "i-1", "i-2"):
        store.put(name, "ready")
    return store


def test_peers_without_store_records_do_not_keep_each_other_current():
    """A zone whose VMs missed dropped records still learns that an endpoint is draining."""

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=3, vms_per_zone=5)
        store.put("i-2", "draining")
        store.drop_history()
        await asyncio.sleep(QUIET_S)
        store.put("i-1", "draining")
        await asyncio.sleep(DRAIN_BOUND_S)
        return [(vm.name, vm.usable_ids()) for vm in vms]

    views = run_in_virtual_time(body())
    assert [name for name, usable in views if usable != {"i-0"}] == []


def test_followers_rarely_read_the_store_while_the_reader_serves_them():
    async def body():
        store = create_store()
        vms = await start_vms(store, zones=2, vms_per_zone=5)
        before = [vm.client.read_count for vm in vms]
        await asyncio.sleep(QUIET_S)
        return [vm.client.read_count - count for vm, count in zip(vms, before, strict=True)]

    counts = run_in_virtual_time(body())
    assert sorted(counts)[:8] == [0] * 8


@pytest.mark.parametrize("outage_s", [0.0, 2.5])
def test_followers_leave_the_store_to_the_reader_soon_after_all_have_read_it(outage_s):
    """After a start or an outage all VMs of a zone read the store; their reads keep pace with its.

    They stop once the reader has told of its own read, however much fresher their own is.
    """

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=1, vms_per_zone=30)
        if outage_s:
            store.is_down = True
            await asyncio.sleep(outage_s)
            store.is_down = False
        await asyncio.sleep(2.0)
        before = [vm.client.read_count for vm in vms]
        await asyncio.sleep(3.0)
        return [vm.client.read_count - count for vm, count in zip(vms, before, strict=True)]

    counts = run_in_virtual_time(body())
    assert sorted(counts)[:29] == [0] * 29


@pytest.mark.parametrize("gap_after_s", [0.3, 0.6, 1.0, 1.3])
def test_dropped_history_makes_no_follower_read_the_store(gap_after_s):
    """The reader of a zone reads again what was dropped; the others have it from the reader."""

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=1, vms_per_zone=30)
        await asyncio.sleep(2.0)
        before = [vm.client.read_count for vm in vms]
        store.put("i-1", "draining")
        store.put("i-2", "draining")
        store.drop_history()
        await asyncio.sleep(gap_after_s)
        store.put("i-0", "ready")
        await asyncio.sleep(DRAIN_BOUND_S - gap_after_s)
        views = [vm.usable_ids() for vm in vms]
        counts = [vm.client.read_count - count for vm, count in zip(vms, before, strict=True)]
        return views, counts

    views, counts = run_in_virtual_time(body())
    assert views == [{"i-0"}] * 30
    assert sorted(counts)[:29] == [0] * 29


def test_confirmed_age_covers_the_time_since_the_reader_read_the_store():
    """While nobody reaches the store, every VM's records grow old together."""

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=2, vms_per_zone=5)
        store.is_down = True
        await asyncio.sleep(QUIET_S)
        now = asyncio.get_running_loop().time()
        return [vm.follower.age_s(now) for vm in vms]

    assert all(QUIET_S - 0.1 <= age_s < QUIET_S + 3.0 for age_s in run_in_virtual_time(body()))


def test_vm_that_the_store_refuses_gets_all_records_from_a_peer_after_a_gap():
    async def body():
        store = create_store()
        vms = await start_vms(store, zones=2, vms_per_zone=5)
        for vm in vms[:5]:
            vm.client.is_refused = True
        store.put("i-2", "draining")
        store.remove("i-1")
        store.drop_history()
        await asyncio.sleep(DRAIN_BOUND_S)
        after_bound = [vm.name for vm in vms if "i-2" in vm.usable_ids()]
        await asyncio.sleep(ENTRY_EXPIRY_GRACE_S)
        return after_bound, [vm.name for vm in vms if vm.usable_ids() != {"i-0"}]

    assert run_in_virtual_time(body()) == ([], [])


def test_late_page_of_the_store_does_not_bring_back_an_older_entry():
    """The page was read before the endpoint drained, and arrives after a peer's newer record."""

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=1, vms_per_zone=2)
        follower = next(vm for vm in vms if vm.follower.is_updated_by_peers())
        follower.client.late_s = 0.9
        store.put("i-1", "ready", born=2)
        reading = asyncio.ensure_future(follower.follower.read())
        await asyncio.sleep(0.05)
        store.put("i-1", "draining", born=2)
        records, _, _ = await reading
        was_known = follower.usable_ids() == {"i-0", "i-2"}
        for record in records:
            follower.endpoints.apply(record)
        return was_known, follower.usable_ids()

    assert run_in_virtual_time(body()) == (True, {"i-0", "i-2"})


def test_peer_is_not_told_that_it_holds_records_beside_an_unreadable_one():
    async def body():
        store = create_store()
        requester, reader = await start_vms(store, zones=1, vms_per_zone=2)
        if reader.follower.is_updated_by_peers():
            requester, reader = reader, requester
        request = requester.follower.request_to_peers(requester.name)
        store.records.append(b"\xff")
        store.put("i-1", "draining")
        await asyncio.sleep(DRAIN_BOUND_S)
        reply = reader.follower.reply_to_peer(request)
        return reply, requester.usable_ids(), reader.usable_ids()

    assert run_in_virtual_time(body()) == (None, {"i-0", "i-2"}, {"i-0", "i-2"})


def test_zone_keeps_reading_while_the_store_refuses_its_reader():
    """Pulses of reads would let the records of the whole zone grow old in between."""

    async def body():
        loop = asyncio.get_running_loop()
        vms = await start_vms(create_store(), zones=1, vms_per_zone=4)
        reader = next(vm for vm in vms if not vm.follower.is_updated_by_peers())
        reader.client.is_refused = True
        await asyncio.sleep(DRAIN_BOUND_S)
        ages_s = []
        for _ in range(200):
            await asyncio.sleep(0.05)
            ages_s.append(max(vm.follower.age_s(loop.time()) for vm in vms))
        return max(ages_s)

    assert run_in_virtual_time(body()) < CONFIRMED_MAX_AGE_S


def create_check(vm) -> EndpointCheck:
    now = asyncio.get_running_loop().time
    return EndpointCheck(vm.directory, vm.follower, DRAIN_BOUND_S, now)


@pytest.mark.parametrize("vm_number", range(4))
@pytest.mark.parametrize("paused_s", [2.0, 3.0, 5.0])
def test_process_paused_between_choice_and_send_notices_that_the_endpoint_left(vm_number, paused_s):
    """The notice is older than the bound at the send; the news still wait in the process."""

    async def body():
        store = create_store()
        vm = (await start_vms(store, zones=2, vms_per_zone=2))[vm_number]
        entry = vm.directory.entries_by_id["i-1"]
        store.put("i-1", "draining")
        await asyncio.sleep(DRAIN_BOUND_S - paused_s if paused_s < DRAIN_BOUND_S else 0.0)
        asyncio.get_running_loop().advance(paused_s)
        return await create_check(vm).has_left(entry)

    assert run_in_virtual_time(body())


def test_requests_wait_once_for_entries_while_the_store_is_down():
    async def body():
        loop = asyncio.get_running_loop()
        store = create_store()
        vm, *_ = await start_vms(store, zones=1, vms_per_zone=2)
        check, entry = create_check(vm), vm.directory.entries_by_id["i-1"]
        store.is_down = True
        await asyncio.sleep(5.0)
        waits = []
        for _ in range(3):
            started_at = loop.time()
            assert not await check.has_left(entry)
            waits.append(round(loop.time() - started_at, 3))
        return waits

    assert run_in_virtual_time(body()) == [ENTRIES_REFRESH_TIMEOUT_S, 0.0, 0.0]
