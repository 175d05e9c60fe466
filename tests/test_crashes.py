"""Endpoints that crash, over real sockets: what counts as a crash, and what is refused for it."""

import asyncio

import pytest

from bluebellpitch.http1 import client as http_client
from tests.prepared_helpers import in_deployment, start_deployment


@pytest.fixture
def delayed_connections(monkeypatch):
    """Delays new connections as long as those to another region take."""
    open_streams = http_client.open_streams

    async def open_late(host, port):
        await asyncio.sleep(0.06)
        return await open_streams(host, port)

    monkeypatch.setattr(http_client, "open_streams", open_late)


def test_answer_lost_far_away_is_no_strike(delayed_connections):
    @in_deployment
    async def scenario(deployment):
        endpoints, client = await start_deployment(deployment, "app", "app", "app")
        for endpoint in endpoints:
            endpoint.mode = "reset"
        statuses = [
            (await client.call("POST", "/file/7", f"r{number}", b"case")).status
            for number in range(6)
        ]
        assert statuses == [502] * 6

    scenario()
