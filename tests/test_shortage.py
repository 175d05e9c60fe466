"""Callers who compete for too little room, replayed in virtual time."""

from dataclasses import replace

from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Equals, GreaterThan

from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.return_schedule import ReturnSchedule
from bluebellpitch.decisions.shortage.fair_shares import FairShares
from tests.generation_load import (
    RETURNED,
    LoadReplay,
    PromptLoad,
    ReturningCallersReplay,
    draw_arrivals,
    make_broker,
)

# Seven engines read about 58 drafts a second between the tokens of the fields' streams.
DRAFT = PromptLoad("draft", 90.0, 4, 3_780, 5_400, 12, 0.618, 0.4, 4.118)
FIELD = PromptLoad("field", 37.5, 3, 198, 628, 40, 0.408, 0.25, 12.0)
USUAL = tuple(
    replace(DRAFT, name=name, member=name, rate_per_s=rate)
    for name, rate in (("large", 20.0), ("small", 5.0), ("hot", 8.0))
)
USUAL_S = 6.0
HOT_S = 5.0


def draw_hot_member(seed: int):
    """Yields the usual load, and then one member at nine times its usual."""
    yield from draw_arrivals((*USUAL, FIELD), USUAL_S, seed)
    hot = replace(USUAL[2], rate_per_s=9 * USUAL[2].rate_per_s)
    for work, load in draw_arrivals((*USUAL[:2], hot, FIELD), HOT_S, seed + 1):
        arrived_at = work.arrived_at + USUAL_S
        yield replace(
            work,
            id=f"{work.id}-later",
            arrived_at=arrived_at,
            expires_at=arrived_at + load.time_left_s,
        ), load


def without_members(arrivals):
    return ((replace(work, member=""), load) for work, load in arrivals)


def on_time_share(outcomes, name: str) -> float:
    own = [o for o in outcomes if o.load.name == name and o.arrived_at >= USUAL_S]
    return sum(outcome.is_on_time for outcome in own) / len(own)


def replace_broker(replay: LoadReplay) -> None:
    """Replaces the broker by one that learns what engines run, and is asked for what waits."""
    old, new = replay.broker, make_broker(7)
    replay.broker = new
    for key, engine in old.placement.engines_by_key.items():
        for held in engine.assigned_by_id.values():
            new.adopt(key, held.work, held.vm, held.has_first_token, replay._now)
    for waiting in old.waiting_by_id.values():
        decisions = new.submit(waiting.work, waiting.vm, waiting.avoid, replay._now)
        replay._apply(decisions, None, replay._now)


def replay_with_new_broker(arrivals, at: float) -> list:
    """Replays with a broker that is lost at a moment."""
    replay = LoadReplay(make_broker(7))

    def arrivals_and_loss():
        is_lost = False
        for work, load in arrivals:
            if work.arrived_at >= at and not is_lost:
                is_lost = True
                replace_broker(replay)
            yield work, load

    return replay.run(arrivals_and_loss())


def make_prompt(name: str, expires_at: float, member: str = "") -> WorkItem:
    parts = ((name, 10_000),)
    return WorkItem(name, "pool", 4, 10_000, 54, parts, 0.6, 0.4, 0.0, expires_at, member)


def test_callers_that_return_to_kept_room_are_served():
    replay = ReturningCallersReplay(make_broker(7))
    outcomes = replay.run(draw_arrivals((DRAFT, FIELD), 6.0, seed=1))
    served_by_id = {o.work_id: o.first_token_s is not None for o in outcomes}
    kept = [served_by_id[f"{work_id}{RETURNED}"] for work_id in replay.returns_with_room]
    assert_that(kept, AllMatch(Equals(True)))
    assert_that(len(kept), GreaterThan(5))


def test_room_on_return_is_given_once_and_not_before_its_time():
    schedule = ReturnSchedule()
    work = make_prompt("a", 9.0)
    planned = schedule.plan(work, 0.0, 0.0, 0.1, 0.0)
    assert planned.has_room
    assert schedule.take_room(work, planned.retry_after_s / 2) is None
    assert schedule.take_room(work, planned.retry_after_s) is not None
    assert schedule.take_room(work, planned.retry_after_s) is None


def test_member_at_nine_times_its_usual_takes_from_itself_first():
    shared = LoadReplay(make_broker(7)).run(draw_hot_member(1))
    unshared = LoadReplay(make_broker(7)).run(without_members(draw_hot_member(1)))
    for name in ("large", "small"):
        assert_that(on_time_share(shared, name), GreaterThan(0.9))
        assert_that(on_time_share(shared, name), GreaterThan(on_time_share(unshared, name) + 0.1))
    assert_that(on_time_share(shared, "hot"), GreaterThan(0.3))
    assert_that(on_time_share(shared, "field"), GreaterThan(0.98))


def test_no_member_starves_when_the_broker_is_replaced_while_one_is_hot():
    outcomes = replay_with_new_broker(draw_hot_member(1), USUAL_S + 1.0)
    for name in ("large", "small", "hot"):
        own = [o for o in outcomes if o.load.name == name]
        served = sum(o.first_token_s is not None for o in own)
        assert_that(served / len(own), GreaterThan(0.4))


def test_members_change_nothing_while_nothing_waits():
    light = tuple(replace(load, rate_per_s=load.rate_per_s / 4) for load in USUAL)
    named = LoadReplay(make_broker(7)).run(draw_arrivals(light, 6.0, seed=3))
    plain = LoadReplay(make_broker(7)).run(without_members(draw_arrivals(light, 6.0, seed=3)))
    assert_that(named, Equals(plain))


def test_member_that_waits_alone_is_never_over_its_share():
    shares = FairShares()
    for member in ("other", "hot"):
        shares.record_asked(make_prompt("w", 9.0, member), 0.0)
    shares.record_asked(make_prompt("w", 9.0, "hot"), 6.0)
    shares.record_granted(make_prompt("w", 9.0, "other"), 6.0)
    for number in range(100):
        shares.record_granted(make_prompt(f"w{number}", 9.0, "hot"), 6.0)
    assert_that(shares.members_over_share(["hot", "other"], 6.0), Equals(frozenset({"hot"})))
    assert_that(shares.members_over_share(["hot"], 6.0), Equals(frozenset()))
    assert_that(shares.members_over_share(["hot", ""], 6.0), Equals(frozenset()))


def test_broker_that_stands_in_puts_nobody_behind_before_it_has_learnt():
    shares = FairShares()
    for member in ("other", "hot"):
        shares.record_asked(make_prompt("w", 9.0, member), 0.0)
    for number in range(100):
        shares.record_granted(make_prompt(f"w{number}", 9.0, "hot"), 1.0)
    assert_that(shares.members_over_share(["hot", "other"], 1.0), Equals(frozenset()))


def test_one_very_large_prompt_long_ago_does_not_excuse_a_hot_member():
    shares = FairShares()
    huge = replace(make_prompt("huge", 9.0, "hot"), tokens_in=2_000_000)
    for work in (huge, make_prompt("w", 9.0, "other")):
        shares.record_asked(work, 0.0)
    for work in (make_prompt("w", 9.0, "hot"), make_prompt("w", 9.0, "other")):
        shares.record_asked(work, 600.0)
        shares.record_granted(work, 600.0)
    for number in range(100):
        shares.record_granted(make_prompt(f"w{number}", 9.0, "hot"), 600.0)
    assert_that(shares.members_over_share(["hot", "other"], 600.0), Equals(frozenset({"hot"})))


def test_member_whose_only_prompt_waited_long_is_not_over_its_share():
    shares = FairShares()
    for member in ("other", "slow"):
        shares.record_asked(make_prompt("w", 90.0, member), 0.0)
    shares.record_asked(make_prompt("w", 90.0, "other"), 60.0)
    shares.record_granted(make_prompt("w", 90.0, "slow"), 60.0)
    assert_that(shares.members_over_share(["slow", "other"], 60.0), Equals(frozenset()))


def test_member_that_left_is_forgotten():
    shares = FairShares()
    shares.record_asked(make_prompt("a", 9.0, "gone"), 0.0)
    shares.record_asked(make_prompt("b", 9.0, "stays"), 3_000.0)
    shares.expire(3_000.0)
    assert_that(list(shares._use_by_member), Equals(["stays"]))
