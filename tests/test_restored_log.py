"""`serve` after the store came back from a copy: claims, the table, members and endpoints."""

import asyncio
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from bluebellpitch.decisions.control import (
    ControlStateMachine,
    EraBegan,
    RestoredChange,
    TableChange,
    encode_control_record,
)
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.leaving_endpoints import LeavingEndpoints
from bluebellpitch.decisions.log_position import era_of
from bluebellpitch.decisions.rows import MemberRow
from bluebellpitch.decisions.store_era import REWRITE_S
from bluebellpitch.roles.control_log_replica import restore_record
from fakes.client import stream_completion
from fakes.fleet import Fleet, wait_until
from tests.helpers import FederationSize, start_federation


def member(name: str, weight: float) -> MemberRow:
    return MemberRow(name, weight, 0, "0" * 64, "draft")


def change(id: str, base: int, weight: float) -> TableChange:
    return TableChange(id, {"member/a": base}, (member("a", weight),))


def apply_changes(*records) -> ControlStateMachine:
    machine = ControlStateMachine()
    for offset, record in enumerate(records):
        machine.apply(offset, encode_control_record(record))
    return machine


def weight_of(machine: ControlStateMachine) -> float | None:
    row = machine.table.members_by_name.get("a")
    return row.weight if row else None


ERA = EraBegan("era-1", 1)


def test_lost_changes_take_effect_again_once_and_in_any_order():
    first, second, third = change("t1", -1, 1.0), change("t2", 0, 2.0), change("t3", 1, 3.0)
    before = apply_changes(first, second, third)
    lost = [restore_record(second, 1), restore_record(third, 2)]
    assert before.lacks(before.state.verdicts_by_id) == ()
    assert apply_changes(first).lacks(before.state.verdicts_by_id) == ("t2", "t3")
    for order in (lost, lost[::-1], [*lost, *lost]):
        after = apply_changes(first, ERA, *order)
        assert (weight_of(after), after.lacks(before.state.verdicts_by_id)) == (3.0, ())
        assert after.revision_of("member/a") == before.revision_of("member/a")


def test_lost_change_does_not_undo_a_change_or_a_deletion_made_since():
    first, lost = change("t1", -1, 1.0), restore_record(change("t2", 0, 2.0), 1)
    deletion = TableChange("t8", {"member/a": 0}, (), ("member/a",))
    changed = apply_changes(first, ERA, change("t9", 0, 9.0), lost)
    deleted = apply_changes(first, ERA, deletion, lost)
    assert (weight_of(changed), weight_of(deleted)) == (9.0, None)


def test_lost_deletion_takes_a_member_away_again():
    lost = RestoredChange("t2", 1, (), ("member/a",))
    assert weight_of(apply_changes(change("t1", -1, 1.0), ERA, lost)) is None


def test_state_from_a_snapshot_agrees_with_one_from_the_whole_log():
    first, lost = change("t1", -1, 1.0), restore_record(change("t2", 0, 2.0), 1)
    whole, installed = apply_changes(first, ERA, lost), ControlStateMachine()
    assert installed.install_snapshot(apply_changes(first).create_snapshot())
    for offset, record in enumerate((ERA, lost), 1):
        installed.apply(offset, encode_control_record(record))
    assert installed.create_snapshot() == whole.create_snapshot()
    assert (whole.next_offset, era_of(whole.offset)) == (3, 1)


def entry(is_draining: bool, started_ms: int = 5) -> EndpointEntry:
    return EndpointEntry("i-1", "app", "10.0.0.1:80", "z", 4, is_draining, started_ms)


def test_endpoint_that_announced_its_shutdown_stays_leaving_until_it_starts_again():
    leaving = LeavingEndpoints()
    assert leaving.update([entry(True)]) == {"i-1"}
    assert leaving.update([entry(False)]) == {"i-1"}
    assert leaving.update([]) == {"i-1"}
    assert leaving.update([entry(False, 6)]) == set()


def test_endpoint_without_a_start_time_is_leaving_while_its_entry_says_so():
    leaving = LeavingEndpoints()
    assert leaving.update([entry(True, 0)]) == {"i-1"}
    assert leaving.update([entry(False, 0)]) == set()


@pytest.fixture(scope="module")
def running():
    with Fleet() as fleet:
        size = FederationSize(vms_per_zone=2)
        asyncio.run(start_federation(fleet, size, service_timeout_s=2.0))
        yield fleet


async def restore(fleet: Fleet) -> None:
    await fleet.set_faults(fleet.store, restored_eras=1)


def get_vms(fleet: Fleet):
    return list(fleet.vms_by_name.values())


def test_table_change_that_the_store_lost_stays_in_force(run, running):
    fleet = running
    options = ("--store-address", fleet.store.address)

    async def shown() -> str:
        return (await fleet.run_command("table", "show", *options))[1]

    async def is_restored() -> bool:
        return "agency,7.0" in await shown()

    async def scenario():
        await fleet.set_faults(fleet.store, is_copied=True)
        sheet = (await shown()).replace("agency,1.0", "agency,7.0")
        status, output = await fleet.apply_sheet(sheet)
        assert_that(status, Equals(0), output)
        await fleet.wait_converged()
        await restore(fleet)
        await wait_until(is_restored, "the lost change is in the log again")
        await fleet.wait_converged()
        sheet = (await shown()).replace("agency,7.0", "agency,8.0")
        status, output = await fleet.apply_sheet(sheet)
        assert_that(status, Equals(0), output)
        await fleet.wait_converged()
        assert_that(await shown(), Contains("agency,8.0"))

    run(scenario())


def test_member_deleted_in_the_lost_span_stays_refused(run, running):
    """Its requests are refused at any moment after the store came back."""
    fleet = running
    options = ("--store-address", fleet.store.address)

    async def is_refused(vm) -> bool:
        response = await stream_completion(vm.listen, "agency-secret", "[len=2] hello")
        return response.status == 401

    async def scenario():
        await fleet.set_faults(fleet.store, is_copied=True)
        _, text = await fleet.run_command("table", "show", *options)
        kept = [line for line in text.splitlines(True) if not line.startswith("member,agency")]
        status, output = await fleet.apply_sheet("".join(kept))
        assert_that(status, Equals(0), output)
        await wait_until(lambda: is_refused(get_vms(fleet)[0]), "the member is gone")
        await fleet.wait_converged()
        await restore(fleet)
        for _ in range(30):
            refused = [await is_refused(vm) for vm in get_vms(fleet)]
            assert_that(refused, Not(Contains(False)))
            await asyncio.sleep(0.1)
        _, text = await fleet.run_command("table", "show", *options)
        assert_that(text, Not(Contains("member,agency")))

    run(scenario())


def test_change_that_the_store_lost_twice_stays_in_force(run, running):
    """The copy is from before the change, also the second time."""
    fleet = running
    options = ("--store-address", fleet.store.address)

    async def shown() -> str:
        return (await fleet.run_command("table", "show", *options))[1]

    async def is_shown() -> bool:
        return "office,5.0" in await shown()

    async def scenario():
        await fleet.set_faults(fleet.store, is_copied=True)
        status, output = await fleet.apply_sheet(
            (await shown()).replace("office,1.0", "office,5.0")
        )
        assert_that(status, Equals(0), output)
        await fleet.wait_converged()
        for _ in range(2):
            await restore(fleet)
            await wait_until(is_shown, "the lost change is in the log again")
            await fleet.wait_converged()

    run(scenario())


def test_vm_that_starts_in_a_new_era_waits_for_lost_changes_before_it_is_ready(run, running):
    fleet = running

    async def scenario():
        await restore(fleet)
        started_at = time.monotonic()
        vm = fleet.add_vm("vm-late", "doto-1", "doto")
        await fleet.wait_ready(vm)
        assert time.monotonic() - started_at > REWRITE_S

    run(scenario())
