"""The soak: each check finds its breach, seeds are reproducible, and a short run has no breach."""

from dataclasses import replace

import pytest

from fakes.duty_api import DutyCall
from soak.checks import LEAVING_PROPAGATION_S, RETRY_BUDGET_BURST, REVOCATION_BOUND_S, find_breaches
from soak.fault_schedule import FaultKind, draw_faults
from soak.history import (
    DUTY_LEASE_S,
    STREAM_EVENTS,
    Arrival,
    History,
    Outcome,
    PlannedStop,
    Suspension,
)
from soak.run import run_seed

SEED = 41
SECONDS = 8.0
VMS = 3
SERVED = Outcome(
    id="c0-0",
    kind="look",
    key="key-0",
    vm="vm-0",
    sent_at=10.0,
    ended_at=10.1,
    status=200,
    verdict="",
    retry_after="",
    endpoint_answered=True,
    body=b"app-0 answers c0-0",
)
REFUSED = replace(
    SERVED, status=503, verdict="did_not_run", retry_after="1", endpoint_answered=False, body=b""
)
CUT_OFF = replace(SERVED, status=0, endpoint_answered=False, body=b"")
RAN = Arrival(10.0, "c0-0", "app", "app-0", True)
STREAM_BODY = b"".join(
    f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, STREAM_EVENTS + 1)
)
COMPLETE_STREAM = replace(SERVED, kind="draft", body=STREAM_BODY)
REPORT = DutyCall("/usage", "vm-0", 5, {"window_index": 7, "counts": {"m": 2}}, 10.0)
NEXT_HOLDER = replace(REPORT, holder="vm-1", token=6, at=11.0)
LATER_HOLDER = replace(REPORT, token=7, at=10.0 + DUTY_LEASE_S)
OLD_TOKEN = replace(REPORT, at=12.0)
ALTERED_STREAM = replace(COMPLETE_STREAM, body=STREAM_BODY.replace(b"piece 2", b"piece 3"))


def make_history(*outcomes: Outcome, **fields) -> History:
    return History(outcomes=list(outcomes), **fields)


BREACHING_HISTORIES = {
    "at_most_once": make_history(replace(SERVED, kind="file"), arrivals=[RAN, RAN]),
    "refusals": make_history(REFUSED, arrivals=[RAN]),
    "answers: c0-0 got": make_history(replace(SERVED, body=b"app-0 answers c1-7")),
    "answers: c0-0 got b'id": make_history(ALTERED_STREAM),
    "keys": make_history(
        SERVED, revoked_at_by_key={"key-0": SERVED.sent_at - REVOCATION_BOUND_S - 0.1}
    ),
    "leaving": make_history(
        arrivals=[RAN], leaving_at_by_endpoint={"app-0": 9.9 - LEAVING_PROPAGATION_S}
    ),
    "versions": make_history(versions_by_process={"vm-0#1": [4, 7, 4]}),
    "stops": make_history(CUT_OFF, planned_stops=[PlannedStop("vm-0", 9.0, 12.0)]),
    "budget": make_history(arrivals=[RAN] * (RETRY_BUDGET_BURST + 20)),
    "duty_reports": make_history(
        duty_calls=[REPORT, replace(REPORT, body={"window_index": 7, "counts": {"m": 3}})]
    ),
    "duty_holders": make_history(duty_calls=[REPORT, replace(REPORT, holder="vm-1")]),
    "duty_tokens": make_history(duty_calls=[NEXT_HOLDER, OLD_TOKEN]),
    "duty_tokens: vm-0": make_history(
        duty_calls=[NEXT_HOLDER, OLD_TOKEN], suspensions=[Suspension("vm-0", 5.0, 10.9)]
    ),
    "duty_returns": make_history(duty_calls=[REPORT, NEXT_HOLDER, LATER_HOLDER]),
    "duty_due": make_history(duty_calls=[REPORT], due_windows=[7, 8]),
    "run": make_history(failures=["vm-0 is not ready"]),
}
ALLOWED_HISTORIES = {
    "served once": make_history(replace(SERVED, kind="file"), arrivals=[RAN]),
    "safe request served twice": make_history(SERVED, arrivals=[RAN, RAN]),
    "refused": make_history(REFUSED, arrivals=[replace(RAN, ran=False)]),
    "complete stream": make_history(COMPLETE_STREAM),
    "revoked key within the bound": make_history(
        SERVED, revoked_at_by_key={"key-0": SERVED.sent_at - REVOCATION_BOUND_S}
    ),
    "cut without a planned stop": make_history(CUT_OFF),
    "sent just before the exit": make_history(
        CUT_OFF, planned_stops=[PlannedStop("vm-0", 9.0, 10.2)]
    ),
    "report repeated by the next holder": make_history(
        duty_calls=[REPORT, NEXT_HOLDER, replace(LATER_HOLDER, at=LATER_HOLDER.at + 0.1)],
        due_windows=[7],
    ),
    "call of a process that was just suspended": make_history(
        duty_calls=[NEXT_HOLDER, OLD_TOKEN], suspensions=[Suspension("vm-0", 5.0, 11.5)]
    ),
}


@pytest.mark.parametrize("name", BREACHING_HISTORIES)
def test_breach_is_found(name):
    assert [line for line in find_breaches(BREACHING_HISTORIES[name]) if line.startswith(name)]


@pytest.mark.parametrize("name", ALLOWED_HISTORIES)
def test_allowed_history_has_no_breach(name):
    assert not find_breaches(ALLOWED_HISTORIES[name])


def test_seed_determines_its_faults():
    assert list(draw_faults(7, 20.0)) == list(draw_faults(7, 20.0))
    assert list(draw_faults(7, 20.0)) != list(draw_faults(8, 20.0))
    drawn = {fault.kind for seed in range(30) for fault in draw_faults(seed, 20.0)}
    assert drawn == set(FaultKind)


def test_short_run_has_no_breach(tmp_path):
    history, breaches = run_seed(SEED, SECONDS, VMS, tmp_path)
    assert not breaches
    assert any(outcome.status == 200 for outcome in history.outcomes)
    assert history.duty_calls and history.due_windows
