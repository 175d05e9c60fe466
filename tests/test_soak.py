"""The soak: its checks catch what they are for, plans repeat, and a short run breaks nothing."""

from dataclasses import replace

import pytest

from soak.checks import LEAVING_KNOWN_S, REPEAT_BURST, REVOKE_S, find_breaches
from soak.fault_schedule import Kind, draw_faults
from soak.history import EVENTS, Arrival, Outcome, Record, Stop
from soak.run import judge

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
CUT = replace(SERVED, status=0, endpoint_answered=False, body=b"")
RAN = Arrival(10.0, "c0-0", "app", "app-0", True)
STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, EVENTS + 1))
WHOLE = replace(SERVED, kind="draft", body=STREAM)
SWAPPED = replace(WHOLE, body=STREAM.replace(b"piece 2", b"piece 3"))


def record(*outcomes: Outcome, **fields) -> Record:
    return Record(outcomes=list(outcomes), **fields)


BREACHES = {
    "at_most_once": record(replace(SERVED, kind="file"), arrivals=[RAN, RAN]),
    "refusals": record(REFUSED, arrivals=[RAN]),
    "answers: c0-0 got": record(replace(SERVED, body=b"app-0 answers c1-7")),
    "answers: c0-0 got b'id": record(SWAPPED),
    "keys": record(SERVED, taken_at_by_key={"key-0": SERVED.sent_at - REVOKE_S - 0.1}),
    "leaving": record(arrivals=[RAN], left_at_by_endpoint={"app-0": 9.9 - LEAVING_KNOWN_S}),
    "versions": record(versions_by_process={"vm-0#1": [4, 7, 4]}),
    "stops": record(CUT, stops=[Stop("vm-0", 9.0, 12.0)]),
    "budget": record(arrivals=[RAN] * (REPEAT_BURST + 20)),
    "run": record(failures=["vm-0 is not ready"]),
}
ALLOWED = {
    "served once": record(replace(SERVED, kind="file"), arrivals=[RAN]),
    "safe one served again": record(SERVED, arrivals=[RAN, RAN]),
    "refused": record(REFUSED, arrivals=[replace(RAN, ran=False)]),
    "whole stream": record(WHOLE),
    "key within the bound": record(SERVED, taken_at_by_key={"key-0": SERVED.sent_at - REVOKE_S}),
    "cut by a kill": record(CUT),
    "sent at the last moment": record(CUT, stops=[Stop("vm-0", 9.0, 10.2)]),
}


@pytest.mark.parametrize("name", BREACHES)
def test_breach_is_found(name):
    assert [line for line in find_breaches(BREACHES[name]) if line.startswith(name)]


@pytest.mark.parametrize("name", ALLOWED)
def test_what_is_allowed_is_no_breach(name):
    assert not find_breaches(ALLOWED[name])


def test_seed_repeats_its_faults():
    assert list(draw_faults(7, 20.0)) == list(draw_faults(7, 20.0))
    assert list(draw_faults(7, 20.0)) != list(draw_faults(8, 20.0))
    drawn = {fault.kind for seed in range(30) for fault in draw_faults(seed, 20.0)}
    assert drawn == set(Kind)


def test_short_run_breaks_no_promise(tmp_path):
    record, breaches = judge(SEED, SECONDS, VMS, tmp_path)
    assert not breaches
    assert any(outcome.status == 200 for outcome in record.outcomes)
