"""The records of a topic that a VM keeps for others, and the newest value of each key."""

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_RECENT_RECORDS = 400

# A key and its new value, or None if the record deletes the key.
Change = tuple[str, bytes | None]


@dataclass(slots=True)
class RecentRecords:
    """Consecutive records from the offset ``start`` on, and values by key as of the last one."""

    start: int = 0
    values_by_key: dict[str, bytes] = field(default_factory=dict)
    _records: list[Change] = field(default_factory=list)

    def extend(self, start: int, records: Iterable[Change]) -> None:
        """Adds records; those before a gap are dropped, as are the oldest beyond the limit."""
        records = tuple(records)
        if self.start + len(self._records) != start:
            self._records.clear()
            self.start = start
        self._records.extend(records)
        excess = len(self._records) - MAX_RECENT_RECORDS
        if excess > 0:
            del self._records[:excess]
            self.start += excess
        self.apply(records)

    def apply(self, records: Iterable[Change]) -> None:
        """Updates the values by key alone."""
        for key, value in records:
            if value is None:
                self.values_by_key.pop(key, None)
            else:
                self.values_by_key[key] = value

    def restart(self, offset: int, records: Iterable[Change]) -> None:
        """Goes on at ``offset`` with the newest records of all keys."""
        self.forget(offset)
        self.values_by_key.clear()
        self.apply(records)

    def forget(self, offset: int) -> None:
        """Keeps no record before ``offset``."""
        self._records.clear()
        self.start = offset

    def since(self, start: int) -> tuple[Change, ...] | None:
        """Returns the records from ``start`` on; None if some of them are not kept."""
        if start < self.start:
            return None
        return tuple(self._records[start - self.start :])
