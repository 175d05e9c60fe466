"""Unit tests of requests that only some endpoints of a broker may take, in virtual time."""

import math

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan

from bluebellpitch.decisions.slot_broker import SlotBroker
from bluebellpitch.decisions.strikes import IsolationLevel
from tests.test_broker import finish, granted_ids, make_broker, make_table, queued, send


def test_requests_with_a_strike_are_placed_on_different_endpoints():
    broker = make_broker(endpoints=2, slots=4)
    isolated = [queued(f"s{n}", isolation_level=IsolationLevel.SEPARATED) for n in range(3)]
    commands = send(broker, isolated)
    assert_that(sorted(c.grant.endpoint for c in commands), Equals(["e0", "e1"]))
    ordinary = send(broker, [queued(f"n{n}") for n in range(4)])
    assert_that(granted_ids(ordinary), HasLength(4))


def test_request_that_no_free_endpoint_may_take_blocks_no_other():
    """One that waited for an endpoint other than the only one kept its whole class waiting."""
    broker = make_broker(endpoints=1, slots=1)
    send(broker, [queued("avoids", excluded_endpoints=frozenset({"e0"}), at=-1.0)])
    others = send(broker, [queued("other", at=0.0), queued("top", "high", at=0.0)])
    assert_that(granted_ids(others), Equals(["other", "top"]))
    assert_that(granted_ids(finish(broker, "top", 0.1)), Equals([]))


def test_restricted_request_does_not_keep_others_of_its_class_from_preempting():
    broker = make_broker(endpoints=1, slots=1)
    avoids = queued("avoids", "high", excluded_endpoints=frozenset({"e0"}), at=-0.1)
    commands = send(broker, [queued("low"), avoids, queued("top", "high")])
    assert_that(granted_ids(commands), Equals(["low", "top"]))


def test_cost_of_many_different_restrictions_is_one_pass_of_the_queue():
    """Members were ranked, and the queue copied, again for each of them."""
    asked = []
    broker = SlotBroker("pool", "z", lambda member, now: asked.append(member) or math.inf)
    broker.set_table(make_table(endpoints=40, slots=1, limit=1))
    send(broker, [queued(f"r{n}") for n in range(40)])
    send(broker, [queued(f"q{n}", excluded_endpoints=frozenset({f"e{n}"})) for n in range(40)])
    asked.clear()
    list(broker.schedule(0.0))
    assert_that(len(asked), LessThan(10))


def test_exclusive_request_gets_an_endpoint_in_a_full_pool():
    """Without a reservation, the endpoints would never be idle and the request would starve."""
    broker = make_broker(endpoints=2, slots=2)
    send(broker, [queued(f"w{n}") for n in range(40)])
    send(broker, [queued("alone", isolation_level=IsolationLevel.EXCLUSIVE, at=-1.0)], 0.0)
    for step in range(1, 12):
        grants = sorted(broker.grants_by_id.values(), key=lambda g: g.granted_at)
        finish(broker, grants[0].request.request_id, step * 0.1)
        if "alone" in broker.grant_id_by_request:
            break
    assert_that(broker.grant_id_by_request, Contains("alone"))
    endpoint = broker.grants_by_id[broker.grant_id_by_request["alone"]].endpoint
    assert_that(broker.selector.used_slots(endpoint), Equals(1))
