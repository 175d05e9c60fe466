"""Headers whose values have bytes outside ASCII pass through this system unchanged."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from bluebellpitch.http1 import ClientConnection, HttpLimits, HttpServer, parse_address
from fakes.prepared_deployment import API_KEY, HOST, build_configuration, wait_until
from tests.prepared_helpers import in_deployment, start_deployment

OFFICE = "釧路"
NAME = OFFICE.encode()
REQUEST_HEAD = (
    f"POST %s HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\nAuthorization: Bearer {API_KEY}\r\n"
    "Deadline-Ms: 1000\r\nContent-Length: 4\r\nX-Clerk: "
).encode()
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: x\r\nContent-Length: 7\r\n"
    b"X-Office: " + NAME + b"\r\n\r\nid: 1\n\n"
)


@pytest.mark.parametrize("path", [b"/look/7", b"/file/7", b"/draft/7"])
def test_header_outside_ascii_passes_in_both_directions(path):
    """Guards against LOST: the connection was closed without an answer after the run."""
    received, answers = [], []

    async def answer(reader, writer) -> None:
        received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(RESPONSE_HEAD)
        await writer.drain()
        writer.close()

    @in_deployment
    async def body(deployment):
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        endpoint = SimpleNamespace(
            name="i-0", address=f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        )
        deployment.publish_entry(endpoint, "engines" if path == b"/draft/7" else "app")
        vm = await deployment.add_vm()
        await wait_until(lambda: "i-0" in vm.directory.entries_by_id)
        reader, writer = await asyncio.open_connection(*parse_address(vm.settings.listen_address))
        writer.write(REQUEST_HEAD % path + NAME + b"\r\n\r\ncase")
        try:
            answers.append(await asyncio.wait_for(reader.read(4_096), 2.0))
        finally:
            writer.close()
            server.close()

    body()
    assert answers[0].startswith(b"HTTP/1.1 200")
    assert b"x-office: " + NAME in answers[0].lower()
    assert b"x-clerk: " + NAME in received[0].lower()


@in_deployment
async def test_member_with_a_name_outside_latin_1_is_served(deployment):
    """Guards against LOST: all requests of such a member ended without an answer."""
    (app,), client = await start_deployment(deployment, "app")
    fields = build_configuration(2)
    fields["tenants"][0]["name"] = OFFICE
    deployment.store.put("keyed.op", "config", msgspec.json.encode(fields))
    await wait_until(lambda: deployment.vms[0].configuration.version() == 2)
    assert (await client.call("POST", "/file/7", "r1", b"case")).status == 200
    assert app.requests[-1].header("tenant").encode("latin-1") == NAME


def test_endpoint_with_a_name_outside_latin_1_is_named_in_answers():
    """Guards against answers of ``serve`` that are lost, since they name their endpoint."""

    async def answer(connection, request) -> None:
        await connection.respond(200, [("X-Bluebellpitch-Endpoint", f"{OFFICE}-1")], b"")

    async def body():
        server = HttpServer(answer, answer, HttpLimits())
        port = await server.listen("127.0.0.1", 0)
        connection = await ClientConnection.open(f"127.0.0.1:{port}", 1.0)
        response = await connection.call("GET", "/", b"", 1.0)
        connection.close()
        server.stop_listening()
        return dict(response.headers)["x-bluebellpitch-endpoint"]

    assert asyncio.run(body()).encode("latin-1") == NAME + b"-1"
