"""What a long queue of many members costs, and that sums kept beside it stay true."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellpitch.decisions.engine_placement import EnginePlacement
from bluebellpitch.decisions.generation_decisions import WaitingWork
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.prefill import PrefillSpeed
from bluebellpitch.decisions.shortage.fair_shares import FairShares
from bluebellpitch.decisions.shortage.queue_order import QueueOrder
from bluebellpitch.decisions.shortage.waiting_queue import WaitingQueue
from tests.generation_load import make_broker

WORK = WorkItem("w", "pool", 1, 10_000, 50, (), 30.0, 0.4, 0.0, 600.0)
MEMBERS = ("a", "b", "c")
QUEUED = 500


@pytest.fixture
def calls(monkeypatch):
    """Counts what is done for each engine of a pass, and for each member."""
    counts: Counter[str] = Counter()

    def count(owner, name):
        original = getattr(owner, name)

        def counted(*args):
            counts[name] += 1
            return original(*args)

        monkeypatch.setattr(owner, name, counted)

    for name in ("has_opening", "cost_s", "candidates"):
        count(EnginePlacement, name)
    count(FairShares, "_usual_tokens")
    return counts


@pytest.mark.parametrize(("tokens_in", "limit_per_s"), [(100, 5.0), (1_600, None)])
def test_request_that_joins_a_long_queue_is_decided_for_each_engine_only_a_few_times(
    calls, tokens_in, limit_per_s
):
    broker = make_broker(7)
    for key in list(broker.placement.engines_by_key):
        broker.record_limit(key, limit_per_s, 0.0)
    broker.submit(replace(WORK, id="learnt", member="m0"), "vm", frozenset(), 0.0)
    broker.finish("learnt", "ok", 0.0)
    for number in range(7 * 16 + QUEUED):
        member = f"m{number % 500}"
        work = replace(WORK, id=f"w{number}", tokens_in=tokens_in, member=member)
        broker.submit(work, "vm", frozenset(), 6.0)
    assert len(broker.waiting_by_id) > 400
    calls.clear()
    for number in range(10):
        work = replace(WORK, id=f"last{number}", tokens_in=tokens_in, member="m1")
        broker.submit(work, "vm", frozenset(), 6.0 + number / 1000)
    assert calls["has_opening"] + calls["cost_s"] + calls["candidates"] <= 10 * 5 * 7
    assert calls["_usual_tokens"] <= 1


def make_waiting(number: int, rank: int, member: str, returned: bool) -> WaitingWork:
    work = replace(WORK, id=f"w{number}", rank=rank, tokens_in=1 << number, member=member)
    return WaitingWork(work, "vm", frozenset(), 0.0 if returned else None)


works = st.tuples(st.integers(0, 2), st.sampled_from(MEMBERS), st.booleans())


@given(
    st.lists(works, min_size=1, max_size=12),
    st.sets(st.integers(0, 11)),
    st.sets(st.sampled_from(MEMBERS)),
    works,
)
def test_what_is_ahead_is_the_sum_over_the_queue(added, removed, over_share, asking):
    queue, order = WaitingQueue(), QueueOrder(PrefillSpeed(), frozenset(over_share), 1.0)
    for number, row in enumerate(added):
        queue.add(make_waiting(number, *row), order)
    for number in removed:
        queue.remove(f"w{number}")
    waiting = make_waiting(20, *asking)
    own = order.standing(waiting)
    ahead = [w for w in queue.by_id.values() if order.standing(w).goes_before(own)]
    assert queue.tokens_ahead(waiting, order) == sum(w.work.tokens_in for w in ahead)
    assert queue.members() == {w.work.member for w in queue.by_id.values()}
    ranks = [w.work.rank for w in queue.in_order(replace(order, now=1.001))]
    assert ranks == sorted(ranks)


def test_work_that_is_overdue_is_found_once_its_time_has_come():
    queue, order = WaitingQueue(), QueueOrder(PrefillSpeed(), frozenset(), 0.0)
    for number, expires_at in enumerate((8.0, 4.0)):
        work = replace(WORK, id=f"w{number}", expires_at=expires_at)
        queue.add(WaitingWork(work, "vm", frozenset()), order)
    for now, overdue in ((1.9, []), (2.0, ["w1"]), (3.9, []), (4.0, ["w0"])):
        found = [waiting.work.id for waiting in queue.overdue(now)]
        assert found == overdue
        for work_id in found:
            queue.remove(work_id)
