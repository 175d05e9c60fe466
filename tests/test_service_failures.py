"""A plain service with one endpoint in each zone, of which one turns slow or silent: replays."""

import random

from tests.service_replay import REGIONS, Call, ServiceReplay

VMS_A_ZONE, CALLS_A_VM_PER_S, DURATION_S = 14, 1.2, 20.0
TROUBLE_S = (4.0, 10.0)
# Callers of the zone get back to its endpoint this long after it has recovered.
RETURN_S = 8.0


def in_trouble(behaviour):
    """Returns the behaviour of an endpoint in trouble for a while."""
    start, end = TROUBLE_S
    return lambda now: behaviour if start <= now < end else 1.0


def momentary(seed: int):
    """Returns slowdowns that last 0.6 s each, as on a shared host."""
    generator = random.Random(seed)
    slowdowns = [generator.choice([2.5] + 6 * [1.0]) for _ in range(100)]
    return lambda now: slowdowns[int(now / 0.6)]


def replay(behaviours) -> list[Call]:
    return [
        call
        for seed in (1, 2, 3)
        for call in ServiceReplay(behaviours, VMS_A_ZONE, seed).run(CALLS_A_VM_PER_S, DURATION_S)
    ]


def share(calls: list[Call], is_so) -> float:
    return sum(map(is_so, calls)) / len(calls)


def calls_in_trouble(calls: list[Call]) -> list[Call]:
    start, end = TROUBLE_S
    return [call for call in calls if call.zone == "a1" and start <= call.arrived_at < end]


def test_calls_stay_in_their_region_while_it_serves_them():
    calls = replay({})
    assert share(calls, lambda call: call.is_on_time) > 0.99
    assert share(calls, lambda call: REGIONS[call.endpoint_zone] == REGIONS[call.zone]) > 0.99


def test_zone_gets_its_endpoint_back_after_it_was_slow():
    calls = replay({"a1": in_trouble(5.0)})
    later = [c for c in calls if c.zone == "a1" and c.arrived_at > TROUBLE_S[1] + RETURN_S]
    assert share(later, lambda call: call.endpoint_zone == "a1") > 0.5
    assert share(calls_in_trouble(calls), lambda call: call.is_on_time) > 0.9


def test_momentary_slowdowns_do_not_send_calls_to_other_regions():
    calls = replay({zone: momentary(number) for number, zone in enumerate(REGIONS)})
    assert share(calls, lambda call: REGIONS[call.endpoint_zone] == REGIONS[call.zone]) > 0.95
