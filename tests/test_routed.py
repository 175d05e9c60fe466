"""Routed requests through real sockets: entry VMs between stand-ins of the prepared platform."""

import asyncio

import pytest

from bluebellpitch.errors import BrokenError
from fakes.prepared_deployment import (
    Deployment,
    KeepAliveClient,
    build_route,
    get_header,
    wait_until,
)
from tests.prepared_helpers import in_deployment, start_deployment


@in_deployment
async def test_answer_is_passed_back_unchanged(deployment):
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
async def test_headers_that_are_the_systems_are_not_taken_from_callers(deployment):
    (app,), client = await start_deployment(deployment, "app")
    names = ("Tenant", "Target-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch")
    forged = [(name, "forged") for name in names]
    response = await client.call("POST", "/file/7", "r1", b"case", headers=forged)
    assert response.status == 200
    assert "forged" not in [value for _, value in app.requests[-1].headers]
    assert app.requests[-1].body == b"case"


@in_deployment
async def test_unknown_route_and_key_are_told_apart(deployment):
    _, client = await start_deployment(deployment, "app")
    assert (await client.call("GET", "/nothing/7", "r1")).status == 404
    stranger = KeepAliveClient(client.settings, api_key="no-key")
    assert (await stranger.call("GET", "/look/7", "r2")).status == 401


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
async def test_request_that_must_not_repeat_runs_once_when_its_answer_is_lost(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    for endpoint in endpoints:
        endpoint.mode = "reset"
    response = await client.call("POST", "/file/7", "r1", b"case")
    assert response.status == 502
    assert sum(endpoint.ran.count("r1") for endpoint in endpoints) == 1


@in_deployment
async def test_refused_request_goes_to_another_endpoint(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    routes = [build_route("file", "unsafe", "app", max_attempts=2)]
    deployment.configure(2, routes=routes)
    await wait_until(lambda: deployment.vms[0].configuration.version() == 2)
    endpoints[0].mode = "refuse"
    for number in range(4):
        assert (await client.call("POST", "/file/7", f"r{number}", b"case")).status == 200
    assert len(endpoints[1].ran) == 4 and not endpoints[0].ran


@in_deployment
async def test_refusal_by_all_is_true_and_says_when_to_come_back(deployment):
    (app,), client = await start_deployment(deployment, "app")
    app.mode = "refuse"
    response = await client.call("POST", "/file/7", "r1", b"case")
    assert response.status == 503
    assert float(get_header(response, "retry-after")) > 0
    assert get_header(response, "response-signature") == ""
    assert not app.ran


@in_deployment
async def test_attempts_stay_within_the_route(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app", "app")
    for endpoint in endpoints:
        endpoint.mode = "fail"
    response = await client.call("GET", "/look/7", "r1")
    assert response.status == 500
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 2


@in_deployment
async def test_other_endpoint_at_an_address_runs_nothing_and_is_not_asked_again(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    endpoints[0].mode = "other"
    for number in range(4):
        assert (await client.call("GET", "/look/7", f"r{number}")).status == 200
    assert len(endpoints[0].requests) <= 1


@pytest.mark.parametrize("mode", ["garbage", "unsigned", "encoded", "short"])
def test_spoilt_answer_never_reaches_the_caller(mode):
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
async def test_extra_answer_is_not_taken_for_the_next_one(deployment):
    (app,), client = await start_deployment(deployment, "app")
    app.mode = "extra"
    for number in range(6):
        response = await client.call("GET", "/look/7", f"r{number}")
        assert response.body == f"i-0 answers r{number}".encode()
        await asyncio.sleep(0.02 * number)


@in_deployment
async def test_stream_comes_whole(deployment):
    (engine,), client = await start_deployment(deployment, "engines")
    response = await client.stream("/explain/7", "r1")
    assert response.status == 200
    assert response.body == b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 5))
    assert engine.requests[-1].header("request-priority") == "1"


@in_deployment
async def test_cut_stream_is_resumed_elsewhere_without_gap_or_double(deployment):
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
    with pytest.raises(BrokenError):
        await client.stream("/explain/7", "r1")
    assert engine.ran == ["r1"]


@in_deployment
async def test_leaving_caller_is_felt_by_the_endpoint(deployment):
    (app,), client = await start_deployment(deployment, "app")
    app.mode = "slow"
    asking = asyncio.create_task(client.call("GET", "/look/7", "r1"))
    await wait_until(lambda: app.ran)
    client.disconnect()
    await wait_until(lambda: app.cancelled == 1, timeout_s=0.5)
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)


@in_deployment
async def test_time_limit_of_the_route_ends_a_request(deployment):
    (app,), client = await start_deployment(deployment, "app")
    routes = [build_route("look", "safe", "app", timeout_ms=300)]
    deployment.configure(2, routes=routes)
    await wait_until(lambda: deployment.vms[0].configuration.version() == 2)
    app.mode = "slow"
    begun = asyncio.get_running_loop().time()
    response = await client.call("GET", "/look/7", "r1")
    assert response.status == 504
    assert asyncio.get_running_loop().time() - begun < 0.55
    assert int(app.requests[-1].header("deadline-ms")) <= 300


@in_deployment
async def test_draining_endpoint_gets_no_new_work(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    deployment.announce(endpoints[0], "app", state="draining")
    vm = deployment.vms[0]
    await wait_until(lambda: len(list(vm.directory.usable_endpoints("app"))) == 1)
    for number in range(4):
        assert (await client.call("GET", "/look/7", f"r{number}")).status == 200
    assert not endpoints[0].requests


@in_deployment
async def test_planned_stop_finishes_what_runs_and_says_so(deployment):
    (engine,), client = await start_deployment(deployment, "engines")
    engine.pause_s = 0.1
    streaming = asyncio.create_task(client.stream("/explain/7", "r1"))
    await wait_until(lambda: engine.ran)
    vm = deployment.vms[0]
    vm.draining.set()
    assert not vm.is_ready()
    late = KeepAliveClient(vm.settings)
    response = await late.stream("/explain/8", "r2")
    assert response.status == 200 and get_header(response, "connection") == "close"
    assert (await streaming).body.endswith(b"piece 4\n\n")
    await wait_until(lambda: "vm-1" not in deployment.store.newest_keys("keyed.bluebellpitch-vms"))


@in_deployment
async def test_request_that_crashes_endpoints_is_stopped_after_three(deployment):
    endpoints, client = await start_deployment(deployment, *["app"] * 6)
    vm = deployment.vms[0]
    for endpoint in endpoints:
        endpoint.mode = "reset"
        endpoint.http.stop_listening()
    # Each connection must be new, so that it finds the listener closed after the crash.
    for number in range(4):
        vm._handle_message("peer", strike(vm, number))
    response = await client.call("POST", "/file/7", "r9", b"poison")
    assert response.status == 503
    assert not any("r9" in endpoint.ran for endpoint in endpoints)


def strike(vm, number: int):
    """Returns what a peer tells after an endpoint crashed under the poisonous request."""
    from bluebellpitch.decisions.hashing import digest_text
    from bluebellpitch.peers.messages import StrikeReport

    return StrikeReport(digest_text("POST", "/file/7", "office", b"poison"), f"i-{number}/1")


@in_deployment
async def test_bodies_beyond_the_limit_are_refused(deployment):
    (app,), client = await start_deployment(deployment, "app")
    deployment.configure(2)
    response = await client.call("POST", "/file/7", "r1", b"x" * 10_001)
    assert response.status == 413
    assert not app.ran
