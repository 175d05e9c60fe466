"""Which VM holds a duty when VMs, the store or answers fail, in virtual time."""

import asyncio

import pytest

from bluebellpitch.decisions.duties.lease import TOKENS_PER_ERA
from bluebellpitch.draining import STOP_LISTENING_SHARE
from bluebellpitch.platform.records import KeyedRecord
from tests.virtual_duties import start_fleet
from tests.virtual_time import run_in_virtual_time

LEASE_S = 3.0
GRACE_S = 8.0


def check(body, vms_per_zone: int = 1):
    """Runs a scenario on a fleet; tokens must rise, and no VM return within the lease time."""

    async def scenario():
        fleet = await start_fleet(vms_per_zone)
        await body(fleet)
        tokens = fleet.tokens()
        assert tokens == sorted(set(tokens)), tokens
        assert fleet.shortest_return_s() > LEASE_S
        return fleet

    return run_in_virtual_time(scenario())


def test_one_vm_keeps_the_duty_with_few_calls_and_messages():
    async def body(fleet):
        first = fleet.holder()
        fleet.topic.calls.clear()
        fleet.announcements.clear()
        await fleet.run(20.0)
        assert fleet.holder() is first
        assert len(fleet.topic.calls) <= 11
        assert len(fleet.announcements) <= 10

    assert len(check(body, vms_per_zone=4).tokens()) == 1


def test_holder_that_dies_is_replaced_after_its_lease():
    async def body(fleet):
        first = fleet.holder()
        first.kill()
        killed_at = asyncio.get_running_loop().time()
        await fleet.run(10.0)
        assert fleet.holder() not in (None, first)
        taken_at = next(at for at, name, _ in fleet.acts if name == fleet.holder().name)
        assert 3.0 < taken_at - killed_at < 8.0

    check(body)


def test_suspended_holder_does_not_act_when_it_wakes():
    async def body(fleet):
        first = fleet.holder()
        await fleet.run(1.7)
        first.suspend()
        await fleet.run(12.0)
        second = fleet.holder()
        assert second not in (None, first)
        first.client.gate.set()
        await fleet.run(5.0)
        assert fleet.holder() is second
        for vm in fleet.vms_by_key.values():
            if vm is not first:
                vm.kill()
        await fleet.run(9.0)
        assert fleet.holder() is first

    check(body)


@pytest.mark.parametrize("suspended_s", [3.9, 4.4])
def test_late_answer_to_a_renewal_counts_from_when_it_was_sent(suspended_s):
    async def body(fleet):
        first = fleet.holder()
        calls = len(fleet.topic.calls)
        first.is_deaf = True
        first.client.gate.clear()
        while len(fleet.topic.calls) == calls:
            await fleet.run(0.01)
        first.client.is_cut = True
        await fleet.run(suspended_s)
        first.client.gate.set()
        await fleet.run(8.0)
        assert fleet.holder() not in (None, first)

    check(body)


def test_two_candidates_that_race_get_one_lease():
    """They do not hear each other, so both take themselves for the zone's candidate."""

    async def body(fleet):
        racers = [fleet.start_vm(f"z9-vm{number}", "z1", hears=False) for number in range(2)]
        await fleet.run(3.0)
        for vm in fleet.vms_by_key.values():
            if vm not in racers:
                vm.kill()
        await fleet.run(12.0)
        assert fleet.holder() in racers

    check(body)


@pytest.mark.parametrize("late_s", [0.0, 0.3, 2.0])
def test_lost_answers_leave_one_holder(late_s):
    async def body(fleet):
        for _ in range(3):
            for vm in fleet.vms_by_key.values():
                vm.client.lose_answers, vm.client.late_s = 2, late_s
            fleet.holder().kill()
            await fleet.run(14.0)
            assert fleet.holder() is not None
            if len(fleet.vms_by_key) < 6:
                fleet.start_vm(f"z0-new{len(fleet.vms_by_key)}", "z0")

    check(body)


def test_holder_goes_on_in_a_restored_store_under_a_higher_token():
    async def body(fleet):
        first = fleet.holder()
        fleet.topic.copy()
        await fleet.run(5.0)
        fleet.topic.restore()
        await fleet.run(10.0)
        assert fleet.holder() is first

    fleet = check(body)
    assert [token // TOKENS_PER_ERA for token in fleet.tokens()] == [1, 2]


def test_copy_with_an_earlier_record_lets_the_lease_run_out_first():
    """The copy says that the duty is free, or knows nothing of it, while a VM still holds it."""

    async def body(fleet):
        fleet.topic.copy()
        first = fleet.holder()
        await first.holder.release(GRACE_S)
        fleet.topic.copy()
        first.holder._is_leaving = False
        await fleet.run(1.8)
        second = fleet.holder()
        assert second not in (None, first)
        for vm in fleet.vms_by_key.values():
            vm.is_deaf = True
        await fleet.run(5.0)
        second.client.is_cut = True
        fleet.topic.restore()
        await fleet.run(12.0)
        assert fleet.holder() not in (None, second)

    check(body)


def test_holder_does_not_go_on_if_the_copy_has_another_vms_record():
    async def body(fleet):
        first = fleet.holder()
        fleet.topic.copy()
        first.is_draining = True
        await first.holder.release(GRACE_S)
        await fleet.run(3.0)
        assert fleet.holder() not in (None, first)
        fleet.topic.restore()
        restored_at = asyncio.get_running_loop().time()
        await fleet.run(12.0)
        next_at = min(at for at, _, token in fleet.acts if token > 2 * TOKENS_PER_ERA)
        assert next_at - restored_at > 5.0

    check(body)


def test_released_duty_is_taken_at_once():
    async def body(fleet):
        first = fleet.holder()
        first.is_draining = True
        released_at = asyncio.get_running_loop().time()
        await first.holder.release(GRACE_S)
        assert first.holder.lease() is None
        await fleet.run(3.0)
        assert fleet.holder() not in (None, first)
        taken_at = next(at for at, name, _ in fleet.acts if name == fleet.holder().name)
        assert taken_at - released_at < 2.5

    check(body)


def test_no_vm_returns_within_the_lease_time_when_vms_restart_in_turn():
    async def body(fleet):
        for process in range(2, 8):
            holder = fleet.holder()
            if holder is None:
                await fleet.run(1.0)
                continue
            await holder.holder.release(GRACE_S)
            holder.kill()
            del fleet.vms_by_key[holder.key]
            fleet.start_vm(holder.name, holder.liveness.zone, process)
            await fleet.run(2.6)

    check(body)


def test_duty_given_back_goes_to_another_vm():
    async def body(fleet):
        first = fleet.holder()
        await first.holder.give_back("api")
        await fleet.run(4.0)
        second = fleet.holder()
        assert second not in (None, first)
        await second.holder.give_back("api")
        await fleet.run(20.0)
        assert fleet.holder() is not None

    check(body)


def test_holder_that_keeps_waking_late_gives_the_duty_back():
    async def body(fleet):
        first = fleet.holder()
        for _ in range(6):
            asyncio.get_running_loop().advance(0.8)
            await asyncio.sleep(0.05)
        await fleet.run(4.0)
        assert fleet.holder() not in (None, first)

    check(body)


def test_holder_cut_from_the_store_stops_in_time():
    async def body(fleet):
        first = fleet.holder()
        first.client.is_cut = True
        await fleet.run(12.0)
        second = fleet.holder()
        assert second not in (None, first)
        first.client.is_cut = False
        await fleet.run(6.0)
        assert fleet.holder() is second

    check(body)


def test_holder_goes_on_after_a_short_outage():
    async def body(fleet):
        first = fleet.holder()
        for vm in fleet.vms_by_key.values():
            vm.client.is_cut = True
        await fleet.run(4.5)
        for vm in fleet.vms_by_key.values():
            vm.client.is_cut = False
        await fleet.run(3.0)
        assert fleet.holder() is first

    assert len(check(body).tokens()) == 1


def test_values_of_a_holder_reach_the_next_one():
    async def body(fleet):
        first = fleet.holder()
        token = first.holder.lease().token
        records = (KeyedRecord("w1", b"7"), KeyedRecord("w2", b"8"))
        assert await first.holder.append(token, records)
        assert await first.holder.append(token, (KeyedRecord("w1", None),))
        await first.holder.release(GRACE_S)
        assert not await first.holder.append(token, (KeyedRecord("w3", b"9"),))
        first.is_draining = True
        await fleet.run(4.0)
        assert fleet.holder().holder.values_by_key == {"w2": b"8"}

    check(body)


def test_holder_that_may_have_given_back_does_not_act_on():
    """The answer is lost, then the VM is cut off, and its lease would last longer."""

    async def body(fleet):
        first = fleet.holder()
        for vm in fleet.vms_by_key.values():
            vm.holder._state.lease_s = 12.0
        await fleet.run(14.0)
        first.client.lose_answers = 1
        leaving = asyncio.ensure_future(first.holder.give_back("api"))
        await fleet.run(0.1)
        first.client.is_cut = first.is_deaf = True
        await fleet.run(8.0)
        await leaving
        assert fleet.holder() not in (None, first)

    check(body)


def test_planned_stop_during_a_handover_is_not_undone_by_its_end():
    async def body(fleet):
        first = fleet.holder()
        first.client.is_cut = True
        leaving = asyncio.ensure_future(first.holder.give_back("api"))
        await fleet.run(0.1)
        first.is_draining = True
        stopping = asyncio.ensure_future(first.holder.release(GRACE_S))
        await fleet.run(2.0)
        first.client.is_cut = False
        await asyncio.gather(leaving, stopping)
        assert first.holder._is_leaving

    check(body)


def test_values_of_an_earlier_term_are_not_kept_under_a_later_one():
    """While the append waits for a read, the store turns out to be restored."""

    async def body(fleet):
        first = fleet.holder()
        fleet.topic.copy()
        await fleet.run(2.5)
        token = first.holder.lease().token
        fleet.topic.restore()
        first.store_era.observe(fleet.topic.era, asyncio.get_running_loop().time())
        calls = len(fleet.topic.calls)
        while len(fleet.topic.calls) == calls:
            await asyncio.sleep(0.001)
        assert not await first.holder.append(token, (KeyedRecord("w1", b"7"),))
        assert "w1" not in fleet.topic.newest_by_key
        await fleet.run(3.0)
        assert fleet.holder() is first
        assert first.holder.lease().token > token

    check(body)


def test_release_leaves_most_of_a_short_grace_period():
    async def body(fleet):
        first = fleet.holder()
        first.is_draining = first.client.is_cut = True
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await first.holder.release(grace_s=2.0)
        assert loop.time() - began_at <= 2.0 * STOP_LISTENING_SHARE

    check(body)
