"""Routed requests over real sockets: entry VMs between fakes of the prepared platform."""

import asyncio

import pytest

from bluebellpitch.errors import ConnectionLostError
from fakes.prepared_deployment import (
    Deployment,
    build_route,
    get_header,
    wait_until,
)
from tests.prepared_helpers import in_deployment, start_deployment


@in_deployment
async def test_response_is_forwarded_unchanged(deployment):
    (app,), client = await start_deployment(deployment, "app")
    response = await client.call("GET", "/look/7", "r1")
    assert response.status == 200
    assert response.body == b"i-0 answers r1"
    assert get_header(response, "response-signature") == "3e1b.07.5a2"
    sent = app.requests[-1]
    assert sent.target == "/look/7"
    assert sent.header("tenant") == "office"
    assert sent.header("target-instance") == "i-0"
    assert sent.header("authorization") == ""
    assert 0 < int(sent.header("deadline-ms")) <= 2000


@in_deployment
async def test_internal_headers_from_callers_are_dropped(deployment):
    (app,), client = await start_deployment(deployment, "app")
    names = ("Tenant", "Target-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch")
    forged = [(name, "forged") for name in names]
    response = await client.call("POST", "/file/7", "r1", b"case", headers=forged)
    assert response.status == 200
    assert "forged" not in [value for _, value in app.requests[-1].headers]
    assert app.requests[-1].body == b"case"


@in_deployment
async def test_unknown_route_and_unknown_key_have_different_statuses(deployment):
    _, client = await start_deployment(deployment, "app")
    assert (await client.call("GET", "/nothing/7", "r1")).status == 404
    unknown_client = deployment.add_client(deployment.vms[0], api_key="no-key")
    assert (await unknown_client.call("GET", "/look/7", "r2")).status == 401


@in_deployment
async def test_longest_prefix_wins(deployment):
    (app, _), client = await start_deployment(deployment, "app", "engines")
    routes = [build_route("look", "safe", "engines"), build_route("look/deep", "safe", "app")]
    deployment.configure(2, routes=routes)
    vm = deployment.vms[0]
    await wait_until(lambda: vm.configuration.version() == 2)
    response = await client.call("GET", "/look/deep/7", "r1")
    assert response.body == b"i-0 answers r1"


@in_deployment
async def test_unsafe_request_runs_once_when_its_response_is_lost(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    for endpoint in endpoints:
        endpoint.mode = "reset"
    response = await client.call("POST", "/file/7", "r1", b"case")
    assert response.status == 502
    assert sum(endpoint.ran.count("r1") for endpoint in endpoints) == 1


@in_deployment
async def test_refused_request_is_retried_at_another_endpoint(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    routes = [build_route("file", "unsafe", "app", max_attempts=2)]
    deployment.configure(2, routes=routes)
    await wait_until(lambda: deployment.vms[0].configuration.version() == 2)
    endpoints[0].mode = "refuse"
    for number in range(4):
        assert (await client.call("POST", "/file/7", f"r{number}", b"case")).status == 200
    assert len(endpoints[1].ran) == 4 and not endpoints[0].ran


@in_deployment
async def test_retry_that_was_not_sent_costs_the_budget_nothing(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app", "app", "app")
    endpoints[0].mode = "refuse"
    for endpoint in endpoints[1:]:
        endpoint.http.stop_listening()
    routes = [build_route("file", "unsafe", "app", max_attempts=2)]
    deployment.configure(2, routes=routes)
    vm = deployment.vms[0]
    await wait_until(lambda: vm.configuration.version() == 2)
    before = vm.retries.remaining("app")
    assert (await client.call("POST", "/file/7", "r1", b"case")).status == 503
    assert len(endpoints[0].requests) >= 1
    assert vm.retries.remaining("app") >= before - 1


@in_deployment
async def test_refusal_by_all_endpoints_is_503_with_retry_after(deployment):
    (app,), client = await start_deployment(deployment, "app")
    app.mode = "refuse"
    response = await client.call("POST", "/file/7", "r1", b"case")
    assert response.status == 503
    assert float(get_header(response, "retry-after")) > 0
    assert get_header(response, "response-signature") == ""
    assert not app.ran


@in_deployment
async def test_attempts_stay_within_the_limit_of_the_route(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app", "app")
    for endpoint in endpoints:
        endpoint.mode = "fail"
    response = await client.call("GET", "/look/7", "r1")
    assert response.status == 500
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 2


@in_deployment
async def test_replaced_endpoint_runs_nothing_and_gets_no_further_requests(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    endpoints[0].mode = "other"
    for number in range(4):
        assert (await client.call("GET", "/look/7", f"r{number}")).status == 200
    assert len(endpoints[0].requests) <= 1


@pytest.mark.parametrize("mode", ["garbage", "unsigned", "encoded", "short"])
def test_corrupt_response_never_reaches_the_caller(mode):
    async def body():
        async with Deployment() as deployment:
            endpoints, client = await start_deployment(deployment, "app", "app")
            endpoints[0].mode = mode
            for number in range(4):
                response = await client.call("GET", "/look/7", f"r{number}")
                assert response.status == 200
                assert response.body == f"i-1 answers r{number}".encode()

    asyncio.run(body())


@in_deployment
async def test_unsolicited_response_is_not_taken_for_the_next_one(deployment):
    (app,), client = await start_deployment(deployment, "app")
    app.mode = "extra"
    for number in range(6):
        response = await client.call("GET", "/look/7", f"r{number}")
        assert response.body == f"i-0 answers r{number}".encode()
        await asyncio.sleep(0.02 * number)


@in_deployment
async def test_stream_is_forwarded_completely(deployment):
    (engine,), client = await start_deployment(deployment, "engines")
    response = await client.stream("/explain/7", "r1")
    assert response.status == 200
    assert response.body == b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 5))
    assert engine.requests[-1].header("request-priority") == "1"


@in_deployment
async def test_truncated_stream_is_resumed_elsewhere_without_gaps_or_duplicates(deployment):
    engines, client = await start_deployment(deployment, "engines", "engines")
    engines[0].mode = "cut"
    for number in range(4):
        response = await client.stream("/draft/7", f"r{number}")
        ids = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    resumed = [r.header("last-event-id") for r in engines[1].requests]
    assert "2" in resumed


@in_deployment
async def test_stream_that_cannot_be_resumed_does_not_look_complete(deployment):
    (engine,), client = await start_deployment(deployment, "engines")
    engine.mode = "cut"
    with pytest.raises(ConnectionLostError):
        await client.stream("/explain/7", "r1")
    assert engine.ran == ["r1"]


@in_deployment
async def test_caller_disconnect_cancels_the_request_at_the_endpoint(deployment):
    (app,), client = await start_deployment(deployment, "app")
    app.mode = "slow"
    pending = asyncio.create_task(client.call("GET", "/look/7", "r1"))
    await wait_until(lambda: app.ran)
    client.disconnect()
    await wait_until(lambda: app.cancelled == 1, timeout_s=0.5)
    pending.cancel()
    await asyncio.gather(pending, return_exceptions=True)


@in_deployment
async def test_timeout_of_the_route_ends_a_request(deployment):
    (app,), client = await start_deployment(deployment, "app")
    routes = [build_route("look", "safe", "app", timeout_ms=300)]
    deployment.configure(2, routes=routes)
    await wait_until(lambda: deployment.vms[0].configuration.version() == 2)
    app.mode = "slow"
    started_at = asyncio.get_running_loop().time()
    response = await client.call("GET", "/look/7", "r1")
    assert response.status == 504
    assert asyncio.get_running_loop().time() - started_at < 0.55
    assert int(app.requests[-1].header("deadline-ms")) <= 300


@in_deployment
async def test_draining_endpoint_gets_no_new_requests(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    deployment.publish_entry(endpoints[0], "app", state="draining")
    vm = deployment.vms[0]
    await wait_until(lambda: len(list(vm.directory.usable_endpoints("app"))) == 1)
    for number in range(4):
        assert (await client.call("GET", "/look/7", f"r{number}")).status == 200
    assert not endpoints[0].requests


def delay_connections(vm, while_waiting) -> None:
    """Makes ``while_waiting(entry)`` run before each connection to an endpoint is handed out."""
    acquire = vm.connection_pool.acquire

    async def acquire_late(entry, at_most_once, may_reuse):
        connection = await acquire(entry, at_most_once, may_reuse)
        await while_waiting(entry)
        return connection

    vm.connection_pool.acquire = acquire_late


@in_deployment
async def test_endpoint_that_drains_while_a_connection_opens_gets_no_request(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    vm, drained = deployment.vms[0], []

    async def drain(entry):
        if not drained:
            drained.append(entry.id)
            endpoint = next(e for e in endpoints if e.name == entry.id)
            deployment.publish_entry(endpoint, "app", state="draining")
            await wait_until(lambda: vm.directory.entries_by_id[entry.id].is_draining)

    delay_connections(vm, drain)
    assert (await client.call("POST", "/file/7", "r1", b"case")).status == 200
    assert {e.name: len(e.requests) for e in endpoints}[drained[0]] == 0


@in_deployment
async def test_deadline_of_a_forwarded_request_counts_the_wait_for_a_connection(deployment):
    (app,), client = await start_deployment(deployment, "app")

    async def wait(entry):
        await asyncio.sleep(0.5)

    delay_connections(deployment.vms[0], wait)
    assert (await client.call("GET", "/look/7", "r1", timeout_s=1.5)).status == 200
    assert int(app.requests[-1].header("deadline-ms")) <= 1_000


@in_deployment
async def test_deadline_that_passes_before_the_send_is_not_held_against_the_endpoint(deployment):
    (app,), client = await start_deployment(deployment, "app")
    vm = deployment.vms[0]

    async def wait(entry):
        await asyncio.sleep(0.4)

    delay_connections(vm, wait)
    assert (await client.call("GET", "/look/7", "r1", timeout_s=0.2)).status == 503
    entry = vm.directory.entries_by_id["i-0"]
    assert not vm.endpoint_allocator.loads.for_endpoint(entry).is_down(vm._now())
    assert not app.requests


@in_deployment
async def test_planned_stop_finishes_requests_and_closes_connections(deployment):
    (engine,), client = await start_deployment(deployment, "engines")
    engine.pause_s = 0.1
    streaming = asyncio.create_task(client.stream("/explain/7", "r1"))
    await wait_until(lambda: engine.ran)
    vm = deployment.vms[0]
    vm.draining.set()
    assert not vm.is_ready()
    late_client = deployment.add_client(vm)
    response = await late_client.stream("/explain/8", "r2")
    assert response.status == 200 and get_header(response, "connection") == "close"
    assert (await streaming).body.endswith(b"piece 4\n\n")
    await wait_until(lambda: "vm-1" not in deployment.store.newest_keys("keyed.bluebellpitch-vms"))


@in_deployment
async def test_request_that_crashes_endpoints_is_refused_after_three_strikes(deployment):
    endpoints, client = await start_deployment(deployment, *["app"] * 6)
    vm = deployment.vms[0]
    for endpoint in endpoints:
        endpoint.mode = "reset"
        endpoint.http.stop_listening()
    # New connections must find the listener closed, as after a crash.
    for number in range(4):
        vm._handle_message("peer", make_strike(vm, number))
    response = await client.call("POST", "/file/7", "r9", b"poison")
    assert response.status == 503
    assert not any("r9" in endpoint.ran for endpoint in endpoints)


def make_strike(vm, number: int):
    """Returns the message of a peer whose endpoint crashed on the request ``poison``."""
    from bluebellpitch.decisions.hashing import digest_text
    from bluebellpitch.peers.messages import StrikeReport

    return StrikeReport(digest_text("POST", "/file/7", "office", b"poison"), f"i-{number}/1")


@in_deployment
async def test_body_over_the_size_limit_is_refused(deployment):
    (app,), client = await start_deployment(deployment, "app")
    deployment.configure(2)
    response = await client.call("POST", "/file/7", "r1", b"x" * 10_001)
    assert response.status == 413
    assert not app.ran
