"""The queued work of one broker, kept so that a long queue costs each request little.

Load pattern: hundreds of prompts of as many members wait while requests arrive and end all the
time, and each of these asks for the order of the queue and for what is ahead in it.
"""

from bisect import insort
from collections import Counter
from collections.abc import KeysView

from bluebellpitch.decisions.generation_decisions import WaitingWork
from bluebellpitch.decisions.shortage.queue_order import QueueOrder, Standing

# Lateness and shares, by which the order changes, are looked at again at this interval.
SORT_INTERVAL_S = 0.02

# Rank, and whether the caller returned as told.
Group = tuple[int, bool]


def group_of(waiting: WaitingWork) -> Group:
    """Returns the group of queued work."""
    return waiting.work.rank, waiting.has_returned


class WaitingQueue:
    """Queued work by id, with sums of prompt tokens that make the wait of one more cheap to tell.

    ``by_id`` is only changed by ``add`` and ``remove``.
    """

    def __init__(self):
        self.by_id: dict[str, WaitingWork] = {}
        self._sorted: list[WaitingWork] = []
        self._sorted_at = float("-inf")
        self._next_deadline = float("inf")
        self._tokens_by_group: Counter[Group] = Counter()
        self._tokens_by_member: dict[str, Counter[Group]] = {}
        self._count_by_member: Counter[str] = Counter()

    def add(self, waiting: WaitingWork, order: QueueOrder) -> None:
        """Queues work, in place of any with the same id."""
        work = waiting.work
        self.remove(work.id)
        self.by_id[work.id] = waiting
        insort(self._sorted, waiting, key=order.key)
        self._next_deadline = min(self._next_deadline, waiting.start_deadline())
        self._tokens_by_group[group_of(waiting)] += work.tokens_in
        self._tokens_by_member.setdefault(work.member, Counter())[
            group_of(waiting)
        ] += work.tokens_in
        self._count_by_member[work.member] += 1

    def remove(self, work_id: str) -> None:
        """Removes work, if it is queued."""
        waiting = self.by_id.pop(work_id, None)
        if waiting is None:
            return
        work = waiting.work
        self._tokens_by_group[group_of(waiting)] -= work.tokens_in
        self._tokens_by_member[work.member][group_of(waiting)] -= work.tokens_in
        self._count_by_member[work.member] -= 1
        if not self._count_by_member[work.member]:
            del self._count_by_member[work.member], self._tokens_by_member[work.member]

    def members(self) -> KeysView[str]:
        """Returns the members whose work is queued."""
        return self._count_by_member.keys()

    def in_order(self, order: QueueOrder) -> list[WaitingWork]:
        """Returns a copy of the queue in its order; some of it may be queued no more."""
        if order.now - self._sorted_at >= SORT_INTERVAL_S:
            self._sorted = sorted(self.by_id.values(), key=order.key)
            self._sorted_at = order.now
        return list(self._sorted)

    def overdue(self, now: float) -> list[WaitingWork]:
        """Returns the work whose start deadline has passed."""
        if now < self._next_deadline:
            return []
        deadlines = (waiting.start_deadline() for waiting in self.by_id.values())
        self._next_deadline = min((at for at in deadlines if at > now), default=float("inf"))
        return [waiting for waiting in self.by_id.values() if now >= waiting.start_deadline()]

    def tokens_ahead(self, waiting: WaitingWork, order: QueueOrder) -> int:
        """Returns the prompt tokens of queued work that goes before other work."""
        own = order.standing(waiting)
        return sum(
            tokens
            for standing, tokens in self._tokens_by_standing(order).items()
            if standing.goes_before(own)
        )

    def _tokens_by_standing(self, order: QueueOrder) -> Counter[Standing]:
        tokens_by_standing: Counter[Standing] = Counter()
        for (rank, returned), tokens in self._tokens_by_group.items():
            tokens_by_standing[Standing(rank, False, returned)] = tokens
        for member in order.members_over_share & self.members():
            for (rank, returned), tokens in self._tokens_by_member[member].items():
                tokens_by_standing[Standing(rank, False, returned)] -= tokens
                tokens_by_standing[Standing(rank, True, returned)] += tokens
        return tokens_by_standing
