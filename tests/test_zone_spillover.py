"""When work leaves its zone, and how much: two and six zones in virtual time."""

import asyncio

import pytest

from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.zones.distances import ZoneDistances
from bluebellpitch.decisions.zones.outlook import HomeOutlook, ZoneOutlook
from bluebellpitch.decisions.zones.remote_zones import RemoteZone
from bluebellpitch.decisions.zones.spillover import choose_spillover
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.platform_messages import (
    WorkEnded,
    WorkGranted,
    WorkQueued,
    WorkRefused,
    WorkRequest,
)
from bluebellpitch.roles.zone_spillover import ZoneSpillover
from tests.generation_load import PromptLoad, make_broker
from tests.test_broker_takeover import POOL, SLOTS, acquire, broker_of, start_coordinators
from tests.virtual_time import FOREVER_S, run_in_virtual_time
from tests.zone_replay import ZonesReplay, arrivals_of

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
DURATION_S, PEAK_S, PERIOD_S = 4.0, 2.4, 8.0


def prompts(rate_per_s: float, shared_tokens: int = 6300) -> PromptLoad:
    own_tokens = 9200 - shared_tokens
    return PromptLoad("long", rate_per_s, 1, shared_tokens, own_tokens, 60, 0.8, 0.5, 6.0, 0.6)


def peak(phase_s: float, base: float):
    return lambda now: 1.0 if (now + phase_s) % PERIOD_S < PEAK_S else base


def replay_peaks(
    regions: dict[str, str], load: PromptLoad, base: float, cut_off: frozenset[str] = frozenset()
):
    replay = ZonesReplay(regions, engines=4)
    replay.cut_off = cut_off
    arrivals = []
    for number, zone in enumerate(regions):
        share_at = peak(number * PERIOD_S / len(regions), base)
        arrivals += arrivals_of(zone, load, share_at, DURATION_S, 7 + number)
    outcomes = replay.run(arrivals, DURATION_S + 4.0)
    return replay, [outcome for zone in outcomes.values() for outcome in zone]


def on_time_share(outcomes) -> float:
    return sum(outcome.is_on_time for outcome in outcomes) / len(outcomes)


def make_zone(name: str, short_s: float = 0.0, long_s: float = 0.2) -> RemoteZone:
    distances = ZoneDistances("a1", REGIONS)
    outlook = ZoneOutlook(long_s, 2e-5, short_s, 6e-6)
    return RemoteZone(name, distances.spillover_delay_s(name), "", outlook, 0.0)


def make_work() -> WorkItem:
    return WorkItem("w", POOL, 1, 9000, 50, (), 0.8, 0.5, 0.0, 6.0)


def make_home(cost_s: float, has_engine: bool = True) -> HomeOutlook:
    return HomeOutlook(cost_s, has_engine, False, False, 9000, 0.0)


def test_prompts_stay_in_zones_with_room():
    replay, outcomes = replay_peaks(REGIONS, prompts(4, shared_tokens=0), 1.0)
    assert on_time_share(outcomes) == 1.0
    assert sum(replay.sent.values()) == 0


def test_a_zone_of_the_same_region_helps_before_another_region():
    spillover = choose_spillover(
        make_work(), make_home(1.0), [make_zone("b1"), make_zone("a2"), make_zone("c1")], 0.1
    )
    assert (spillover.zone.name, spillover.reason) == ("a2", "costs_less")


@pytest.mark.parametrize(("other", "leaves"), [("a2", True), ("b1", False)])
def test_a_small_gain_pays_only_within_the_region(other, leaves):
    home = make_home(0.2 + 9000 * 2e-5 + 0.1)
    assert (choose_spillover(make_work(), home, [make_zone(other)], 0.1) is not None) == leaves


def test_a_report_that_is_old_is_not_used():
    assert choose_spillover(make_work(), make_home(1.0), [make_zone("a2")], 2.0) is None


def test_zone_that_lost_its_engines_sends_all_of_its_work():
    home = make_home(float("inf"), has_engine=False)
    spillover = choose_spillover(make_work(), home, [make_zone("b1", long_s=3.0)], 0.1)
    assert spillover.reason == "no_engine"


def test_work_that_other_zones_will_send_too_counts_before_the_next_report():
    idle, full = make_zone("a2"), [make_zone("b1", long_s=3.0), make_zone("c1", long_s=3.0)]
    before_s = idle.outlook.long_fixed_s
    idle.record_spillover(1000, [idle, *full, make_zone("b2")])
    assert idle.outlook.long_fixed_s - before_s == pytest.approx(3 * 1000 * 6e-6)


def test_peaks_that_follow_one_another_are_served_by_the_other_zones():
    _, outcomes = replay_peaks(REGIONS, prompts(75), 0.25)
    assert on_time_share(outcomes) >= 0.9


def test_peaks_in_opposite_phase_do_not_swing():
    """While one zone has its peak and the other does not, nothing flows against the peak."""
    replay, outcomes = replay_peaks({"a1": "a", "a2": "a"}, prompts(45), 0.1)
    assert on_time_share(outcomes) >= 0.95
    in_peak = [to for at, _, to in replay.log if 0.3 < at < PEAK_S]
    assert in_peak.count("a1") <= 0.1 * len(in_peak)


def test_zone_that_is_cut_off_gets_nothing_and_its_callers_stay():
    replay, _ = replay_peaks({"a1": "a", "a2": "a"}, prompts(45), 0.1, frozenset({"a2"}))
    assert sum(replay.sent.values()) == 0


async def spill_over_and_stay_silent(confirms: bool):
    """Returns the messages to a zone that takes work and gives no engine, and what the VM got."""
    coordinators = start_coordinators(2)
    requester = next(c for name, c in coordinators.items() if name != broker_of(c))
    broker = coordinators[broker_of(requester)]
    sent: list = []
    requester.broker_client._send_to_address = lambda to, message: sent.append((to, message))

    def spill_over(_broker, work, request, _now):
        if request.must_stay:
            return False
        requester.handle_message("", WorkQueued(work.id, 0.4, "elsewhere"))
        if confirms:
            requester.handle_message("", WorkQueued(work.id, 0.0, "elsewhere"))
        return True

    broker._spillover.spill_over = spill_over
    first = broker_of(requester)
    grant = asyncio.ensure_future(acquire(requester, "a"))
    await asyncio.sleep(0.3)
    was_waiting = not grant.done()
    grant = await asyncio.wait_for(grant, 6.0)
    return sent, grant, was_waiting, broker_of(requester) == first


@pytest.mark.parametrize("confirms", [False, True])
def test_work_comes_home_when_the_zone_that_got_it_is_silent(confirms):
    sent, grant, was_waiting, kept_broker = run_in_virtual_time(
        spill_over_and_stay_silent(confirms)
    )
    assert was_waiting and kept_broker
    assert sent[0] == ("elsewhere", WorkEnded("a", POOL, "withdrawn"))
    assert grant.entry.zone == "z"


def test_engine_of_a_zone_that_was_given_up_is_given_back():
    async def body():
        coordinators = start_coordinators(2)
        client = coordinators["vm-0"].broker_client
        sent: list = []
        client._send_to_address = lambda to, message: sent.append((to, message))
        granted = WorkGranted("a", POOL, "i-9", "10.0.0.9:80", "far", 1, "elsewhere")
        client.handle_response(granted)
        return sent

    assert run_in_virtual_time(body()) == [("elsewhere", WorkEnded("a", POOL, "withdrawn"))]


def test_spillover_does_not_spill_over_again():
    replay = ZonesReplay({"a1": "a", "a2": "a"}, engines=0)
    request = WorkRequest(
        "a1-w", "pool", 1, 9000, 50, (), 0.8, 0.5, 0.0, 6.0, (), "vm", "a1", True, "a1"
    )
    replay.zones["a2"]._arrivals_by_id["a1-w"] = make_work(), prompts(1)
    replay.zones["a2"].start(request, 0.1)
    assert replay.sent.total() == 0


async def answer_after_giving_up(late_answer):
    """Returns what the VM got from home after a zone that it gave up has answered late.

    Beside it, the work that the VM takes for spillover while home has not yet decided.
    """
    coordinators = start_coordinators(2)
    requester = next(c for name, c in coordinators.items() if name != broker_of(c))
    broker = coordinators[broker_of(requester)]

    late_answers = [late_answer]

    def spill_over(pool_broker, work, request, now):
        if not request.must_stay:
            requester.handle_message("", WorkQueued(work.id, 0.4, "elsewhere"))
            return True
        if late_answers:
            pool_broker.pause(now + 2.0)
            requester.handle_message("", late_answers.pop())
        return False

    broker._spillover.spill_over = spill_over
    requester.broker_client._send_to_address = lambda to, message: None
    waiting = asyncio.ensure_future(acquire(requester, "a"))
    await asyncio.sleep(1.2)
    spillovers = dict(requester.broker_client._spillover_by_work)
    return await asyncio.wait_for(waiting, 6.0), spillovers


@pytest.mark.parametrize(
    "late_answer",
    [
        WorkRefused("a", "no_capacity_in_time", 0.5, "elsewhere"),
        WorkQueued("a", 0.0, "elsewhere"),
        WorkGranted("a", POOL, "i-9", "10.0.0.9:80", "far", 1, "elsewhere"),
    ],
)
def test_late_answer_of_a_zone_that_was_given_up_decides_nothing(late_answer):
    grant, spillovers = run_in_virtual_time(answer_after_giving_up(late_answer))
    assert grant.entry.zone == "z"
    assert not spillovers


def test_sessions_are_not_gathered_for_other_zones_that_there_are_not():
    spillover = ZoneSpillover("vm", "z", {"z": "r"}, lambda zone: [], None, Metrics())
    parts = (("session", 6000), ("own", 3000))
    request = WorkRequest("w", "pool", 1, 9000, 50, parts, 0.8, 0.5, 0.0, 6.0, (), "vm", "vm")
    spillover.record_session(make_broker(1), request)
    spillover.publish_load([make_broker(1)], 0.1)
    assert not spillover._new_sessions_by_pool


def test_requests_whose_callers_left_are_forgotten_while_others_wait():
    async def body():
        coordinator = start_coordinators(1)["vm-0"]
        held = [await acquire(coordinator, f"a{number}") for number in range(SLOTS)]
        coordinator._get_broker(POOL).pause(FOREVER_S)
        waiting = [asyncio.ensure_future(acquire(coordinator, name)) for name in ("left", "b")]
        coordinator.broker_client.release(held[0], "ok", 0.0)
        await asyncio.sleep(0.1)
        waiting[0].cancel()
        await asyncio.sleep(1.5)
        return set(coordinator._requests_by_work)

    assert run_in_virtual_time(body()) == {"b"}


def test_zone_confirms_work_for_as_long_as_it_waits_there():
    async def body():
        coordinator = start_coordinators(1)["vm-0"]
        held = [await acquire(coordinator, f"a{number}") for number in range(SLOTS)]
        for grant in held:
            coordinator.broker_client.report_first_token(grant, 0.05, 1.0)
        sent: list = []
        coordinator._send_to_address = lambda to, message: sent.append((to, message))
        request = WorkRequest(
            "w", POOL, 1, 100, 20, (), 0.5, 0.3, 0.0, 10.0, (), "far", "far", True, "", "other"
        )
        coordinator._get_broker(POOL).pause(coordinator._now() + 2.0)
        coordinator.broker_client.release(held[0], "ok", 0.0)
        coordinator._handle_work_request(request)
        await asyncio.sleep(3.0)
        return [message for to, message in sent if to == "far"]

    *confirmations, granted = run_in_virtual_time(body())
    assert set(confirmations) == {WorkQueued("w", 0.0, "vm-0")}
    assert 6 <= len(confirmations) <= 9
    assert isinstance(granted, WorkGranted)
