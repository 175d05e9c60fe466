"""Endpoints that announced their own shutdown, which binds until they start again."""

from collections import OrderedDict
from collections.abc import Iterable

from bluebellpitch.decisions.endpoints import EndpointEntry

MAX_REMEMBERED = 4_096


class LeavingEndpoints:
    """Start times of draining endpoints, by id.

    An entry that calls one of them ready is of an older copy of the store, unless it names a later
    start. Of an endpoint that names no start, its newest entry counts.
    """

    def __init__(self):
        self._started_ms_by_id: OrderedDict[str, int] = OrderedDict()

    def update(self, entries: Iterable[EndpointEntry]) -> frozenset[str]:
        """Records all entries that the store has; returns the ids of the leaving endpoints."""
        started_ms_by_id = self._started_ms_by_id
        entries_by_id = {entry.id: entry for entry in entries}
        for entry in entries_by_id.values():
            if entry.is_draining:
                self._remember(entry)
            elif entry.started_ms > started_ms_by_id.get(entry.id, entry.started_ms):
                del started_ms_by_id[entry.id]
        for id in [id for id, started_ms in started_ms_by_id.items() if not started_ms]:
            if id not in entries_by_id or not entries_by_id[id].is_draining:
                del started_ms_by_id[id]
        return frozenset(started_ms_by_id)

    def _remember(self, entry: EndpointEntry) -> None:
        known_ms = self._started_ms_by_id.get(entry.id, entry.started_ms)
        self._started_ms_by_id[entry.id] = max(known_ms, entry.started_ms)
        if len(self._started_ms_by_id) > MAX_REMEMBERED:
            self._started_ms_by_id.popitem(last=False)
