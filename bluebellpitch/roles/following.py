"""Follows the configuration and the endpoints' entries in the platform's store."""

import asyncio
from collections.abc import Callable

from bluebellpitch.decisions.catalogue import Catalogue
from bluebellpitch.decisions.directory import Directory
from bluebellpitch.decisions.freshness import Freshness, read_known_at
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    decode_configuration,
)
from bluebellpitch.platform.entries import ENDPOINTS_TOPIC, decode_entry
from bluebellpitch.platform.records import KeyedRecord
from bluebellpitch.platform.store import StoreClient, Truncated, keyed_records

CONFIGURATION_WAIT_S = 1.0
ENDPOINTS_WAIT_S = 1.0
# Entries come with each heartbeat of each endpoint; reads are spaced to take several at once.
ENDPOINTS_INTERVAL_S = 0.7
RETRY_S = 0.25
# An outage shorter than this lets no entry lapse.
AWAY_AFTER_S = 1.0


class TopicFollower:
    """Reads a keyed topic from the store, record by record, through outages.

    ``take`` is called for each record; ``take_all`` for the newest of all keys, after a gap.
    """

    def __init__(
        self,
        client: StoreClient,
        topic: str,
        wait_s: float,
        now: Callable[[], float],
    ):
        self._client = client
        self._topic = topic
        self._wait_s = wait_s
        self._now = now
        self._next: int | None = None
        self._failing_since: float | None = None
        self.back_at = float("-inf")

    def was_away(self, now: float, within_s: float) -> bool:
        """Tells whether the store came back no longer ago than ``within_s``."""
        return self._failing_since is not None or now - self.back_at < within_s

    async def read(self) -> tuple[tuple[KeyedRecord, ...], bool, float] | None:
        """Returns records, whether they are all keys, and as of when; None after a failure."""
        asked_at = self._now()
        try:
            if self._next is None:
                newest = await self._client.newest(self._topic)
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
        page = await self._client.read(self._topic, self._next, int(self._wait_s * 1000))
        if isinstance(page, Truncated) or page.end < self._next or page.first_kept > self._next:
            log("WARNING", "store_truncated", topic=self._topic, wanted=self._next)
            self._next = None
            return (), False, float("-inf")
        self._next += len(page.records)
        records, unreadable = keyed_records(page)
        if unreadable:
            log("WARNING", "records_unreadable", topic=self._topic, count=unreadable)
        known_at = read_known_at(asked_at, self._now(), self._wait_s, not page.records)
        return records, False, known_at if self._next >= page.end else float("-inf")

    def _note_failure(self, error: Exception) -> None:
        if self._failing_since is None:
            self._failing_since = self._now()
            log("WARNING", "store_lost", topic=self._topic, error=error)

    def _note_success(self) -> None:
        if self._failing_since is None:
            return
        away_s = self._now() - self._failing_since
        self._failing_since = None
        if away_s >= AWAY_AFTER_S:
            self.back_at = self._now()
        log("INFO", "store_regained", topic=self._topic, away_s=f"{away_s:.2f}")


class ConfigurationRole:
    """Holds the newest catalogue. Never goes back to an older version."""

    def __init__(self, store: str, freshness: Freshness, now: Callable[[], float]):
        self._follower = TopicFollower(
            StoreClient(store), CONFIGURATION_TOPIC, CONFIGURATION_WAIT_S, now
        )
        self.freshness = freshness
        self.catalogue: Catalogue | None = None
        self.raw = b""
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            answer = await self._follower.read()
            if answer is None:
                await asyncio.sleep(RETRY_S)
                continue
            records, _, known_at = answer
            for record in records:
                if record.key == CONFIGURATION_KEY and record.value:
                    self.take(record.value, "store")
            if self.catalogue is not None:
                self.freshness.confirm(known_at)

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

    def __init__(self, store: str, directory: Directory, now: Callable[[], float], lapse_s: float):
        self._follower = TopicFollower(StoreClient(store), ENDPOINTS_TOPIC, ENDPOINTS_WAIT_S, now)
        self.directory = directory
        self._now = now
        self._lapse_s = lapse_s
        self.known = False

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            started = self._now()
            answer = await self._follower.read()
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
            was_away = self._follower.was_away(now, self._lapse_s)
            if self.directory.drop(record.key, was_away, now):
                log("INFO", "endpoint_gone", endpoint=record.key)
            return
        try:
            entry = decode_entry(record.key, record.value)
        except BluebellpitchError as error:
            log("WARNING", "entry_malformed", endpoint=record.key, error=error)
            return
        if self.directory.take(entry):
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
            await asyncio.sleep(0.1)
            for endpoint_id in self.directory.expire(self._now()):
                log("INFO", "endpoint_gone", endpoint=endpoint_id, reason="lapsed")
