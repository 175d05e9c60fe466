"""Ranks waiting classes by tier, lateness, weighted slack and guaranteed shares."""

import math
from dataclasses import dataclass

from bluebellpitch.constants import GUARANTEED_SHARE, LATE_MAX_WAIT_SHARE, MAX_SHARE_CREDIT_S
from bluebellpitch.decisions.request_queues import RequestQueues, first_on_time
from bluebellpitch.decisions.rows import ClassRow
from bluebellpitch.decisions.slot_grants import ClassStats, QueuedRequest

MIN_SHARE_COST_S = 0.01
UNKNOWN_TIER = 1 << 20


@dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """Scheduling features, which measurements switch off to compare with baselines."""

    guaranteed_share: float = GUARANTEED_SHARE
    allow_preemption: bool = True
    strict_tiers: bool = True
    prefer_on_time: bool = True
    detect_slow_endpoints: bool = True


class ClassScheduler:
    """Ranks the waiting classes of one broker and keeps the statistics of each class."""

    def __init__(self, queues: RequestQueues, policy: SchedulingPolicy):
        self._queues = queues
        self._policy = policy
        self._rows_by_name: dict[str, ClassRow] = {}
        self.stats_by_class: dict[str, ClassStats] = {}
        self._credit_updated_at = 0.0
        self._earning_classes: tuple[str, ...] = ()
        self.highest_tier = 0

    def set_classes(self, rows_by_name: dict[str, ClassRow]) -> None:
        """Replaces the classes with those of the current table."""
        self._rows_by_name = rows_by_name
        self.highest_tier = min((row.tier for row in rows_by_name.values()), default=0)

    def stats(self, class_name: str) -> ClassStats:
        """Returns the statistics of a class."""
        if class_name not in self.stats_by_class:
            self.stats_by_class[class_name] = ClassStats()
        return self.stats_by_class[class_name]

    def class_row(self, class_name: str) -> ClassRow:
        """Returns a class; one that is missing from the table ranks below all others."""
        missing = ClassRow(class_name, UNKNOWN_TIER, 1.0, 1000.0, 1000.0, 1000.0)
        return self._rows_by_name.get(class_name, missing)

    def tier(self, class_name: str) -> int:
        """Returns a class's tier."""
        return self.class_row(class_name).tier

    def lowest_waiting_tier(self) -> int:
        """Returns the lowest-priority tier that has queued requests."""
        return max(map(self.tier, self._queues.waiting_classes()), default=0)

    def rank_classes(self, now: float, contended: bool) -> list[tuple[str, bool]]:
        """Returns waiting classes in order; True marks a grant out of the guaranteed share.

        Guaranteed shares apply only when more requests wait than slots are free.
        """
        names = self._queues.waiting_classes()
        if not self._policy.strict_tiers:
            return [(name, False) for name in sorted(names, key=self._oldest_arrival)]
        funded = [name for name in names if self._has_enough_credit(name)] if contended else []
        funded.sort(key=lambda name: -self.stats(name).share_credit_s)
        ranked = sorted(names, key=lambda name: self._class_order(name, now))
        return [(name, True) for name in funded] + [(name, False) for name in ranked]

    def _class_order(self, class_name: str, now: float) -> tuple[bool, int, float]:
        """Sort key of a class: tier, then slack. Deferred classes go last.

        A deferred class returns to its tier's place before the maximum wait of its requests ends.
        """
        deferred = self.is_deferred(class_name, now)
        return deferred, self.tier(class_name), self._weighted_slack_s(class_name, now)

    def is_deferred(self, class_name: str, now: float) -> bool:
        """Returns whether a class goes last: its requests are all late and may wait longer."""
        if not self._policy.prefer_on_time:
            return False
        on_time_since = self.on_time_since(class_name, now)
        queues = (queue for _, queue in self._queues.member_queues(class_name))
        return all(is_queue_deferred(queue, on_time_since, now) for queue in queues)

    def on_time_since(self, class_name: str, now: float) -> float:
        """Returns the earliest arrival time that can still meet the first-token target."""
        if not self._policy.prefer_on_time:
            return -math.inf
        target_s = self.class_row(class_name).first_token_ms / 1000
        return now - target_s + self.stats(class_name).first_token_s.value

    def _oldest_arrival(self, class_name: str) -> float:
        return min(queue[0].arrived_at for _, queue in self._queues.member_queues(class_name))

    def _weighted_slack_s(self, class_name: str, now: float) -> float:
        """Returns the oldest request's time to its target over weight; infinity if it is late."""
        row = self.class_row(class_name)
        remaining_s = self._oldest_arrival(class_name) + row.first_token_ms / 1000 - now
        return remaining_s / row.weight if remaining_s > 0 else math.inf

    def _has_enough_credit(self, class_name: str) -> bool:
        stats = self.stats(class_name)
        required_s = min(stats.slot_time_s.value or MAX_SHARE_CREDIT_S, MAX_SHARE_CREDIT_S)
        return stats.share_credit_s >= required_s

    def accrue_share_credit(self, total_slots: int, now: float) -> None:
        """Credits the classes that waited since the last call with their share of the slot time."""
        earning, self._earning_classes = self._earning_classes, self._queues.waiting_classes()
        updated_at, self._credit_updated_at = self._credit_updated_at, now
        if not earning:
            return
        share_s = (now - updated_at) * total_slots * self._policy.guaranteed_share
        total_weight = sum(self.class_row(name).weight for name in earning)
        for name in earning:
            stats = self.stats(name)
            earned_s = share_s * self.class_row(name).weight / total_weight
            stats.share_credit_s = min(MAX_SHARE_CREDIT_S, stats.share_credit_s + earned_s)

    def spend_share_credit(self, class_name: str) -> None:
        """Charges a class its average slot time for a grant out of its guaranteed share."""
        stats = self.stats(class_name)
        stats.share_credit_s -= max(stats.slot_time_s.value, MIN_SHARE_COST_S)


def is_queue_deferred(queue: list[QueuedRequest], on_time_since: float, now: float) -> bool:
    """Returns whether a queue is all late and its oldest request has most of its wait left."""
    if first_on_time(queue, on_time_since) is not None:
        return False
    oldest = queue[0]
    max_wait_s = oldest.expires_at - oldest.arrived_at
    return now - oldest.arrived_at < LATE_MAX_WAIT_SHARE * max_wait_s
