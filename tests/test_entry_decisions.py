"""Decisions of entry VMs: freshness, retry budgets, directory, liveness and service choice."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from bluebellpitch.decisions.directory import ENTRY_EXPIRY_GRACE_S, EndpointDirectory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.freshness import Freshness, read_valid_at
from bluebellpitch.decisions.liveness import MAX_MISSED_HEARTBEATS, Liveness, Peer
from bluebellpitch.decisions.loads import EndpointLoads, WorkItem
from bluebellpitch.decisions.retry_budget import RetryBudget
from bluebellpitch.decisions.service_choice import choose_service_endpoint

HEARTBEAT_INTERVAL_S = 0.15


def make_entry(
    name: str, zone: str = "z", draining: bool = False, started_ms: int = 1
) -> EndpointEntry:
    return EndpointEntry(name, "app", "10.0.0.1:80", zone, 4, draining, started_ms)


def test_keys_are_rejected_before_the_revocation_bound():
    freshness = Freshness(revoke_s=5.0, apply_s=3.0)
    assert not freshness.may_accept_keys(0.0)
    freshness.confirm(10.0)
    assert freshness.may_accept_keys(14.0) and freshness.may_report_unknown(12.0)
    assert not freshness.may_accept_keys(14.9)
    assert not freshness.may_report_unknown(13.5)


def test_older_confirmation_is_ignored():
    freshness = Freshness(5.0, 3.0)
    freshness.confirm(10.0)
    freshness.confirm(4.0)
    assert freshness.confirmed_at == 10.0


@given(
    requested_at=st.floats(0, 100),
    took_s=st.floats(0, 10),
    wait_s=st.floats(0, 5),
    is_empty=st.booleans(),
)
def test_read_is_not_valid_beyond_its_response(requested_at, took_s, wait_s, is_empty):
    valid_at = read_valid_at(requested_at, requested_at + took_s, wait_s, is_empty)
    assert requested_at <= valid_at <= requested_at + took_s or valid_at == requested_at


@given(
    requests=st.lists(st.floats(0, 30), max_size=80),
    retries=st.lists(st.floats(0, 30), max_size=80),
    vms=st.integers(1, 20),
)
def test_each_vm_stays_within_its_part_of_the_retry_budget(requests, retries, vms):
    """No window holds more retries than the VM's part of the budget."""
    budget = RetryBudget(ratio=0.2, burst=54.0, window_s=10.0)
    events = sorted([(t, 0) for t in requests] + [(t, 1) for t in retries])
    spent_at = []
    for at, kind in events:
        if kind == 0:
            budget.record_request("app", at)
        elif budget.spend("app", vms, at):
            spent_at.append(at)
    for end in spent_at:
        window = [t for t in spent_at if end - 10 < t <= end]
        own = [t for t in requests if end - 20 < t <= end]
        assert len(window) <= 0.2 * len(own) + 54 / vms + 1


def test_entry_that_expires_during_a_store_outage_gets_a_grace_period():
    directory = EndpointDirectory()
    directory.update(make_entry("i-1"))
    directory.remove("i-1", store_was_unavailable=True, now=10.0)
    assert list(directory.usable_endpoints("app"))
    assert directory.expire(10.0 + ENTRY_EXPIRY_GRACE_S) == ["i-1"]
    assert not list(directory.usable_endpoints("app"))


def test_entry_registered_again_in_the_grace_period_stays():
    directory = EndpointDirectory()
    directory.update(make_entry("i-1"))
    directory.remove("i-1", store_was_unavailable=True, now=10.0)
    directory.update(make_entry("i-1"))
    assert directory.expire(20.0) == []


def test_entry_removed_without_an_outage_is_gone_at_once():
    directory = EndpointDirectory()
    directory.update(make_entry("i-1"))
    assert directory.remove("i-1", store_was_unavailable=False, now=10.0)
    assert not directory.entries_by_id


def test_replaced_endpoint_returns_only_as_a_new_incarnation():
    directory = EndpointDirectory()
    entry = make_entry("i-1")
    directory.update(entry)
    directory.mark_replaced(entry)
    directory.update(entry)
    assert not list(directory.usable_endpoints("app"))
    directory.update(make_entry("i-1", started_ms=2))
    assert list(directory.usable_endpoints("app"))


def test_endpoint_chosen_by_another_vm_is_known_to_have_left():
    directory = EndpointDirectory()
    entry, unknown = make_entry("i-1"), make_entry("i-2")
    directory.update(entry)
    assert not directory.has_left(entry) and not directory.has_left(unknown)
    directory.remove("i-1", store_was_unavailable=False, now=0.0)
    assert directory.has_left(entry)
    directory.update(replace(entry, started_ms=entry.started_ms + 1))
    assert directory.has_left(entry)
    assert not directory.has_left(replace(entry, started_ms=entry.started_ms + 2))
    directory.update(replace(entry, is_draining=True))
    assert directory.has_left(entry)


def test_draining_endpoint_stays_so_until_it_starts_again():
    """An older copy of the store shows it as ready, at the same start."""
    directory = EndpointDirectory()
    directory.update(replace(make_entry("i-1"), is_draining=True, sequence=9))
    assert not directory.update(replace(make_entry("i-1"), sequence=5))
    assert not directory.update(replace(make_entry("i-1"), sequence=12))
    assert not list(directory.usable_endpoints("app"))
    directory.remove("i-1", store_was_unavailable=True, now=0.0)
    assert not directory.update(replace(make_entry("i-1"), sequence=13))
    assert directory.update(make_entry("i-1", started_ms=2))
    assert list(directory.usable_endpoints("app"))


def test_removed_endpoint_returns_only_with_an_entry_written_since():
    directory = EndpointDirectory()
    entry = replace(make_entry("i-1", started_ms=2), sequence=9)
    directory.update(entry)
    directory.remove("i-1", store_was_unavailable=False, now=0.0)
    assert not directory.update(replace(entry, sequence=8))
    assert not directory.update(entry)
    assert not directory.update(replace(entry, started_ms=1, sequence=50))
    assert directory.has_left(entry)
    assert directory.update(replace(entry, sequence=10))
    assert not directory.has_left(entry)


def test_entry_of_an_earlier_start_does_not_replace_a_later_one():
    directory = EndpointDirectory()
    directory.update(make_entry("i-1", started_ms=2))
    assert not directory.update(make_entry("i-1", started_ms=1))
    assert [entry.started_ms for entry in directory.usable_endpoints("app")] == [2]


def make_peer(key: str, now: float, draining: bool = False) -> Peer:
    return Peer(key, "z", f"{key}:1", draining, 1, now, HEARTBEAT_INTERVAL_S)


def test_all_vms_agree_on_the_role_holder():
    keys = ["a", "b", "c", "d"]
    holders = set()
    for own in keys:
        liveness = Liveness(own, "z")
        for other in keys:
            if other != own:
                liveness.record_heartbeat(make_peer(other, 0.0))
        holders.add(liveness.role_holder("duty", 0.1, own_draining=False))
    assert len(holders) == 1


def test_silent_draining_and_excluded_vms_hold_no_role():
    liveness = Liveness("a", "z")
    liveness.record_heartbeat(make_peer("b", 0.0))
    assert liveness.remove_silent(MAX_MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S + 0.1) == ["b"]
    liveness.record_heartbeat(make_peer("c", 1.0, draining=True))
    liveness.record_heartbeat(make_peer("d", 1.0))
    liveness.exclude("d", 2.0)
    assert all(liveness.role_holder(f"duty{n}", 1.1, False) == "a" for n in range(20))
    assert any(liveness.role_holder(f"duty{n}", 1.1, own_draining=True) == "a" for n in range(20))


def choose(entries, loads, avoid=frozenset(), now=0.0):
    return choose_service_endpoint(entries, loads, {"z": 0.0, "far": 1.0}, avoid, now)


def make_work(name: str) -> WorkItem:
    return WorkItem(name, "app", 1, 0, 0, (), 0.2, 60.0, 0.0, 2.0)


def test_idle_endpoint_in_the_zone_is_preferred():
    entries = [make_entry("far", "far"), make_entry("near")]
    assert choose(entries, EndpointLoads()).id == "near"


def test_remote_endpoint_is_preferred_to_a_busy_one():
    entries, loads = [make_entry("far", "far"), make_entry("near")], EndpointLoads()
    loads.for_endpoint(entries[1]).in_flight_by_id.update(
        {f"w{n}": make_work(f"w{n}") for n in range(8)}
    )
    assert choose(entries, loads).id == "far"


def test_endpoint_with_a_higher_failure_rate_is_avoided_until_it_decays():
    entries, loads = [make_entry("grey"), make_entry("good")], EndpointLoads()
    for _ in range(20):
        loads.for_endpoint(entries[0]).record_outcome(True, 0.0)
        loads.for_endpoint(entries[1]).record_outcome(False, 0.0)
    assert choose(entries, loads).id == "good"
    loads.for_endpoint(entries[1]).in_flight_by_id.update({"w": make_work("w")})
    assert choose(entries, loads, now=30.0).id == "grey"


def test_unreachable_endpoint_is_used_only_if_no_other_is_left():
    entries, loads = [make_entry("down"), make_entry("up")], EndpointLoads()
    loads.for_endpoint(entries[0]).record_unreachable(0.0)
    assert choose(entries, loads, now=0.1).id == "up"
    assert choose(entries[:1], loads, now=0.1).id == "down"
