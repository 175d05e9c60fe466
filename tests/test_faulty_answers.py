"""Answers that are not what they look like: old refusals, errors inside streams, half heads."""

import asyncio

import pytest

from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.errors import ConnectionLostError
from fakes.prepared_deployment import API_KEY, HOST
from tests.prepared_helpers import in_deployment, start_deployment


@in_deployment
async def test_old_refusal_without_an_id_is_not_taken_for_this_request(deployment):
    endpoints, client = await start_deployment(deployment, "app", "app")
    for endpoint in endpoints:
        endpoint.mode = "old refusal"
    for number in range(4):
        response = await client.call("POST", "/file/7", f"r{number}", b"case")
        # The endpoint runs it, so it is never reported as not run, and never sent again.
        assert response.status in (200, 502)
        assert sum(endpoint.ran.count(f"r{number}") for endpoint in endpoints) == 1


async def read_raw_stream(address):
    """Requests a resumable stream; returns all bytes until the connection ends."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    writer.write(
        f"POST /draft/7 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\nDeadline-Ms: 2000\r\n"
        f"Authorization: Bearer {API_KEY}\r\nModel: m\r\nToken-Usage: 10,20\r\n"
        "Prompt-Prefix: aa:5,r1:5\r\nContent-Length: 0\r\n\r\n".encode()
    )
    async with asyncio.timeout(5):
        received = await reader.read(-1)
    writer.transport.abort()
    return received


@pytest.mark.parametrize("status", [404, 429, 500, 503])
@pytest.mark.parametrize("mode", ["error", "refuse", "other", "half head", "garbage"])
def test_answer_of_the_next_server_is_not_put_into_a_stream(mode, status):
    @in_deployment
    async def scenario(deployment):
        endpoints, client = await start_deployment(deployment, "engines", "engines")
        for endpoint in endpoints:
            endpoint.mode, endpoint.error_status, endpoint.head_bytes = "cut", status, 40
            endpoint.then_mode = mode
        received = await read_raw_stream(client.settings.listen_address)
        assert len(endpoints[0].requests + endpoints[1].requests) == 2
        assert received.count(b"HTTP/1.1") == 1
        assert b"piece 2" in received and b"error" not in received
        assert not received.endswith(b"0\r\n\r\n")

    scenario()


@pytest.mark.parametrize("head_bytes", [1, 9, 16, 17, 18, 60, 107, 108, 109])
@pytest.mark.parametrize(
    ("method", "path"), [("POST", "/file/7"), ("GET", "/look/7"), ("POST", "/explain/7")]
)
def test_half_a_head_is_not_an_empty_answer(method, path, head_bytes):
    @in_deployment
    async def scenario(deployment):
        endpoints, client = await start_deployment(deployment, "app", "engines")
        for endpoint in endpoints:
            endpoint.mode, endpoint.head_bytes = "half head", head_bytes
        if path.startswith("/explain"):
            response = await client.stream(path, "r1")
        else:
            response = await client.call(method, path, "r1")
        assert response.status == 502

    scenario()


@in_deployment
async def test_stream_that_ends_with_its_connection_is_whole(deployment):
    (engine,), client = await start_deployment(deployment, "engines")
    engine.mode = "unframed"
    response = await client.stream("/explain/7", "r1")
    assert response.status == 200
    assert response.body.endswith(b"data: piece 4\n\n")


@pytest.mark.parametrize("mode", ["unframed cut", "unframed reset"])
def test_unframed_stream_that_breaks_off_is_not_whole(mode):
    @in_deployment
    async def scenario(deployment):
        (engine,), client = await start_deployment(deployment, "engines")
        engine.mode = mode
        with pytest.raises(ConnectionLostError):
            await client.stream("/explain/7", "r1")

    scenario()


def test_connection_with_an_unread_refusal_is_not_used_again():
    async def scenario():
        writers = []

        async def answer_twice(reader, writer):
            writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(answer_twice, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool(asyncio.get_running_loop().time)
        first = await pool.acquire(address)
        assert (await first.call("GET", "/", b"", 1.0)).status == 200
        pool.release(first)
        await asyncio.sleep(0.1)
        second = await pool.acquire(address)
        assert second is not first
        second.close()
        pool.close()
        server.close()
        for writer in writers:
            writer.transport.abort()

    asyncio.run(scenario())
