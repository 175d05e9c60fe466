"""Orders for endpoints under waves, bursts, reclaimed zones and endpoints that do not come."""

import math
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellpitch.decisions.scaling.orders import OrderPlanner
from bluebellpitch.decisions.scaling.supply import EndpointGroup, PlacedOrder
from tests.scaling_load import CONFIG, REGIONS_BY_ZONE, TICK_S, Replay

TRAFFIC_AT, CALM_UNTIL = 16.0, 40.0


def wave(zone, now):
    return 0.0 if now < TRAFFIC_AT else 30 * (1 + 0.27 * math.sin(now * math.tau / 11))


def burst(zone, now):
    return wave(zone, now) * (2.4 if CALM_UNTIL <= now < CALM_UNTIL + 9 else 1)


@pytest.fixture
def replay():
    return Replay(wave).start_with(on_demand=8)


@pytest.fixture
def calm(replay):
    return replay.run(CALM_UNTIL)


def zone_counts(replay, group):
    return [order.count for _, order in replay.orders if order.group == group]


def test_spot_endpoints_replace_others_only_once_they_serve(replay):
    for _ in range(40):
        replay.run(replay.now + TICK_S)
        assert all(replay.total(zone) >= 8 for zone in REGIONS_BY_ZONE)
    assert all(replay.count(zone, is_spot=False) <= 1 for zone in REGIONS_BY_ZONE)
    assert zone_counts(replay, EndpointGroup("a1", False)) == [6, 4, 3, 2, 1]


def test_wave_is_served_without_swinging(calm):
    orders_before = len(calm.orders)
    calm.run(CALM_UNTIL + 60)
    assert calm.missing_s == 0
    assert len(calm.orders) - orders_before <= len(REGIONS_BY_ZONE)


def test_burst_longer_than_the_boot_time_is_followed_and_returned_in_steps():
    replay = Replay(burst).start_with(on_demand=8).run(CALM_UNTIL)
    calm_total = replay.total("a1")
    replay.run(CALM_UNTIL + 8.9)
    assert replay.total("a1") * 16 >= 1.5 * burst("a1", replay.now)
    at_peak = len(replay.orders)
    replay.run(CALM_UNTIL + 90)
    spot = [o.count for _, o in replay.orders[at_peak:] if o.group == EndpointGroup("a1", True)]
    assert spot == sorted(spot, reverse=True)
    assert replay.total("a1") <= calm_total + 2


def test_reclaimed_zone_is_made_up_for_in_its_region_until_it_is_back(calm):
    calm.platform.reclaim("a1", for_s=9, now=calm.now)
    calm.run(CALM_UNTIL + 5)
    assert calm.count("a2", is_spot=True) >= 13
    assert calm.count("b1", is_spot=True) <= 8
    assert calm.unavailable[0].reason == "reclaimed"
    calm.run(CALM_UNTIL + 12)
    assert calm.count("a2", is_spot=True) >= 13
    calm.run(CALM_UNTIL + 30)
    assert calm.count("a1", is_spot=True) >= 7
    assert calm.total("a2") <= 10
    assert calm.missing_s == 0


def test_loss_of_one_zone_leaves_enough(calm):
    for lost in REGIONS_BY_ZONE:
        left = sum(map(calm.total, REGIONS_BY_ZONE)) - calm.count(lost, is_spot=True)
        assert left * 16 >= sum(wave(zone, calm.now) for zone in REGIONS_BY_ZONE)
        assert calm.count(lost, is_spot=False) >= 1


def test_waves_beside_two_reclaimed_zones_and_a_full_one_change_no_orders(calm):
    for zone in ("a1", "a2"):
        calm.platform.reclaim(zone, for_s=30, now=calm.now)
    calm.silent = {"b1"}
    calm.run(CALM_UNTIL + 12)
    made_up, desired = len(calm.orders), dict(calm.platform.desired)
    calm.run(CALM_UNTIL + 30)
    assert calm.platform.desired == desired
    refused = {EndpointGroup("a1", True), EndpointGroup("a2", True)}
    assert {order.group for _, order in calm.orders[made_up:]} <= refused


def test_dry_platform_is_asked_again_less_and_less(calm):
    calm.platform.reclaim("a1", for_s=20, now=calm.now, is_dry=True)
    calm.run(CALM_UNTIL + 20)
    refused = [u for u in calm.unavailable if u.reason == "rejected"]
    assert any(not u.group.is_spot for u in refused)
    assert max(u.backoff_s for u in refused) >= 12
    tries_within_the_time = 3
    assert len(refused) <= tries_within_the_time * len(calm.planner.supply.by_group)
    calm.run(CALM_UNTIL + 60)
    assert calm.total("a1") >= 7


def test_endpoints_that_crash_at_boot_are_ordered_elsewhere(calm):
    calm.platform.reclaim("a1", for_s=0, now=calm.now)
    calm.platform.crash_until["a1"] = CALM_UNTIL + 15
    calm.run(CALM_UNTIL + 13)
    assert "not_met" in [u.reason for u in calm.unavailable]
    assert calm.count("a2", is_spot=True) >= 13
    calm.run(CALM_UNTIL + 40)
    assert calm.count("a1", is_spot=True) >= 7


def test_new_holder_takes_nothing_back_before_it_heard_all_zones(replay):
    replay.silent = {"b1"}
    replay.run(9.5)
    assert all(replay.count(zone, is_spot=False) == 8 for zone in REGIONS_BY_ZONE)
    replay.silent = set()
    replay.run(20)
    assert all(replay.count(zone, is_spot=False) < 8 for zone in REGIONS_BY_ZONE)


def test_new_holder_keeps_what_there_is_for_a_peak(calm):
    before = calm.total("a1")
    calm.places = lambda zone, now: 2.0
    calm.restart()
    calm.run(CALM_UNTIL + 15)
    assert calm.total("a1") >= before - 1
    calm.run(CALM_UNTIL + 120)
    assert calm.total("a1") <= 3


def test_new_holder_buys_nothing_for_the_loss_of_engines_that_nobody_needs():
    """What it keeps for a peak counted as the crest of a wave."""
    replay = Replay(wave, replace(CONFIG, spot_price=0.6)).start_with(on_demand=8).run(CALM_UNTIL)
    orders_before = len(replay.orders)
    replay.restart()
    replay.run(CALM_UNTIL + 15)
    assert all(order.count < order.was for _, order in replay.orders[orders_before:])


def test_new_holder_neither_repeats_nor_cuts_what_is_booting(calm):
    """It took what serves for ordered."""
    for zone in ("a1", "a2"):
        calm.platform.reclaim(zone, for_s=30, now=calm.now)
    calm.run(CALM_UNTIL + 2)
    desired, before = dict(calm.platform.desired), len(calm.orders)
    full = max(EndpointGroup("b1", True), EndpointGroup("b2", True), key=desired.get)
    assert desired[full] > calm.count(full.zone, is_spot=True) + 8
    placed = calm.planner.supply.placed_orders()
    calm.restart(knows_orders=True)
    calm.run(CALM_UNTIL + 3)
    calm.places = lambda zone, now: 2.0
    calm.run(CALM_UNTIL + 2 + CONFIG.boot_s - TICK_S)
    for _, order in calm.orders[before:]:
        assert order.count > placed[order.group].ordered
    assert calm.planner.supply.zone_standing(full.zone) <= CONFIG.max_count
    calm.run(CALM_UNTIL + 60)
    assert calm.total(full.zone) <= 3


def test_orders_of_an_earlier_holder_that_never_come_are_given_up(calm):
    placed = {EndpointGroup("a1", True): PlacedOrder(15, 15)}
    calm.planner = OrderPlanner("p", CONFIG, 16, REGIONS_BY_ZONE, calm.now, placed)
    calm.run(CALM_UNTIL + 20)
    assert 7 <= calm.planner.supply.by_group[EndpointGroup("a1", True)].ordered <= 10
    assert calm.count("a1", is_spot=True) >= 7


def test_new_holder_trusts_a_zone_again_once_what_was_ordered_there_has_come(calm):
    """It never saw that order, so other zones went on to stand in at each later rise."""
    group = EndpointGroup("a1", True)
    ordered = calm.count("a1", is_spot=True) + 2
    placed = {group: PlacedOrder(ordered, ordered, is_doubtful=True)}
    calm.planner = OrderPlanner("p", CONFIG, 16, REGIONS_BY_ZONE, calm.now, placed)
    calm.platform.order(group, ordered, calm.now)
    calm.run(CALM_UNTIL + TICK_S)
    assert calm.planner.supply.by_group[group].is_doubtful
    calm.run(CALM_UNTIL + CONFIG.boot_s + 1)
    assert not calm.planner.supply.by_group[group].is_doubtful


def test_silent_zone_keeps_what_it_has(calm):
    before = (calm.count("b1", False), calm.count("b1", True))
    calm.places = lambda zone, now: 2.0
    calm.run(CALM_UNTIL + 1)
    calm.silent = {"b1"}
    calm.run(CALM_UNTIL + 90)
    assert (calm.count("b1", False), calm.count("b1", True)) == before


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**32), st.integers(0, 4), st.integers(0, 8), st.sampled_from([0.2, 0.6, 1]))
def test_orders_stay_within_the_limits(seed, min_count, extra, spot_price):
    draw = random.Random(seed)
    config = replace(
        CONFIG, min_count=min_count, max_count=min_count + extra, spot_price=spot_price
    )
    loads = {zone: [draw.choice([0, 5, 40, 200]) for _ in range(9)] for zone in REGIONS_BY_ZONE}
    replay = Replay(lambda zone, now: loads[zone][int(now // 5)], config)
    replay.start_with(on_demand=draw.randint(min_count, min_count + extra))
    desired = {
        EndpointGroup(zone, is_spot): replay.count(zone, is_spot)
        for zone in REGIONS_BY_ZONE
        for is_spot in (False, True)
    }
    checked = 0
    while replay.now < 40:
        zone = draw.choice(list(REGIONS_BY_ZONE))
        if draw.random() < 0.03:
            replay.platform.reclaim(zone, 9, replay.now, is_dry=draw.random() < 0.5)
        replay.silent = {zone} if draw.random() < 0.1 else set()
        if draw.random() < 0.05:
            replay.restart(knows_orders=True)
        replay.run(replay.now + TICK_S)
        desired |= replay.platform.desired
        for _, order in replay.orders[checked:]:
            other = desired[EndpointGroup(order.group.zone, not order.group.is_spot)]
            total = desired[order.group] + other
            assert min_count <= total <= config.max_count
        checked = len(replay.orders)


@pytest.mark.parametrize(("on_demand", "spot"), [(12, 12), (3, 8), (0, 9)])
def test_limit_that_was_lowered_never_asks_for_less_than_none(on_demand, spot):
    config = replace(CONFIG, max_count=6)
    replay = Replay(lambda zone, now: 5.0, config).start_with(on_demand, spot).run(30)
    assert min(order.count for _, order in replay.orders) >= 0
    assert all(1 <= replay.total(zone) <= 6 for zone in REGIONS_BY_ZONE)
