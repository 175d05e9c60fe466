"""The era that the store's answers name, and what a VM makes of a rise."""

import asyncio

import pytest

from bluebellpitch.decisions.store_era import REWRITE_S, StoreEra, is_other_era
from bluebellpitch.errors import ProtocolError
from bluebellpitch.http1 import HttpResponse
from bluebellpitch.platform.store import Appended, StoreClient, Truncated, decode_era
from bluebellpitch.platform.vm_records import VM_RECORDS_TOPIC
from fakes.prepared_deployment import Deployment, wait_until
from fakes.prepared_store import FakeStore
from tests.prepared_helpers import in_deployment, start_deployment

TOPIC = "keyed.t"


async def open_client(store: FakeStore, eras: list[int]) -> StoreClient:
    return StoreClient(f"127.0.0.1:{await store.start('127.0.0.1', 0)}", eras.append)


def test_every_answer_of_the_store_names_its_era(run):
    async def scenario():
        store, eras = FakeStore(), []
        client = await open_client(store, eras)
        assert await client.put(TOPIC, "a", b"1") == Appended(0, 0)
        store.keep_copy()
        store.put(TOPIC, "b", b"2")
        assert (await client.read(TOPIC, 0, 0)).era == 0
        store.restore()
        assert await client.read(TOPIC, 2, 0) == Truncated(0, 1)
        assert (await client.read_newest(TOPIC)).era == 1
        assert await client.put(TOPIC, "c", b"3") == Appended(1, 1)
        store.status = 503
        await client.put(TOPIC, "d", b"4")
        client.close()
        store.http.stop_listening()
        return eras

    assert run(scenario()) == [0, 0, 1, 1, 1, 1]


def test_pages_of_two_eras_are_not_put_together(run):
    async def scenario():
        store = FakeStore()
        client = await open_client(store, [])
        for name in "abcd":
            store.put(TOPIC, name, b"1")
        store.keep_copy()
        reading = asyncio.ensure_future(client.read_newest(TOPIC))
        store.slow_s = 0.05
        await asyncio.sleep(0.08)
        store.restore()
        with pytest.raises(ProtocolError):
            await reading
        client.close()
        store.http.stop_listening()

    run(scenario())


@pytest.mark.parametrize("text", ["", "-1", "1.5", "nan", "٣", "9" * 5_000, "99999999999"])
def test_malformed_era_counts_as_none(text):
    assert decode_era(HttpResponse(200, (("Store-Era", text),), b"")) is None


def test_rise_of_the_era_is_noticed_once_and_takes_time_to_heal():
    era = StoreEra()
    assert not era.observe(3, now=1.0)
    assert era.is_rewritten(1.0)
    assert not era.observe(2, now=2.0)
    assert era.observe(4, now=3.0)
    assert not era.observe(4, now=4.0)
    assert era.is_past(3) and not era.is_past(4) and not era.is_past(None)
    assert not era.is_rewritten(3.0 + REWRITE_S - 0.1)
    assert era.is_rewritten(3.0 + REWRITE_S)
    era.observe_rise(3, 9.0, now=10.0)
    assert era.risen_at == 3.0
    era.observe_rise(5, 8.0, now=10.0)
    assert (era.number, era.risen_at) == (5, 8.0)


def test_rise_told_by_a_peer_that_has_just_started_counts_from_now():
    """That peer has seen one era only, and cannot tell how long it has lasted."""
    era = StoreEra()
    era.observe_rise(3, float("-inf"), now=1.0)
    assert era.is_rewritten(1.0)
    era.observe_rise(4, float("-inf"), now=2.0)
    assert not era.is_rewritten(2.0 + REWRITE_S - 0.1)
    assert era.is_rewritten(2.0 + REWRITE_S)


def test_eras_that_are_not_known_may_be_the_same():
    assert is_other_era(1, 2) and not is_other_era(1, 1)
    assert not is_other_era(None, 1) and not is_other_era(1, None)


@in_deployment
async def test_vm_registers_again_when_the_store_lost_its_record(deployment):
    deployment.store.keep_copy()
    await start_deployment(deployment, "app")
    assert deployment.store.newest_keys(VM_RECORDS_TOPIC) == {"vm-1"}
    deployment.store.restore()
    assert deployment.store.newest_keys(VM_RECORDS_TOPIC) == set()
    await wait_until(lambda: deployment.store.newest_keys(VM_RECORDS_TOPIC) == {"vm-1"})


@in_deployment
async def test_vms_serve_on_and_follow_the_operator_after_the_copy(deployment: Deployment):
    (app,), client = await start_deployment(deployment, "app")
    second = await deployment.add_vm(zone="y")
    deployment.store.keep_copy()
    deployment.configure(2)
    vms = deployment.vms
    await wait_until(lambda: {vm.configuration.version() for vm in vms} == {2})
    deployment.store.restore()
    for number in range(10):
        response = await client.call("GET", "/look/7", f"r{number}")
        assert response.status == 200
        assert {vm.configuration.version() for vm in vms} == {2}
        await asyncio.sleep(0.1)
    deployment.configure(2)
    deployment.configure(3, keys=("another",))
    await wait_until(lambda: {vm.configuration.version() for vm in vms} == {3})
    client = deployment.add_client(second)
    await wait_until(lambda: second.context.freshness.may_report_unknown(second._now()))
    assert (await client.call("GET", "/look/7", "last")).status == 401
    assert app.name in second.directory.entries_by_id
