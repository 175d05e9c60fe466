"""How generations wait when load is at its worst, replayed in virtual time."""

from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Equals, GreaterThan, HasLength, LessThan

from bluebellpitch.decisions.generation_decisions import Granted, Refused
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.return_schedule import HONOURED_SHARE, MIN_RETRY_AFTER_S
from tests.generation_load import LoadReplay, PromptLoad, draw_arrivals, make_broker

# The engines read 60,000 tokens a second each; seven of them are busy with 45 drafts of 5,400
# uncached tokens a second for 58% of their time.
DRAFTS = PromptLoad("draft", 45.0, 4, 3_780, 5_400, 12, 0.618, 0.4, 4.118)
FIELDS = PromptLoad("field", 37.5, 3, 198, 628, 40, 0.408, 0.25, 12.0)


def make_draft(name: str, session: str, now: float) -> WorkItem:
    parts = ((session, 20_000), (name, 10_000))
    return WorkItem(name, "pool", 4, 30_000, 54, parts, 0.6, 0.4, now, now + 4.0)


def granted_engines(decisions) -> dict[str, str]:
    return {d.work_id: d.entry.id for d in decisions if isinstance(d, Granted)}


def most_within(span_s: float, times: list[float]) -> int:
    """Returns the largest number of times that lie within a span."""
    return max(sum(at <= other < at + span_s for other in times) for at in times)


def test_cached_parts_of_prompts_ahead_do_not_count_as_a_wait():
    """Prompts were refused that could be read in time, as if those ahead were read in full."""
    broker, now = make_broker(1), 0.0
    for number in range(40):
        broker.submit(make_draft(f"d{number}", "hot", now), "vm", frozenset(), now)
        broker.record_first_token(f"d{number}", 0.3, 1.0, now + 0.3)
        broker.finish(f"d{number}", "ok", now + 0.4)
        now += 1.0
    broker.submit(make_draft("running", "hot", now), "vm", frozenset(), now)
    before_s = broker.expected_wait_s(make_draft("last", "hot", now), frozenset(), now)
    for number in range(3):
        broker.submit(make_draft(f"ahead{number}", "hot", now), "vm", frozenset(), now)
    after_s = broker.expected_wait_s(make_draft("last", "hot", now), frozenset(), now)
    read_s = 3 * 10_000 * broker.pool_s_per_token(now)
    assert_that(after_s - before_s, LessThan(1.2 * read_s))


def test_prompt_that_waits_for_its_cache_leaves_other_engines_to_those_behind_it():
    broker = make_broker(2)
    first = granted_engines(broker.submit(make_draft("a", "hot", 0.0), "vm", frozenset(), 0.0))
    broker.record_first_token("a", 0.7, 1.0, 0.7)
    queued = granted_engines(broker.submit(make_draft("b", "hot", 0.7), "vm", frozenset(), 0.7))
    assert_that(queued, Equals({"b": first["a"]}))
    waits = broker.submit(make_draft("c", "hot", 0.71), "vm", frozenset(), 0.71)
    assert_that(granted_engines(waits), Equals({}))
    other = granted_engines(broker.submit(make_draft("d", "cold", 0.71), "vm", frozenset(), 0.71))
    assert_that(list(other), Equals(["d"]))
    assert other["d"] != first["a"]


def test_no_draft_is_refused_while_engines_have_time_left():
    replay = LoadReplay(make_broker(7))
    outcomes = replay.run(draw_arrivals((DRAFTS, FIELDS), 15.0, seed=1))
    refused = [outcome for outcome in outcomes if outcome.first_token_s is None]
    assert_that(refused, HasLength(0))


def test_callers_refused_at_one_moment_do_not_return_at_one_moment():
    """All count, by when they come back; for those with room the engines can read in time.

    Of these no more return within 0.1 s than the engines can read in it. No moment gets more than
    twice the others, of all 200.
    """
    broker = make_broker(7)
    decisions = []
    for number in range(200):
        draft = make_draft(f"d{number}", f"session-{number}", 0.0)
        decisions += broker.submit(draft, "vm", frozenset(), 0.0)
    refused = [d for d in decisions if isinstance(d, Refused)]
    returns = [min(d.retry_after_s, 4.0 * HONOURED_SHARE) for d in refused]
    with_room = [d.retry_after_s for d in refused if d.inputs["room_on_return"] == "True"]
    assert_that(returns, AllMatch(GreaterThan(MIN_RETRY_AFTER_S - 0.001)))
    prompt_s = 30_000 * broker.pool_s_per_token(0.0)
    assert_that(most_within(0.1, with_room), LessThan(0.1 / prompt_s + 2))
    window_s = 4.0 * HONOURED_SHARE - MIN_RETRY_AFTER_S
    assert_that(most_within(0.1, returns), LessThan(2 * len(returns) * 0.1 / window_s))


def test_refused_caller_is_told_to_return_while_there_is_time_to_serve_it():
    """Drafts come for 6 s at several times what the engines can read."""
    broker, drafts_by_id, too_late = make_broker(7), {}, []
    for step in range(600):
        now = step / 100
        draft = make_draft(f"d{step}", f"session-{step}", now)
        drafts_by_id[draft.id] = draft
        decisions = [*broker.schedule(now), *broker.submit(draft, "vm", frozenset(), now)]
        for decision in decisions:
            if isinstance(decision, Refused):
                returns_at = now + decision.retry_after_s
                if returns_at >= drafts_by_id[decision.work_id].expires_at:
                    too_late.append((decision.work_id, decision.reason, returns_at))
    assert_that(too_late, HasLength(0))
