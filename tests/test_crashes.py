"""Endpoints that crash, over real sockets: what counts as a crash, and what is refused for it."""

import asyncio
import time

import pytest

from bluebellpitch.decisions.crash_evidence import SuspectRun
from bluebellpitch.http1 import client as http_client
from fakes.prepared_deployment import wait_until
from tests.prepared_helpers import in_deployment, start_deployment


@pytest.fixture
def delayed_connections(monkeypatch):
    """Delays new connections as long as those to another region take."""
    open_streams = http_client.open_streams

    async def open_late(host, port):
        await asyncio.sleep(0.06)
        return await open_streams(host, port)

    monkeypatch.setattr(http_client, "open_streams", open_late)


def test_answer_lost_far_away_is_no_strike(delayed_connections):
    @in_deployment
    async def scenario(deployment):
        endpoints, client = await start_deployment(deployment, "app", "app", "app")
        for endpoint in endpoints:
            endpoint.mode = "reset"
        statuses = [
            (await client.call("POST", "/file/7", f"r{number}", b"case")).status
            for number in range(6)
        ]
        assert statuses == [502] * 6

    scenario()


def test_connection_that_gets_no_answer_is_no_crash(monkeypatch):
    open_streams = http_client.open_streams
    silent_ports: set[int] = set()

    async def open_or_hang(host, port):
        if port in silent_ports:
            await asyncio.sleep(60)
        return await open_streams(host, port)

    monkeypatch.setattr(http_client, "open_streams", open_or_hang)

    @in_deployment
    async def scenario(deployment):
        (app,), client = await start_deployment(deployment, "app")
        serve = app.serve

        async def fall_silent(connection, request):
            silent_ports.add(int(app.address.rpartition(":")[2]))
            await serve(connection, request)

        app.serve, app.mode = fall_silent, "reset"
        assert (await client.call("POST", "/file/7", "r1", b"case")).status == 502
        await asyncio.sleep(0.6)
        assert not deployment.vms[0].strikes.tracker._strikes_by_fingerprint

    scenario()


async def call_until_refused(deployment, endpoints, clients, path="/draft/7", count=9):
    """Sends prompts with the deadly part, no two alike; returns statuses and number of crashes."""
    statuses, crashes = [], 0
    for number in range(count):
        parts = ("caller", "bad", f"middle{number}")
        client = clients[number % len(clients)]
        statuses.append((await client.stream(path, f"b{number}", parts=parts)).status)
        await asyncio.sleep(0.2)
        for endpoint in endpoints:
            if endpoint.is_down:
                crashes += 1
                await endpoint.restart()
                deployment.publish_entry(endpoint, "engines", born=100 + crashes, seq=1)
        await asyncio.sleep(0.1)
    return statuses, crashes


@in_deployment
async def test_deadly_part_crashes_few_endpoints_and_its_neighbours_go_on(deployment):
    endpoints, client = await start_deployment(deployment, *["engines"] * 6)
    other = deployment.add_client(await deployment.add_vm())
    await wait_until(lambda: len(deployment.vms[1].directory.entries_by_id) == 6)
    for endpoint in endpoints:
        endpoint.deadly_part = "bad"
    for number in range(3):
        assert (await client.stream("/draft/7", f"s{number}", parts=("caller",))).status == 200
    statuses, crashes = await call_until_refused(deployment, endpoints, [client, other])
    assert crashes <= 5
    assert statuses[-4:] == [503] * 4
    reached = [e.requests for e in endpoints]
    assert not any(r.header("request-id") == "b8" for requests in reached for r in requests)
    for number, sender in enumerate((client, other)):
        response = await sender.stream("/draft/7", f"t{number}", parts=("caller", "middle0"))
        assert response.status == 200


@in_deployment
async def test_vm_that_starts_after_the_crashes_refuses_the_deadly_part(deployment):
    endpoints, client = await start_deployment(deployment, *["engines"] * 6)
    for endpoint in endpoints:
        endpoint.deadly_part = "bad"
    await call_until_refused(deployment, endpoints, [client], count=5)
    vm = await deployment.add_vm()
    await wait_until(lambda: vm.crash_tracker.find_deadly(("caller", "bad")) is not None)
    client = deployment.add_client(vm)
    response = await client.stream("/draft/7", "x", parts=("caller", "bad"))
    assert response.status == 503


@in_deployment
async def test_request_being_read_is_stopped_when_its_part_is_found_deadly(deployment):
    (engine,), client = await start_deployment(deployment, "engines")
    tracker = deployment.vms[0].crash_tracker
    engine.deadly_part, engine.deadly_after_s = "bad", 1.5
    call = asyncio.create_task(client.stream("/draft/7", "r1", parts=("bad",)))
    await wait_until(lambda: engine.ran == ["r1"])
    now = time.monotonic()
    for number in range(3):
        suspects = (SuspectRun(f"b{number}", ("bad",)),)
        tracker.record_crash(f"i-{number}/9", now - 3 + number, suspects)
    response = await call
    # It had been sent, so it may have run; the engine sees it cancelled before it crashes.
    assert response.status == 502
    await wait_until(lambda: engine.cancelled == 1)
    assert not engine.is_down
