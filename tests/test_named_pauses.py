"""An endpoint that turns a request away for some time gets nothing from that VM before its end."""

import asyncio
import time

import pytest

from bluebellpitch.decisions.endpoint_pauses import RAMP_STEP_S, RAMP_STEPS, EndpointPauses
from bluebellpitch.platform.http_messages import decode_pause
from fakes.prepared_deployment import get_header
from tests.prepared_helpers import in_deployment, start_deployment

KEY = ("i-1", 1)


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e400", "9" * 5_000, "soon", "3601"])
def test_malformed_pause_counts_as_none(text):
    assert decode_pause(text) is None
    assert (decode_pause(None), decode_pause("0.5"), decode_pause("7")) == (None, 0.5, 7.0)


def test_second_answer_may_lengthen_a_pause_and_does_not_shorten_it():
    pauses = EndpointPauses()
    pauses.record(KEY, 2.0, now=0.0)
    pauses.record(KEY, 3.0, now=1.0)
    assert pauses.wait_s(KEY, 1.5) == 2.5
    pauses.record(KEY, 0.5, now=2.0)
    assert pauses.wait_s(KEY, 3.0) == 1.0
    assert pauses.wait_s(("i-1", 2), 3.0) == 0.0


def test_load_comes_back_in_steps_after_a_pause():
    pauses, sent_by_step = EndpointPauses(), []
    pauses.record(KEY, 1.0, now=0.0)
    for step in range(RAMP_STEPS):
        now, sent = 1.0 + step * RAMP_STEP_S, 0
        while pauses.wait_s(KEY, now) == 0 and sent < 100:
            pauses.count_sent(KEY)
            sent += 1
        sent_by_step.append(sent)
    assert sent_by_step == [1, 2, 4, 8]
    assert pauses.wait_s(KEY, 1.0 + RAMP_STEPS * RAMP_STEP_S) == 0.0


@in_deployment
async def test_service_that_named_a_pause_gets_nothing_before_its_end(deployment):
    (pausing, other), client = await start_deployment(deployment, "app", "app")
    pausing.mode, pausing.pause_s = "refuse", 1.0
    while not pausing.requests:
        assert (await client.call("GET", "/look/7", "r0")).status == 200
    pausing.mode, until = "", pausing.arrived_at[0] + 1.0
    number = 0
    while time.monotonic() < until + 1.5:
        number += 1
        assert (await client.call("GET", "/look/7", f"r{number}")).status == 200
        await asyncio.sleep(0.005)
    assert [at for at in pausing.arrived_at[1:] if at < until] == []
    assert len(pausing.arrived_at) > 5


@pytest.mark.parametrize("pool", ["app", "engines"])
def test_pool_whose_endpoints_all_pause_answers_at_once_with_what_is_left(pool):
    @in_deployment
    async def body(deployment):
        (pausing,), client = await start_deployment(deployment, pool)
        pausing.mode, pausing.pause_s = "refuse", 3.0

        async def call(name: str):
            if pool == "app":
                return await client.call("POST", "/file/1", name, b"x")
            return await client.stream("/explain/1", name)

        refused = await call("r1")
        assert refused.status == 503 and float(get_header(refused, "retry-after")) > 2.5
        assert len(pausing.requests) == 1
        await asyncio.sleep(0.5)
        started_at = time.monotonic()
        response = await call("r2")
        assert response.status == 503 and b"endpoints_pause" in response.body
        assert 2.0 < float(get_header(response, "retry-after")) <= 2.6
        assert time.monotonic() - started_at < 0.2
        assert len(pausing.requests) == 1

    body()


@in_deployment
async def test_engine_that_named_a_pause_is_avoided_by_its_broker(deployment):
    (pausing, other), client = await start_deployment(deployment, "engines", "engines")
    pausing.mode, pausing.pause_s = "refuse", 3.0
    for number in range(12):
        response = await client.stream("/draft/1", f"r{number}", parts=(f"p{number}",))
        assert response.status == 200
    assert len(pausing.requests) == 1
