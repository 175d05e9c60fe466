"""Endpoints that do not read what they are sent, and callers that do not read their answers."""

import asyncio
import re
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest

from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.endpoints.engine import EngineAttempt
from bluebellpitch.http1 import parse_address
from fakes.endless import EndlessEndpoint
from fakes.prepared_deployment import API_KEY, HOST, build_route, wait_until
from fakes.unread import SMALL_BUFFER_BYTES, call_without_reading
from tests.prepared_helpers import in_deployment, start_deployment

# More than the buffers of both sockets take.
LARGE_BODY = b"x" * 6_000_000
TIMEOUT_S = 1.0
REFUSAL = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"


@asynccontextmanager
async def run_unread_endpoint(answer: bytes = b""):
    """Listens, reads nothing of a request but its beginning, and sends this at once."""

    async def serve(reader, writer):
        writer.transport.pause_reading()
        writer.write(answer)

    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
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
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
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


@in_deployment
async def test_callers_that_send_slowly_are_ended_with_a_promise_and_harm_nobody(deployment):
    """Guards against hundreds of requests that never become complete."""
    (app,), client = await start_deployment(deployment, "app")
    vm = deployment.vms[0]
    vm.http.limits = replace(vm.http.limits, receive_s=TIMEOUT_S)
    address = parse_address(vm.settings.listen_address)
    streams = [await asyncio.open_connection(*address) for _ in range(200)]

    async def send_slowly(writer):
        writer.write(stream_request("/file/7", "slow", 9.0).replace(b"h: 0", b"h: 9000") + b"x")
        while True:
            await asyncio.sleep(0.2)
            writer.write(b"x")

    sending = [asyncio.create_task(send_slowly(writer)) for _, writer in streams]
    await asyncio.sleep(0.1)
    answers = [await client.call("POST", "/file/7", f"r{n}", b"case") for n in range(20)]
    heads = [await asyncio.wait_for(reader.readline(), 3.0) for reader, _ in streams]
    for task, (_, writer) in zip(sending, streams, strict=True):
        task.cancel()
        writer.transport.abort()
    assert {answer.status for answer in answers} == {200}
    assert {head[:12] for head in heads} == {b"HTTP/1.1 408"}
    assert app.ran == [f"r{n}" for n in range(20)]
    await wait_until(lambda: not vm.buffers.used_bytes)
