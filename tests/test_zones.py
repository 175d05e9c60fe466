"""Network partitions of zones, VMs that start during an outage, and concurrent operators."""

import asyncio
import time

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from bluebellpitch.decisions.snapshots import assemble_snapshots
from bluebellpitch.http1 import fetch
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.platform.topics import CONTROL_TOPIC, SNAPSHOTS_TOPIC
from fakes.client import look_up_case, stream_completion, submit_case
from fakes.engine import expected_completion
from fakes.fleet import Fleet, read_status, wait_until
from fakes.ports import free_address
from fakes.tables import CLASSES, FILING_POOL, MODEL_POOL, endpoint_row, member_row, new_sheet
from tests.helpers import (
    CREDENTIAL,
    FederationSize,
    count_runs,
    get_verdict,
    start_federation,
    wait,
)

CONVERGENCE_LIMIT_S = 9.0
SILENCE_DETECTION_S = 6.0


async def start_partitionable_federation(fleet: Fleet) -> None:
    """Starts two zones of one VM each, whose links to everything else can be cut."""
    fleet.start_store()
    zones = (("doto-1", "doto"), ("doo-1", "doo"))
    for zone, _ in zones:
        fleet.start_fake("engine", f"engine-{zone}", slots=8, step_s=0.004)
        fleet.start_fake("service", f"filing-{zone}")
    await fleet.wait_listening(*fleet.processes_by_name.values())
    rows = [member_row("office", limit=6), member_row("agency"), *CLASSES, MODEL_POOL, FILING_POOL]
    for zone, region in zones:
        rows.append(endpoint_row(fleet, f"engine-{zone}", "drafter", zone, region))
        rows.append(endpoint_row(fleet, f"filing-{zone}", "filing", zone, region))
    status, output = await fleet.apply_sheet(new_sheet(*rows))
    assert status == 0, output
    for zone, region in zones:
        store_link = fleet.start_link(f"store-{zone}", fleet.store.address)
        bus_bind = free_address()
        bus_link = fleet.start_link(f"bus-{zone}", bus_bind)
        await fleet.wait_listening(store_link, bus_link)
        fleet.add_vm(
            f"vm-{zone}",
            zone,
            region,
            bus=bus_link.address,
            bus_bind=bus_bind,
            store_address=store_link.address,
        )
    await fleet.wait_ready()
    await fleet.wait_converged()


async def set_partition(fleet: Fleet, zone: str, cut: bool) -> None:
    """Cuts a zone off from the platform and both zones from each other, or heals the partition."""
    for name in (f"store-{zone}", "bus-doto-1", "bus-doo-1"):
        await fleet.set_faults(fleet.processes_by_name[name], cut=cut)


@pytest.fixture
def partitionable_fleet():
    with Fleet() as fleet:
        asyncio.run(start_partitionable_federation(fleet))
        yield fleet


def test_partitioned_zone_keeps_serving_and_converges(run, partitionable_fleet):
    fleet = partitionable_fleet
    partitioned_vm, connected_vm = fleet.vms_by_name.values()

    async def table_offset(vm) -> int:
        return (await read_status(vm.admin))["control_offset"]

    async def scenario():
        await set_partition(fleet, "doto-1", True)
        await wait(3.0)
        for vm in (partitioned_vm, connected_vm):
            response = await stream_completion(vm.listen, CREDENTIAL, "[len=12] cut off")
            assert_that(response.text, Equals(expected_completion("[len=12] cut off")))
            assert_that((await look_up_case(vm.listen, CREDENTIAL, "x")).status, Equals(200))
        refused = await submit_case(partitioned_vm.listen, CREDENTIAL, "cut-1", "cut-1")
        assert_that(get_verdict(refused), Equals("did_not_run"))
        served = await submit_case(connected_vm.listen, CREDENTIAL, "cut-1", "cut-1")
        assert_that(served.status, Equals(200))
        changed = new_sheet(member_row("late"), *CLASSES, MODEL_POOL, FILING_POOL)
        before = await table_offset(partitioned_vm)
        status, output = await fleet.apply_sheet(changed, "--onto-current")
        assert_that(status, Equals(0), output)
        await wait_until(
            lambda: has_passed(connected_vm, before), "the reachable zone has the change"
        )
        assert_that(await table_offset(partitioned_vm), Equals(before))
        await set_partition(fleet, "doto-1", False)
        healed_at = time.monotonic()
        await wait_until(
            lambda: has_passed(partitioned_vm, before), "the partitioned zone has the change", 15.0
        )
        assert_that(time.monotonic() - healed_at, LessThan(CONVERGENCE_LIMIT_S))
        assert_that(await count_runs(fleet, "cut-1"), Equals(1))

    async def has_passed(vm, offset: int) -> bool:
        return await table_offset(vm) > offset

    run(scenario())


def test_silently_dead_connections_to_vms_and_platform_are_replaced(run, partitionable_fleet):
    fleet = partitionable_fleet
    vm, _ = fleet.vms_by_name.values()

    async def silence_s() -> float:
        return (await read_status(vm.admin))["store_silence_s"]

    async def store_responds() -> bool:
        return await silence_s() < 1.5

    async def scenario():
        for name in ("store-doto-1", "bus-doto-1", "bus-doo-1"):
            await fleet.set_faults(fleet.processes_by_name[name], silence=True)
        await wait(SILENCE_DETECTION_S)
        await wait_until(store_responds, "the store is read again")
        response = await submit_case(vm.listen, CREDENTIAL, "silenced", "silenced")
        assert_that(response.status, Equals(200))

    run(scenario())


def test_vm_without_store_access_learns_changes_from_its_peers(run):
    async def scenario():
        with Fleet() as fleet:
            await start_federation(fleet, FederationSize(vms_per_zone=1))
            dead_store = fleet.start_link("dead-store", fleet.store.address)
            await fleet.wait_listening(dead_store)
            await fleet.set_faults(dead_store, cut=True)
            vm = fleet.add_vm("vm-late", "doto-1", "doto", store_address=dead_store.address)
            await fleet.wait_ready(vm)
            response = await stream_completion(vm.listen, CREDENTIAL, "[len=7] booted in an outage")
            assert_that(response.text, Equals(expected_completion("[len=7] booted in an outage")))
            _, sheet_text = await fleet.run_command("table", "show", *store_options(fleet))
            changed = with_weight(sheet_text, "agency", 3.0)
            status, output = await fleet.apply_sheet(changed)
            assert_that(status, Equals(0), output)
            offset = int(output.split()[-1])
            started_at = time.monotonic()

            async def has_change() -> bool:
                return (await read_status(vm.admin))["control_offset"] >= offset

            await wait_until(has_change, "the change came from a peer", 15.0)
            assert_that(time.monotonic() - started_at, LessThan(CONVERGENCE_LIMIT_S))

    run(scenario())


def test_vm_starts_from_a_snapshot_alone(run):
    """All records have expired, and no other VM is left to send them."""

    async def scenario():
        with Fleet() as fleet:
            await start_federation(fleet, FederationSize(vms_per_zone=1), snapshot_every_s=1.0)
            _, sheet_text = await fleet.run_command("table", "show", *store_options(fleet))
            status, output = await fleet.apply_sheet(with_weight(sheet_text, "agency", 3.0))
            assert_that(status, Equals(0), output)
            first_vm = fleet.vms_by_name["vm-doto-1-0"]
            offset = (await read_status(first_vm.admin))["control_offset"]
            await wait_until(lambda: has_snapshot(fleet, offset), "a snapshot covers all records")
            first_vm.process.kill()
            await fetch(fleet.store.address, "POST", f"/log-trim?topic={CONTROL_TOPIC}")
            vm = fleet.add_vm("vm-new", "doto-1", "doto")
            await fleet.wait_ready(vm)
            response = await stream_completion(vm.listen, CREDENTIAL, "[len=5] after expiry")
            assert_that(response.complete, Equals(True))
            _, sheet_after = await fleet.run_command("table", "show", *store_options(fleet))
            assert_that(sheet_after, Contains("agency,3.0"))

    run(scenario())


def store_options(fleet: Fleet) -> tuple[str, str]:
    return "--store-address", fleet.store.address


async def has_snapshot(fleet: Fleet, offset: int) -> bool:
    client = StoreClient(fleet.store.address)
    records = (await client.read_newest(SNAPSHOTS_TOPIC)).records
    client.close()
    return any(s.offset >= offset for s in assemble_snapshots(r.value for r in records))


@pytest.fixture
def store_fleet():
    with Fleet() as fleet:
        fleet.start_store()
        asyncio.run(fleet.wait_listening(fleet.store))
        yield fleet


def with_weight(sheet_text: str, name: str, weight: float) -> str:
    """Returns the sheet with a member's weight changed, as an operator would edit it."""
    return sheet_text.replace(f"member,{name},1.0,", f"member,{name},{weight},")


def test_concurrent_edits_of_one_row_conflict(run, store_fleet):
    async def scenario():
        fleet = store_fleet
        await fleet.apply_sheet(new_sheet(member_row("a"), member_row("b"), *CLASSES))
        _, sheet_text = await fleet.run_command("table", "show", *store_options(fleet))
        sheets = [with_weight(sheet_text, "a", 2.0 + n) for n in range(4)]
        results = await asyncio.gather(*(fleet.apply_sheet(text) for text in sheets))
        assert_that(sorted(status for status, _ in results), Equals([0, 3, 3, 3]))
        winner = next(n for n, (status, _) in enumerate(results) if status == 0)
        _, sheet_after = await fleet.run_command("table", "show", *store_options(fleet))
        assert_that(sheet_after, Contains(f"member,a,{2.0 + winner}"))

    run(scenario())


def test_concurrent_edits_of_different_rows_both_succeed(run, store_fleet):
    async def scenario():
        fleet = store_fleet
        await fleet.apply_sheet(new_sheet(member_row("a"), member_row("b"), *CLASSES))
        _, sheet_text = await fleet.run_command("table", "show", *store_options(fleet))
        results = await asyncio.gather(
            fleet.apply_sheet(with_weight(sheet_text, "a", 2.0)),
            fleet.apply_sheet(with_weight(sheet_text, "b", 3.0)),
        )
        assert_that([status for status, _ in results], Equals([0, 0]), results)
        _, sheet_after = await fleet.run_command("table", "show", *store_options(fleet))
        assert_that(sheet_after, Contains("member,a,2.0"))
        assert_that(sheet_after, Contains("member,b,3.0"))

    run(scenario())


def test_apply_with_a_lost_response_takes_effect_once(run, store_fleet):
    async def scenario():
        fleet = store_fleet
        text = new_sheet(member_row("a"), *CLASSES)
        await fleet.set_faults(fleet.store, lose_answers=1)
        status, output = await fleet.apply_sheet(text)
        assert_that(status, Equals(0), output)
        status, output = await fleet.apply_sheet(text)
        assert_that(output, Contains("nothing to change"))

    run(scenario())


def test_broker_paused_past_its_loans_exceeds_no_limit(run):
    """The broker of a member with a limit is paused until its loans expire, then resumed."""

    async def scenario():
        with Fleet() as fleet:
            await start_federation(
                fleet, FederationSize(vms_per_zone=3, slots=32, limit=6, step_s=0.03)
            )
            vms = list(fleet.vms_by_name.values())
            broker = await find_broker(fleet, "drafter")
            requesters = [vm for vm in vms if vm is not broker]
            prompts = [f"[len=60] limited {n}" for n in range(40)]
            running = [
                asyncio.create_task(stream_completion(requesters[n % 2].listen, CREDENTIAL, prompt))
                for n, prompt in enumerate(prompts)
            ]
            await wait(1.0)
            broker.process.pause()
            await wait(4.0)
            broker.process.resume()
            for task, prompt in zip(running, prompts, strict=True):
                assert_that((await task).text, Equals(expected_completion(prompt)))
            max_running = await read_max_running(fleet, "engine-doto-1-0")
            assert_that(max_running, LessThan(7))
            assert_that(max_running, GreaterThan(3))

    run(scenario())


async def find_broker(fleet: Fleet, pool: str):
    for vm in fleet.vms_by_name.values():
        status = await read_status(vm.admin)
        if any(broker["pool"] == pool for broker in status["brokers"]):
            return vm
    raise AssertionError(f"no VM brokers {pool}")


async def read_max_running(fleet: Fleet, engine: str) -> int:
    """Returns the largest number of requests that an engine ever held at once."""
    stats = await fetch(fleet.processes_by_name[engine].address, "GET", "/stats")
    return msgspec.json.decode(stats.body)["peak"]
