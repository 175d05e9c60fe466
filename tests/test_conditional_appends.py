"""Appends on condition of the topic's end, and calls of the platform's API."""

import asyncio

import pytest

from bluebellpitch.decisions.duties.held_lease import HeldLease
from bluebellpitch.platform.duty_api import (
    CallAccepted,
    CallFailed,
    CallFenced,
    CallRejected,
    DutyApi,
)
from bluebellpitch.platform.records import KeyedRecord
from bluebellpitch.platform.store import Appended, EndMoved, StoreClient
from bluebellpitch.verdicts import MayHaveRun
from fakes.duty_api import FakeDutyApi
from fakes.prepared_store import FakeStore

TOPIC = "keyed.t"
RECORDS = (KeyedRecord("a", b"1"), KeyedRecord("b", b"2"))
LEASE = HeldLease("metering", 7, 100.0)


def with_server(server, scenario):
    """Runs a scenario with the address of a fake server."""

    async def body():
        port = await server.start("127.0.0.1", 0)
        try:
            await scenario(f"127.0.0.1:{port}")
        finally:
            server.http.stop_listening()

    asyncio.run(body())


def test_append_at_the_end_is_applied_whole_and_elsewhere_not_at_all():
    store = FakeStore()

    async def scenario(address):
        client = StoreClient(address)
        assert await client.append_at(TOPIC, RECORDS, 0) == Appended(0, 0)
        assert await client.append_at(TOPIC, (KeyedRecord("a", None),), 1) == EndMoved(2, 0)
        assert store.newest_keys(TOPIC) == {"a", "b"}
        assert await client.append_at(TOPIC, (KeyedRecord("a", None),), 2) == Appended(2, 0)
        assert store.newest_keys(TOPIC) == {"b"}
        client.close()

    with_server(store, scenario)


@pytest.mark.parametrize("is_overtaken", [False, True])
def test_late_append_is_checked_when_it_takes_effect(is_overtaken):
    store = FakeStore()

    async def scenario(address):
        client = StoreClient(address)
        store.lose_answers, store.late_s = 1, 0.05
        assert isinstance(await client.append_at(TOPIC, RECORDS, 0), MayHaveRun)
        if is_overtaken:
            assert await client.append_at(TOPIC, RECORDS[1:], 0) == Appended(0, 0)
        await asyncio.sleep(0.1)
        assert store.newest_keys(TOPIC) == ({"b"} if is_overtaken else {"a", "b"})
        client.close()

    with_server(store, scenario)


def test_end_of_several_pages_is_refused_if_a_record_came_between_them():
    store = FakeStore()

    async def scenario(address):
        client = StoreClient(address)
        for key in "abcde":
            store.put(TOPIC, key, b"1")
        newest = await client.read_newest(TOPIC)
        assert await client.append_at(TOPIC, RECORDS, newest.next_offset) == Appended(5, 0)
        store.slow_s = 0.05
        reading = asyncio.ensure_future(client.read_newest(TOPIC))
        await asyncio.sleep(0.08)
        store.put(TOPIC, "e", b"2")
        newest, store.slow_s = await reading, 0.0
        assert await client.append_at(TOPIC, RECORDS, newest.next_offset) == EndMoved(8, 0)
        client.close()

    with_server(store, scenario)


def test_call_names_its_holder_and_token():
    server = FakeDutyApi()

    async def scenario(address):
        api = DutyApi(address, "vm-1", lambda: 0.0)
        assert await api.report_usage(LEASE, 3, {"b": 1, "a": 2}) == CallAccepted()
        assert await api.order_endpoints(LEASE, "engines", "z", 4, True) == CallAccepted()
        api.close()
        usage, order = server.calls
        assert (usage.path, usage.holder, usage.token) == ("/usage", "vm-1", 7)
        assert usage.body == {"window_index": 3, "counts": {"a": 2, "b": 1}}
        assert order.path == "/scale"
        assert order.body == {"service": "engines", "zone": "z", "desired": 4, "spot": True}

    with_server(server, scenario)


@pytest.mark.parametrize(
    "status, outcome",
    [
        (409, CallRejected(409)),
        (412, CallFenced()),
        (429, CallFailed("status 429")),
        (503, CallFailed("status 503")),
    ],
)
def test_call_that_is_refused(status, outcome):
    server = FakeDutyApi()
    server.status = status

    async def scenario(address):
        api = DutyApi(address, "vm-1", lambda: 0.0)
        assert await api.report_usage(LEASE, 3, {}) == outcome
        server.status = 200
        assert await api.report_usage(LEASE, 3, {}) == CallAccepted()
        api.close()

    with_server(server, scenario)


def test_call_without_answer_is_given_up_and_the_next_one_sent_anew():
    server = FakeDutyApi()

    async def scenario(address):
        api = DutyApi(address, "vm-1", lambda: 0.0)
        server.silent = True
        assert isinstance(await api.report_usage(LEASE, 3, {}), CallFailed)
        server.silent = False
        assert await api.report_usage(LEASE, 3, {}) == CallAccepted()
        api.close()

    with_server(server, scenario)


def test_call_is_not_sent_when_the_lease_ends_before_its_answer():
    server = FakeDutyApi()

    async def scenario(address):
        api = DutyApi(address, "vm-1", lambda: 99.5)
        assert await api.report_usage(LEASE, 3, {}) == CallFailed("lease_ends")
        api.close()
        assert server.calls == []

    with_server(server, scenario)


def test_calls_beyond_the_rate_are_refused_by_the_fake():
    server = FakeDutyApi()
    server.calls_per_s = 1

    async def scenario(address):
        api = DutyApi(address, "vm-1", lambda: 0.0)
        outcomes = [await api.report_usage(LEASE, window, {}) for window in range(2)]
        assert outcomes == [CallAccepted(), CallFailed("status 429")]
        api.close()

    with_server(server, scenario)
