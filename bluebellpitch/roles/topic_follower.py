"""Follows a keyed topic of the store, together with the other VMs of the zone."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.decisions.confirmation import CONFIRMED_MAX_AGE_S, Confirmation
from bluebellpitch.decisions.freshness import read_valid_at
from bluebellpitch.decisions.recent_records import RecentRecords
from bluebellpitch.decisions.store_era import StoreEra, is_other_era
from bluebellpitch.decisions.store_outage import StoreOutage
from bluebellpitch.errors import BluebellpitchError, ProtocolError
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.platform_messages import RecordsRequest, RecordsUpdate
from bluebellpitch.platform.records import KeyedRecord
from bluebellpitch.platform.store import StoreClient, decode_keyed_records, has_offset

# How long the zone's reader has to send the records that this VM missed, once it is asked.
GAP_PATIENCE_S = 0.45
# Start of a request by a VM that holds no position in the topic.
NO_OFFSET = -1


class TopicFollower:
    """Reads a keyed topic incrementally and recovers from outages of the store.

    One VM of a zone, the reader, polls the store and sends the records to the others. A VM whose
    records are not confirmed in time polls the store itself and sends what it reads too, since the
    store may refuse the reader but serve other VMs.

    ``confirmation`` is when this VM was last known to hold all records: from its own read of the
    store, or from a peer's reply whose age goes back to such a read. Records that merely arrive do
    not confirm anything: they may have waited in a queue.

    Records missed between two updates leave a gap: the reader of the zone is asked for all of them,
    and the store only if the reader does not answer in time. Where only the newest value of
    ``only_key`` matters, an update that holds it closes the gap.

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
        only_key: str | None = None,
    ):
        self._client = client
        self._only_key = only_key
        self.topic = topic
        self._long_poll_s = long_poll_s
        self._now = now
        self._is_zone_reader = is_zone_reader
        self._publish = publish
        self._metrics = metrics
        self._store_era = store_era
        self._era: int | None = None
        self._next_offset: int | None = None
        self._close_gap()
        self.outage = StoreOutage()
        self.confirmation = Confirmation()
        self._confirmed = asyncio.Event()
        self._recent = RecentRecords()

    def age_s(self, now: float) -> float:
        """Returns the time since this VM was last known to hold all records."""
        return self.confirmation.age_s(now)

    def confirm_by_peer(self, confirmed_at: float, is_by_reader: bool = False) -> None:
        """Records that, according to a peer, this VM held all records at ``confirmed_at``.

        ``is_by_reader`` is set if that goes back to a read of the zone's reader, by itself.
        """
        if self.confirmation.record_peer(confirmed_at, is_by_reader):
            self._announce_confirmed()
        self._record_answer(confirmed_at, "peer")

    def is_confirmed_by_reader(self) -> bool:
        """Returns whether this VM is the reader of its zone and confirmed by its own read."""
        return self._is_zone_reader() and self.confirmation.is_own_read()

    def _announce_confirmed(self) -> None:
        self._close_gap()
        self._confirmed.set()
        self._confirmed = asyncio.Event()

    async def wait_confirmed(self) -> None:
        """Waits until the records are confirmed the next time."""
        await self._confirmed.wait()

    def is_updated_by_peers(self) -> bool:
        """Returns whether peers make it unnecessary for this VM to read the store.

        What it read itself does not count: while the reader is away, it goes on reading for others.
        """
        now = self._now()
        if self._is_zone_reader() or self._next_offset is None or now > self._gap_patience_until:
            return False
        return self.confirmation.is_kept_by_peers(now)

    def _restart_at(
        self, era: int | None, offset: int, records: Iterable[tuple[str, bytes | None]]
    ) -> None:
        """Continues at ``offset`` with the newest records of all keys."""
        if is_other_era(self._era, era):
            log("WARNING", "store_restored", topic=self.topic, era=era, was=self._era, next=offset)
            self.outage.record_restored(self._now())
        self._era = era if era is not None else self._era
        self._next_offset = offset
        self._recent.restart(offset, records)

    def request_to_peers(self, reply_to: str) -> RecordsRequest:
        """Returns the request for the records that this VM lacks."""
        start = NO_OFFSET if self._next_offset is None else self._next_offset
        return RecordsRequest(
            self.topic, start, reply_to, self._now(), needs_all=self.has_gap, era=self._era
        )

    def is_cut_off(self) -> bool:
        """Returns whether this VM can neither read the store nor follow its zone's reader."""
        return (
            self.outage.failing_since is not None and self.age_s(self._now()) > CONFIRMED_MAX_AGE_S
        )

    def reply_to_peer(self, request: RecordsRequest) -> RecordsUpdate | None:
        """Returns the requested records with their age, or None if they would not help the peer."""
        age_s, start = self.age_s(self._now()), request.start
        if self._next_offset is None or self.has_gap or age_s > CONFIRMED_MAX_AGE_S:
            return None
        records, is_complete = None, False
        if not is_other_era(request.era, self._era) and start <= self._next_offset:
            records = self._recent.since(start)
        if records is None and request.needs_all:
            start, records = self._next_offset, tuple(self._recent.values_by_key.items())
            is_complete = True
        if records is None:
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
            self.is_confirmed_by_reader(),
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
        if is_other_era(update.era, self._era):
            self._record_gap(update)
            return ()
        if update.start > self._next_offset:
            if not self._holds_only_key(update):
                self._record_gap(update)
                return ()
            self._next_offset = update.start
        records = update.records[self._next_offset - update.start :]
        if update.next > self._next_offset:
            self._recent.extend(self._next_offset, records)
            self._next_offset = update.next
        if update.asked_at is not None and update.next == self._next_offset:
            self.confirm_by_peer(update.asked_at - update.age_s, update.is_by_reader)
        return tuple(KeyedRecord(key, value) for key, value in records)

    def _holds_only_key(self, update: RecordsUpdate) -> bool:
        return any(key == self._only_key and value for key, value in update.records)

    def _is_past(self, era: int | None) -> bool:
        is_lower = era is not None and self._era is not None and era < self._era
        return is_lower or self._store_era.is_past(era)

    def _accept_all_records(self, update: RecordsUpdate) -> tuple[KeyedRecord, ...]:
        confirmed_at = update.asked_at - update.age_s
        if confirmed_at <= self.confirmation.confirmed_at and not self._closes_gap(update):
            return ()
        removed = self._recent.values_by_key.keys() - {key for key, _ in update.records}
        self._restart_at(update.era, update.next, update.records)
        self._close_gap()
        self.confirm_by_peer(confirmed_at, update.is_by_reader)
        records = (*((key, None) for key in removed), *update.records)
        return tuple(KeyedRecord(key, value) for key, value in records)

    def _closes_gap(self, update: RecordsUpdate) -> bool:
        if not self.has_gap or is_other_era(update.era, self._era):
            return False
        return self._next_offset is not None and update.next > self._next_offset

    def _record_gap(self, update: RecordsUpdate) -> None:
        if not self.has_gap:
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
            # Peers do not pass on the only key's records, nor those of an era unknown to them.
            is_for_store = self._only_key is not None or is_other_era(update.era, self._era)
            self._gap_patience_until = self._now() + (0.0 if is_for_store else GAP_PATIENCE_S)
        self.has_gap = True

    def _close_gap(self) -> None:
        self.has_gap = False
        self._gap_patience_until = float("inf")

    async def read(self) -> tuple[tuple[KeyedRecord, ...], bool, float] | None:
        """Reads records from the store.

        Returns the records, whether they cover all keys, and the time as of which they are
        complete; None after a failure.
        """
        try:
            if self._next_offset is not None:
                result = await self._read_next_page(self._now())
            if self._next_offset is None:
                requested_at = self._now()
                result = (await self._read_all(), True, requested_at)
        except BluebellpitchError as error:
            self._record_failure(error)
            return None
        self._metrics.store_calls.labels(self.topic, "answered").inc()
        self._record_answer(self._now(), "store")
        if self.confirmation.record_read(result[2]):
            self._announce_confirmed()
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
        if not unreadable and not self.has_gap:
            pairs = tuple((record.key, record.value) for record in records)
            self._publish(RecordsUpdate(self.topic, start, end, pairs, era=self._era))
        known_at = read_valid_at(requested_at, self._now(), wait_s, not page.records)
        if unreadable:
            # Peers are sent none of these any more: some of them cannot be read.
            self._recent.forget(end)
            self._recent.apply((record.key, record.value) for record in records)
        else:
            records = self._skip_known(start, records)
        self._next_offset = max(end, self._next_offset or 0)
        return records, False, known_at if end >= page.end_offset else float("-inf")

    def _skip_known(self, start: int, records: tuple[KeyedRecord, ...]) -> tuple[KeyedRecord, ...]:
        """Returns the records that no peer has sent during the read: older ones must not return."""
        new = records[max(0, (self._next_offset or 0) - start) :]
        if new:
            pairs = tuple((record.key, record.value) for record in new)
            self._recent.extend(start + len(records) - len(new), pairs)
        return new

    def _record_failure(self, error: Exception) -> None:
        self._metrics.store_calls.labels(self.topic, "failed").inc()
        if self.outage.record_failure(self._now()):
            log("WARNING", "store_lost", topic=self.topic, error=error)

    def _record_answer(self, answered_at: float, source: str) -> None:
        """Records that the store answered this VM, or a peer that told of it."""
        outage_s = self.outage.record_answer(answered_at)
        if outage_s is not None:
            away_s = f"{outage_s:.2f}"
            log("INFO", "store_regained", topic=self.topic, source=source, away_s=away_s)


def reader_role(topic: str) -> str:
    """Returns the role of reading a topic from the store on behalf of the zone.

    The text decides which VM holds the role, so all VMs of a zone must form it alike.
    """
    return f"reads {topic}"
