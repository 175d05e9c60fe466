"""Follows a keyed topic of the store, together with the other VMs of the zone."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.decisions.freshness import read_valid_at
from bluebellpitch.decisions.store_era import StoreEra, is_other_era
from bluebellpitch.errors import BluebellpitchError, ProtocolError
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.platform_messages import RecordsRequest, RecordsUpdate
from bluebellpitch.platform.records import KeyedRecord, Page
from bluebellpitch.platform.store import StoreClient, Truncated, decode_keyed_records

# While a peer confirmed its records no longer ago than this, a VM leaves the store to others.
CONFIRMED_MAX_AGE_S = 1.8
MAX_RECENT_RECORDS = 400
# A shorter outage is too brief for entries to expire, so removals after it count as genuine.
MIN_OUTAGE_S = 1.0
# Start of a request by a VM that holds no position in the topic.
NO_OFFSET = -1


class TopicFollower:
    """Reads a keyed topic incrementally and recovers from outages of the store.

    One VM of a zone, the reader, polls the store and sends the records to the others. A VM whose
    records are not confirmed in time polls the store itself and sends what it reads too, since the
    store may refuse the reader but serve other VMs.

    ``confirmed_at`` is the latest time as of which this VM is known to hold all records: from its
    own read of the store, or from a peer's reply whose age goes back to such a read. Records that
    merely arrive do not confirm anything: they may have waited in a queue.

    Offsets count from ``_era`` on. When the store comes back from a copy, the newest records of all
    keys are read again, and what peers send of another era is not applied.
    """

    def __init__(
        self,
        client: StoreClient,
        topic: str,
        long_poll_s: float,
        now: Callable[[], float],
        is_zone_reader: Callable[[], bool],
        publish: Callable[[RecordsUpdate], None],
        metrics: Metrics,
        store_era: StoreEra,
    ):
        self._client = client
        self.topic = topic
        self._long_poll_s = long_poll_s
        self._now = now
        self._is_zone_reader = is_zone_reader
        self._publish = publish
        self._metrics = metrics
        self._store_era = store_era
        self._era: int | None = None
        self._next_offset: int | None = None
        self._has_gap = False
        self._failing_since: float | None = None
        self.recovered_at = float("-inf")
        self.confirmed_at = float("-inf")
        self._peer_confirmed_at = float("-inf")
        self._confirmed = asyncio.Event()
        self._recent_records: list[tuple[str, bytes | None]] = []
        self._recent_start = 0
        self._values_by_key: dict[str, bytes] = {}

    def had_recent_outage(self, now: float, within_s: float) -> bool:
        """Returns whether the store is out of reach or recovered less than ``within_s`` ago."""
        return self._failing_since is not None or now - self.recovered_at < within_s

    def age_s(self, now: float) -> float:
        """Returns the time since this VM was last known to hold all records."""
        return now - self.confirmed_at

    def confirm_by_peer(self, confirmed_at: float) -> None:
        """Records that, according to a peer, this VM held all records at ``confirmed_at``.

        A time that is not later than the one known here may go back to this VM's own read.
        """
        if confirmed_at > self.confirmed_at:
            self._peer_confirmed_at = confirmed_at
            self._confirm(confirmed_at)

    def _confirm(self, confirmed_at: float) -> None:
        if confirmed_at <= self.confirmed_at:
            return
        self.confirmed_at = confirmed_at
        self._has_gap = False
        self._confirmed.set()
        self._confirmed = asyncio.Event()

    async def wait_confirmed(self) -> None:
        """Waits until the records are confirmed the next time."""
        await self._confirmed.wait()

    def is_updated_by_peers(self) -> bool:
        """Returns whether peers make it unnecessary for this VM to read the store.

        What it read itself does not count: while the reader is away, it goes on reading for others.
        """
        if self._is_zone_reader() or self._next_offset is None or self._has_gap:
            return False
        return self._now() - self._peer_confirmed_at < CONFIRMED_MAX_AGE_S

    def _keep_recent(self, start: int, records: tuple[tuple[str, bytes | None], ...]) -> None:
        if self._recent_start + len(self._recent_records) != start:
            self._recent_records.clear()
            self._recent_start = start
        self._recent_records.extend(records)
        excess = len(self._recent_records) - MAX_RECENT_RECORDS
        if excess > 0:
            del self._recent_records[:excess]
            self._recent_start += excess
        self._keep_values(records)

    def _keep_values(self, records: Iterable[tuple[str, bytes | None]]) -> None:
        for key, value in records:
            if value is None:
                self._values_by_key.pop(key, None)
            else:
                self._values_by_key[key] = value

    def _restart_at(
        self, era: int | None, offset: int, records: Iterable[tuple[str, bytes | None]]
    ) -> None:
        """Continues at ``offset`` with the newest records of all keys."""
        if is_other_era(self._era, era):
            log("WARNING", "store_restored", topic=self.topic, era=era, was=self._era, next=offset)
            self.recovered_at = self._now()
        self._era = era if era is not None else self._era
        self._next_offset = offset
        self._recent_records.clear()
        self._recent_start = offset
        self._values_by_key.clear()
        self._keep_values(records)

    def request_to_peers(self, reply_to: str) -> RecordsRequest:
        """Returns the request for the records that this VM lacks."""
        start = NO_OFFSET if self._next_offset is None else self._next_offset
        return RecordsRequest(self.topic, start, reply_to, self._now(), era=self._era)

    def is_cut_off(self) -> bool:
        """Returns whether this VM can neither read the store nor follow its zone's reader."""
        return self._failing_since is not None and self.age_s(self._now()) > CONFIRMED_MAX_AGE_S

    def reply_to_peer(self, request: RecordsRequest) -> RecordsUpdate | None:
        """Returns the requested records with their age, or None if they would not help the peer."""
        age_s, start = self.age_s(self._now()), request.start
        if self._next_offset is None or self._has_gap or age_s > CONFIRMED_MAX_AGE_S:
            return None
        is_known = not is_other_era(request.era, self._era)
        if is_known and self._recent_start <= start <= self._next_offset:
            records = tuple(self._recent_records[start - self._recent_start :])
            is_complete = False
        elif request.needs_all:
            start, records = self._next_offset, tuple(self._values_by_key.items())
            is_complete = True
        else:
            return None
        return RecordsUpdate(
            self.topic,
            start,
            self._next_offset,
            records,
            request.asked_at,
            age_s,
            is_complete,
            self._era,
        )

    def accept_peer_records(self, update: RecordsUpdate) -> tuple[KeyedRecord, ...]:
        """Accepts an update and returns its new records; none if there is a gap before them.

        An update of a past era says nothing, and one of a new era leaves a gap.
        """
        if update.era is not None:
            self._store_era.observe(update.era, self._now())
        if self._is_past(update.era):
            log("INFO", "records_of_past_era", topic=self.topic, era=update.era, own=self._era)
            return ()
        if update.is_complete:
            return self._accept_all_records(update)
        if self._next_offset is None:
            return ()
        if is_other_era(update.era, self._era) or update.start > self._next_offset:
            self._record_gap(update)
            return ()
        records = update.records[self._next_offset - update.start :]
        if update.next > self._next_offset:
            self._keep_recent(self._next_offset, records)
            self._next_offset = update.next
        if update.asked_at is not None and update.next == self._next_offset:
            self.confirm_by_peer(update.asked_at - update.age_s)
        return tuple(KeyedRecord(key, value) for key, value in records)

    def _is_past(self, era: int | None) -> bool:
        is_lower = era is not None and self._era is not None and era < self._era
        return is_lower or self._store_era.is_past(era)

    def _accept_all_records(self, update: RecordsUpdate) -> tuple[KeyedRecord, ...]:
        confirmed_at = update.asked_at - update.age_s
        if confirmed_at <= self.confirmed_at:
            return ()
        removed = self._values_by_key.keys() - {key for key, _ in update.records}
        self._restart_at(update.era, update.next, update.records)
        self.confirm_by_peer(confirmed_at)
        records = (*((key, None) for key in removed), *update.records)
        return tuple(KeyedRecord(key, value) for key, value in records)

    def _record_gap(self, update: RecordsUpdate) -> None:
        if not self._has_gap:
            log(
                "WARNING",
                "records_missed",
                topic=self.topic,
                start=update.start,
                own_next=self._next_offset,
                era=update.era,
                own_era=self._era,
                age_s=f"{self.age_s(self._now()):.2f}",
            )
        self._has_gap = True

    async def read(self) -> tuple[tuple[KeyedRecord, ...], bool, float] | None:
        """Reads records from the store.

        Returns the records, whether they cover all keys, and the time as of which they are
        complete; None after a failure.
        """
        requested_at = self._now()
        try:
            if self._next_offset is None:
                result = (await self._read_all(), True, requested_at)
            else:
                result = await self._read_next_page(requested_at)
        except BluebellpitchError as error:
            self._record_failure(error)
            return None
        self._record_success()
        self._confirm(result[2])
        return result

    async def _read_all(self) -> tuple[KeyedRecord, ...]:
        """Reads the newest record of each key; says of a new era to the zone."""
        newest = await self._client.read_newest(self.topic)
        self._check_not_past(newest.era)
        is_new_era = is_other_era(newest.era, self._era)
        pairs = ((record.key, record.value) for record in newest.records)
        self._restart_at(newest.era, newest.next_offset, pairs)
        if is_new_era:
            start = newest.next_offset
            self._publish(RecordsUpdate(self.topic, start, start, (), era=newest.era))
        return newest.records

    def _check_not_past(self, era: int | None) -> None:
        if self._is_past(era):
            raise ProtocolError("the answer is from before the store came back from a copy")

    async def _read_next_page(self, requested_at: float):
        start = self._next_offset
        # Old records are confirmed at once rather than after a wait for newer ones.
        is_current = self.age_s(requested_at) < CONFIRMED_MAX_AGE_S
        wait_s = self._long_poll_s if is_current else 0.0
        read_era = self._era
        page = await self._client.read(self.topic, start, int(wait_s * 1000))
        self._check_not_past(page.era)
        if is_other_era(read_era, self._era):
            return (), False, float("-inf")
        if is_other_era(page.era, self._era) or not has_offset(page, start):
            log("WARNING", "store_truncated", topic=self.topic, wanted=start, era=page.era)
            self._next_offset = None
            return (), False, float("-inf")
        records, unreadable = decode_keyed_records(page)
        if unreadable:
            log("WARNING", "records_unreadable", topic=self.topic, count=unreadable)
        end = start + len(page.records)
        # What this VM alone had missed, the others have got from whoever read it first.
        if not unreadable and not self._has_gap:
            pairs = tuple((record.key, record.value) for record in records)
            self._publish(RecordsUpdate(self.topic, start, end, pairs, era=self._era))
        known_at = read_valid_at(requested_at, self._now(), wait_s, not page.records)
        if unreadable:
            self._forget_recent(end, records)
        else:
            records = self._skip_known(start, records)
        self._next_offset = max(end, self._next_offset or 0)
        return records, False, known_at if end >= page.end_offset else float("-inf")

    def _forget_recent(self, end: int, records: tuple[KeyedRecord, ...]) -> None:
        """Sends no peer the records up to ``end`` any more: some of them cannot be read."""
        self._recent_records.clear()
        self._recent_start = end
        self._keep_values((record.key, record.value) for record in records)

    def _skip_known(self, start: int, records: tuple[KeyedRecord, ...]) -> tuple[KeyedRecord, ...]:
        """Returns the records that no peer has sent during the read: older ones must not return."""
        new = records[max(0, (self._next_offset or 0) - start) :]
        if new:
            pairs = tuple((record.key, record.value) for record in new)
            self._keep_recent(start + len(records) - len(new), pairs)
        return new

    def _record_failure(self, error: Exception) -> None:
        self._metrics.store_calls.labels(self.topic, "failed").inc()
        if self._failing_since is None:
            self._failing_since = self._now()
            log("WARNING", "store_lost", topic=self.topic, error=error)

    def _record_success(self) -> None:
        self._metrics.store_calls.labels(self.topic, "answered").inc()
        if self._failing_since is None:
            return
        outage_s = self._now() - self._failing_since
        self._failing_since = None
        if outage_s >= MIN_OUTAGE_S:
            self.recovered_at = self._now()
        log("INFO", "store_regained", topic=self.topic, away_s=f"{outage_s:.2f}")


def has_offset(page: Page | Truncated, start: int) -> bool:
    """Returns whether the topic has the records that were read from ``start`` on."""
    return isinstance(page, Page) and page.oldest_offset <= start <= page.end_offset


def reader_role(topic: str) -> str:
    """Returns the role of reading a topic from the store on behalf of the zone.

    The text decides which VM holds the role, so all VMs of a zone must form it alike.
    """
    return f"reads {topic}"
