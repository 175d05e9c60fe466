"""What operators see of engines that are too few, in virtual time."""

from collections.abc import Iterator
from dataclasses import replace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength

from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.platform_messages import WorkRequest
from bluebellpitch.roles.shortage_metrics import MAX_SHOWN_MEMBERS, ShortageMetrics
from tests.generation_load import LoadReplay, PromptLoad, draw_arrivals, make_broker

USUAL_S, HOT_S = 8.0, 3.0
END_S = USUAL_S + HOT_S
# Two engines read about 13 of these a second.
USUAL = PromptLoad("usual", 0.25, 4, 3_780, 5_400, 12, 0.618, 0.4, 4.118)
HOT = replace(USUAL, name="hot", member="hot", rate_per_s=2.0)


class ShownReplay(LoadReplay):
    """One member of 41 asks for 30 times its usual; the metrics are set at the end of that."""

    def __init__(self):
        super().__init__(make_broker(2))
        self.metrics = Metrics()
        self.shortage = ShortageMetrics("z", self.metrics)

    def arrivals(self) -> Iterator:
        names = [f"m{number}" for number in range(40)]
        others = [replace(USUAL, name=name, member=name) for name in names]
        yield from draw_arrivals((*others, HOT), USUAL_S, 1)
        hot = replace(HOT, rate_per_s=30 * HOT.rate_per_s)
        for work, load in draw_arrivals((*others, hot), HOT_S, 2):
            times = {
                "arrived_at": work.arrived_at + USUAL_S,
                "expires_at": work.expires_at + USUAL_S,
            }
            yield replace(work, id=f"{work.id}-later", **times), load
        self.shortage.show([self.broker], END_S)
        self.queued = len(self.broker.waiting_by_id)
        self.refused = sum(o.first_token_s is None for o in self.outcomes)
        self.described = self.shortage.describe_share(self.broker, "hot", END_S)

    def _refuse(self, refused, now: float) -> None:
        super()._refuse(refused, now)
        work, _ = self._arrivals_by_id[refused.work_id]
        numbers = dict.fromkeys(("tokens_in", "tokens_out", "target_s", "gap_s"), 1)
        request = WorkRequest(
            work_id=work.id,
            pool=work.pool,
            rank=work.rank,
            member=work.member,
            parts=(),
            age_s=0.0,
            left_s=1.0,
            avoid=(),
            vm="vm",
            reply_to="",
            **numbers,
        )
        self.shortage.record_refusal(self.broker, request, refused.reason, now)

    def samples(self, name: str) -> dict[tuple[str, ...], float]:
        """Returns the values of a metric by the labels behind its pool and zone."""
        return {
            tuple(sample.labels.values())[2:]: sample.value
            for family in self.metrics.registry.collect()
            for sample in family.samples
            if sample.name == f"bluebellpitch_{name}"
        }


@pytest.fixture(scope="module")
def replay() -> ShownReplay:
    replay = ShownReplay()
    replay.run(replay.arrivals())
    return replay


def test_member_that_takes_the_engines_is_among_the_few_that_are_shown(replay):
    usual, granted = (replay.samples(f"member_{name}_share") for name in ("usual", "granted"))
    assert_that(usual, HasLength(MAX_SHOWN_MEMBERS))
    assert_that(granted[("hot",)], GreaterThan(usual[("hot",)]))
    assert_that(replay.samples("member_over_share")[("hot",)], Equals(1.0))
    assert_that(replay.samples("member_refused")[("hot",)], GreaterThan(10.0))
    assert_that(replay.samples("member_queued")[("hot",)], GreaterThan(0.0))


def test_queue_and_refusals_are_shown_by_rank_and_reason(replay):
    assert_that(replay.samples("queued"), Equals({("4",): float(replay.queued)}))
    by_reason = replay.samples("queue_refusals_total")
    assert_that(by_reason, Contains(("4", "no_capacity_in_time")))
    assert_that(sum(by_reason.values()), GreaterThan(replay.refused - 1.0))


def test_refusal_names_the_shares_of_its_member(replay):
    described = {key: float(value) for key, value in replay.described.items()}
    assert_that(described["granted_share"], GreaterThan(described["usual_share"]))
    assert_that(replay.shortage.describe_share(replay.broker, "unknown", END_S), Equals({}))


def test_pool_that_another_vm_brokers_now_is_not_shown():
    replay = ShownReplay()
    replay.run(replay.arrivals())
    replay.shortage.show([], END_S)
    for name in ("queued", "member_usual_share", "member_refused"):
        assert_that(replay.samples(name), Equals({}))
