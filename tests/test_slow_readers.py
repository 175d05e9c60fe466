"""Endpoints that do not read what they are sent, and callers that do not read their answers."""

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

import pytest

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
