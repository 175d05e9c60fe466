"""In which order classes are served: tiers, lateness, slack over weight, and guaranteed shares."""

import math
from dataclasses import dataclass

from bluebellpitch.constants import GUARANTEED_SHARE, LATE_PATIENCE_SHARE, MAX_SHARE_CREDIT_S
from bluebellpitch.decisions.queues import WaitingQueues, first_in_time
from bluebellpitch.decisions.rows import ClassRow
from bluebellpitch.decisions.work import ClassLoad, Waiting

LEAST_SHARE_SPENT_S = 0.01
UNKNOWN_TIER = 1 << 20


@dataclass(frozen=True, slots=True)
class Policy:
    """What may be switched off, for measurement against baselines."""

    guaranteed_share: float = GUARANTEED_SHARE
    preempt: bool = True
    strict_tiers: bool = True
    prefer_in_time: bool = True
    judge_health: bool = True


class ServiceOrder:
    """Ranks the classes that wait at one broker, and keeps what was seen of each."""

    def __init__(self, queues: WaitingQueues, policy: Policy):
        self._queues = queues
        self._policy = policy
        self._rows_by_name: dict[str, ClassRow] = {}
        self.loads_by_class: dict[str, ClassLoad] = {}
        self._earned_at = 0.0
        self._waited: tuple[str, ...] = ()
        self.highest_tier = 0

    def set_classes(self, rows_by_name: dict[str, ClassRow]) -> None:
        """Takes the table's classes."""
        self._rows_by_name = rows_by_name
        self.highest_tier = min((row.tier for row in rows_by_name.values()), default=0)

    def load(self, class_name: str) -> ClassLoad:
        """Returns what was seen of a class."""
        if class_name not in self.loads_by_class:
            self.loads_by_class[class_name] = ClassLoad()
        return self.loads_by_class[class_name]

    def row(self, name: str) -> ClassRow:
        """Returns a class; one that is gone from the table ranks below all others."""
        unknown = ClassRow(name, UNKNOWN_TIER, 1.0, 1000.0, 1000.0, 1000.0)
        return self._rows_by_name.get(name, unknown)

    def tier(self, class_name: str) -> int:
        """Returns a class's tier."""
        return self.row(class_name).tier

    def lowest_waiting_tier(self) -> int:
        """Returns the lowest tier that has work waiting."""
        return max(map(self.tier, self._queues.classes()), default=0)

    def rank_classes(self, now: float, contended: bool) -> list[tuple[str, bool]]:
        """Returns waiting classes in order; True marks a slot out of the guaranteed share.

        While there is a slot for everybody nobody needs its share.
        """
        names = self._queues.classes()
        if not self._policy.strict_tiers:
            return [(name, False) for name in sorted(names, key=self._oldest)]
        due = [name for name in names if self._is_share_due(name)] if contended else []
        due.sort(key=lambda name: -self.load(name).share_credit_s)
        ranked = sorted(names, key=lambda name: self._rank(name, now))
        return [(name, True) for name in due] + [(name, False) for name in ranked]

    def _rank(self, class_name: str, now: float) -> tuple[bool, int, float]:
        """Ranks a class: by tier, then slack. A class that can only be late goes last for a while.

        Late work is only delayed: it is back in its tier's place before its patience runs out.
        """
        late = self.is_late(class_name, now)
        return late, self.tier(class_name), self._slack(class_name, now)

    def is_late(self, class_name: str, now: float) -> bool:
        """Tells whether all that waits of a class is late, and may be left so for a while."""
        if not self._policy.prefer_in_time:
            return False
        late_before = self.late_before(class_name, now)
        queues = (queue for _, queue in self._queues.members(class_name))
        return all(is_late(queue, late_before, now) for queue in queues)

    def late_before(self, class_name: str, now: float) -> float:
        """Returns when work must have arrived to be in time yet."""
        if not self._policy.prefer_in_time:
            return -math.inf
        target_s = self.row(class_name).first_token_ms / 1000
        return now - target_s + self.load(class_name).first_s.value

    def _oldest(self, class_name: str) -> float:
        return min(queue[0].arrived_at for _, queue in self._queues.members(class_name))

    def _slack(self, class_name: str, now: float) -> float:
        """Returns time left to the target of the oldest work, over weight; late work goes last."""
        row = self.row(class_name)
        left_s = self._oldest(class_name) + row.first_token_ms / 1000 - now
        return left_s / row.weight if left_s > 0 else math.inf

    def _is_share_due(self, class_name: str) -> bool:
        load = self.load(class_name)
        needed_s = min(load.slot_s.value or MAX_SHARE_CREDIT_S, MAX_SHARE_CREDIT_S)
        return load.share_credit_s >= needed_s

    def earn_shares(self, total_slots: int, now: float) -> None:
        """Gives each class that has waited its guaranteed share of the slot time since."""
        waiting, self._waited = self._waited, self._queues.classes()
        last, self._earned_at = self._earned_at, now
        if not waiting:
            return
        passed_s = (now - last) * total_slots * self._policy.guaranteed_share
        weights = sum(self.row(name).weight for name in waiting)
        for name in waiting:
            load = self.load(name)
            earned_s = passed_s * self.row(name).weight / weights
            load.share_credit_s = min(MAX_SHARE_CREDIT_S, load.share_credit_s + earned_s)

    def spend_share(self, class_name: str) -> None:
        """Pays for a slot out of a class's share."""
        load = self.load(class_name)
        load.share_credit_s -= max(load.slot_s.value, LEAST_SHARE_SPENT_S)


def is_late(queue: list[Waiting], late_before: float, now: float) -> bool:
    """Tells whether a member's work is all late, and none has used up its part of patience."""
    if first_in_time(queue, late_before) is not None:
        return False
    oldest = queue[0]
    patience_s = oldest.expires_at - oldest.arrived_at
    return now - oldest.arrived_at < LATE_PATIENCE_SHARE * patience_s
