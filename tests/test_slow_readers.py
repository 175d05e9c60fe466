"""Endpoints that do not read what they are sent, and callers that do not read their answers."""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest

from bluebellpitch.callers.routed_requests import refuse_malformed_request
from bluebellpitch.http1 import HttpLimits, HttpServer, parse_address
from fakes.prepared_deployment import wait_until
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
