"""The task that sends orders for endpoints: its lease, its calls and what it gives up."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest

from bluebellpitch.decisions.catalogue import Catalogue, EngineCapacity, PoolConfig
from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.duties.held_lease import HeldLease
from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.scaling.demand import DemandMeter
from bluebellpitch.decisions.scaling.supply import EndpointGroup, PlacedOrder
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.duty_api import CallAccepted, CallFailed, CallFenced, CallRejected
from bluebellpitch.platform.order_records import decode_orders, encode_orders
from bluebellpitch.platform.settings_file import DutySettings
from bluebellpitch.roles.duties.autoscaler import DECISION_INTERVAL_S, Autoscaler, ScalingSources
from bluebellpitch.roles.duties.demand_reporter import DemandReporter
from tests.scaling_load import CONFIG, REGIONS_BY_ZONE, SLOTS, Platform
from tests.virtual_time import run_in_virtual_time

CALLS_PER_S = 10.0
SETTINGS = DutySettings("127.0.0.1:1", frozenset({"autoscale"}), CALLS_PER_S, 4.0, 5.0, 10.0)


class Api:
    """Answers calls with ``outcome`` and records them as (time, token, group, count)."""

    def __init__(self):
        self.outcome = CallAccepted()
        self.calls = []

    async def order_endpoints(self, lease, pool, zone, count, is_spot):
        now = asyncio.get_running_loop().time()
        self.calls.append((now, lease.token, EndpointGroup(zone, is_spot), count))
        await asyncio.sleep(0.01)
        return self.outcome


class Holder:
    """Holds the lease ``token``, None for none."""

    def __init__(self):
        self.token, self.reasons = 1, []
        self.values_by_key = {}
        self.is_stopping = False

    def lease(self):
        if self.is_stopping:
            return None
        return self.token and HeldLease("autoscale", self.token, float("inf"))

    def append_later(self, token, records):
        assert token == self.token
        self.values_by_key |= {record.key: record.value for record in records}

    async def give_back(self, reason):
        self.token = None
        self.reasons.append(reason)


class Fleet:
    """One VM whose zones all report their demand to it; endpoints never change."""

    def __init__(self):
        now = asyncio.get_running_loop().time
        self.pools_by_name = {"p": PoolConfig("p", 100, EngineCapacity(SLOTS, 1000), CONFIG)}
        directory, platform = EndpointDirectory(), Platform()
        for zone in REGIONS_BY_ZONE:
            platform.add(EndpointGroup(zone, False), 8)
        directory.entries_by_id.update(platform.entries_by_id)
        sources = ScalingSources(
            directory,
            lambda: Catalogue(1, {}, self.pools_by_name, {}, False),
            REGIONS_BY_ZONE,
            self.sample,
        )
        context = SimpleNamespace(vm_name="vm", address="own", metrics=Metrics(), now=now)
        self.holder, self.api, self.meter = Holder(), Api(), DemandMeter()
        self.autoscaler = Autoscaler(self.holder, SETTINGS, context, sources)
        self.autoscaler._api = self.api
        self.reporters = [
            DemandReporter(
                SimpleNamespace(zone=zone, address="own"),
                sources.catalogue,
                self.sample,
                lambda: "own",
                self.autoscaler.handle_demand,
            )
            for zone in REGIONS_BY_ZONE
        ]

    def sample(self, pool):
        return self.meter.sample(GenerationBroker(pool), asyncio.get_running_loop().time())

    async def run(self, seconds):
        tasks = [self.autoscaler.run(), *(reporter.run() for reporter in self.reporters)]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(*tasks)


def play(body):
    async def run():
        await body(Fleet())

    run_in_virtual_time(run())


def test_orders_are_sent_once_and_within_the_calls_per_second():
    async def body(fleet):
        await fleet.run(4.0)
        assert {group: count for _, _, group, count in fleet.api.calls} == {
            EndpointGroup(zone, True): 7 for zone in REGIONS_BY_ZONE
        }
        assert len(fleet.api.calls) == len(REGIONS_BY_ZONE)
        times = [at for at, *_ in fleet.api.calls]
        assert all(b - a >= 1 / CALLS_PER_S for a, b in zip(times, times[1:], strict=False))

    play(body)


def test_nothing_is_sent_without_the_lease():
    async def body(fleet):
        fleet.holder.token = None
        await fleet.run(4.0)
        assert not fleet.api.calls

    play(body)


@pytest.mark.parametrize(("kept", "orders"), [(b"[]", 4), (b"[1]", 4), (None, 0)])
def test_new_token_begins_anew_with_the_orders_that_were_kept(kept, orders):
    """``kept`` is what the store has in place of them, None for the orders themselves."""

    async def body(fleet):
        await fleet.run(4.0)
        fleet.holder.token = 2
        if kept is not None:
            fleet.holder.values_by_key["orders"] = kept
        await fleet.run(4.0)
        counts = Counter(token for _, token, *_ in fleet.api.calls)
        assert (counts[1], counts[2]) == (4, orders)

    play(body)


def test_order_that_was_taken_just_before_a_planned_stop_is_kept_for_the_next_holder():
    """It was kept with the next decision, which a holder that stops does not make."""

    async def body(fleet):
        send = fleet.api.order_endpoints

        async def stop_after_the_call(*order):
            outcome = await send(*order)
            fleet.holder.is_stopping = True
            return outcome

        fleet.api.order_endpoints = stop_after_the_call
        await fleet.run(4.0)
        ((_, _, group, count),) = fleet.api.calls
        placed = decode_orders(fleet.holder.values_by_key)["p"][group]
        assert (placed.ordered, placed.accepted) == (count, count)

    play(body)


def test_pool_that_is_listed_again_begins_with_what_there_is():
    """It went on from the orders that were kept when this VM took the duty, however long ago."""

    async def body(fleet):
        old = {EndpointGroup("a1", True): PlacedOrder(15, 15)}
        record = encode_orders({"p": old})
        fleet.holder.values_by_key[record.key] = record.value
        await fleet.run(1.0)
        pools, fleet.pools_by_name = fleet.pools_by_name, {}
        await fleet.run(1.0)
        assert decode_orders(fleet.holder.values_by_key) == {}
        fleet.pools_by_name = pools
        await fleet.run(DECISION_INTERVAL_S)
        placed = decode_orders(fleet.holder.values_by_key)["p"]
        assert placed[EndpointGroup("a1", True)].accepted == 0

    play(body)


def test_failed_calls_are_repeated_with_pauses_until_the_duty_is_given_back():
    async def body(fleet):
        fleet.api.outcome = CallFailed("timeout")
        await fleet.run(30.0)
        assert fleet.holder.reasons == ["api_timeout"]
        assert 3 <= len(fleet.api.calls) <= 8

    play(body)


def test_call_under_an_old_token_ends_the_term_and_blocks_no_group():
    async def body(fleet):
        fleet.api.outcome = CallFenced()
        await fleet.run(4.0)
        assert fleet.holder.reasons == ["fenced"]
        assert len(fleet.api.calls) == 1
        fleet.holder.token, fleet.api.outcome = 2, CallAccepted()
        await fleet.run(4.0)
        assert Counter(token for _, token, *_ in fleet.api.calls) == {1: 1, 2: 4}

    play(body)


def test_unavailable_spot_is_tried_in_other_zones_and_then_paused():
    async def body(fleet):
        fleet.api.outcome = CallRejected(409)
        await fleet.run(2.5)
        spot = Counter(group.zone for _, _, group, _ in fleet.api.calls if group.is_spot)
        assert spot == dict.fromkeys(REGIONS_BY_ZONE, 1)
        assert fleet.holder.reasons == []

    play(body)


def test_demand_is_smoothed_over_a_second():
    meter, broker = DemandMeter(), GenerationBroker("p")
    for number in range(100):
        meter.record_arrival(500, number * 0.05)
    sample = meter.sample(broker, 5.0)
    assert sample.arrivals_per_s == pytest.approx(20, rel=0.1)
    assert sample.tokens_per_s == pytest.approx(10_000, rel=0.1)
    assert meter.sample(broker, 8.0).arrivals_per_s < 2
