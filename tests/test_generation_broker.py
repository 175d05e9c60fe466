"""Tests of the generation broker in virtual time."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.generation_broker import NO_ENGINE, GenerationBroker
from bluebellpitch.decisions.generation_decisions import Granted, Queued, Refused
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.prefill import (
    DEFAULT_PREFILL_SHARE,
    MAX_PREFILL_SHARE,
    MIN_PREFILL_SHARE,
    PrefillSchedule,
    PrefillShare,
    PrefillSpeed,
)

GAP_S = 0.25


def make_broker(engine_count: int = 2, slots: int = 64) -> GenerationBroker:
    broker = GenerationBroker("pool")
    entries = [
        EndpointEntry(f"i-{n}", "pool", f"10.0.0.{n}:80", "z", slots, False, 1)
        for n in range(engine_count)
    ]
    broker.set_engines(entries, slots, 500_000, GAP_S)
    return broker


def make_work(
    name: str, tokens: int, now: float, rank: int = 1, parts=(), time_left_s=5.0
) -> WorkItem:
    gap_s = GAP_S if tokens < 1000 else 2 * GAP_S
    return WorkItem(
        name, "pool", rank, tokens, 50, tuple(parts), 0.6, gap_s, now, now + time_left_s
    )


def granted_ids(decisions) -> list[str]:
    return [d.work_id for d in decisions if isinstance(d, Granted)]


def test_short_prompt_is_granted_at_once():
    broker = make_broker()
    assert granted_ids(broker.submit(make_work("a", 300, 0.0), "vm", frozenset(), 0.0)) == ["a"]


def test_request_is_refused_without_engines():
    (refused,) = make_broker(0).submit(make_work("a", 300, 0.0), "vm", frozenset(), 0.0)
    assert isinstance(refused, Refused) and refused.reason == NO_ENGINE


def test_long_and_short_prompts_use_separate_engines():
    broker = make_broker(2)
    engines_by_kind: dict[str, set[str]] = {"long": set(), "short": set()}
    now = 0.0
    for number in range(40):
        now += 0.4
        for kind, tokens in (("long", 6000), ("short", 400)):
            work = make_work(f"{kind}{number}", tokens, now)
            for decision in broker.submit(work, "vm", frozenset(), now):
                if isinstance(decision, Granted):
                    waited_s = 0.06 + tokens * 2e-5
                    broker.record_first_token(decision.work_id, waited_s, 1.0, now + 0.1)
                    engines_by_kind[kind].add(decision.entry.id)
        if number >= 5:
            broker.finish(f"short{number - 5}", "ok", now)
        broker.finish(f"long{number}", "ok", now + 0.14)
        if number == 5:
            engines_by_kind = {"long": set(), "short": set()}
    assert len(engines_by_kind["short"]) == 1
    assert engines_by_kind["long"].isdisjoint(engines_by_kind["short"])


def test_prefill_leaves_decoding_time_in_each_gap():
    """On one engine with a running stream, prefill must not fill any gap between its tokens."""
    broker = make_broker(1)
    broker.submit(make_work("stream", 300, 0.0), "vm", frozenset(), 0.0)
    broker.record_first_token("stream", 0.05, 1.0, 0.05)
    now, first_token_at_by_id, granted_at = 0.1, {}, []
    prefill_s = 4000 * broker.placement.speed.s_per_token

    def record(names):
        granted_at.extend([now] * len(names))
        first_token_at_by_id.update(
            dict.fromkeys(names, now + prefill_s + broker.placement.speed.fixed_s)
        )

    for number in range(12):
        record(
            granted_ids(broker.submit(make_work(f"l{number}", 4000, now), "vm", frozenset(), now))
        )
    while broker.waiting_by_id and now < 3:
        now += 0.01
        for name in [name for name, at in first_token_at_by_id.items() if at <= now]:
            broker.record_first_token(
                name, first_token_at_by_id.pop(name) - now + prefill_s, 1.0, now
            )
        record(granted_ids(broker.schedule(now)))
    assert len(granted_at) == 12
    for start in granted_at:
        prefill_in_gap_s = sum(
            prefill_s for other in granted_at if start <= other < start + GAP_S - prefill_s
        )
        assert prefill_in_gap_s <= max(prefill_s, DEFAULT_PREFILL_SHARE * GAP_S) + prefill_s * 0.2


def test_higher_rank_is_served_first():
    broker = make_broker(1)
    broker.submit(make_work("stream", 300, 0.0), "vm", frozenset(), 0.0)
    for number in range(3):
        broker.submit(make_work(f"low{number}", 6000, 0.0, rank=2), "vm", frozenset(), 0.0)
    broker.submit(make_work("high", 6000, 0.0, rank=0), "vm", frozenset(), 0.0)
    order, now = [], 0.0
    while broker.waiting_by_id and now < 5:
        now += 0.01
        order += granted_ids(broker.schedule(now))
    assert order[0] == "high"


def test_work_that_cannot_start_in_time_is_refused_at_once_with_retry_after():
    broker = make_broker(1)
    broker.submit(make_work("stream", 300, 0.0), "vm", frozenset(), 0.0)
    decisions = []
    for number in range(60):
        decisions += broker.submit(make_work(f"l{number}", 9000, 0.0), "vm", frozenset(), 0.0)
    refused = [d for d in decisions if isinstance(d, Refused)]
    assert refused and all(d.retry_after_s > 0 for d in refused)


def test_queued_work_is_decided_before_its_start_deadline():
    broker = make_broker(1)
    broker.submit(make_work("stream", 300, 0.0), "vm", frozenset(), 0.0)
    queued = set()
    for number in range(40):
        work = make_work(f"l{number}", 9000, 0.0, time_left_s=2.0)
        decisions = broker.submit(work, "vm", frozenset(), 0.0)
        queued |= {d.work_id for d in decisions if isinstance(d, Queued)}
    now = 0.0
    while now < 1.05:
        now += 0.01
        list(broker.schedule(now))
    assert queued and not broker.waiting_by_id


def test_session_returns_to_the_engine_that_has_it_cached():
    broker = make_broker(3)
    parts = [("shared", 2500), ("session", 3800), ("own", 2900)]
    first = broker.submit(make_work("a", 9200, 0.0, parts=parts), "vm", frozenset(), 0.0)[0]
    broker.record_first_token("a", 0.2, 1.0, 0.2)
    broker.finish("a", "ok", 0.5)
    next_parts = [("shared", 2500), ("session", 3800), ("own2", 2900)]
    second = broker.submit(make_work("b", 9200, 1.0, parts=next_parts), "vm", frozenset(), 1.0)[0]
    assert first.entry == second.entry


def test_silent_engine_gets_no_new_work():
    broker = make_broker(2)
    (first,) = broker.submit(make_work("a", 6000, 0.0), "vm", frozenset(), 0.0)
    later = [
        broker.submit(make_work(f"b{n}", 300, 3.0), "vm", frozenset(), 3.0)[0].entry.id
        for n in range(4)
    ]
    assert first.entry.id not in later


def test_excluded_engines_are_not_used():
    broker = make_broker(2)
    for number in range(5):
        (decision,) = broker.submit(make_work(f"{number}", 300, 0.0), "vm", frozenset({"i-0"}), 0.0)
        assert decision.entry.id == "i-1"


def test_lost_vm_frees_its_slots():
    broker = make_broker(1, slots=1)
    broker.submit(make_work("a", 300, 0.0), "dead", frozenset(), 0.0)
    broker.submit(make_work("b", 300, 0.1), "vm", frozenset(), 0.1)
    broker.remove_vm("dead")
    broker.submit(make_work("c", 300, 0.2), "vm", frozenset(), 0.2)
    assert granted_ids(broker.schedule(0.2)) or "b" not in broker.waiting_by_id


@settings(max_examples=60, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["short", "long", "read", "done", "serve", "lose"]),
            st.integers(0, 9),
            st.floats(0.0, 0.3),
        ),
        max_size=60,
    )
)
def test_every_submission_ends_in_one_grant_or_refusal(steps):  # noqa: C901
    """In any order of messages, no work is granted twice and none stays undecided."""
    broker = make_broker(2, slots=4)
    end_counts: dict[str, int] = {}
    submitted, now = set(), 0.0

    def record(decisions):
        for decision in decisions:
            if not isinstance(decision, Queued):
                end_counts[decision.work_id] = end_counts.get(decision.work_id, 0) + 1

    for number, (step, which, elapsed_s) in enumerate(steps):
        now += elapsed_s
        match step:
            case "short" | "long":
                work = make_work(
                    f"w{number}", 300 if step == "short" else 8000, now, rank=which % 3
                )
                submitted.add(work.id)
                record(broker.submit(work, f"vm{which % 2}", frozenset(), now))
            case "read":
                broker.record_first_token(f"w{which}", 0.1, 1.0, now)
            case "done" if f"w{which}" in submitted:
                broker.finish(f"w{which}", "ok", now)
                end_counts.setdefault(f"w{which}", 1)
            case "serve":
                record(broker.schedule(now))
            case "lose":
                lost = [w for w in broker.waiting_by_id.values() if w.vm == "vm1"]
                broker.remove_vm("vm1")
                end_counts |= {w.work.id: 1 for w in lost}
    for _ in range(400):
        now += 0.05
        record(broker.schedule(now))
    assert not broker.waiting_by_id
    assert all(end_counts.get(work_id) == 1 for work_id in submitted)


def test_prefill_speed_is_estimated_from_first_tokens():
    speed = PrefillSpeed()
    for number in range(200):
        tokens = 500 + 137 * number % 9000
        speed.add_sample(tokens, 0.041 + tokens / 81_900)
    assert speed.s_per_token == pytest.approx(1 / 81_900, rel=0.05)
    assert speed.fixed_s == pytest.approx(0.041, rel=0.2)


def test_first_prompt_is_not_delayed_by_pacing():
    schedule = PrefillSchedule()
    assert schedule.start_wait_s(0.5, GAP_S, DEFAULT_PREFILL_SHARE, 0.0) == 0.0
    schedule.append(0.5, 0.0)
    assert schedule.start_wait_s(0.1, GAP_S, DEFAULT_PREFILL_SHARE, 0.0) >= 0.5


def test_prefill_share_converges_at_the_tolerated_share_of_late_streams():
    share = PrefillShare(MAX_PREFILL_SHARE)
    for _ in range(200):
        share.record_stream(is_late=True)
    assert share.value == MIN_PREFILL_SHARE
    for _ in range(1000):
        share.record_stream(is_late=False)
    assert share.value == MAX_PREFILL_SHARE
    before = share.value = 0.7
    for number in range(100):
        share.record_stream(is_late=number % 10 == 0)
    assert share.value == pytest.approx(before, abs=0.01)


def test_queue_may_be_scheduled_again_between_two_decisions():
    """Returning an unwanted grant at once schedules the queue while an outer call iterates it."""
    broker = make_broker(4)
    for name in ("k", "l", "m", "n"):
        broker.submit(make_work(name, 20_000, 0.0), "vm", frozenset(), 0.0)
    for name in ("a", "b", "c", "d"):
        broker.submit(make_work(name, 6_000, 0.0), "vm", frozenset(), 0.0)
    assert len(broker.waiting_by_id) == 4
    for now in (2.0, 9.0):
        for decision in broker.schedule(now):
            broker.finish(decision.work_id, "withdrawn", now)
            list(broker.schedule(now))
    assert not broker.waiting_by_id


def test_work_that_another_broker_granted_while_it_waits_here_leaves_nothing_behind():
    """Guards against engines that count a request for good: its second grant hid the first."""
    broker = make_broker(engine_count=2)
    broker.pause(1.0)
    work = make_work("a", 300, 0.0)
    assert [type(d) for d in broker.submit(work, "vm", frozenset(), 0.0)] == [Queued]
    broker.adopt(("i-0", 1), work, "vm", False, 0.1)
    assert granted_ids(broker.schedule(1.0)) == []
    broker.finish("a", "ok", 2.0)
    broker.expire(60.0)
    engines = broker.placement.engines_by_key.values()
    assert [engine.assigned_by_id for engine in engines] == [{}, {}]
