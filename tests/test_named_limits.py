"""Endpoints that name how many requests they take, over real sockets and in virtual time."""

import asyncio
import random

import pytest

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.generation_decisions import Granted, Refused
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.named_limits import LIMIT_TTL_S, NamedLimits
from bluebellpitch.platform.http_messages import decode_limit
from fakes.prepared_deployment import KeepAliveClient, wait_until
from tests.prepared_helpers import in_deployment, start_deployment

WINDOW_S = 4.0
# Beyond any stall of a busy machine: an answer that is not there by then is lost.
PATIENCE_S = 8.0
# Of three VMs that share three requests a second.
TURN_INTERVAL_S = 1.0
KEY = ("i-0", 1)


def most_in_window(times, seconds=WINDOW_S):
    """Returns the largest number of times within any window."""
    ordered = sorted(times)
    return max(
        (sum(start <= other < start + seconds for other in ordered) for start in ordered), default=0
    )


def allowed_in_window(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


@pytest.mark.parametrize("limit", [0.3, 1.0, 6.0, 20.0])
@pytest.mark.parametrize("vm_count", [1, 7, 100])
@pytest.mark.parametrize("idle_s", [0.0, 3.3])
def test_shares_of_all_vms_stay_within_the_limit(limit, vm_count, idle_s):
    source = random.Random(7)
    vms = [NamedLimits(random=source.random) for _ in range(vm_count)]
    sent = []
    for limits in vms:
        limits.record(KEY, limit, 1 / vm_count, 0.0)
    # All VMs have nothing to send at first, and then more than they may.
    for step in range(160):
        now = idle_s + step / 20
        for limits in vms:
            while limits.wait_s(KEY, now) <= 0:
                limits.take_turn(KEY, now)
                limits.record(KEY, limit, 1 / vm_count, now)
                sent.append(now)
    assert most_in_window(sent) <= allowed_in_window(limit)
    assert len(sent) >= 0.7 * limit * 8 - 3


def test_limit_ends_with_an_answer_that_names_none_or_in_time():
    limits = NamedLimits()
    assert limits.record(KEY, 0.5, 1.0, 0.0)
    assert limits.wait_s(KEY, 0.0) > 0 or limits.find(KEY, 0.0)
    assert limits.record(KEY, None, 1.0, 1.0)
    assert limits.find(KEY, 1.0) is None
    limits.record(KEY, 10.0, 1.0, 2.0)
    assert limits.find(KEY, 2.0 + LIMIT_TTL_S) is not None
    assert limits.find(KEY, 3.0 + LIMIT_TTL_S) is None


def test_limits_of_endpoints_that_are_gone_are_dropped():
    limits = NamedLimits()
    for number in range(100):
        limits.record((f"i-{number}", 1), 10.0, 1.0, number * 20.0)
    assert len(limits._by_incarnation) == 1


@pytest.mark.parametrize("text", ["", "many", "nan", "inf", "-1"])
def test_malformed_limit_is_none(text):
    assert decode_limit(text) is None


def make_work(number, now, rank=1):
    return WorkItem(f"w{number}", "pool", rank, 100, 20, (), 0.5, 0.3, now, now + 5.0)


def make_broker(engine_count):
    broker = GenerationBroker("pool")
    entries = [
        EndpointEntry(f"i-{n}", "pool", f"10.0.0.{n}:80", "z", 64, False, 1)
        for n in range(engine_count)
    ]
    broker.set_engines(entries, 64, 500_000, 0.3)
    return broker


def run_broker(broker, limits_by_engine, requests_per_s, seconds):
    """Submits work at an even rate; returns the times of grants by engine, and the refusals."""
    granted_at_by_engine: dict[str, list[float]] = {}
    refused, number = [], 0
    for step in range(int(seconds * 50)):
        now = step / 50
        decisions = []
        if step * requests_per_s // 50 != (step - 1) * requests_per_s // 50:
            number += 1
            decisions += broker.submit(make_work(number, now), "vm", frozenset(), now)
        decisions += broker.schedule(now)
        for decision in decisions:
            match decision:
                case Granted(work_id, _, entry):
                    granted_at_by_engine.setdefault(entry.id, []).append(now)
                    broker.record_limit(entry.incarnation, limits_by_engine.get(entry.id), now)
                    broker.finish(work_id, "ok", now)
                case Refused():
                    refused.append(decision)
    return granted_at_by_engine, refused


def test_broker_grants_no_more_than_an_engine_names_and_uses_the_others():
    granted_at_by_engine, refused = run_broker(make_broker(2), {"i-0": 3.0}, 20, 12)
    assert most_in_window(granted_at_by_engine["i-0"]) <= allowed_in_window(3.0)
    assert len(granted_at_by_engine["i-1"]) >= 180
    assert not refused


def test_broker_refuses_what_the_limits_of_all_engines_leave_over():
    granted_at_by_engine, refused = run_broker(make_broker(2), {"i-0": 3.0, "i-1": 3.0}, 20, 12)
    for granted_at in granted_at_by_engine.values():
        assert most_in_window(granted_at) <= allowed_in_window(3.0)
        assert len(granted_at) >= 30
    assert {refusal.reason for refusal in refused} <= {"no_capacity_in_time", "waited_too_long"}
    assert len(refused) > 100


async def call_for(seconds, interval_s, *calls):
    """Starts calls in turn at an even rate; returns the statuses of all."""
    loop = asyncio.get_running_loop()
    started_at, tasks, number = loop.time(), [], 0
    while loop.time() - started_at < seconds:
        tasks.append(asyncio.create_task(calls[number % len(calls)](number)))
        number += 1
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


def call_with(settings, method, path, is_stream=False):
    async def call(number):
        client = KeepAliveClient(settings)
        name = f"{settings.vm_name}.{number}"
        if is_stream:
            response = await client.stream(path, name, patience_s=PATIENCE_S)
        else:
            response = await client.call(method, path, name, patience_s=PATIENCE_S)
        client.disconnect()
        return response.status

    return call


async def call_until_answered(call):
    """Calls until a VM's turn comes, within two of its turns: only then it hears of the end."""
    async with asyncio.timeout(2 * TURN_INTERVAL_S):
        while await call(-2) != 200:
            await asyncio.sleep(0.05)


async def check_limit(deployment, pool, method, path, is_stream):
    endpoints, _ = await start_deployment(deployment, pool)
    for _ in range(2):
        vm = await deployment.add_vm()
        await wait_until(lambda vm=vm: len(vm.directory.entries_by_id) == 1)
    for vm in deployment.vms:
        await wait_until(lambda vm=vm: vm.peer_discovery.possible_vm_count() == 3)
    endpoints[0].limit_per_s = 3.0
    calls = [call_with(vm.settings, method, path, is_stream) for vm in deployment.vms]
    await asyncio.gather(*(call(-1) for call in calls))
    await asyncio.sleep(0.5)
    started_at = asyncio.get_running_loop().time()
    statuses = await call_for(7.0, 0.03, *calls)
    arrived = [at for at in endpoints[0].arrived_at if at >= started_at]
    assert most_in_window(arrived) <= allowed_in_window(3.0)
    assert 10 <= statuses.count(200) <= len(arrived)
    assert {*statuses} <= {200, 503}
    endpoints[0].limit_per_s = None
    await asyncio.sleep(2.0)
    await asyncio.gather(*(call_until_answered(call) for call in calls))
    statuses = await call_for(1.0, 0.03, *calls)
    assert statuses.count(200) >= 0.8 * len(statuses)


@in_deployment
async def test_service_gets_no_more_than_it_names_from_all_vms(deployment):
    await check_limit(deployment, "app", "GET", "/look/7", is_stream=False)


@in_deployment
async def test_engine_gets_no_more_than_it_names_from_all_vms(deployment):
    await check_limit(deployment, "engines", "POST", "/draft/7", is_stream=True)


def test_short_prompts_leave_the_turns_of_a_limited_engine_to_long_ones():
    broker = make_broker(2)
    broker.record_limit(("i-0", 1), 3.0, 0.0)
    engines = []
    for step in range(200):
        now = step / 20
        for decision in broker.submit(make_work(step, now), "vm", frozenset(), now):
            match decision:
                case Granted(work_id, _, entry):
                    engines.append(entry.id)
                    broker.record_limit(("i-0", 1), 3.0, now)
                    broker.finish(work_id, "ok", now)
    assert len(engines) == 200
    assert engines.count("i-0") <= 5
