"""Engines of one pool that differ in speed or turn slow: estimates, and replays of load."""

import pytest

from bluebellpitch.decisions.engine_speeds import EngineSpeed, usual_slowdown
from bluebellpitch.decisions.generation_decisions import Granted
from bluebellpitch.decisions.loads import SLOWDOWN_HALF_LIFE_S, WorkItem
from bluebellpitch.metrics import Metrics
from bluebellpitch.roles import engine_speed_monitor
from bluebellpitch.roles.engine_speed_monitor import EngineSpeedMonitor
from tests.generation_load import FIXED_S, TOKENS_PER_S, PromptLoad, draw_arrivals, make_broker
from tests.uneven_engines import UnevenReplay, from_to

LONG = PromptLoad("long", 20.0, 1, 6300, 2900, 60, 0.8, 0.5, 6.0, 0.6)
SHORT = PromptLoad("short", 25.0, 0, 198, 628, 40, 0.5, 0.3, 12.0, 1.5)
LOADS = (LONG, SHORT)
UNSHARED = PromptLoad("long", 15.0, 1, 0, 9200, 60, 0.8, 0.5, 6.0, 0.6)
DURATION_S, SEEDS = 12.0, (1, 2, 3, 4, 5)
# Until then the caches are cold.
WARM_S = 2.5
READ_S = 9200 / TOKENS_PER_S


def for_good(slowdown: float):
    return lambda now: slowdown


def on_time_share(engines: int, slowdowns, reports: bool = False) -> float:
    """Returns the share of generations on time once caches are warm, over all seeds.

    A third of the load comes while they are cold.
    """
    outcomes = []
    for seed in SEEDS:
        replay = UnevenReplay(make_broker(engines, slots=48, gap_target_s=0.3), slowdowns, reports)
        drawn = enumerate(draw_arrivals(LOADS, DURATION_S, seed))
        arrivals = (a for number, a in drawn if a[0].arrived_at > WARM_S or number % 3 == 0)
        outcomes += [o for o in replay.run(arrivals) if o.arrived_at > WARM_S]
    return sum(outcome.is_on_time for outcome in outcomes) / len(outcomes)


def read_alone(speed: EngineSpeed, slowdown: float, count: int, now: float) -> float:
    """Lets an engine read prompts one by one; returns the time after the last."""
    for _ in range(count):
        now += FIXED_S + READ_S * slowdown
        speed.record_first_token(READ_S, FIXED_S + READ_S * slowdown, FIXED_S, now)
    return now


def make_prompt(name: str, now: float) -> WorkItem:
    return WorkItem(name, "pool", 1, 9200, 50, (), 0.8, 0.5, now, now + 6.0)


def test_slow_engines_are_no_worse_for_callers_than_none():
    """The other engines could serve the load alone. Responses do not name the slowdowns."""
    one_for_good = {"i-0": for_good(4.0)}
    one_for_a_while = {"i-0": from_to(3.0, 9.0, 5.0)}
    two_for_a_while = {"i-0": from_to(3.0, 9.0, 3.0), "i-1": from_to(4.0, 10.0, 3.0)}
    scenarios = (one_for_good, one_for_a_while, two_for_a_while)
    with_them = [on_time_share(5, slowdowns) for slowdowns in scenarios]
    four, three = on_time_share(4, {}), on_time_share(3, {})
    assert sum(with_them) >= four + four + three - 0.01 * len(scenarios)


def test_engines_that_differ_little_serve_all_that_alike_ones_do():
    uneven = {"i-0": for_good(1.3), "i-1": for_good(1.3)}
    assert on_time_share(5, uneven) >= on_time_share(5, {}) - 0.02


def test_engines_that_are_alike_are_estimated_alike():
    broker = make_broker(5, slots=48, gap_target_s=0.3)
    replay = UnevenReplay(broker, {})
    replay.run(draw_arrivals(LOADS, DURATION_S, 1))
    engines = broker.placement.engines_by_key.values()
    slowdowns = [broker.placement.slowdown(engine, DURATION_S) for engine in engines]
    assert max(slowdowns) < 1.25 and min(slowdowns) > 0.8


@pytest.mark.parametrize("reports", [False, True])
def test_engine_that_was_slow_gets_its_share_again(reports):
    """The load needs all three engines, of which the first is slow for some seconds."""
    slow_until = 6.0
    replay = UnevenReplay(
        make_broker(3, slots=48, gap_target_s=0.3), {"i-0": from_to(2.0, slow_until, 6.0)}, reports
    )
    replay.run(draw_arrivals((UNSHARED,), 20.0, 3))
    later = {
        engine: sum(at > slow_until + 6.0 for at in times)
        for engine, times in replay.granted_at_by_engine.items()
    }
    assert later["i-0"] >= sum(later.values()) / 4


def test_prompts_that_overlap_are_measured_from_the_end_of_the_one_before():
    speed, now = EngineSpeed(), 0.0
    for number in range(1, 6):
        now = FIXED_S + number * READ_S
        speed.record_first_token(READ_S, now, FIXED_S, now)
    assert speed.slowdown(1.0, 1.0, now) == pytest.approx(1.0, abs=0.02)


def test_one_prompt_shows_most_of_a_slowdown():
    """So a broker that takes over knows its engines again after one prompt each."""
    speed = EngineSpeed()
    now = read_alone(speed, 5.0, 1, 0.0)
    assert 3.0 < speed.slowdown(1.0, 1.0, now) < 5.0


def test_slowdown_is_forgotten_with_age():
    speed = EngineSpeed()
    now = read_alone(speed, 5.0, 4, 0.0)
    slowdowns = [speed.slowdown(1.0, 1.0, now + age_s) for age_s in (0.0, 3.0, 10.0, 30.0)]
    assert slowdowns == sorted(slowdowns, reverse=True)
    assert slowdowns[0] > 4.0 and slowdowns[-1] < 1.05


def test_slowdown_that_a_response_names_is_not_counted_twice():
    broker = make_broker(1)
    (engine,) = broker.placement.engines_by_key.values()
    broker.submit(make_prompt("a", 0.0), "vm", frozenset(), 0.0)
    broker.record_first_token("a", FIXED_S + 3 * READ_S, 3.0, FIXED_S + 3 * READ_S)
    now = FIXED_S + 3 * READ_S
    assert broker.placement.slowdown(engine, now) < 3.6
    assert broker.placement.slowdown(engine, now + 2 * SLOWDOWN_HALF_LIFE_S) < 1.6


def test_engine_is_compared_with_the_usual_one_of_its_pool():
    speeds = [EngineSpeed() for _ in range(3)]
    now = max(read_alone(speed, 1.5, 6, 0.0) for speed in speeds)
    assert speeds[0].slowdown(usual_slowdown(speeds), 1.0, now) == pytest.approx(1.0)


def test_engines_are_alike_again_once_the_speed_of_their_pool_is_known():
    """All read three times as slowly as assumed at first; later only one of them gets prompts."""
    broker, now = make_broker(5), 0.0
    names = [f"i-{number}" for number in range(5)]
    for number, name in enumerate([*names, *["i-0"] * 60]):
        prompt = make_prompt(f"p{number}", now)
        broker.submit(prompt, "vm", frozenset(names) - {name}, now)
        now += FIXED_S + 3 * READ_S
        broker.record_first_token(prompt.id, FIXED_S + 3 * READ_S, 1.0, now)
        broker.finish(prompt.id, "ok", now)
    engines = broker.placement.engines_by_key.values()
    slowdowns = [broker.placement.slowdown(engine, now) for engine in engines]
    assert slowdowns == pytest.approx([1.0] * 5, abs=0.1)


def test_slow_engine_does_not_change_the_speed_of_the_pool():
    broker = make_broker(2)
    before = broker.placement.speed.s_per_token
    now = 0.0
    for number in range(20):
        prompt = make_prompt(f"p{number}", now)
        (granted,) = broker.submit(prompt, "vm", frozenset({"i-1"}), now)
        assert isinstance(granted, Granted)
        now += FIXED_S + 6 * READ_S
        broker.record_first_token(prompt.id, FIXED_S + 6 * READ_S, 1.0, now)
        broker.finish(prompt.id, "ok", now)
    assert broker.placement.speed.s_per_token < 1.1 * before
    assert broker.pool_s_per_token(now) > 1.3 * before / 2


def test_speeds_are_shown_and_changes_logged(monkeypatch):
    events: list[str] = []
    monkeypatch.setattr(
        engine_speed_monitor, "log", lambda level, event, **inputs: events.append(event)
    )
    broker, metrics = make_broker(2), Metrics()
    monitor = EngineSpeedMonitor(metrics)
    slow = broker.placement.engines_by_key["i-0", 1]
    now = read_alone(slow.speed, 5.0, 3, 0.0)
    monitor.update([broker], now)
    monitor.update([broker], now)
    shown = metrics.render().decode()
    assert 'bluebellpitch_engine_slowdown{endpoint="i-1",pool="pool"} 1.0' in shown
    monitor.update([broker], now + 60.0)
    assert events == ["engine_slow", "engine_usual_speed"]
