"""Requests that wait at a broker, by class and member, in order of arrival."""

from bisect import insort
from collections.abc import Callable, Iterator

from bluebellpitch.decisions.slot_grants import QueuedRequest


def queue_order(work: QueuedRequest) -> tuple[bool, float]:
    """Sorts work: what has given its caller tokens goes first, then by arrival."""
    return not work.resumed, work.arrived_at


class RequestQueues:
    """All waiting work of one broker."""

    def __init__(self):
        self.requests_by_id: dict[str, QueuedRequest] = {}
        self._queues_by_class: dict[str, dict[str, list[QueuedRequest]]] = {}
        self._isolated_count = 0

    def add(self, request: QueuedRequest) -> None:
        """Adds work, or puts it in place of the same request's."""
        self.remove(request.request_id)
        self.requests_by_id[request.request_id] = request
        self._isolated_count += bool(request.isolation_level)
        members = self._queues_by_class.setdefault(request.class_name, {})
        insort(members.setdefault(request.member, []), request, key=queue_order)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Takes a request out; None when it does not wait here."""
        work = self.requests_by_id.pop(request_id, None)
        if work is None:
            return None
        self._isolated_count -= bool(work.isolation_level)
        members = self._queues_by_class[work.class_name]
        members[work.member].remove(work)
        if not members[work.member]:
            del members[work.member]
        if not members:
            del self._queues_by_class[work.class_name]
        return work

    def has_isolated(self) -> bool:
        """Tells whether a request waits that endpoints died under."""
        return self._isolated_count > 0

    def waiting_classes(self) -> tuple[str, ...]:
        """Returns the classes with waiting work."""
        return tuple(self._queues_by_class)

    def count(self, class_name: str) -> int:
        """Returns how many of a class wait."""
        return sum(len(queue) for queue in self._queues_by_class.get(class_name, {}).values())

    def member_queues(self, class_name: str) -> Iterator[tuple[str, list[QueuedRequest]]]:
        """Yields members of a class with their waiting work, oldest first."""
        return iter(self._queues_by_class.get(class_name, {}).items())

    def expired(self, now: float) -> list[QueuedRequest]:
        """Returns work whose patience has run out."""
        return [work for work in self.requests_by_id.values() if now >= work.expires_at]

    def next_request(
        self,
        class_name: str,
        member_priority: Callable[[str], float],
        on_time_since: float,
        skip_isolated: bool = False,
    ) -> QueuedRequest | None:
        """Returns the next request of a class, or None.

        ``order`` ranks members, infinity bars one. Work that arrived before ``late_before`` cannot
        be in time any more and goes after all that can.
        """
        ranked = [
            (member_priority(member), member, queue)
            for member, queue in self.member_queues(class_name)
        ]
        allowed = sorted((r for r in ranked if r[0] != float("inf")), key=lambda r: r[:2])
        queues = [queue for _, _, queue in allowed]
        if skip_isolated:
            queues = [
                kept for queue in queues if (kept := [w for w in queue if not w.isolation_level])
            ]
        for queue in queues:
            in_time = first_on_time(queue, on_time_since)
            if in_time is not None:
                return in_time
        return queues[0][0] if queues else None


def first_on_time(queue: list[QueuedRequest], on_time_since: float) -> QueuedRequest | None:
    """Returns the first work that is begun, or arrived at ``late_before`` or later."""
    if queue[0].resumed:
        return queue[0]
    if queue[-1].arrived_at < on_time_since:
        return None
    return next(work for work in queue if work.arrived_at >= on_time_since)
