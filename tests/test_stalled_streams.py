"""Engines that send bytes now and then, but no token, and engines that are only slow."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.endpoints.engine import EngineAttempt

STALL_S = 0.5
EVENT = b'data: {"choices": [{"text": "a"}]}\n\n'
BODY = b"{}"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@asynccontextmanager
async def run_engine(parts: list[bytes], interval_s: float):
    """Answers a completion with these parts of a stream, one in each interval; it is healthy."""
    tasks = []

    async def answer(reader, writer):
        tasks.append(asyncio.current_task())
        request = await reader.readuntil(b"\r\n\r\n")
        if request.startswith(b"GET /health"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            return
        await reader.readexactly(len(BODY))
        writer.write(HEAD)
        for part in parts:
            # A caller that leaves with unread bytes resets the connection, which is no end of file.
            if reader.at_eof() or writer.transport.is_closing():
                break
            writer.write(encode_chunk(part))
            await asyncio.sleep(interval_s)
        writer.write(encode_chunk(b""))
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"
    finally:
        server.close()
        await asyncio.gather(*tasks)


async def read_stream(parts: list[bytes], interval_s: float) -> tuple[str, bytes]:
    async with asyncio.timeout(8 * STALL_S), run_engine(parts, interval_s) as address:
        connection_pool = ConnectionPool(asyncio.get_running_loop().time)
        attempt = EngineAttempt(
            connection_pool,
            address,
            STALL_S,
            may_send=lambda: True,
            on_announcements=lambda told: None,
        )
        events = [events async for events in attempt.events("/v1/completions", {}, "r1", STALL_S)]
        connection_pool.close()
        return attempt.ending, b"".join(events)


@pytest.mark.parametrize("part", [b"d", b": waiting\n\n"], ids=["bytes", "comments"])
@pytest.mark.parametrize(("first", "ending"), [([EVENT], "stalled"), ([], "late")])
def test_stream_that_sends_no_token_ends_although_bytes_arrive(run, part, first, ending):
    actual, _ = run(read_stream([*first, *[part] * 100], STALL_S / 5))
    assert_that(actual, Equals(ending))


def test_slow_stream_with_a_token_in_time_is_not_cut(run):
    """In all it lasts three times as long as the stall limit."""
    parts = [EVENT] * 6 + [b"data: [DONE]\n\n"]
    ending, events = run(read_stream(parts, STALL_S / 2))
    assert_that(ending, Equals("completed"))
    assert_that(events, Equals(EVENT * 6))
