"""Crests of long prompts at engines that slow down at times, replayed in virtual time."""

import random
from collections import defaultdict

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.generation_decisions import Granted, Queued
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.prefill import MAX_PREFILL_SHARE, PrefillSchedule
from tests.generation_load import (
    FIXED_S,
    TICK_S,
    LoadReplay,
    Outcome,
    PromptLoad,
    draw_arrivals,
    make_broker,
)

# An engine reads this much more slowly in a share of the periods.
SLOW_PERIOD_S, SLOW_SHARE, SLOWDOWN = 0.6, 0.15, 2.5
EVENT_S = 0.03
STREAM_EVENT = "stream_event"
REVIEW = PromptLoad("review", 40.0, 1, 6_300, 2_890, 400, 0.8, 0.5, 6.0, 10 * EVENT_S)
QUERY = PromptLoad("query", 9.6, 0, 198, 628, 80, 0.5, 0.3, 15.0, 58 * EVENT_S)
CREST_S = 9.0


class SlowPeriodsReplay(LoadReplay):
    """Engines send events of their streams while they read nothing, and are slow in some periods.

    ``gap_s_by_id`` holds the longest gap of each stream that has ended.
    """

    def __init__(self, broker, tokens_per_s: float = 50_000, seed: int = 1):
        super().__init__(broker)
        self.gap_s_by_id: dict[str, float] = {}
        self._tokens_per_s, self._seed = tokens_per_s, seed
        self._reads: dict[tuple[str, int], list[tuple[float, float]]] = defaultdict(list)

    def _slowdown(self, engine: tuple[str, int], at: float) -> float:
        draw = random.Random(f"{self._seed} {engine[0]} {int(at / SLOW_PERIOD_S)}").random()
        return SLOWDOWN if draw < SLOW_SHARE else 1.0

    def _read_until(self, engine: tuple[str, int], start: float, tokens: float) -> float:
        at = start
        while True:
            period_end = (int(at / SLOW_PERIOD_S + 1e-9) + 1) * SLOW_PERIOD_S
            speed = self._tokens_per_s / self._slowdown(engine, at + 1e-9)
            if at + tokens / speed <= period_end:
                return at + tokens / speed
            tokens -= (period_end - at) * speed
            at = period_end

    def _start(self, work_id: str, engine: tuple[str, int], uncached: int, now: float) -> None:
        work, load = self._arrivals_by_id[work_id]
        start = max(now, self._free_at_by_engine.get(engine, 0.0))
        end = self._free_at_by_engine[engine] = self._read_until(engine, start, uncached)
        self._reads[engine].append((start, end))
        first_at = end + FIXED_S
        self._schedule(first_at, "record_first_token", work_id, first_at - now, 1.0)
        events = round(load.decode_s / EVENT_S)
        self._schedule(first_at + EVENT_S, STREAM_EVENT, work_id, engine, first_at, 0.0, events)
        self.outcomes_by_id[work_id] = Outcome(
            load, work.arrived_at, first_at - work.arrived_at, work_id=work_id
        )

    def _handle_event(self, at: float, kind: str, values: tuple) -> None:
        if kind != STREAM_EVENT:
            super()._handle_event(at, kind, values)
            return
        work_id, engine, last_at, gap_s, events_left = values
        read_s = sum(max(0.0, min(at, e) - max(last_at, s)) for s, e in self._reads[engine][-40:])
        missing_s = EVENT_S - (at - last_at - read_s)
        if missing_s > 1e-6:
            self._schedule(at + missing_s, STREAM_EVENT, *values)
            return
        gap_s = max(gap_s, at - last_at)
        if events_left > 1:
            self._schedule(at + EVENT_S, STREAM_EVENT, work_id, engine, at, gap_s, events_left - 1)
            return
        self.gap_s_by_id[work_id] = gap_s
        self.broker.finish(work_id, "ok", at, gap_s)

    def on_time_share(self, name: str) -> float:
        """Returns which share of a load got its first token and all events in time."""
        own = [outcome for outcome in self.outcomes if outcome.load.name == name]
        on_time = (
            outcome.is_on_time and self.gap_s_by_id[outcome.work_id] <= outcome.load.gap_target_s
            for outcome in own
        )
        return sum(on_time) / len(own)

    def served_share(self, name: str) -> float:
        """Returns which share of a load was served."""
        own = [outcome for outcome in self.outcomes if outcome.load.name == name]
        return sum(outcome.first_token_s is not None for outcome in own) / len(own)


def replay_crest(seed: int) -> SlowPeriodsReplay:
    """Replays a crest of reviews beside queries to the end of the last stream."""
    replay = SlowPeriodsReplay(make_broker(5, 48, QUERY.gap_target_s), seed=seed)
    replay.run(draw_arrivals((REVIEW, QUERY), CREST_S, seed))
    while replay._events:
        replay._advance(replay._now + TICK_S)
    return replay


def make_prompt(
    name: str, now: float, tokens: int = 5_000, spillover_delay_s: float = 0.0
) -> WorkItem:
    return WorkItem(
        name,
        "pool",
        1,
        tokens,
        50,
        (),
        0.8,
        0.5,
        now,
        now + 6.0,
        spillover_delay_s=spillover_delay_s,
    )


def submit(broker: GenerationBroker, work: WorkItem) -> list:
    """Submits work when it arrives; returns the types of the decisions."""
    decisions = broker.submit(work, "vm", frozenset(), work.arrived_at)
    return [type(decision) for decision in decisions]


def make_streaming_broker() -> GenerationBroker:
    """Returns a broker of one engine with one stream of a long prompt."""
    broker = make_broker(1, 48, 0.3)
    submit(broker, make_prompt("stream", 0.0))
    broker.record_first_token("stream", 0.16, 1.0, 0.16)
    return broker


def test_prompt_waits_while_the_engine_still_reads_the_one_before():
    """A first token that is overdue shows that the engine reads more slowly than expected."""
    broker = make_streaming_broker()
    assert_that(submit(broker, make_prompt("first", 1.0)), Equals([Granted]))
    assert_that(submit(broker, make_prompt("second", 1.25)), Equals([Queued]))
    assert_that(list(broker.schedule(1.5)), HasLength(0))
    broker.record_first_token("first", 0.55, 1.0, 1.55)
    granted = [decision.work_id for decision in broker.schedule(1.55)]
    assert_that(granted, Equals(["second"]))


def test_prompts_that_a_new_broker_adopts_are_read_one_after_the_other():
    """Those that wait for their turn at the engine are not overdue."""
    broker, now = make_broker(1, 48, 0.3), 1.0
    (engine,) = broker.placement.engines_by_key.values()
    for number in range(3):
        broker.adopt(engine.key, make_prompt(f"p{number}", now, 20_000), "vm", False, now)
    for number in range(2):
        first_token_s = FIXED_S + 0.4 * (number + 1)
        broker.record_first_token(f"p{number}", first_token_s, 1.0, now + first_token_s)
    assert engine.prefill_schedule.free_at(now) == pytest.approx(now + 1.2)
    assert_that(engine.prefill_overdue_s(now + 1.0), Equals(0.0))


def test_first_token_that_never_comes_holds_up_no_prompt_for_long():
    broker = make_streaming_broker()
    submit(broker, make_prompt("lost", 1.0))
    submit(broker, make_prompt("second", 1.25))
    broker.finish("stream", "ok", 1.8)
    assert_that([decision.work_id for decision in broker.schedule(2.0)], Equals(["second"]))


def test_first_token_of_another_zones_prompt_is_expected_later():
    broker = make_streaming_broker()
    submit(broker, make_prompt("forwarded", 1.0, spillover_delay_s=0.12))
    assert_that(submit(broker, make_prompt("second", 1.25)), Equals([Granted]))


def test_prompt_of_another_zone_makes_no_engine_look_slow():
    """Its first token is known of here half of the delay after the engine sent it."""
    broker, delay_s, read_s, fixed_s = make_broker(1, 48, 0.3), 0.12, 0.2, 0.06
    tokens = round(read_s / broker.placement.speed.s_per_token)
    submit(broker, make_prompt("far", 1.0, tokens, delay_s))
    broker.placement.long_stream_share.value = MAX_PREFILL_SHARE
    submit(broker, make_prompt("near", 1.15, tokens))
    read_at = 1.0 + delay_s / 2 + fixed_s + read_s
    broker.record_first_token("far", fixed_s + read_s, 1.0, read_at + delay_s / 2)
    read_at += read_s
    broker.record_first_token("near", read_at - 1.15, 1.0, read_at)
    (engine,) = broker.placement.engines_by_key.values()
    assert engine.speed.measured_slowdown() == pytest.approx(1.0, abs=0.02)


def test_prefill_of_another_zones_prompt_ends_when_the_engine_has_read_it():
    broker = make_streaming_broker()
    submit(broker, make_prompt("far", 1.0, spillover_delay_s=0.12))
    (engine,) = broker.placement.engines_by_key.values()
    broker.record_first_token("far", 0.26, 1.0, 1.38)
    read_at = 1.38 - 0.06 - broker.placement.speed.fixed_s
    assert engine.prefill_schedule.free_at(0.0) == pytest.approx(read_at)


def test_next_prompt_starts_once_each_stream_had_time_for_an_event():
    """The pause is that of an event, however long the gap target is."""
    schedule = PrefillSchedule()
    schedule.append(0.3, 0.0)
    assert schedule.start_wait_s(0.1, 0.5, 0.65, 0.3, 0.03) == pytest.approx(0.03)
    assert_that(schedule.start_wait_s(0.02, 0.5, 0.65, 0.3, 0.03), Equals(0.0))


def test_next_prompt_starts_as_soon_as_runs_of_prefill_are_apart():
    """Time that the engine was idle between two prompts counts for the event."""
    schedule = PrefillSchedule()
    schedule.append(0.2, 0.0)
    schedule.append(0.089, 0.211)
    assert schedule.start_wait_s(0.1, 0.5, 0.65, 0.3, 0.03) == pytest.approx(0.019)
    assert schedule.start_wait_s(0.3, 0.5, 0.65, 0.3, 0.03) == pytest.approx(0.03)


def test_most_long_prompts_that_are_served_at_a_crest_are_on_time():
    """The engines can read about half of the prompts; all queries beside them are served."""
    replays = [replay_crest(seed) for seed in (1, 2, 3)]
    on_time = sum(replay.on_time_share(REVIEW.name) for replay in replays)
    served = sum(replay.served_share(REVIEW.name) for replay in replays)
    assert_that(on_time, GreaterThan(served / 2))
    assert_that([replay.served_share(QUERY.name) for replay in replays], Equals([1.0, 1.0, 1.0]))
