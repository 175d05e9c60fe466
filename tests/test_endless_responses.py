"""Responses of endpoints without end are cut at a bound, with a typed reason and flat memory."""

import asyncio
import tracemalloc
from contextlib import asynccontextmanager

import msgspec
import pytest

from bluebellpitch.endpoints.attempt import MAX_ROUTED_RESPONSE_BYTES
from bluebellpitch.endpoints.connections import ConnectionPool, probe
from bluebellpitch.endpoints.engine import EngineAttempt
from bluebellpitch.endpoints.service import ServiceCall, call_service
from bluebellpitch.http1 import MAX_RESPONSE_BYTES
from bluebellpitch.verdicts import MayHaveRun
from fakes.endless import EndlessEndpoint
from fakes.prepared_deployment import Deployment, wait_until

# Socket buffers on both sides take some bytes beyond what is read.
SOCKET_BUFFER_BYTES = 8_000_000
TIME_LIMIT_S = 1.0


@asynccontextmanager
async def run_endless_endpoint(part: str):
    endpoint = EndlessEndpoint(part)
    endpoint.address = await endpoint.start()
    tracemalloc.start()
    try:
        yield endpoint
        await wait_until(lambda: endpoint.closed, timeout_s=1.0)
    finally:
        tracemalloc.stop()
        endpoint.stop()


def assert_bounded(endpoint: EndlessEndpoint, max_bytes: int) -> None:
    _, peak_bytes = tracemalloc.get_traced_memory()
    assert peak_bytes < 3 * max_bytes + SOCKET_BUFFER_BYTES
    assert endpoint.sent_bytes < max_bytes + SOCKET_BUFFER_BYTES


@pytest.mark.parametrize(
    ("part", "status", "reason"),
    [
        ("head", 502, "oversized"),
        ("informational", 502, "oversized"),
        ("body", 502, "oversized"),
        ("refusal", 503, "refused"),
        ("other", 502, "oversized"),
    ],
)
def test_routed_request_to_an_endpoint_without_end_fails_with_a_reason(part, status, reason):
    async def body():
        async with Deployment() as deployment, run_endless_endpoint(part) as endpoint:
            endpoint.name = "i-0"
            deployment.publish_entry(endpoint, "app")
            vm = await deployment.add_vm()
            await wait_until(lambda: "i-0" in vm.directory.entries_by_id)
            client = deployment.add_client(vm)
            response = await client.call("POST", "/file/7", "r1", b"case", timeout_s=TIME_LIMIT_S)
            assert_bounded(endpoint, MAX_ROUTED_RESPONSE_BYTES)
            return response

    response = asyncio.run(body())
    assert response.status == status
    assert msgspec.json.decode(response.body)["reason"].startswith(reason)


@pytest.mark.parametrize("part", ["event", "stream"])
def test_routed_stream_without_end_is_cut(part):
    """An event without end is cut at the bound, a stream of proper events at the deadline."""

    async def body():
        async with Deployment() as deployment, run_endless_endpoint(part) as endpoint:
            endpoint.name = "i-0"
            deployment.publish_entry(endpoint, "engines")
            vm = await deployment.add_vm()
            await wait_until(lambda: "i-0" in vm.directory.entries_by_id)
            client = deployment.add_client(vm)
            try:
                async with asyncio.timeout(3 * TIME_LIMIT_S):
                    await client.stream("/explain/7", "r1", timeout_s=TIME_LIMIT_S)
            except Exception as error:
                result = type(error).__name__
            else:
                result = "complete"
            if part == "event":
                assert_bounded(endpoint, MAX_ROUTED_RESPONSE_BYTES)
            await wait_until(lambda: not vm.http.in_flight, timeout_s=TIME_LIMIT_S)
            return result

    assert asyncio.run(body()) != "TimeoutError"


@pytest.mark.parametrize("part", ["head", "informational", "body"])
def test_service_call_to_an_endpoint_without_end_fails_with_a_reason(part):
    async def body():
        async with run_endless_endpoint(part) as endpoint:
            call = ServiceCall("POST", "/cases", (), b"{}")
            pool = ConnectionPool(asyncio.get_running_loop().time)
            result = await call_service(
                pool,
                endpoint.address,
                call,
                5 * TIME_LIMIT_S,
                may_send=lambda: True,
                on_announcements=ignore,
            )
            assert_bounded(endpoint, MAX_RESPONSE_BYTES)
            return result

    result = asyncio.run(body())
    assert isinstance(result, MayHaveRun) and result.reason.startswith("answer_too_large")


@pytest.mark.parametrize("part", ["head", "informational", "event", "stream", "refusal"])
def test_completion_at_an_engine_without_end_ends(part):
    async def body():
        async with run_endless_endpoint(part) as endpoint:
            pool = ConnectionPool(asyncio.get_running_loop().time)
            attempt = EngineAttempt(
                pool,
                endpoint.address,
                5 * TIME_LIMIT_S,
                may_send=lambda: True,
                on_announcements=ignore,
            )
            async for _ in attempt.events("/v1/completions", {}, "r1", 5 * TIME_LIMIT_S):
                pass
            assert_bounded(endpoint, MAX_RESPONSE_BYTES)
            return attempt.ending

    assert asyncio.run(body()) == "oversized"


def test_health_probe_of_an_endpoint_without_end_ends():
    async def body():
        async with run_endless_endpoint("body") as endpoint:
            is_healthy = await probe(endpoint.address)
            assert_bounded(endpoint, MAX_RESPONSE_BYTES)
            return is_healthy

    assert not asyncio.run(body())


def ignore(told):
    """Takes what an answer names, and does nothing."""
