"""Endpoints that do not read what they are sent, and callers that do not read their answers."""

import asyncio
import re
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellpitch.callers.routed_requests import refuse_malformed_request
from bluebellpitch.decisions.buffer_budget import BufferBudget
from bluebellpitch.decisions.unread_responses import MIN_STALL_S, UnreadResponses
from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.endpoints.engine import EngineAttempt
from bluebellpitch.http1 import HttpLimits, HttpServer, fetch, parse_address
from fakes.endless import EndlessEndpoint
from fakes.prepared_deployment import API_KEY, HOST, build_route, wait_until
from tests.prepared_helpers import in_deployment, start_deployment

# More than the buffers of both sockets take.
LARGE_BODY = b"x" * 6_000_000
SMALL_RECEIVE_BUFFER = 4_096
TIMEOUT_S = 1.0
REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"


@asynccontextmanager
async def run_unread_endpoint(answer: bytes = b""):
    """Listens, reads nothing of a request but its beginning, and sends this at once."""

    async def serve(reader, writer):
        writer.transport.pause_reading()
        writer.write(answer)

    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        listening.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=listening)
        host, port = listening.getsockname()
        yield SimpleNamespace(name="i-unread", address=f"{host}:{port}")
        server.close()


def accept_large_bodies(vm) -> None:
    vm.buffers.capacity_bytes = 100_000_000
    vm.http.limits = replace(vm.http.limits, body_bytes=2 * len(LARGE_BODY))


@pytest.mark.parametrize(("answer", "status", "most_s"), [(b"", 504, 1.5), (REFUSAL, 503, 0.9)])
def test_request_to_an_endpoint_that_does_not_read_it_is_answered_in_time(answer, status, most_s):
    """Guards against a send without a limit of time, and against an early answer left unread."""

    @in_deployment
    async def body(deployment):
        _, client = await start_deployment(deployment)
        vm = deployment.vms[0]
        accept_large_bodies(vm)
        async with run_unread_endpoint(answer) as endpoint:
            deployment.publish_entry(endpoint, "app")
            await wait_until(lambda: vm.directory.entries_by_id)
            now = asyncio.get_running_loop().time
            began_at = now()
            response = await client.call("POST", "/file/7", "r1", LARGE_BODY, TIMEOUT_S)
            assert response.status == status
            assert now() - began_at < most_s
            await wait_until(lambda: not vm.buffers.used_bytes)

    body()


@asynccontextmanager
async def run_server(body: bytes, **limits):
    """Answers each request with this body."""

    async def answer(connection, request):
        await connection.respond(200, [], body)

    server = HttpServer(answer, refuse_malformed_request, HttpLimits(**limits))
    yield server, await server.listen("127.0.0.1", 0)
    server.stop_listening()


async def call_without_reading(address: str, request: bytes) -> socket.socket:
    """Sends a request and reads nothing; returns the caller's socket."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, parse_address(address))
    await loop.sock_sendall(caller, request)
    return caller


@pytest.mark.parametrize("last_header", ["", "Connection: close\r\n"])
def test_connection_of_a_caller_that_does_not_read_is_closed(run, last_header):
    """Guards against a graceful close, which waits until the caller has read all."""

    async def body():
        async with run_server(LARGE_BODY, write_timeout_s=0.2) as (server, port):
            request = f"GET / HTTP/1.1\r\nHost: vm\r\n{last_header}\r\n".encode()
            caller = await call_without_reading(f"127.0.0.1:{port}", request)
            await wait_until(lambda: server.busy_connections)
            await wait_until(lambda: not server.busy_connections, 1.0)
            caller.close()

    run(body())


EVENTS_BEFORE_CUT, EVENTS = 1_200, 1_210
EVENT_TEXT = "x" * 8_000
CUT_AFTER_S = 1.3


class CuttingEngine:
    """Streams events, and cuts a stream off that was not read on for ``CUT_AFTER_S``.

    A stream that is resumed ends after a few events.
    """

    def __init__(self, name: str):
        self.name = name
        self.address = ""
        self.cuts = 0
        self.resumptions = 0

    async def serve(self, reader, writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n") if ": " in line)
        first = int(fields.get("last-event-id", 0)) + 1
        is_resumed, last = first > 1, EVENTS if first > 1 else EVENTS_BEFORE_CUT
        writer.write(
            b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n"
            + f"Request-Id: {fields['request-id']}\r\n\r\n".encode()
        )
        self.resumptions += is_resumed
        try:
            for number in range(first, last + 1):
                event = f"id: {number}\ndata: {EVENT_TEXT}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.wait_for(writer.drain(), CUT_AFTER_S)
        except TimeoutError:
            writer.transport.abort()
            self.cuts += 1
            return
        writer.write(b"0\r\n\r\n")


@asynccontextmanager
async def run_cutting_engine(name: str):
    engine = CuttingEngine(name)
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_RECEIVE_BUFFER)
        listening.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(engine.serve, sock=listening)
        host, port = listening.getsockname()
        engine.address = f"{host}:{port}"
        yield engine
        server.close()


def stream_request(path: str, request_id: str, timeout_s: float) -> bytes:
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {timeout_s * 1000:.0f}",
        f"Authorization: Bearer {API_KEY}",
        "Model: m",
        "Token-Usage: 100,20",
        "Content-Length: 0",
    )
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


async def read_all(caller: socket.socket, is_end) -> bytes:
    """Reads on until ``is_end`` holds for the last bytes or the connection ends."""
    received, loop = bytearray(), asyncio.get_running_loop()
    while not is_end(received[-100:]):
        data = await asyncio.wait_for(loop.sock_recv(caller, 1_048_576), 5.0)
        if not data:
            break
        received += data
    return bytes(received)


@in_deployment
async def test_stream_that_was_cut_since_its_caller_paused_is_resumed_without_blame(deployment):
    """Guards against an engine that counts as failing for callers that do not read."""
    route = build_route(
        "draft", "streaming", "engines", resumable=True, gap_target_ms=300, timeout_ms=20_000
    )
    await start_deployment(deployment)
    deployment.configure(2, routes=[route])
    vm = deployment.vms[0]
    await wait_until(lambda: vm.configuration.version() == 2)
    async with run_cutting_engine("i-1") as first, run_cutting_engine("i-2") as second:
        engines = (first, second)
        for engine in engines:
            deployment.publish_entry(engine, "engines")
        await wait_until(lambda: len(vm.directory.entries_by_id) == 2)
        address = vm.settings.listen_address
        caller = await call_without_reading(address, stream_request("/draft/7", "r1", 20.0))
        await wait_until(lambda: any(engine.cuts for engine in engines), 8.0)
        answer = await read_all(caller, lambda end: end.endswith(b"\r\n0\r\n\r\n"))
        caller.close()
        numbers = [int(number) for number in re.findall(rb"id: (\d+)\n", answer)]
        assert numbers == list(range(1, EVENTS + 1))
        assert sum(engine.resumptions for engine in engines) == 1
        loads = vm.endpoint_allocator.loads
        assert not any(
            loads.for_endpoint(entry).failure_rate for entry in vm.directory.entries_by_id.values()
        )


@pytest.mark.parametrize(("pause_s", "ending"), [(0.0, "crashed"), (1.2, "unread")])
def test_engine_that_cuts_off_an_unread_stream_has_not_crashed(run, pause_s, ending):
    """Guards against strikes for requests, and engines taken out, since callers do not read."""

    async def body():
        async with run_cutting_engine_of_serve() as address:
            connection_pool = ConnectionPool(asyncio.get_running_loop().time)
            attempt = EngineAttempt(
                connection_pool,
                address,
                0.5,
                may_send=lambda: True,
                on_announcements=lambda told: None,
            )
            async for _ in attempt.events("/v1/completions", {}, "r1", 0.5):
                await asyncio.sleep(pause_s)
            connection_pool.close()
            return attempt.ending

    assert run(body()) == ending


@asynccontextmanager
async def run_cutting_engine_of_serve():
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b'24\r\ndata: {"choices": [{"text": "a"}]}\n\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


@in_deployment
async def test_stream_of_a_caller_that_does_not_read_ends_at_its_deadline(deployment):
    """Guards against an endpoint and its slot that are held as long as a write may last."""
    await start_deployment(deployment)
    vm = deployment.vms[0]
    engine = EndlessEndpoint("stream")
    engine.name, engine.address = "i-1", await engine.start()
    deployment.publish_entry(engine, "engines")
    await wait_until(lambda: vm.directory.entries_by_id)
    address = vm.settings.listen_address
    caller = await call_without_reading(address, stream_request("/explain/7", "r1", TIMEOUT_S))
    await wait_until(lambda: engine.sent_bytes)
    await wait_until(lambda: not vm.http.in_flight and engine.closed, 2 * TIMEOUT_S)
    caller.close()
    engine.stop()


BODY = b"x" * 200_000


@asynccontextmanager
async def run_server_with_stalled_callers(count: int, budget: BufferBudget):
    """Yields the server and its port once so many callers don't read their responses."""

    async def answer(connection, request):
        await connection.respond(200, [], BODY * (40 if request.target == "/large" else 1))

    server = HttpServer(answer, refuse_malformed_request, HttpLimits(body_bytes=10**7), budget)
    port = await server.listen("127.0.0.1", 0)
    request = b"GET /large HTTP/1.1\r\nHost: vm\r\n\r\n"
    callers = [await call_without_reading(f"127.0.0.1:{port}", request) for _ in range(count)]
    await wait_until(lambda: server.in_flight == count)
    yield server, port
    for caller in callers:
        caller.close()
    server.stop_listening()


def test_stalled_callers_are_ended_before_a_sound_one_is_refused(run):
    """Guards against a body that finds no memory, since other callers do not read."""

    async def body():
        budget = BufferBudget(30_000_000)
        async with run_server_with_stalled_callers(4, budget) as (server, port):
            await wait_until(lambda: budget.unread_bytes > 14_000_000)
            await asyncio.sleep(MIN_STALL_S + 0.1)
            request = await fetch(f"127.0.0.1:{port}", "POST", "/", b"x" * 9_000_000)
            assert request.status == 200
            assert 0 < budget.callers_ended < 4
            assert not budget.exceeded

    run(body())


def test_any_number_of_stalled_callers_stays_within_the_budget(run):
    """Guards against responses that are counted no more once they are written."""

    async def body():
        budget = BufferBudget(5_000_000)
        async with run_server_with_stalled_callers(12, budget) as (server, port):
            await wait_until(lambda: budget.used_bytes < budget.capacity_bytes, 3.0)
            assert budget.callers_ended
            response = await fetch(f"127.0.0.1:{port}", "GET", "/")
            assert response.body == BODY
        await wait_until(lambda: not server.busy_connections)
        assert not budget.used_bytes and not budget.unread_bytes

    run(body())


@given(
    st.lists(st.tuples(st.integers(0, 100), st.floats(0.0, 100.0)), max_size=20),
    st.integers(0, 500),
)
def test_those_that_stalled_longest_are_ended_and_no_more_than_needed(sizes, needed):
    unread, now = UnreadResponses(), 100.0
    for number, (size, since) in enumerate(sizes):
        unread.record(number, size, since)
    chosen = unread.choose_to_end(needed, now)
    since = [sizes[number][1] for number in chosen]
    assert since == sorted(since)
    assert all(now - at >= MIN_STALL_S for at in since)
    assert sum(sizes[number][0] for number in chosen[:-1]) < max(1, needed)
    stalled = sum(size for size, at in sizes if now - at >= MIN_STALL_S)
    assert sum(sizes[number][0] for number in chosen) >= min(needed, stalled)


def test_caller_that_reads_slowly_goes_on_before_one_that_reads_nothing():
    unread = UnreadResponses()
    unread.record("slow", 100, 0.0)
    unread.record("stalled", 100, 1.0)
    unread.record("slow", 99, 9.0)
    unread.record("stalled", 100, 9.0)
    assert unread.choose_to_end(200, 9.5) == ["stalled"]
