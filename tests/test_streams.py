"""Streams: every client gets its complete response despite faults of engines and VMs."""

import asyncio
import signal
from dataclasses import replace

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from bluebellpitch.http1 import fetch
from bluebellpitch.operators.sheet import format_sheet, parse_sheet
from fakes.client import StreamedResponse, stream_completion
from fakes.engine import expected_completion
from fakes.fleet import Fleet, is_ready, read_status, wait_until
from fakes.ports import free_address
from tests.helpers import CREDENTIAL, FederationSize, start_federation, wait

ENGINES = ("engine-doto-1-0", "engine-doto-1-1", "engine-doto-1-2")
SIZE = FederationSize(vms_per_zone=2, engines_per_zone=3, slots=4, step_s=0.01)
MAX_CRASHED_ENGINES = 3
LEAVING_PROPAGATION_S = 4.0


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        asyncio.run(start_federation(fleet, SIZE, stall_s=1.0))
        yield fleet


def get_vm(fleet, index: int = 0):
    return list(fleet.vms_by_name.values())[index]


def assert_complete(response: StreamedResponse, prompt: str):
    assert_that(response.status, Equals(200), response.text)
    assert_that(response.complete, Equals(True))
    assert_that(response.text, Equals(expected_completion(prompt)))


def start_stream(fleet, prompt: str, class_name: str = "draft", vm_index: int = 0) -> asyncio.Task:
    return asyncio.create_task(
        stream_completion(get_vm(fleet, vm_index).listen, CREDENTIAL, prompt, class_name)
    )


async def wait_for_busy_engine(fleet, prompt_count: int) -> str:
    """Waits until so many requests run; returns an engine that runs some of them."""
    busy_engines = []

    async def all_run() -> bool:
        statuses = [await read_status(vm.admin) for vm in fleet.vms_by_name.values()]
        brokers = [b for s in statuses if s for b in s["brokers"] if b["pool"] == "drafter"]
        rows = [row for broker in brokers for row in broker["endpoints"]]
        busy_engines[:] = [row["name"] for row in rows if row["running"]]
        return sum(row["running"] for row in rows) >= prompt_count

    await wait_until(all_run, f"{prompt_count} requests run")
    return busy_engines[0]


async def has_first_tokens(fleet, count: int) -> bool:
    """Returns whether the timeline has the first tokens of so many requests."""
    admins = [text for vm in fleet.vms_by_name.values() for text in ("--vm", vm.admin)]
    _, events = await fleet.run_command("timeline", *admins, "--as", "pairs")
    return events.count("event=first_token") >= count


async def restart_crashed_engines(fleet) -> list[str]:
    """Restarts crashed engines, as a supervisor does, until cancelled; returns their names."""
    crashed = []
    try:
        while True:
            for name in [n for n in fleet.processes_by_name if n.startswith("engine-")]:
                if fleet.processes_by_name[name].popen.poll() is not None:
                    crashed.append(name)
                    fleet.restart_fake(name, "engine", slots=4, step_s=0.01)
            await asyncio.sleep(0.05)
    except asyncio.CancelledError:
        return crashed


def test_stream_is_resumed_after_its_engine_is_killed(run, fleet):
    async def scenario():
        prompts = [f"[len=120] long {n}" for n in range(8)]
        running = [start_stream(fleet, prompt, vm_index=n % 2) for n, prompt in enumerate(prompts)]
        name = await wait_for_busy_engine(fleet, len(prompts))
        await wait(0.4)
        fleet.processes_by_name[name].kill()
        for task, prompt in zip(running, prompts, strict=True):
            assert_complete(await task, prompt)

    run(scenario())


def test_silent_connections_are_replaced(run, fleet):
    async def scenario():
        prompts = [f"[len=150] silent {n}" for n in range(6)]
        running = [start_stream(fleet, prompt) for prompt in prompts]
        name = await wait_for_busy_engine(fleet, len(prompts))
        await wait(0.3)
        await fleet.set_faults(fleet.processes_by_name[name], silent=True)
        for task, prompt in zip(running, prompts, strict=True):
            assert_complete(await asyncio.wait_for(task, 30), prompt)

    run(scenario())


def test_streams_of_a_frozen_engine_complete(run, fleet):
    async def scenario():
        prompts = [f"[len=100] frozen {n}" for n in range(6)]
        running = [start_stream(fleet, prompt) for prompt in prompts]
        name = await wait_for_busy_engine(fleet, len(prompts))
        await wait(0.3)
        fleet.processes_by_name[name].pause()
        for task, prompt in zip(running, prompts, strict=True):
            assert_complete(await asyncio.wait_for(task, 30), prompt)

    run(scenario())


def test_poisonous_request_crashes_few_engines_other_streams_complete(run, fleet):
    async def scenario():
        restarter = asyncio.create_task(restart_crashed_engines(fleet))
        prompts = [f"[len=200] neighbour {n}" for n in range(9)]
        running = [start_stream(fleet, prompt, vm_index=n % 2) for n, prompt in enumerate(prompts)]
        await wait_for_busy_engine(fleet, len(prompts))
        for number in range(6):
            response = await stream_completion(
                get_vm(fleet, number % 2).listen, CREDENTIAL, "[crash] poison", "draft"
            )
            assert_that(response.complete, Equals(False))
        last = await stream_completion(get_vm(fleet).listen, CREDENTIAL, "[crash] poison", "draft")
        assert_that(last.status, Equals(422))
        assert_that(last.text, Contains("crashes_endpoints"))
        for task, prompt in zip(running, prompts, strict=True):
            assert_complete(await task, prompt)
        restarter.cancel()
        assert_that(len(await restarter), LessThan(MAX_CRASHED_ENGINES + 1))

    run(scenario())


def test_poisonous_request_is_limited_despite_message_delay(run):
    """Guards against two VMs that each try the request before hearing of the other's crashes.

    Messages to the second VM take 0.3 s, and the client sends the request there at once.
    """

    async def scenario():
        with Fleet() as fleet:
            await start_federation(
                fleet, replace(SIZE, vms_per_zone=1, engines_per_zone=6), stall_s=1.0
            )
            bus_bind = free_address()
            bus = fleet.start_link("slow-bus", bus_bind, delay_s=0.3)
            await fleet.wait_listening(bus)
            fleet.add_vm("vm-late", "doto-1", "doto", bus=bus.address, bus_bind=bus_bind)
            await fleet.wait_ready()
            await fleet.wait_converged()
            restarter = asyncio.create_task(restart_crashed_engines(fleet))
            for number in range(2):
                await stream_completion(
                    get_vm(fleet, number).listen, CREDENTIAL, "[crash] poison", "draft"
                )
            await wait(0.3)
            restarter.cancel()
            assert_that(len(await restarter), LessThan(MAX_CRASHED_ENGINES + 1))

    run(scenario())


def test_preempted_requests_complete(run, fleet):
    async def scenario():
        prompts = [f"[len=500] dossier {n}" for n in range(14)]
        running = [
            start_stream(fleet, prompt, "dossier", n % 2) for n, prompt in enumerate(prompts)
        ]
        await wait_until(lambda: has_first_tokens(fleet, 12), "12 dossiers have tokens")
        rewrites = [f"[len=10] rewrite {n}" for n in range(4)]
        quick = [start_stream(fleet, prompt, "rewrite") for prompt in rewrites]
        for task, prompt in zip(quick, rewrites, strict=True):
            assert_complete(await task, prompt)
        assert_that(any(not task.done() for task in running), Equals(True))
        for task, prompt in zip(running, prompts, strict=True):
            assert_complete(await task, prompt)
        _, events = await fleet.run_command(
            "timeline", "--vm", get_vm(fleet).admin, "--vm", get_vm(fleet, 1).admin, "--as", "pairs"
        )
        assert_that(events, Contains("event=preempted"))
        assert_that(events, Contains("event=resumed"))

    run(scenario())


async def stream_to_ready_vms(fleet, stop: asyncio.Event, responses: list) -> None:
    """Sends requests one by one to VMs that are ready, as a load balancer does."""
    number = 0
    while not stop.is_set():
        number += 1
        ready = [vm for vm in fleet.vms_by_name.values() if await is_ready(vm.admin)]
        prompt = f"[len=15] rolling {number}"
        responses.append(
            (await stream_completion(ready[number % len(ready)].listen, CREDENTIAL, prompt), prompt)
        )


def test_vms_replaced_one_by_one_fail_no_request(run, fleet):
    async def scenario():
        stop, responses = asyncio.Event(), []
        clients = [
            asyncio.create_task(stream_to_ready_vms(fleet, stop, responses)) for _ in range(6)
        ]
        for name in tuple(fleet.vms_by_name):
            vm = fleet.vms_by_name[name]
            prompt = f"[len=150] held by {name}"
            open_stream = asyncio.create_task(stream_completion(vm.listen, CREDENTIAL, prompt))
            await wait(0.3)
            vm.process.send_signal(signal.SIGTERM)
            status = await asyncio.to_thread(vm.process.popen.wait, 30)
            assert_that(status, Equals(0))
            assert_complete(await open_stream, prompt)
            fleet.start_vm(vm)
            await fleet.wait_ready(vm)
            await fleet.wait_converged()
        stop.set()
        await asyncio.gather(*clients)
        for response, prompt in responses:
            assert_complete(response, prompt)
        assert_that(len(responses), GreaterThan(20))

    run(scenario())


def test_leaving_endpoint_completes_its_streams_and_gets_no_new_requests(run, fleet):
    async def scenario():
        prompts = [f"[len=150] staying {n}" for n in range(6)]
        running = [start_stream(fleet, prompt) for prompt in prompts]
        name = await wait_for_busy_engine(fleet, len(prompts))
        _, exported = await fleet.run_command(
            "table", "show", "--store-address", fleet.store.address
        )
        assert_that(len(parse_sheet(exported).rows), GreaterThan(5))
        lines = [
            mark_leaving(line) if f",{name}," in line else line for line in exported.split("\n")
        ]
        status, output = await fleet.apply_sheet("\n".join(lines))
        assert_that(status, Equals(0), output)
        await wait(1.0)
        responses = [
            await stream_completion(get_vm(fleet).listen, CREDENTIAL, f"[len=3] new {n}")
            for n in range(12)
        ]
        endpoints_used = {response.headers["x-bluebellpitch-endpoint"] for response in responses}
        assert_that(name in endpoints_used, Equals(False))
        for task, prompt in zip(running, prompts, strict=True):
            assert_complete(await task, prompt)

    run(scenario())


def test_endpoint_leaving_by_platform_entry_gets_no_new_requests(run, fleet):
    """The entry in the store says draining, while the row in the table still says live."""

    async def scenario():
        await fleet.publish_draining_entry(ENGINES[0])
        await wait(LEAVING_PROPAGATION_S)
        responses = [
            await stream_completion(get_vm(fleet).listen, CREDENTIAL, f"[len=3] new {n}")
            for n in range(12)
        ]
        endpoints_used = {response.headers["x-bluebellpitch-endpoint"] for response in responses}
        assert_that(ENGINES[0] in endpoints_used, Equals(False), endpoints_used)

    run(scenario())


def test_disconnected_client_frees_its_slot(run, fleet):
    async def scenario():
        running = [start_stream(fleet, f"[len=2000] left {n}") for n in range(6)]
        await wait_for_busy_engine(fleet, 6)
        await wait(0.3)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

        async def all_free() -> bool:
            counts = [await count_held(fleet, name) for name in ENGINES]
            statuses = [await read_status(vm.admin) for vm in fleet.vms_by_name.values()]
            return not sum(counts) and not sum(status["in_flight"] for status in statuses)

        await wait_until(all_free, "engines and VMs hold nothing", 5.0)

    run(scenario())


async def count_held(fleet, name: str) -> int:
    response = await fetch(fleet.processes_by_name[name].address, "GET", "/count?left")
    return msgspec.json.decode(response.body)["held"]


def mark_leaving(line: str) -> str:
    return line.replace(",live,", ",leaving,")


def test_exported_sheet_applies_without_changes(run, fleet):
    async def scenario():
        _, exported = await fleet.run_command(
            "table", "show", "--store-address", fleet.store.address
        )
        status, output = await fleet.apply_sheet(exported)
        assert_that(status, Equals(0))
        assert_that(output, Contains("nothing to change"))

    run(scenario())
    assert_that(format_sheet([]).startswith("kind,name"), Equals(True))
