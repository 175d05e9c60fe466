"""Which parts of prompts are deadly, decided from crashes and survivals."""

import random

from hypothesis import given
from hypothesis import strategies as st

from bluebellpitch.decisions.crash_evidence import (
    CRASHES_TO_REFUSE,
    CRASHES_TO_REFUSE_KNOWN,
    EVIDENCE_TTL_S,
    MAX_CRASHES,
    REFUSAL_S,
    CrashEvidence,
    SuspectRun,
)


def record_crash(evidence, number, *prompts, at=None, request=""):
    """Records crash ``number``, a second apart from the one before, that lost runs of prompts."""
    runs = [
        SuspectRun(request or f"r{number}.{index}", tuple(prompt.split()))
        for index, prompt in enumerate(prompts)
    ]
    evidence.record_crash(f"i-{number}/1", float(number) if at is None else at, runs)


def record_crashes(evidence, *prompts, count=CRASHES_TO_REFUSE, **fields):
    for number in range(1, count + 1):
        record_crash(evidence, number, *prompts, **fields)


def is_deadly(evidence, prompt, now=10.0):
    return evidence.find_deadly(prompt.split(), now) is not None


def clear(evidence, number, *parts):
    evidence.record_crash(f"i-{number}/1", float(number), (), parts)


def test_part_of_three_crashes_is_deadly_and_two_are_not_enough():
    evidence = CrashEvidence()
    record_crashes(evidence, "bad", count=CRASHES_TO_REFUSE - 1)
    assert not is_deadly(evidence, "bad")
    record_crash(evidence, CRASHES_TO_REFUSE, "bad")
    assert is_deadly(evidence, "other bad")
    assert not is_deadly(evidence, "other")


def test_shared_part_that_survives_elsewhere_is_cleared():
    evidence = CrashEvidence()
    for number in range(1, 4):
        record_crash(evidence, number, "caller bad", f"caller s{number}", "caller")
        clear(evidence, number, "caller")
    assert is_deadly(evidence, "caller bad")
    assert not is_deadly(evidence, "caller s1")


def test_parts_suspected_together_are_refused_only_together():
    evidence = CrashEvidence()
    record_crashes(evidence, "caller bad")
    assert is_deadly(evidence, "caller bad")
    assert not is_deadly(evidence, "caller") and not is_deadly(evidence, "bad")
    record_crash(evidence, 4, "bad")
    assert is_deadly(evidence, "bad") and not is_deadly(evidence, "caller")


def test_part_known_to_survive_before_needs_more_crashes():
    evidence = CrashEvidence()
    record_crash(evidence, 1, "turned")
    evidence.record_known(["turned", "not suspected"])
    assert evidence.known_parts == {"turned"}
    for number in range(2, CRASHES_TO_REFUSE_KNOWN):
        record_crash(evidence, number, "turned")
    assert not is_deadly(evidence, "turned")
    record_crash(evidence, CRASHES_TO_REFUSE_KNOWN, "turned")
    assert is_deadly(evidence, "turned")


def test_crash_that_a_deadly_part_explains_counts_against_no_bystander():
    evidence = CrashEvidence()
    record_crashes(evidence, "bad", "bystander", count=3)
    record_crash(evidence, 4, "bad")
    assert is_deadly(evidence, "bad")
    assert not is_deadly(evidence, "bystander")


def test_crash_of_another_cause_does_not_count_against_a_frequent_bystander():
    evidence = CrashEvidence()
    record_crash(evidence, 1, "bad")
    for number in range(2, 5):
        record_crash(evidence, number, "bad", "a bystander")
    record_crash(evidence, 5, "a bystander")
    record_crash(evidence, 6, "bad")
    assert is_deadly(evidence, "bad")
    assert not is_deadly(evidence, "a bystander")


def test_two_deadly_parts_are_both_found():
    evidence = CrashEvidence()
    for number in range(1, 7):
        record_crash(evidence, number, "bad" if number % 2 else "worse")
    assert is_deadly(evidence, "bad") and is_deadly(evidence, "worse")


def test_machines_that_fail_at_one_moment_count_once():
    evidence = CrashEvidence()
    for number in range(1, 9):
        record_crash(evidence, number, "part", at=5.0 + number / 100)
    assert not is_deadly(evidence, "part")


def test_requests_sent_again_at_once_count_as_crashes_of_their_own():
    evidence = CrashEvidence()
    for number, request in enumerate(("r1", "r1", "r2", "r2"), 1):
        record_crash(evidence, number, "bad", at=5.0 + number / 25, request=request)
    assert is_deadly(evidence, "bad")


def test_repeats_of_one_request_do_not_count_against_its_parts():
    evidence = CrashEvidence()
    record_crashes(evidence, "part", request="r1")
    assert not is_deadly(evidence, "part")


def test_survivor_of_a_later_run_ends_a_verdict():
    evidence = CrashEvidence()
    record_crashes(evidence, "part")
    clear(evidence, 3, "part")
    assert not is_deadly(evidence, "part")


def test_verdict_ends_with_its_reason_and_one_more_crash_renews_it():
    evidence = CrashEvidence()
    record_crashes(evidence, "bad")
    last_at = float(CRASHES_TO_REFUSE)
    assert is_deadly(evidence, "bad", last_at + REFUSAL_S - 0.1)
    assert not is_deadly(evidence, "bad", last_at + REFUSAL_S)
    record_crash(evidence, 200, "bad")
    assert is_deadly(evidence, "bad", 201.0)
    evidence.expire(200.0 + EVIDENCE_TTL_S)
    assert not evidence.crashes_by_incarnation


def test_verdict_heard_late_ends_when_it_does_for_the_others():
    evidence = CrashEvidence()
    for number in range(1, 4):
        record_crash(evidence, number, "bad", at=100.0 + number)
    assert is_deadly(evidence, "bad", 104.0 + REFUSAL_S - 2)
    for number in range(1, 4):
        record_crash(evidence, number, "bad")
    assert not is_deadly(evidence, "bad", 104.0 + REFUSAL_S - 2)


def test_evidence_is_bounded_and_keeps_the_newest():
    evidence = CrashEvidence()
    for number in range(2 * MAX_CRASHES):
        record_crash(evidence, number, f"p{number}")
    assert len(evidence.crashes_by_incarnation) == MAX_CRASHES
    assert f"i-{2 * MAX_CRASHES - 1}/1" in evidence.crashes_by_incarnation


REPORTS = st.lists(
    st.tuples(
        st.integers(1, 6),
        st.lists(st.sampled_from(["a", "b", "a b", "a c", "b c", "c"]), max_size=3),
        st.sets(st.sampled_from("abc"), max_size=2),
    ),
    max_size=12,
)


@given(REPORTS, st.integers(0, 1000))
def test_order_and_repetition_of_reports_change_nothing(reports, seed):
    def find_sets(ordered):
        evidence = CrashEvidence()
        for number, prompts, cleared in ordered:
            runs = [SuspectRun(f"r{number}.{p}", tuple(p.split())) for p in prompts]
            evidence.record_crash(f"i-{number}/1", float(number), runs, cleared)
        return {deadly.parts for deadly in evidence.deadly_parts(10.0)}

    shuffled = reports + reports[::2]
    random.Random(seed).shuffle(shuffled)
    assert find_sets(reports) == find_sets(shuffled)
