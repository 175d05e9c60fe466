"""A plain service with one endpoint in each zone, of which one turns slow or silent: replays."""

import random
from dataclasses import replace

import pytest

from bluebellpitch.decisions.loads import MAX_DOWN_S, EndpointLoad, WorkItem
from tests.service_replay import POOL, REGIONS, TIMEOUT_S, Call, ServiceReplay

VMS_A_ZONE, CALLS_A_VM_PER_S, DURATION_S = 14, 1.2, 20.0
TROUBLE_S = (4.0, 10.0)
# Callers of the zone get back to its endpoint this long after it has recovered.
RETURN_S = 8.0
WORK = WorkItem("w", POOL, 1, 0, 0, (), 0.4, 60.0, 0.0, 1.2)


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


def test_zone_whose_endpoint_is_taken_away_is_served_within_its_region():
    replay_without = ServiceReplay({}, VMS_A_ZONE, 1, taken_away=frozenset({"a1"}))
    calls = replay_without.run(CALLS_A_VM_PER_S, DURATION_S)
    own = [call for call in calls if call.zone == "a1"]
    assert share(own, lambda call: call.is_on_time) > 0.98
    assert share(own, lambda call: call.endpoint_zone == "a2") > 0.9


def test_zone_gets_its_endpoint_back_after_it_was_slow():
    calls = replay({"a1": in_trouble(5.0)})
    later = [c for c in calls if c.zone == "a1" and c.arrived_at > TROUBLE_S[1] + RETURN_S]
    assert share(later, lambda call: call.endpoint_zone == "a1") > 0.5
    assert share(calls_in_trouble(calls), lambda call: call.is_on_time) > 0.9


@pytest.mark.parametrize("is_partial", [False, True], ids=["silent", "partly silent"])
def test_vm_loses_few_calls_to_an_endpoint_that_turns_silent(is_partial):
    """A call that gets no answer takes 1.2 s, and the endpoint is tried again 3 s after that."""
    generator = random.Random(1)
    silent = in_trouble(None)
    calls = replay(
        {"a1": lambda now: 1.0 if is_partial and generator.random() < 0.5 else silent(now)}
    )
    start, end = TROUBLE_S
    tries_a_vm = 1 + (end - start) // (TIMEOUT_S + MAX_DOWN_S)
    calls_a_vm = CALLS_A_VM_PER_S * (end - start)
    lost = share(calls_in_trouble(calls), lambda call: call.answered_at is None)
    assert lost <= tries_a_vm / calls_a_vm


def test_endpoint_that_answers_other_calls_is_not_silent():
    load = EndpointLoad()
    for name, at in (("slow", 0.0), ("quick", 2.0)):
        load.place(replace(WORK, id=name), at)
    assert load.is_silent(2.0)
    load.record_response("quick", 2.1)
    assert not load.is_silent(4.0)


def test_call_that_takes_as_long_as_others_is_not_silence():
    load = EndpointLoad()
    for number in range(20):
        load.place(replace(WORK, id=str(number)), 5.0 * number)
        load.record_response(str(number), 5.0 * number + 2.0)
        load.remove(str(number))
    load.place(WORK, 100.0)
    assert not load.is_silent(106.0) and load.is_silent(110.0)


def test_momentary_slowdowns_do_not_send_calls_to_other_regions():
    calls = replay({zone: momentary(number) for number, zone in enumerate(REGIONS)})
    assert share(calls, lambda call: REGIONS[call.endpoint_zone] == REGIONS[call.zone]) > 0.95
