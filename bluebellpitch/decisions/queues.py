"""Requests that wait at a broker, by class and member, in order of arrival."""

from bisect import insort
from collections.abc import Callable, Iterator

from bluebellpitch.decisions.work import Waiting


def begun_first(work: Waiting) -> tuple[bool, float]:
    """Sorts work: what has given its caller tokens goes first, then by arrival."""
    return not work.resumed, work.arrived_at


class WaitingQueues:
    """All waiting work of one broker."""

    def __init__(self):
        self.by_request: dict[str, Waiting] = {}
        self._by_class: dict[str, dict[str, list[Waiting]]] = {}
        self._suspects = 0

    def add(self, work: Waiting) -> None:
        """Adds work, or puts it in place of the same request's."""
        self.remove(work.request)
        self.by_request[work.request] = work
        self._suspects += bool(work.suspicion)
        members = self._by_class.setdefault(work.class_name, {})
        insort(members.setdefault(work.member, []), work, key=begun_first)

    def remove(self, request: str) -> Waiting | None:
        """Takes a request out; None when it does not wait here."""
        work = self.by_request.pop(request, None)
        if work is None:
            return None
        self._suspects -= bool(work.suspicion)
        members = self._by_class[work.class_name]
        members[work.member].remove(work)
        if not members[work.member]:
            del members[work.member]
        if not members:
            del self._by_class[work.class_name]
        return work

    def has_suspects(self) -> bool:
        """Tells whether a request waits that endpoints died under."""
        return self._suspects > 0

    def classes(self) -> tuple[str, ...]:
        """Returns the classes with waiting work."""
        return tuple(self._by_class)

    def count(self, class_name: str) -> int:
        """Returns how many of a class wait."""
        return sum(len(queue) for queue in self._by_class.get(class_name, {}).values())

    def members(self, class_name: str) -> Iterator[tuple[str, list[Waiting]]]:
        """Yields members of a class with their waiting work, oldest first."""
        return iter(self._by_class.get(class_name, {}).items())

    def expired(self, now: float) -> list[Waiting]:
        """Returns work whose patience has run out."""
        return [work for work in self.by_request.values() if now >= work.expires_at]

    def pick(
        self,
        class_name: str,
        order: Callable[[str], float],
        late_before: float,
        skip_suspects: bool = False,
    ) -> Waiting | None:
        """Returns the next request of a class, or None.

        ``order`` ranks members, infinity bars one. Work that arrived before ``late_before`` cannot
        be in time any more and goes after all that can.
        """
        ranked = [(order(member), member, queue) for member, queue in self.members(class_name)]
        allowed = sorted((r for r in ranked if r[0] != float("inf")), key=lambda r: r[:2])
        queues = [queue for _, _, queue in allowed]
        if skip_suspects:
            queues = [kept for queue in queues if (kept := [w for w in queue if not w.suspicion])]
        for queue in queues:
            in_time = first_in_time(queue, late_before)
            if in_time is not None:
                return in_time
        return queues[0][0] if queues else None


def first_in_time(queue: list[Waiting], late_before: float) -> Waiting | None:
    """Returns the first work that is begun, or arrived at ``late_before`` or later."""
    if queue[0].resumed:
        return queue[0]
    if queue[-1].arrived_at < late_before:
        return None
    return next(work for work in queue if work.arrived_at >= late_before)
