"""Endpoints that announced their own shutdown, which binds until they start again."""

from collections import OrderedDict
from collections.abc import Iterable

from bluebellpitch.decisions.endpoints import EndpointEntry

MAX_REMEMBERED = 4_096


class LeavingEndpoints:
    """Start times of leaving endpoints, by id.

    An entry that calls one of them ready is of an older copy of the store, unless it names a later
    start. Of an endpoint that names no start, its newest entry counts, but not against what the
    endpoint said itself in an answer.
    """

    def __init__(self):
        self._started_ms_by_id: OrderedDict[str, int] = OrderedDict()
        self._told_ids: set[str] = set()
        self._entries_by_id: dict[str, EndpointEntry] = {}

    def update(self, entries: Iterable[EndpointEntry]) -> frozenset[str]:
        """Records all entries that the store has; returns the ids of the leaving endpoints."""
        self._entries_by_id = {entry.id: entry for entry in entries}
        for entry in self._entries_by_id.values():
            if entry.is_draining:
                self._remember(entry.id, entry.started_ms)
            elif entry.started_ms > self._started_ms_by_id.get(entry.id, entry.started_ms):
                self._forget(entry.id)
        for id, started_ms in list(self._started_ms_by_id.items()):
            entry = self._entries_by_id.get(id)
            is_draining = entry is not None and entry.is_draining
            if not started_ms and not is_draining and id not in self._told_ids:
                self._forget(id)
        return frozenset(self._started_ms_by_id)

    def mark(self, endpoint_id: str) -> frozenset[str]:
        """Records that an endpoint said that it leaves; returns the ids of the leaving ones."""
        entry = self._entries_by_id.get(endpoint_id)
        self._told_ids.add(endpoint_id)
        self._remember(endpoint_id, entry.started_ms if entry else 0)
        return frozenset(self._started_ms_by_id)

    def _remember(self, endpoint_id: str, started_ms: int) -> None:
        known_ms = self._started_ms_by_id.get(endpoint_id, started_ms)
        self._started_ms_by_id[endpoint_id] = max(known_ms, started_ms)
        if len(self._started_ms_by_id) > MAX_REMEMBERED:
            self._forget(next(iter(self._started_ms_by_id)))

    def _forget(self, endpoint_id: str) -> None:
        del self._started_ms_by_id[endpoint_id]
        self._told_ids.discard(endpoint_id)
