"""Queued requests of a broker, by class and member, in order of arrival."""

from bisect import insort
from collections.abc import Callable, Iterator

from bluebellpitch.decisions.slot_grants import QueuedRequest


def queue_order(request: QueuedRequest) -> tuple[bool, float]:
    """Sort key: requests whose client has already received tokens first, then by arrival."""
    return not request.resumed, request.arrived_at


class RequestQueues:
    """All queued requests of one broker."""

    def __init__(self):
        self.requests_by_id: dict[str, QueuedRequest] = {}
        self._queues_by_class: dict[str, dict[str, list[QueuedRequest]]] = {}
        self._isolated_count = 0

    def add(self, request: QueuedRequest) -> None:
        """Adds a request, replacing an entry with the same id."""
        self.remove(request.request_id)
        self.requests_by_id[request.request_id] = request
        self._isolated_count += bool(request.isolation_level)
        members = self._queues_by_class.setdefault(request.class_name, {})
        insort(members.setdefault(request.member, []), request, key=queue_order)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Removes and returns a request, or returns None if it is not queued."""
        request = self.requests_by_id.pop(request_id, None)
        if request is None:
            return None
        self._isolated_count -= bool(request.isolation_level)
        members = self._queues_by_class[request.class_name]
        members[request.member].remove(request)
        if not members[request.member]:
            del members[request.member]
        if not members:
            del self._queues_by_class[request.class_name]
        return request

    def has_isolated(self) -> bool:
        """Returns whether a queued request needs isolation because an endpoint crashed under it."""
        return self._isolated_count > 0

    def waiting_classes(self) -> tuple[str, ...]:
        """Returns the classes that have queued requests."""
        return tuple(self._queues_by_class)

    def count(self, class_name: str) -> int:
        """Returns the number of queued requests of a class."""
        return sum(len(queue) for queue in self._queues_by_class.get(class_name, {}).values())

    def member_queues(self, class_name: str) -> Iterator[tuple[str, list[QueuedRequest]]]:
        """Yields each member of a class with its queue, in queue order."""
        return iter(self._queues_by_class.get(class_name, {}).items())

    def expired(self, now: float) -> list[QueuedRequest]:
        """Returns the requests whose maximum wait has elapsed."""
        return [request for request in self.requests_by_id.values() if now >= request.expires_at]

    def in_order(
        self, class_name: str, member_priority: Callable[[str], float], on_time_since: float
    ) -> Iterator[QueuedRequest]:
        """Yields the requests of a class, the next one first.

        Members with a lower ``member_priority`` go first; infinity excludes a member. Requests that
        arrived before ``on_time_since`` can no longer meet their target and go after all others.
        """
        ranked = [
            (member_priority(member), member, queue)
            for member, queue in self.member_queues(class_name)
        ]
        allowed = sorted((r for r in ranked if r[0] != float("inf")), key=lambda r: r[:2])
        for is_late in (False, True):
            for _, _, queue in allowed:
                yield from (r for r in queue if is_too_late(r, on_time_since) == is_late)


def is_too_late(request: QueuedRequest, on_time_since: float) -> bool:
    """Returns whether a request goes after all others; a resumed one never does."""
    return not request.resumed and request.arrived_at < on_time_since


def first_on_time(queue: list[QueuedRequest], on_time_since: float) -> QueuedRequest | None:
    """Returns the first request that is resumed or arrived at ``on_time_since`` or later."""
    if queue[0].resumed:
        return queue[0]
    if queue[-1].arrived_at < on_time_since:
        return None
    return next(request for request in queue if request.arrived_at >= on_time_since)
