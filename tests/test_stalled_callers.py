"""Callers that do not read their responses: what is held for them, and who is ended for it."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellpitch.callers.routed_response import refuse_malformed_request
from bluebellpitch.decisions.buffer_budget import BufferBudget
from bluebellpitch.decisions.unread_responses import MIN_STALL_S, UnreadResponses
from bluebellpitch.errors import DisconnectedError
from bluebellpitch.http1 import HttpLimits, HttpServer, fetch
from fakes.prepared_deployment import wait_until
from fakes.unread import call_without_reading

# More than the buffers of both sockets take.
LARGE_BODY = b"x" * 6_000_000


@asynccontextmanager
async def run_server(body: bytes, **limits):
    """Answers each request with this body."""

    async def answer(connection, request):
        await connection.respond(200, [], body)

    server = HttpServer(answer, refuse_malformed_request, HttpLimits(**limits))
    yield server, await server.listen("127.0.0.1", 0)
    server.stop_listening()


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


def test_caller_that_goes_while_its_response_is_sent_has_not_stalled(run):
    """The log named it as one that the VM disconnected, since it did not read."""
    errors = []

    async def answer(connection, request):
        try:
            await connection.respond(200, [], LARGE_BODY)
        except DisconnectedError as error:
            errors.append(type(error))

    async def body():
        server = HttpServer(answer, refuse_malformed_request, HttpLimits())
        port = await server.listen("127.0.0.1", 0)
        request = b"GET / HTTP/1.1\r\nHost: vm\r\n\r\n"
        caller = await call_without_reading(f"127.0.0.1:{port}", request)
        await wait_until(lambda: server.in_flight)
        await asyncio.sleep(0.1)
        caller.close()
        await wait_until(lambda: errors, 1.0)
        server.stop_listening()

    run(body())
    assert errors == [DisconnectedError]


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


def test_callers_that_stalled_at_the_same_moment_are_ended_once_each():
    """Guards against ends within ends, of which hundreds exceed the depth of the stack."""
    budget, unread, ended = BufferBudget(1_000.0), UnreadResponses(), []

    def end_stalled(missing_bytes: float) -> int:
        chosen = unread.choose_to_end(missing_bytes, MIN_STALL_S)
        for share_id in chosen:
            ended.append(share_id)
            unread.forget(share_id)
            shares[share_id].release()
        return len(chosen)

    shares = [budget.open_unread() for _ in range(600)]
    for share_id, share in enumerate(shares):
        unread.record(share_id, 100, 0.0)
        share.record(100)
    budget.free_unread = end_stalled
    shares[-1].record(100)
    assert len(ended) == len(set(ended)) == budget.callers_ended == 590
    assert budget.used_bytes == budget.unread_bytes == budget.capacity_bytes


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


def test_end_of_the_program_does_not_wait_for_a_caller_that_does_not_read(run):
    """Guards against an error that is reported for each connection that is being closed."""
    errors = []

    async def body():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        closing = asyncio.Event()

        async def answer(connection, request):
            connection.writer.write(LARGE_BODY)
            closing.set()

        server = HttpServer(answer, refuse_malformed_request, HttpLimits())
        port = await server.listen("127.0.0.1", 0)
        request = b"GET / HTTP/1.1\r\nHost: vm\r\n\r\n"
        caller = await call_without_reading(f"127.0.0.1:{port}", request)
        await closing.wait()
        await asyncio.sleep(0.05)
        return caller

    run(body()).close()
    assert not errors
