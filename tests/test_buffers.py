"""What a VM holds of others' messages, over all of them."""

import asyncio
import math
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace

import pytest
import zmq
from hypothesis import given
from hypothesis import strategies as st

from bluebellpitch.clock import HybridClock
from bluebellpitch.decisions.buffer_budget import BufferBudget
from bluebellpitch.endpoints.sse import EventSplitter
from bluebellpitch.errors import (
    BluebellpitchError,
    ProtocolError,
    ResponseTooLargeError,
)
from bluebellpitch.http1 import ClientConnection, parse_address
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import MAX_MESSAGE_BYTES
from bluebellpitch.platform.store import MAX_NEWEST_BYTES, MAX_RESPONSE_BYTES, StoreClient
from fakes.endless import EndlessEndpoint
from fakes.ports import free_address
from fakes.prepared_deployment import API_KEY, HOST, wait_until
from fakes.prepared_store import FakeStore
from tests.prepared_helpers import in_deployment, start_deployment

CAPACITY = 1_000_000
# What sockets and streams on both sides take beyond what is held.
CONNECTION_BYTES = 8_000_000


@given(st.lists(st.tuples(st.integers(0, 20), st.integers(0, CAPACITY))))
def test_messages_together_never_hold_more_than_the_budget(steps):
    """Guards against a VM that ends for memory though each message is within its own limit."""
    budget = BufferBudget(CAPACITY)
    shares = [budget.open() for _ in range(21)]
    for number, size in steps:
        held = shares[number].held_bytes
        if not shares[number].resize(size):
            assert shares[number].held_bytes == held
        assert sum(share.held_bytes for share in shares) == budget.used_bytes < CAPACITY
    for share in shares:
        share.release()
    assert budget.used_bytes == 0


@pytest.mark.parametrize("greedy", [1, 10, 200])
def test_small_message_has_room_beside_those_that_take_all_they_get(greedy):
    """Sound callers are served beside endless responses."""
    budget = BufferBudget(CAPACITY)
    shares = [budget.open() for _ in range(greedy)]
    growing = set(range(greedy))
    while growing:
        growing = {number for number in growing if shares[number].grow(1_000)}
    assert budget.open().grow(CAPACITY // (2 * greedy + 4) - 1_000)


def test_event_that_the_budget_does_not_hold_is_cut():
    budget = BufferBudget(CAPACITY)
    splitter = EventSplitter(buffer=budget.open())
    assert splitter.feed(b"data: a\n\ndata: b\n") == b"data: a\n\n"
    assert splitter.feed(b"\ndata") == b"data: b\n\n"
    assert budget.used_bytes == len(b"data")
    with pytest.raises(ResponseTooLargeError):
        while True:
            splitter.feed(b"x" * 10_000)
    assert math.isclose(budget.used_bytes, CAPACITY / 2, rel_tol=0.05)


async def end_quietly(call) -> None:
    with suppress(BluebellpitchError):
        await call


@in_deployment
async def test_nothing_is_held_once_all_requests_have_ended(deployment):
    """Guards against a budget that leaks until nothing is accepted any more."""
    endpoints, client = await start_deployment(deployment, "app", "app", "engines", "engines")
    vm = deployment.vms[0]
    endless = [EndlessEndpoint(part) for part in ("body", "event", "other", "refusal")]
    for number, endpoint in enumerate(endless):
        endpoint.name, endpoint.address = f"e-{number}", await endpoint.start()
        deployment.publish_entry(endpoint, "engines" if endpoint.part == "event" else "app")
    await wait_until(lambda: len(vm.directory.entries_by_id) == 8)
    endpoints[0].mode, endpoints[2].mode = "short", "cut"
    clients = [deployment.add_client(vm) for _ in range(24)]
    calls = [
        c.call("POST", "/file/7" if n % 2 else "/draft/7", f"r{n}", b"x" * 9_000, timeout_s=1.0)
        for n, c in enumerate(clients)
    ]
    tasks = [asyncio.create_task(end_quietly(call)) for call in calls]
    await asyncio.sleep(0.05)
    for gone in clients[:6]:
        gone.disconnect()
    await asyncio.gather(*tasks)
    for endpoint in endless:
        endpoint.stop()
    await wait_until(lambda: not vm.http.in_flight)
    assert vm.buffers.used_bytes == 0


REQUEST_HEAD = (
    f"POST /file/7 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n"
    f"Authorization: Bearer {API_KEY}\r\nContent-Length: %d\r\n\r\n"
)


@in_deployment
async def test_request_bodies_beyond_the_memory_are_refused_with_a_time_to_return(deployment):
    """Guards against callers whose bodies together take all memory."""
    (app,), client = await start_deployment(deployment, "app")
    vm = deployment.vms[0]
    vm.buffers.capacity_bytes = 50_000
    address = parse_address(vm.settings.listen_address)
    writers = []
    for number in range(20):
        _, writer = await asyncio.open_connection(*address)
        writer.write((REQUEST_HEAD % (f"w{number}", 9_000)).encode() + b"x" * 8_000)
        writers.append(writer)
    await wait_until(lambda: vm.buffers.exceeded)
    response = await client.call("POST", "/file/7", "r1", b"x" * 9_000)
    assert (response.status, dict(response.headers)["retry-after"]) == (503, "1.000")
    assert vm.buffers.used_bytes < vm.buffers.capacity_bytes
    for writer in writers:
        writer.close()
    await wait_until(lambda: not vm.buffers.used_bytes)
    assert (await client.call("POST", "/file/7", "r2", b"x" * 9_000)).status == 200
    assert app.ran == ["r2"]


@in_deployment
async def test_caller_that_sends_on_while_it_waits_is_not_held_without_end(deployment):
    """Guards against a connection that keeps all that a caller sends before its answer."""
    (app,), _ = await start_deployment(deployment, "app")
    app.mode = "slow"
    address = parse_address(deployment.vms[0].settings.listen_address)
    reader, writer = await asyncio.open_connection(*address)
    writer.write((REQUEST_HEAD % ("r1", 4)).encode() + b"case")
    sent = 0

    async def flood() -> None:
        nonlocal sent
        while True:
            writer.write(b"x" * 65_536)
            await writer.drain()
            sent += 65_536

    flooding = asyncio.create_task(flood())
    try:
        head = await asyncio.wait_for(reader.readline(), 3.0)
    finally:
        flooding.cancel()
        writer.close()
    assert head.startswith(b"HTTP/1.1 504")
    assert sent < CONNECTION_BYTES


@pytest.mark.parametrize("part", ["body", "length", "until close", "head", "trailers"])
def test_answer_of_the_store_without_end_is_cut(part):
    async def body():
        endpoint = EndlessEndpoint(part)
        client = StoreClient(await endpoint.start())
        with pytest.raises(BluebellpitchError):
            await client.read_newest("keyed.op")
        endpoint.stop()
        return endpoint.sent_bytes

    assert asyncio.run(body()) < MAX_RESPONSE_BYTES + CONNECTION_BYTES


def test_newest_records_without_end_are_cut():
    """Each page is within its limit; the store has more and more of them."""

    async def body():
        store = FakeStore()
        address = f"127.0.0.1:{await store.start('127.0.0.1', 0)}"
        for number in range(60):
            store.put("keyed.op", f"{number:03}", b"x" * 262_144)
        client = StoreClient(address)
        with pytest.raises(ProtocolError, match=str(MAX_NEWEST_BYTES)):
            await client.read_newest("keyed.op")
        client.close()
        store.http.stop_listening()

    asyncio.run(body())


def test_message_of_a_peer_that_is_too_large_is_not_received(monkeypatch):
    """Guards against a frame of any length, which the bus would allocate and hold."""
    sizes = []

    async def body():
        address = free_address()
        bus = PeerBus("vm-1", HybridClock(lambda: 0.0), Metrics(), lambda sender, message: None)
        monkeypatch.setattr(bus, "_handle_received", lambda data: sizes.append(len(data)))
        bus.bind(address)
        receiving = asyncio.create_task(bus.run())
        context = zmq.Context()
        for size in (MAX_MESSAGE_BYTES + 1, 100):
            with context.socket(zmq.PUSH) as socket:
                socket.connect(f"tcp://{address}")
                socket.send(b"x" * size)
                await asyncio.sleep(0.5)
                socket.setsockopt(zmq.LINGER, 0)
        receiving.cancel()
        await asyncio.gather(receiving, return_exceptions=True)
        bus.close()
        context.term()

    asyncio.run(body())
    assert sizes == [100]


# A greeting of ZMTP 3.0 without authentication, and the command by which a PUSH socket is ready.
ZMTP_GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(16 + 1 + 31)
ZMTP_READY = b"\x05READY\x0bSocket-Type\x00\x00\x00\x04PUSH"
ZMTP_PART = b"\x01\x04part"


def read_resident_bytes() -> int:
    status = Path("/proc/self/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1_024


def test_message_of_a_peer_in_parts_without_end_is_not_held():
    """The library holds all parts until the last one; see KNOWN-RED.txt."""

    async def body():
        address = free_address()
        bus = PeerBus("vm-1", HybridClock(lambda: 0.0), Metrics(), lambda sender, message: None)
        bus.bind(address)
        receiving = asyncio.create_task(bus.run())
        before = read_resident_bytes()
        reader, writer = await asyncio.open_connection(*parse_address(address))
        writer.write(ZMTP_GREETING)
        await reader.readexactly(len(ZMTP_GREETING))
        writer.write(b"\x04" + bytes([len(ZMTP_READY)]) + ZMTP_READY)
        await reader.readuntil(b"PULL")
        # A connection that the receiver closes is a proper answer.
        with suppress(OSError):
            for _ in range(100):
                writer.write(ZMTP_PART * 10_000)
                await writer.drain()
        await asyncio.sleep(0.5)
        growth = read_resident_bytes() - before
        writer.close()
        receiving.cancel()
        await asyncio.gather(receiving, return_exceptions=True)
        bus.close()
        return growth

    assert asyncio.run(body()) < MAX_MESSAGE_BYTES


def test_connection_without_a_budget_holds_what_it_needs():
    """Operators' commands and stand-ins have none."""

    async def body():
        store = FakeStore()
        address = f"127.0.0.1:{await store.start('127.0.0.1', 0)}"
        connection = await ClientConnection.open(address, 1.0)
        response = await connection.call("GET", "/log-newest?topic=a&part=0", b"", 1.0)
        connection.close()
        store.http.stop_listening()
        return SimpleNamespace(status=response.status)

    assert asyncio.run(body()).status == 200
