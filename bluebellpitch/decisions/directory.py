"""Endpoints known to this VM, from their registrations in the store."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from bluebellpitch.decisions.endpoints import EndpointEntry

# How long an entry that expired during a store outage is still used.
ENTRY_EXPIRY_GRACE_S = 2.2
MAX_REMEMBERED_REMOVALS = 4_096


@dataclass(slots=True)
class EndpointDirectory:
    """Entries by id. Times are seconds of the owner's clock.

    What an incarnation has announced binds until the endpoint starts again: the store may come back
    from a copy in which a draining or removed endpoint is still ready.
    """

    entries_by_id: dict[str, EndpointEntry] = field(default_factory=dict)
    _grace_until: dict[str, float] = field(default_factory=dict)
    _replaced: dict[str, EndpointEntry] = field(default_factory=dict)
    _removed: OrderedDict[str, EndpointEntry] = field(default_factory=OrderedDict)

    def update(self, entry: EndpointEntry) -> bool:
        """Adds or replaces an entry; returns whether that changed anything.

        An entry that was marked as replaced is ignored until it changes.
        """
        known = self.entries_by_id.get(entry.id)
        if self._is_outdated(entry, known):
            return False
        self._grace_until.pop(entry.id, None)
        if self._replaced.get(entry.id) == entry:
            return False
        self._replaced.pop(entry.id, None)
        self._removed.pop(entry.id, None)
        self.entries_by_id[entry.id] = entry
        return known != entry

    def _is_outdated(self, entry: EndpointEntry, known: EndpointEntry | None) -> bool:
        if known is not None:
            if entry.is_older_than(known):
                return True
            is_same_start = known.started_ms == entry.started_ms
            return is_same_start and known.is_draining and not entry.is_draining
        removed = self._removed.get(entry.id)
        if removed is None or entry.started_ms > removed.started_ms:
            return False
        if entry.started_ms < removed.started_ms or removed.is_draining:
            return True
        return 0 < entry.sequence <= removed.sequence

    def remove(self, endpoint_id: str, store_was_unavailable: bool, now: float) -> bool:
        """Removes an entry, after a grace period if it expired during a store outage.

        Returns whether it was removed at once. A draining endpoint gets no grace period.
        """
        if endpoint_id not in self.entries_by_id:
            return False
        if store_was_unavailable and not self.entries_by_id[endpoint_id].is_draining:
            self._grace_until.setdefault(endpoint_id, now + ENTRY_EXPIRY_GRACE_S)
            return False
        self._delete(endpoint_id)
        return True

    def is_lapsing(self, endpoint_id: str) -> bool:
        """Returns whether an entry was removed, but is still used until its grace period ends."""
        return endpoint_id in self._grace_until

    def mark_leaving(self, entry: EndpointEntry) -> bool:
        """Records that an incarnation said that it leaves; returns whether that is news."""
        known = self.entries_by_id.get(entry.id) or self._removed.get(entry.id)
        if known is not None and known.started_ms > entry.started_ms:
            return False
        if known is not None and known.started_ms == entry.started_ms and known.is_draining:
            return False
        sequence = known.sequence if known is not None else entry.sequence
        leaving = replace(entry, is_draining=True, sequence=sequence)
        if entry.id in self.entries_by_id:
            self._grace_until.pop(entry.id, None)
            self.entries_by_id[entry.id] = leaving
        else:
            self._remember_removed(leaving)
        return True

    def mark_replaced(self, entry: EndpointEntry) -> None:
        """Removes an entry, because another endpoint answers at its address."""
        known = self.entries_by_id.get(entry.id)
        if known and (known.address, known.started_ms) == (entry.address, entry.started_ms):
            self._replaced[entry.id] = known
            self._delete(entry.id)

    def expire(self, now: float) -> list[str]:
        """Removes entries whose grace period has ended; returns their ids."""
        expired = [id for id, until in self._grace_until.items() if now >= until]
        for endpoint_id in expired:
            self._delete(endpoint_id)
        return expired

    def _delete(self, endpoint_id: str) -> None:
        removed = self.entries_by_id.pop(endpoint_id, None)
        self._grace_until.pop(endpoint_id, None)
        if removed is None:
            return
        self._remember_removed(removed)

    def _remember_removed(self, removed: EndpointEntry) -> None:
        self._removed[removed.id] = removed
        self._removed.move_to_end(removed.id)
        if len(self._removed) > MAX_REMEMBERED_REMOVALS:
            dropped, _ = self._removed.popitem(last=False)
            self._replaced.pop(dropped, None)

    def has_left(self, entry: EndpointEntry) -> bool:
        """Returns whether an endpoint chosen earlier, or by another VM, must get no new work.

        One that was never known here may be new: another VM may have heard of it first.
        """
        known = self.entries_by_id.get(entry.id)
        if known is None:
            removed = self._removed.get(entry.id)
            return removed is not None and entry.started_ms <= removed.started_ms
        if known.started_ms != entry.started_ms:
            return known.started_ms > entry.started_ms
        return known.is_draining

    def usable_endpoints(self, pool: str) -> Iterator[EndpointEntry]:
        """Yields the endpoints of a pool that accept new work."""
        return (
            entry
            for entry in self.entries_by_id.values()
            if entry.pool == pool and not entry.is_draining
        )
