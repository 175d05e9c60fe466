"""An endpoint that says in an answer that it leaves gets nothing new from that VM."""

import asyncio
from dataclasses import replace

import pytest

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.platform.http_messages import decode_leaving
from fakes.prepared_deployment import wait_until
from tests.prepared_helpers import in_deployment, start_deployment

ENTRY = EndpointEntry("i-1", "app", "10.0.0.1:80", "z", 4, False, 5, 3)


@pytest.mark.parametrize("text", ["", "0", "true", "-1", "1" * 5_000, "nan", "١"])
def test_only_a_one_says_that_an_endpoint_leaves(text):
    assert decode_leaving("1") and not decode_leaving(text)


def test_endpoint_that_said_it_leaves_is_not_used_whatever_its_entry_says():
    directory = EndpointDirectory()
    directory.update(ENTRY)
    assert directory.mark_leaving(ENTRY) and not directory.mark_leaving(ENTRY)
    directory.update(replace(ENTRY, sequence=9))
    directory.remove(ENTRY.id, store_was_unavailable=True, now=0.0)
    directory.update(replace(ENTRY, sequence=10))
    assert list(directory.usable_endpoints("app")) == []
    assert directory.has_left(ENTRY)
    started_again = replace(ENTRY, started_ms=6, sequence=1)
    assert directory.update(started_again) and not directory.has_left(started_again)


def test_endpoint_that_is_known_from_a_grant_alone_has_left_too():
    directory = EndpointDirectory()
    assert directory.mark_leaving(ENTRY)
    directory.update(ENTRY)
    assert directory.has_left(ENTRY) and list(directory.usable_endpoints("app")) == []
    assert not directory.mark_leaving(replace(ENTRY, started_ms=4))


@pytest.mark.parametrize("mode", ["", "refuse", "fail"])
def test_service_that_said_it_leaves_gets_no_further_request(mode):
    """Whether it answered well, refused, or failed; its entry still calls it ready."""

    @in_deployment
    async def body(deployment):
        (leaving, other), client = await start_deployment(deployment, "app", "app")
        leaving.is_leaving, leaving.mode = True, mode
        vm = deployment.vms[0]
        for number in range(20):
            assert (await client.call("GET", "/look/7", f"a{number}")).status == 200
            if leaving.requests:
                break
        assert len(leaving.requests) == 1
        deployment.publish_entry(leaving, "app", seq=7)
        await asyncio.sleep(0.2)
        for number in range(20):
            assert (await client.call("GET", "/look/7", f"b{number}")).status == 200
        assert len(leaving.requests) == 1
        leaving.is_leaving, leaving.mode = False, ""
        deployment.publish_entry(leaving, "app", born=2, seq=1)
        await wait_until(lambda: len(list(vm.directory.usable_endpoints("app"))) == 2)

    body()


@in_deployment
async def test_stream_of_an_engine_that_leaves_is_passed_on_whole_and_its_broker_told(deployment):
    (leaving, other), client = await start_deployment(deployment, "engines", "engines")
    leaving.is_leaving = True
    vms = [deployment.vms[0], await deployment.add_vm()]
    await wait_until(lambda: all(len(vm.liveness.live_peers(vm._now())) == 1 for vm in vms))
    for number in range(12):
        response = await client.stream("/draft/1", f"r{number}", parts=(f"p{number}",))
        assert response.status == 200
        assert response.body.count(b"\n\n") >= leaving.events
    assert len(leaving.requests) == 1
    broker = [vm for vm in vms if vm.generations.is_broker()]
    assert all(
        [entry.id for entry in vm.directory.usable_endpoints("engines")] == [other.name]
        for vm in broker
    )
