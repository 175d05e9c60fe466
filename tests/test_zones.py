"""Zones that are cut off, VMs that boot in an outage, and operators that race."""

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
from fakes.caller import look_up, stream, submit
from fakes.engine import answer_to
from fakes.federations import CLASSES, FILING, MODEL, endpoint, member, sheet
from fakes.fleet import Fleet, read_status, wait_until
from fakes.ports import free_address
from tests.helpers import TOKEN, Shape, count_runs, start_federation, verdict_of, wait

IN_FORCE_S = 9.0
SILENCE_NOTICED_S = 6.0


async def start_cut_federation(fleet: Fleet) -> None:
    """Starts two zones of one VM each, whose links to all others can be cut."""
    fleet.start_platform()
    zones = (("doto-1", "doto"), ("doo-1", "doo"))
    for zone, _ in zones:
        fleet.start_fake("engine", f"engine-{zone}", slots=8, step_s=0.004)
        fleet.start_fake("service", f"filing-{zone}")
    await fleet.wait_listening(*fleet.processes_by_name.values())
    rows = [member("office", limit=6), member("agency"), *CLASSES, MODEL, FILING]
    for zone, region in zones:
        rows.append(endpoint(fleet, f"engine-{zone}", "drafter", zone, region))
        rows.append(endpoint(fleet, f"filing-{zone}", "filing", zone, region))
    status, output = await fleet.apply_sheet(sheet(*rows))
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
    await fleet.wait_settled()


async def cut_zones(fleet: Fleet, zone: str, cut: bool) -> None:
    """Cuts one zone off from the platform, and both zones from each other; or heals."""
    for name in (f"store-{zone}", "bus-doto-1", "bus-doo-1"):
        await fleet.control(fleet.processes_by_name[name], cut=cut)


@pytest.fixture
def cut_fleet():
    with Fleet() as fleet:
        asyncio.run(start_cut_federation(fleet))
        yield fleet


def test_zone_cut_off_goes_on_and_converges(run, cut_fleet):
    fleet = cut_fleet
    here, there = fleet.vms_by_name.values()

    async def table_offset(vm) -> int:
        return (await read_status(vm.admin))["control_offset"]

    async def scenario():
        await cut_zones(fleet, "doto-1", True)
        await wait(3.0)
        for vm in (here, there):
            answer = await stream(vm.listen, TOKEN, "[len=12] cut off")
            assert_that(answer.text, Equals(answer_to("[len=12] cut off")))
            assert_that((await look_up(vm.listen, TOKEN, "x")).status, Equals(200))
        refused = await submit(here.listen, TOKEN, "cut-1", "cut-1")
        assert_that(verdict_of(refused), Equals("did_not_run"))
        served = await submit(there.listen, TOKEN, "cut-1", "cut-1")
        assert_that(served.status, Equals(200))
        changed = sheet(member("late"), *CLASSES, MODEL, FILING)
        before = await table_offset(here)
        status, output = await fleet.apply_sheet(changed, "--onto-current")
        assert_that(status, Equals(0), output)
        await wait_until(lambda: is_past(there, before), "the reachable zone has the change")
        assert_that(await table_offset(here), Equals(before))
        await cut_zones(fleet, "doto-1", False)
        healed_at = time.monotonic()
        await wait_until(lambda: is_past(here, before), "the cut zone has the change", 15.0)
        assert_that(time.monotonic() - healed_at, LessThan(IN_FORCE_S))
        assert_that(await count_runs(fleet, "cut-1"), Equals(1))

    async def is_past(vm, offset: int) -> bool:
        return await table_offset(vm) > offset

    run(scenario())


def test_silent_connections_between_vms_and_platform_are_replaced(run, cut_fleet):
    fleet = cut_fleet
    here, _ = fleet.vms_by_name.values()

    async def silence_s() -> float:
        return (await read_status(here.admin))["store_silence_s"]

    async def store_answers() -> bool:
        return await silence_s() < 1.5

    async def scenario():
        for name in ("store-doto-1", "bus-doto-1", "bus-doo-1"):
            await fleet.control(fleet.processes_by_name[name], silence=True)
        await wait(SILENCE_NOTICED_S)
        await wait_until(store_answers, "the store is read again")
        answer = await submit(here.listen, TOKEN, "silenced", "silenced")
        assert_that(answer.status, Equals(200))

    run(scenario())


def test_cut_off_reader_learns_changes_from_its_peers(run):
    async def scenario():
        with Fleet() as fleet:
            await start_federation(fleet, Shape(vms_per_zone=1))
            dead_store = fleet.start_link("dead-store", fleet.store.address)
            await fleet.wait_listening(dead_store)
            await fleet.control(dead_store, cut=True)
            vm = fleet.add_vm("vm-late", "doto-1", "doto", store_address=dead_store.address)
            await fleet.wait_ready(vm)
            answer = await stream(vm.listen, TOKEN, "[len=7] booted in an outage")
            assert_that(answer.text, Equals(answer_to("[len=7] booted in an outage")))
            _, shown = await fleet.run_command("table", "show", *store_of(fleet))
            changed = edit(shown, "agency", 3.0)
            status, output = await fleet.apply_sheet(changed)
            assert_that(status, Equals(0), output)
            offset = int(output.split()[-1])
            started = time.monotonic()

            async def has_change() -> bool:
                return (await read_status(vm.admin))["control_offset"] >= offset

            await wait_until(has_change, "the change came from a peer", 15.0)
            assert_that(time.monotonic() - started, LessThan(IN_FORCE_S))

    run(scenario())


def test_vm_boots_from_a_snapshot_alone(run):
    """All records have expired, and no other VM is left to tell them."""

    async def scenario():
        with Fleet() as fleet:
            await start_federation(fleet, Shape(vms_per_zone=1), snapshot_every_s=1.0)
            _, shown = await fleet.run_command("table", "show", *store_of(fleet))
            status, output = await fleet.apply_sheet(edit(shown, "agency", 3.0))
            assert_that(status, Equals(0), output)
            first = fleet.vms_by_name["vm-doto-1-0"]
            offset = (await read_status(first.admin))["control_offset"]
            await wait_until(lambda: has_snapshot(fleet, offset), "a snapshot covers all records")
            first.process.kill()
            await fetch(fleet.store.address, "POST", f"/log-trim?topic={CONTROL_TOPIC}")
            vm = fleet.add_vm("vm-new", "doto-1", "doto")
            await fleet.wait_ready(vm)
            answer = await stream(vm.listen, TOKEN, "[len=5] after expiry")
            assert_that(answer.whole, Equals(True))
            _, after = await fleet.run_command("table", "show", *store_of(fleet))
            assert_that(after, Contains("agency,3.0"))

    run(scenario())


def store_of(fleet: Fleet) -> tuple[str, str]:
    return "--store-address", fleet.store.address


async def has_snapshot(fleet: Fleet, offset: int) -> bool:
    client = StoreClient(fleet.store.address)
    records = (await client.read_newest(SNAPSHOTS_TOPIC)).records
    client.close()
    return any(s.offset >= offset for s in assemble_snapshots(r.value for r in records))


@pytest.fixture
def store_only():
    with Fleet() as fleet:
        fleet.start_platform()
        asyncio.run(fleet.wait_listening(fleet.store))
        yield fleet


def edit(shown: str, name: str, weight: float) -> str:
    """Returns a sheet with another weight of a member, as a person would edit it."""
    return shown.replace(f"member,{name},1.0,", f"member,{name},{weight},")


def test_operators_that_race_on_one_row_see_a_conflict(run, store_only):
    async def scenario():
        fleet = store_only
        await fleet.apply_sheet(sheet(member("a"), member("b"), *CLASSES))
        _, shown = await fleet.run_command("table", "show", *store_of(fleet))
        sheets = [edit(shown, "a", 2.0 + n) for n in range(4)]
        results = await asyncio.gather(*(fleet.apply_sheet(text) for text in sheets))
        assert_that(sorted(status for status, _ in results), Equals([0, 3, 3, 3]))
        winner = next(n for n, (status, _) in enumerate(results) if status == 0)
        _, after = await fleet.run_command("table", "show", *store_of(fleet))
        assert_that(after, Contains(f"member,a,{2.0 + winner}"))

    run(scenario())


def test_operators_that_edit_different_rows_both_win(run, store_only):
    async def scenario():
        fleet = store_only
        await fleet.apply_sheet(sheet(member("a"), member("b"), *CLASSES))
        _, shown = await fleet.run_command("table", "show", *store_of(fleet))
        results = await asyncio.gather(
            fleet.apply_sheet(edit(shown, "a", 2.0)), fleet.apply_sheet(edit(shown, "b", 3.0))
        )
        assert_that([status for status, _ in results], Equals([0, 0]), results)
        _, after = await fleet.run_command("table", "show", *store_of(fleet))
        assert_that(after, Contains("member,a,2.0"))
        assert_that(after, Contains("member,b,3.0"))

    run(scenario())


def test_apply_whose_answer_is_lost_takes_effect_once(run, store_only):
    async def scenario():
        fleet = store_only
        text = sheet(member("a"), *CLASSES)
        await fleet.control(fleet.store, lose_answers=1)
        status, output = await fleet.apply_sheet(text)
        assert_that(status, Equals(0), output)
        status, output = await fleet.apply_sheet(text)
        assert_that(output, Contains("nothing to change"))

    run(scenario())


def test_broker_frozen_and_back_breaks_no_limit(run):
    """The broker of a limited member is frozen past its loans, and goes on."""

    async def scenario():
        with Fleet() as fleet:
            await start_federation(fleet, Shape(vms_per_zone=3, slots=32, limit=6, step_s=0.03))
            vms = list(fleet.vms_by_name.values())
            broker = await find_broker(fleet, "drafter")
            askers = [vm for vm in vms if vm is not broker]
            prompts = [f"[len=60] limited {n}" for n in range(40)]
            running = [
                asyncio.create_task(stream(askers[n % 2].listen, TOKEN, prompt))
                for n, prompt in enumerate(prompts)
            ]
            await wait(1.0)
            broker.process.pause()
            await wait(4.0)
            broker.process.resume()
            for task, prompt in zip(running, prompts, strict=True):
                assert_that((await task).text, Equals(answer_to(prompt)))
            peak = await read_peak(fleet, "engine-doto-1-0")
            assert_that(peak, LessThan(7))
            assert_that(peak, GreaterThan(3))

    run(scenario())


async def find_broker(fleet: Fleet, pool: str):
    for vm in fleet.vms_by_name.values():
        status = await read_status(vm.admin)
        if any(broker["pool"] == pool for broker in status["brokers"]):
            return vm
    raise AssertionError(f"nobody brokers {pool}")


async def read_peak(fleet: Fleet, engine: str) -> int:
    """Returns the most requests that an engine ever held at once."""
    stats = await fetch(fleet.processes_by_name[engine].address, "GET", "/stats")
    return msgspec.json.decode(stats.body)["peak"]
