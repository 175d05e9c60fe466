"""Follows the configuration and the endpoints' entries in the platform's store."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.decisions.catalogue import Catalogue
from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.freshness import Freshness, read_valid_at
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.entry_messages import RecordsTold
from bluebellpitch.platform.configuration import CONFIGURATION_KEY, decode_configuration
from bluebellpitch.platform.entries import decode_entry, report_entry
from bluebellpitch.platform.records import KeyedRecord
from bluebellpitch.platform.store import StoreClient, Truncated, keyed_records

CONFIGURATION_WAIT_S = 1.0
ENDPOINTS_WAIT_S = 1.0
# Entries come with each heartbeat of each endpoint; reads are spaced to take several at once.
ENDPOINTS_INTERVAL_S = 0.7
RETRY_S = 0.25
# What the zone's reader tells is relied on for this long.
TOLD_BELIEVED_S = 1.8
TOLD_CHECK_S = 0.25
LAPSE_CHECK_S = 0.25
# Peers are asked for records when neither the store nor a peer has brought any for this long.
ASK_RECORDS_AFTER_S = 1.0
RECENT_RECORDS = 400
# An outage shorter than this lets no entry lapse.
AWAY_AFTER_S = 1.0


class TopicFollower:
    """Reads a keyed topic record by record, through outages.

    One VM of a zone reads from the store and tells the others. A VM that hears nothing reads for
    itself, and tells as well: the reader may be turned away while others are served.
    """

    def __init__(
        self,
        client: StoreClient,
        topic: str,
        wait_s: float,
        now: Callable[[], float],
        is_reader: Callable[[], bool],
        tell: Callable[[RecordsTold], None],
        metrics: Metrics,
    ):
        self._client = client
        self.topic = topic
        self._wait_s = wait_s
        self._now = now
        self._is_reader = is_reader
        self._tell = tell
        self._metrics = metrics
        self._next: int | None = None
        self._told_at = float("-inf")
        self._failing_since: float | None = None
        self.back_at = float("-inf")
        self.current_at = float("-inf")
        self._recent: list[tuple[str, bytes | None]] = []
        self._recent_start = 0

    def was_away(self, now: float, within_s: float) -> bool:
        """Tells whether the store came back no longer ago than ``within_s``."""
        return self._failing_since is not None or now - self.back_at < within_s

    def is_told(self) -> bool:
        """Tells whether the zone's reader keeps this VM up to date."""
        if self._is_reader() or self._next is None:
            return False
        return self._now() - self._told_at < TOLD_BELIEVED_S

    def _remember(self, start: int, records: tuple[tuple[str, bytes | None], ...]) -> None:
        if self._recent_start + len(self._recent) != start:
            self._recent.clear()
            self._recent_start = start
        self._recent.extend(records)
        excess = len(self._recent) - RECENT_RECORDS
        if excess > 0:
            del self._recent[:excess]
            self._recent_start += excess

    def asks_from(self) -> int | None:
        """Returns the offset to ask peers for, when this VM has fallen behind."""
        return self._next if self._is_behind() else None

    def _is_behind(self) -> bool:
        return self._now() - max(self.current_at, self._told_at) > ASK_RECORDS_AFTER_S

    def tell_from(self, start: int) -> RecordsTold | None:
        """Returns what a VM that stands at ``start`` is missing; None if that is not known."""
        if self._next is None or self._is_behind():
            return None
        if not self._recent_start <= start <= self._recent_start + len(self._recent):
            return None
        records = tuple(self._recent[start - self._recent_start :])
        return RecordsTold(self.topic, start, start + len(records), records)

    def take_told(self, told: RecordsTold) -> tuple[KeyedRecord, ...]:
        """Returns the records that are new here; none when a part is missing before them."""
        if self._next is None or told.start > self._next:
            return ()
        self._told_at = self._now()
        known = self._next - told.start
        if told.next > self._next:
            self._remember(self._next, told.records[known:])
            self._next = told.next
        return tuple(KeyedRecord(key, value) for key, value in told.records[known:])

    async def read(self) -> tuple[tuple[KeyedRecord, ...], bool, float] | None:
        """Returns records, whether they are all keys, and as of when; None after a failure."""
        asked_at = self._now()
        try:
            if self._next is None:
                newest = await self._client.newest(self.topic)
                self._next = newest.end
                answer = (newest.records, True, asked_at)
            else:
                answer = await self._read_on(asked_at)
        except BluebellpitchError as error:
            self._note_failure(error)
            return None
        self._note_success()
        return answer

    async def _read_on(self, asked_at: float):
        start = self._next
        page = await self._client.read(self.topic, start, int(self._wait_s * 1000))
        if isinstance(page, Truncated) or page.end < start or page.first_kept > start:
            log("WARNING", "store_truncated", topic=self.topic, wanted=start)
            self._next = None
            return (), False, float("-inf")
        records, unreadable = keyed_records(page)
        if unreadable:
            log("WARNING", "records_unreadable", topic=self.topic, count=unreadable)
        end = start + len(page.records)
        if not unreadable:
            pairs = tuple((record.key, record.value) for record in records)
            self._tell(RecordsTold(self.topic, start, end, pairs))
            self._remember(start, pairs)
        self._next = max(end, self._next or 0)
        self.current_at = self._now()
        known_at = read_valid_at(asked_at, self._now(), self._wait_s, not page.records)
        return records, False, known_at if end >= page.end else float("-inf")

    def _note_failure(self, error: Exception) -> None:
        self._metrics.store_calls.labels(self.topic, "failed").inc()
        if self._failing_since is None:
            self._failing_since = self._now()
            log("WARNING", "store_lost", topic=self.topic, error=error)

    def _note_success(self) -> None:
        self._metrics.store_calls.labels(self.topic, "answered").inc()
        if self._failing_since is None:
            return
        away_s = self._now() - self._failing_since
        self._failing_since = None
        if away_s >= AWAY_AFTER_S:
            self.back_at = self._now()
        log("INFO", "store_regained", topic=self.topic, away_s=f"{away_s:.2f}")


class ConfigurationRole:
    """Holds the newest catalogue. Never goes back to an older version."""

    def __init__(self, follower: TopicFollower, freshness: Freshness):
        self.follower = follower
        self.freshness = freshness
        self.catalogue: Catalogue | None = None
        self.raw = b""
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            if self.follower.is_told():
                await asyncio.sleep(TOLD_CHECK_S)
                continue
            answer = await self.follower.read()
            if answer is None:
                await asyncio.sleep(RETRY_S)
                continue
            records, _, known_at = answer
            self.take_records(records, "store")
            if self.catalogue is not None:
                self.freshness.confirm(known_at)

    def version(self) -> int:
        """Returns the version held, -1 for none."""
        return self.catalogue.version if self.catalogue is not None else -1

    def take_records(self, records: Iterable[KeyedRecord], source: str) -> None:
        """Takes the configurations among records in."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value:
                self.take(record.value, source)

    def take(self, data: bytes, source: str) -> None:
        """Takes a configuration in if it is newer than the one held."""
        try:
            catalogue = decode_configuration(data)
        except BluebellpitchError as error:
            log("ERROR", "configuration_malformed", source=source, error=error)
            return
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return
        self.catalogue, self.raw = catalogue, data
        self.changed.set()
        log("INFO", "configuration", version=catalogue.version, source=source)


class EndpointsRole:
    """Keeps the directory of endpoints."""

    def __init__(
        self,
        follower: TopicFollower,
        directory: EndpointDirectory,
        now: Callable[[], float],
        lapse_s: float,
    ):
        self.follower = follower
        self.directory = directory
        self._now = now
        self._lapse_s = lapse_s
        self.known = False

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            if self.follower.is_told():
                await asyncio.sleep(TOLD_CHECK_S)
                continue
            started = self._now()
            answer = await self.follower.read()
            if answer is None:
                await asyncio.sleep(RETRY_S)
                continue
            records, is_all, _ = answer
            if is_all:
                self._drop_missing({record.key for record in records})
            for record in records:
                self.take(record)
            self.known = True
            await asyncio.sleep(max(0.0, started + ENDPOINTS_INTERVAL_S - self._now()))

    def _drop_missing(self, keys: set[str]) -> None:
        for endpoint_id in set(self.directory.entries_by_id) - keys:
            self.take(KeyedRecord(endpoint_id, None))

    def take(self, record: KeyedRecord) -> None:
        """Takes one entry in, or its removal."""
        now = self._now()
        if record.value is None:
            was_away = self.follower.was_away(now, self._lapse_s)
            if self.directory.remove(record.key, was_away, now):
                log("INFO", "endpoint_gone", endpoint=record.key)
            return
        try:
            entry = decode_entry(record.key, record.value)
        except BluebellpitchError as error:
            report_entry(record.key, error)
            return
        if self.directory.update(entry):
            log(
                "INFO",
                "endpoint",
                endpoint=entry.id,
                pool=entry.pool,
                address=entry.address,
                zone=entry.zone,
                draining=entry.is_draining,
            )

    async def expire(self) -> None:
        """Forgets lapsed entries in time."""
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            for endpoint_id in self.directory.expire(self._now()):
                log("INFO", "endpoint_gone", endpoint=endpoint_id, reason="lapsed")
