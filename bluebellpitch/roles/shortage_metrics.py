"""Shows what the brokers of this VM are short of: by rank, by reason, and by member.

Of hundreds of members, only those that wait, were refused or were granted most are shown.
"""

import heapq
from collections import Counter
from collections.abc import Iterable

from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.shortage.fair_shares import MemberShare
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.platform_messages import WorkRequest

MAX_SHOWN_MEMBERS = 10
# Shares of a pool are summed up anew for log lines at this interval.
SUMMARY_INTERVAL_S = 0.5


class ShortageMetrics:
    """Owns the metrics of the queues in one zone."""

    def __init__(self, zone: str, metrics: Metrics):
        self._zone = zone
        self._metrics = metrics
        self._shares_by_pool: dict[str, dict[str, MemberShare]] = {}
        self._summed_at_by_pool: dict[str, float] = {}

    def record_refusal(
        self, broker: GenerationBroker, request: WorkRequest, reason: str, now: float
    ) -> None:
        """Counts a request that got no engine."""
        broker.shares.record_refused(request.member, now)
        labels = (request.pool, self._zone, str(request.rank), reason)
        self._metrics.queue_refusals.labels(*labels).inc()

    def describe_share(self, broker: GenerationBroker, member: str, now: float) -> dict[str, str]:
        """Returns a member's shares as log lines show them; empty if there are none."""
        pool = broker.pool
        if now - self._summed_at_by_pool.get(pool, float("-inf")) >= SUMMARY_INTERVAL_S:
            self._summed_at_by_pool[pool] = now
            shares = broker.shares.member_shares(count_queued(broker), now)
            self._shares_by_pool[pool] = {share.member: share for share in shares}
        share = self._shares_by_pool[pool].get(member)
        if share is None:
            return {}
        return {"usual_share": f"{share.usual:.3f}", "granted_share": f"{share.granted:.3f}"}

    def show(self, brokers: Iterable[GenerationBroker], now: float) -> None:
        """Sets the gauges to the state of the given brokers, and removes those of others."""
        metrics = self._metrics
        for gauge in (
            metrics.queued,
            metrics.member_usual_share,
            metrics.member_granted_share,
            metrics.member_over_share,
            metrics.member_queued,
            metrics.member_refused,
        ):
            gauge.clear()
        for broker in brokers:
            self._show_queue(broker)
            self._show_members(broker, now)

    def _show_queue(self, broker: GenerationBroker) -> None:
        queued_by_rank = Counter(waiting.work.rank for waiting in broker.waiting_by_id.values())
        for rank, count in queued_by_rank.items():
            self._metrics.queued.labels(broker.pool, self._zone, str(rank)).set(count)

    def _show_members(self, broker: GenerationBroker, now: float) -> None:
        queued = count_queued(broker)
        for share in choose_shown_members(broker.shares.member_shares(queued, now), queued):
            labels, metrics = (broker.pool, self._zone, share.member), self._metrics
            metrics.member_usual_share.labels(*labels).set(share.usual)
            metrics.member_granted_share.labels(*labels).set(share.granted)
            metrics.member_over_share.labels(*labels).set(share.is_over)
            metrics.member_queued.labels(*labels).set(queued[share.member])
            metrics.member_refused.labels(*labels).set(share.refused)


def count_queued(broker: GenerationBroker) -> Counter[str]:
    """Returns how many requests are queued, by member."""
    return Counter(waiting.work.member for waiting in broker.waiting_by_id.values())


def choose_shown_members(shares: Iterable[MemberShare], queued: Counter[str]) -> list[MemberShare]:
    """Returns the members with the most requests queued or refused, then those granted most."""
    return heapq.nlargest(
        MAX_SHOWN_MEMBERS,
        shares,
        key=lambda share: (queued[share.member] + share.refused, share.granted),
    )
