"""Requests that come while a VM stops as planned are completed, refused or answered in time."""

import asyncio
import time

import h11
import pytest

from bluebellpitch.decisions.shutdown import (
    ANSWER_TIME_S,
    GRACE_SHARE,
    DurationEstimates,
    ShutdownSchedule,
)
from bluebellpitch.draining import LAST_REQUESTS_SHARE, STOP_LISTENING_SHARE
from bluebellpitch.errors import ConnectionLostError
from bluebellpitch.http1 import ClientConnection, HttpLimits, HttpServer
from fakes.client import submit_case
from fakes.fleet import Fleet
from fakes.prepared_deployment import build_route, wait_until
from tests.helpers import CREDENTIAL, FederationSize, get_verdict, start_federation
from tests.prepared_helpers import in_deployment, start_deployment

# The grace period of the settings in fakes.prepared_deployment.
GRACE_S = 3.0
MORE_THAN_SOCKETS_HOLD = 20_000_000


def test_schedule_leaves_time_for_the_answers():
    schedule = ShutdownSchedule()
    assert schedule.has_time_for(1e9, 0.0)
    schedule.begin(8.0, 100.0)
    assert schedule.ends_at == 100.0 + 8.0 * GRACE_SHARE - ANSWER_TIME_S
    assert schedule.has_time_for(2.0, 105.2)
    assert not schedule.has_time_for(2.1, 105.2)


def test_estimate_of_a_duration_is_that_of_slow_requests_within_the_limit():
    durations = DurationEstimates()
    assert durations.estimate("draft", 5.0) == 5.0
    for seconds in (1.0, 3.0, 1.0, 1.0):
        durations.record("draft", seconds)
    assert 2.5 < durations.estimate("draft", 5.0) <= 3.0
    assert durations.estimate("draft", 2.0) == 2.0


@in_deployment
async def test_request_that_the_grace_has_no_time_for_is_refused_and_not_sent(deployment):
    """It may not be repeated, and would be cut at the end of the grace."""
    (app,), client = await start_deployment(deployment, "app")
    vm = deployment.vms[0]
    assert (await client.call("POST", "/file/1", "r1", b"x")).status == 200
    app.mode = "slow"
    slow = await client.call("POST", "/file/1", "r2", b"x")
    assert slow.status in (200, 504)
    vm.draining.set()
    await asyncio.sleep(0.95)
    response = await client.call("POST", "/file/1", "r3", b"x")
    assert response.status == 503
    assert b"shutting_down" in response.body
    assert "r3" not in app.ran


@in_deployment
async def test_quick_request_is_completed_early_in_the_grace(deployment):
    (app,), client = await start_deployment(deployment, "app")
    assert (await client.call("POST", "/file/1", "r1", b"x")).status == 200
    deployment.vms[0].draining.set()
    await asyncio.sleep(0.9)
    assert (await client.call("POST", "/file/1", "r2", b"x")).status == 200
    assert app.ran == ["r1", "r2"]


@pytest.mark.parametrize("pools", [("app",), ()])
def test_request_still_open_at_the_end_of_the_grace_is_answered(pools):
    """With 504 if it was sent, and 503 while it waits for an endpoint."""

    @in_deployment
    async def body(deployment):
        deployment.configure(2, routes=[build_route("file", "unsafe", "app", timeout_ms=60_000)])
        endpoints, client = await start_deployment(deployment, *pools)
        vm = deployment.vms[0]
        await wait_until(lambda: vm.configuration.version() == 2)
        for endpoint in endpoints:
            endpoint.mode, endpoint.pause_s = "slow", 60.0
        started_at = time.monotonic()
        call = client.call("POST", "/file/1", "r1", b"x", timeout_s=60.0)
        request = asyncio.ensure_future(call)
        await asyncio.sleep(0.1)
        vm.draining.set()
        response = await request
        assert response.status == (504 if pools else 503)
        assert time.monotonic() - started_at < GRACE_S
        await asyncio.wait_for(deployment._tasks[0], GRACE_S)
        assert time.monotonic() - started_at < GRACE_S + 0.2

    body()


@in_deployment
async def test_request_that_is_still_being_received_is_answered_before_the_vm_ends(deployment):
    """The VM ended as soon as no request was in progress, and cut what was on its way to it."""
    _, client = await start_deployment(deployment, "app")
    vm, ends = deployment.vms[0], deployment._tasks[0]
    connection = await ClientConnection.open(vm.settings.listen_address, 1.0)
    vm.draining.set()
    await asyncio.sleep(GRACE_S * STOP_LISTENING_SHARE - 0.1)
    connection.writer.write(b"POST /file/1 HTTP/1.1\r\nHost: tile.example\r\n")
    await asyncio.sleep(0.1 + GRACE_S * LAST_REQUESTS_SHARE + 0.2)
    assert not ends.done()
    connection.writer.write(b"Request-Id: r1\r\nContent-Length: 0\r\n\r\n")
    connection.h11.send(h11.Request(method="POST", target="/file/1", headers=[("Host", "-")]))
    connection.h11.send(h11.EndOfMessage())
    assert (await connection.read_response(1.0)).status == 503
    await asyncio.wait_for(ends, 1.0)


@in_deployment
async def test_request_that_comes_after_the_last_look_is_not_read(deployment):
    """Its caller may repeat it; the VM read it while it ended, and cut it without an answer."""
    _, client = await start_deployment(deployment, "app")
    vm, ends = deployment.vms[0], deployment._tasks[0]
    connection = await ClientConnection.open(vm.settings.listen_address, 1.0)
    await asyncio.sleep(0.1)
    vm.draining.set()
    shares = STOP_LISTENING_SHARE + LAST_REQUESTS_SHARE
    await asyncio.sleep(GRACE_S * shares + 0.1)
    assert vm.http.in_flight == 0
    with pytest.raises(ConnectionLostError):
        await connection.send("POST", "/file/1", [("Request-Id", "r1")], b"x")
        await connection.read_response(1.0)
    await asyncio.wait_for(ends, 1.0)


@in_deployment
async def test_request_that_was_received_at_the_last_look_is_answered(deployment):
    _, client = await start_deployment(deployment, "app")
    http = deployment.vms[0].http
    connection = await ClientConnection.open(deployment.vms[0].settings.listen_address, 1.0)
    await asyncio.sleep(0.1)
    (idle,) = http._idle_connections
    idle.reader.feed_data(b"GET /none/1 HTTP/1.1\r\nHost: tile.example\r\n\r\n")
    await http.close_idle()
    connection.h11.send(h11.Request(method="GET", target="/none/1", headers=[("Host", "-")]))
    connection.h11.send(h11.EndOfMessage())
    assert (await connection.read_response(1.0)).status == 404


@in_deployment
async def test_vm_that_stops_waits_for_no_idle_connection(deployment):
    _, client = await start_deployment(deployment, "app")
    assert (await client.call("POST", "/file/1", "r1", b"x")).status == 200
    deployment.vms[0].draining.set()
    shares = STOP_LISTENING_SHARE + LAST_REQUESTS_SHARE
    await asyncio.wait_for(deployment._tasks[0], GRACE_S * shares + 0.3)


def test_serve_answers_what_is_open_at_the_end_of_its_grace(run):
    """The endpoint never answers; what comes late in the grace is refused as not run."""

    async def scenario():
        with Fleet() as fleet:
            size = FederationSize(vms_per_zone=1)
            await start_federation(fleet, size, grace_s=3.0, drain_notice_s=1.0)
            vm = next(iter(fleet.vms_by_name.values()))
            service = fleet.processes_by_name["filing-doto-1-0"]
            await fleet.set_faults(service, silent=True)
            started_at = time.monotonic()
            request = asyncio.ensure_future(submit_case(vm.listen, CREDENTIAL, "open", "open"))
            await asyncio.sleep(0.3)
            vm.process.send_signal(15)
            await asyncio.sleep(0.3)
            late = await submit_case(vm.listen, CREDENTIAL, "late", "late")
            assert (late.status, get_verdict(late)) == (503, "did_not_run")
            response = await request
            assert (response.status, get_verdict(response)) == (504, "may_have_run")
            while vm.process.popen.poll() is None:
                await asyncio.sleep(0.05)
            assert time.monotonic() - started_at < 0.6 + 3.0 + 0.5
            assert await submit_case(vm.listen, CREDENTIAL, "gone", "gone") is None

    run(scenario())


def test_serve_ends_within_its_grace_beside_a_silent_store(run):
    """Taking its record out of the store began when the grace was nearly over."""

    async def scenario():
        with Fleet() as fleet:
            size = FederationSize(vms_per_zone=1)
            await start_federation(fleet, size, grace_s=3.0, drain_notice_s=1.0)
            vm = next(iter(fleet.vms_by_name.values()))
            await fleet.set_faults(fleet.processes_by_name["filing-doto-1-0"], silent=True)
            request = asyncio.ensure_future(submit_case(vm.listen, CREDENTIAL, "open", "open"))
            await asyncio.sleep(0.3)
            await fleet.set_faults(fleet.store, silent=True)
            started_at = time.monotonic()
            vm.process.send_signal(15)
            assert (await request).status == 504
            while vm.process.popen.poll() is None:
                await asyncio.sleep(0.05)
            assert time.monotonic() - started_at < 3.0 + 0.5
            assert vm.process.popen.returncode == 0

    run(scenario())


def test_end_of_the_loop_waits_for_no_client_that_does_not_read_a_refusal():
    """The connection was closed as if its client would still read, which had no end."""

    async def refuse(connection, error):
        await connection.respond(error.status, [], bytes(MORE_THAN_SOCKETS_HOLD))

    async def scenario():
        server = HttpServer(None, refuse, HttpLimits())
        port = await server.listen("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.transport.pause_reading()
        writer.write(b"malformed\r\n\r\n")
        await wait_until(lambda: server.busy_connections == 1)
        await asyncio.sleep(0.1)
        others = asyncio.all_tasks() - {asyncio.current_task()}
        assert others
        for task in others:
            task.cancel()
        _, pending = await asyncio.wait(others, timeout=1.0)
        writer.transport.abort()
        assert not pending

    asyncio.run(scenario())


@in_deployment
async def test_vm_ends_within_a_short_grace_beside_a_silent_store(deployment):
    vm = await deployment.add_vm(more_settings="bounds.grace_s=1\n")
    deployment.store.silent = True
    vm.draining.set()
    await asyncio.wait_for(deployment._tasks[0], 1.0)
