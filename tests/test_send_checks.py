"""Requests of ``serve`` are not sent to an endpoint that leaves between the grant and the send."""

import asyncio

import pytest

from bluebellpitch.decisions.control import VmIdentity
from bluebellpitch.decisions.rows import EndpointRow, Table, VersionedRow
from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.endpoints.engine import EngineAttempt
from bluebellpitch.endpoints.service import ServiceCall, call_service
from bluebellpitch.verdicts import DidNotRun
from bluebellpitch.view import ClusterView, VmState
from fakes.prepared_endpoint import FakeEndpoint


def create_view(state: str, leaving: frozenset[str] = frozenset()) -> ClusterView:
    own = VmState(VmIdentity("vm-1", 1, "127.0.0.1:1", "127.0.0.1:2"), "z", "r", False, 0, 0)
    row = EndpointRow("e-0", "pool", "z", "r", "127.0.0.1:1", 4, True, state)
    table = Table({"endpoint/e-0": VersionedRow(row, 1)})
    return ClusterView(own, table=table, leaving_endpoints=leaving)


@pytest.mark.parametrize(
    ("view", "accepts"),
    [
        (create_view("live"), True),
        (create_view("leaving"), False),
        (create_view("live", leaving=frozenset({"e-0"})), False),
    ],
)
def test_endpoint_accepts_requests_while_it_is_live_and_announces_no_shutdown(view, accepts):
    assert view.accepts_requests("e-0") is accepts
    assert not view.accepts_requests("e-1")


def test_completion_is_not_sent_to_an_engine_that_left_after_the_grant():
    async def body():
        engine = FakeEndpoint("e-0")
        port = await engine.start("127.0.0.1", 0)
        pool = ConnectionPool(asyncio.get_running_loop().time)
        attempt = EngineAttempt(
            pool,
            f"127.0.0.1:{port}",
            1.0,
            may_send=lambda: False,
            on_announcements=ignore,
        )
        async for _ in attempt.events("/v1/completions", {}, "r1", 1.0):
            pass
        engine.http.stop_listening()
        return attempt.ending, engine.requests

    assert asyncio.run(body()) == ("left", [])


def test_service_call_is_not_sent_to_a_service_that_left_after_the_grant():
    async def body():
        service = FakeEndpoint("e-0")
        port = await service.start("127.0.0.1", 0)
        pool = ConnectionPool(asyncio.get_running_loop().time)
        call = ServiceCall("POST", "/cases", (), b"{}")
        result = await call_service(
            pool,
            f"127.0.0.1:{port}",
            call,
            1.0,
            may_send=lambda: False,
            on_announcements=ignore,
        )
        service.http.stop_listening()
        return result, service.requests

    assert asyncio.run(body()) == (DidNotRun("endpoint_left"), [])


def ignore(told):
    """Takes what an answer names, and does nothing."""
