"""In which order classes are served: tiers, lateness, slack over weight, and guaranteed shares."""

import math
from dataclasses import dataclass

from bluebellpitch.constants import GUARANTEED_SHARE, LATE_PATIENCE_SHARE, SHARE_CREDIT_CAP_S
from bluebellpitch.decisions.request_queues import RequestQueues, first_on_time
from bluebellpitch.decisions.rows import ClassRow
from bluebellpitch.decisions.slot_grants import ClassStats, QueuedRequest

MIN_SHARE_COST_S = 0.01
UNKNOWN_TIER = 1 << 20


@dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """What may be switched off, for measurement against baselines."""

    guaranteed_share: float = GUARANTEED_SHARE
    allow_preemption: bool = True
    strict_tiers: bool = True
    prefer_on_time: bool = True
    detect_slow_endpoints: bool = True


class ClassScheduler:
    """Ranks the classes that wait at one broker, and keeps what was seen of each."""

    def __init__(self, queues: RequestQueues, policy: SchedulingPolicy):
        self._queues = queues
        self._policy = policy
        self._rows_by_name: dict[str, ClassRow] = {}
        self.stats_by_class: dict[str, ClassStats] = {}
        self._credit_updated_at = 0.0
        self._earning_classes: tuple[str, ...] = ()
        self.highest_tier = 0

    def set_classes(self, rows_by_name: dict[str, ClassRow]) -> None:
        """Takes the table's classes."""
        self._rows_by_name = rows_by_name
        self.highest_tier = min((row.tier for row in rows_by_name.values()), default=0)

    def stats(self, class_name: str) -> ClassStats:
        """Returns what was seen of a class."""
        if class_name not in self.stats_by_class:
            self.stats_by_class[class_name] = ClassStats()
        return self.stats_by_class[class_name]

    def class_row(self, class_name: str) -> ClassRow:
        """Returns a class; one that is gone from the table ranks below all others."""
        unknown = ClassRow(class_name, UNKNOWN_TIER, 1.0, 1000.0, 1000.0, 1000.0)
        return self._rows_by_name.get(class_name, unknown)

    def tier(self, class_name: str) -> int:
        """Returns a class's tier."""
        return self.class_row(class_name).tier

    def lowest_waiting_tier(self) -> int:
        """Returns the lowest tier that has work waiting."""
        return max(map(self.tier, self._queues.waiting_classes()), default=0)

    def rank_classes(self, now: float, contended: bool) -> list[tuple[str, bool]]:
        """Returns waiting classes in order; True marks a slot out of the guaranteed share.

        While there is a slot for everybody nobody needs its share.
        """
        names = self._queues.waiting_classes()
        if not self._policy.strict_tiers:
            return [(name, False) for name in sorted(names, key=self._oldest_arrival)]
        due = [name for name in names if self._has_enough_credit(name)] if contended else []
        due.sort(key=lambda name: -self.stats(name).share_credit_s)
        ranked = sorted(names, key=lambda name: self._class_order(name, now))
        return [(name, True) for name in due] + [(name, False) for name in ranked]

    def _class_order(self, class_name: str, now: float) -> tuple[bool, int, float]:
        """Ranks a class: by tier, then slack. A class that can only be late goes last for a while.

        Late work is only delayed: it is back in its tier's place before its patience runs out.
        """
        late = self.is_deferred(class_name, now)
        return late, self.tier(class_name), self._weighted_slack_s(class_name, now)

    def is_deferred(self, class_name: str, now: float) -> bool:
        """Tells whether all that waits of a class is late, and may be left so for a while."""
        if not self._policy.prefer_on_time:
            return False
        on_time_since = self.on_time_since(class_name, now)
        queues = (queue for _, queue in self._queues.member_queues(class_name))
        return all(is_queue_deferred(queue, on_time_since, now) for queue in queues)

    def on_time_since(self, class_name: str, now: float) -> float:
        """Returns when work must have arrived to be in time yet."""
        if not self._policy.prefer_on_time:
            return -math.inf
        target_s = self.class_row(class_name).first_token_ms / 1000
        return now - target_s + self.stats(class_name).first_token_s.value

    def _oldest_arrival(self, class_name: str) -> float:
        return min(queue[0].arrived_at for _, queue in self._queues.member_queues(class_name))

    def _weighted_slack_s(self, class_name: str, now: float) -> float:
        """Returns time left to the target of the oldest work, over weight; late work goes last."""
        row = self.class_row(class_name)
        left_s = self._oldest_arrival(class_name) + row.first_token_ms / 1000 - now
        return left_s / row.weight if left_s > 0 else math.inf

    def _has_enough_credit(self, class_name: str) -> bool:
        load = self.stats(class_name)
        needed_s = min(load.slot_time_s.value or SHARE_CREDIT_CAP_S, SHARE_CREDIT_CAP_S)
        return load.share_credit_s >= needed_s

    def accrue_share_credit(self, total_slots: int, now: float) -> None:
        """Gives each class that has waited its guaranteed share of the slot time since."""
        waiting, self._earning_classes = self._earning_classes, self._queues.waiting_classes()
        last, self._credit_updated_at = self._credit_updated_at, now
        if not waiting:
            return
        passed_s = (now - last) * total_slots * self._policy.guaranteed_share
        weights = sum(self.class_row(name).weight for name in waiting)
        for name in waiting:
            load = self.stats(name)
            earned_s = passed_s * self.class_row(name).weight / weights
            load.share_credit_s = min(SHARE_CREDIT_CAP_S, load.share_credit_s + earned_s)

    def spend_share_credit(self, class_name: str) -> None:
        """Pays for a slot out of a class's share."""
        load = self.stats(class_name)
        load.share_credit_s -= max(load.slot_time_s.value, MIN_SHARE_COST_S)


def is_queue_deferred(queue: list[QueuedRequest], on_time_since: float, now: float) -> bool:
    """Tells whether a member's work is all late, and none has used up its part of patience."""
    if first_on_time(queue, on_time_since) is not None:
        return False
    oldest = queue[0]
    patience_s = oldest.expires_at - oldest.arrived_at
    return now - oldest.arrived_at < LATE_PATIENCE_SHARE * patience_s
