"""Watches the configuration and the endpoint entries in the platform's store."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.decisions.catalogue import Catalogue
from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.platform.configuration import CONFIGURATION_KEY, decode_configuration
from bluebellpitch.platform.endpoint_entries import decode_endpoint_entry, log_malformed_entry
from bluebellpitch.platform.records import KeyedRecord
from bluebellpitch.roles.topic_follower import TopicFollower

CONFIGURATION_LONG_POLL_S = 1.0
# With the interval below, a read by the reader and a request to it fit into the age up to which
# other VMs leave the store to the reader.
ENDPOINTS_LONG_POLL_S = 0.5
# Each heartbeat of an endpoint writes an entry; reads are spaced so that one fetches several.
ENDPOINTS_READ_INTERVAL_S = 0.7
READ_RETRY_DELAY_S = 0.25
PEER_UPDATE_CHECK_INTERVAL_S = 0.25
EXPIRY_CHECK_INTERVAL_S = 0.25


class ConfigurationWatcher:
    """Holds the newest catalogue. Never replaces it with an older version.

    What the store returns may be older than what it acknowledged before it came back from a copy.
    So a read confirms the catalogue only once the operator has had time to write it again, and at a
    VM that has just started only once it has asked its peers (``is_checked``).
    """

    def __init__(self, follower: TopicFollower, freshness: Freshness, store_era: StoreEra):
        self.follower = follower
        self.freshness = freshness
        self.store_era = store_era
        self.is_checked = False
        self._store_known_at = float("-inf")
        self.catalogue: Catalogue | None = None
        self.encoded = b""
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Reads updates from the store until cancelled."""
        while True:
            if self.follower.is_updated_by_peers():
                await asyncio.sleep(PEER_UPDATE_CHECK_INTERVAL_S)
                continue
            result = await self.follower.read()
            if result is None:
                await asyncio.sleep(READ_RETRY_DELAY_S)
                continue
            records, _, known_at = result
            self.apply_records(records, "store")
            if self.catalogue is not None:
                self._store_known_at = max(self._store_known_at, known_at)
                self._confirm_by_store()

    def mark_checked(self) -> None:
        """Records that peers know no newer configuration, or that none answers."""
        self.is_checked = True
        self._confirm_by_store()

    def _confirm_by_store(self) -> None:
        if self.is_checked and self.store_era.is_rewritten(self._store_known_at):
            self.freshness.confirm(self._store_known_at)

    def confirm_by_peer(self, confirmed_at: float) -> None:
        """Records that the current version was the newest at ``confirmed_at``."""
        self.freshness.confirm(confirmed_at)
        self.follower.confirm_by_peer(confirmed_at)

    def version(self) -> int:
        """Returns the version of the current catalogue, or -1 if there is none."""
        return self.catalogue.version if self.catalogue is not None else -1

    def apply_records(self, records: Iterable[KeyedRecord], source: str) -> None:
        """Applies the configurations among the records."""
        for record in records:
            if record.key == CONFIGURATION_KEY and record.value:
                self.apply(record.value, source)

    def apply(self, data: bytes, source: str) -> None:
        """Applies a configuration if it is newer than the current one."""
        try:
            catalogue = decode_configuration(data)
        except BluebellpitchError as error:
            log("ERROR", "configuration_malformed", source=source, error=error)
            return
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return
        self.catalogue, self.encoded = catalogue, data
        self.changed.set()
        log("INFO", "configuration", version=catalogue.version, source=source, bytes=len(data))


class EndpointWatcher:
    """Updates the directory of endpoints.

    Entries removed within ``outage_window_s`` of an outage may have expired because of it.
    """

    def __init__(
        self,
        follower: TopicFollower,
        directory: EndpointDirectory,
        now: Callable[[], float],
        outage_window_s: float,
    ):
        self.follower = follower
        self.directory = directory
        self._now = now
        self._outage_window_s = outage_window_s
        self.is_loaded = False

    async def run(self) -> None:
        """Reads updates from the store until cancelled."""
        while True:
            if self.follower.is_updated_by_peers():
                await asyncio.sleep(PEER_UPDATE_CHECK_INTERVAL_S)
                continue
            started = self._now()
            result = await self.follower.read()
            if result is None:
                await asyncio.sleep(READ_RETRY_DELAY_S)
                continue
            records, is_complete, _ = result
            if is_complete:
                self._remove_missing({record.key for record in records})
            for record in records:
                self.apply(record)
            self.is_loaded = True
            await asyncio.sleep(max(0.0, started + ENDPOINTS_READ_INTERVAL_S - self._now()))

    def _remove_missing(self, keys: set[str]) -> None:
        for endpoint_id in set(self.directory.entries_by_id) - keys:
            self.apply(KeyedRecord(endpoint_id, None))

    def apply(self, record: KeyedRecord) -> None:
        """Applies an update or the removal of an entry."""
        now = self._now()
        if record.value is None:
            outage = self.follower.outage
            had_outage = outage.is_recent(now, self._outage_window_s)
            if self.directory.remove(record.key, had_outage, now):
                log("INFO", "endpoint_gone", endpoint=record.key)
            elif self.directory.is_lapsing(record.key):
                log("INFO", "endpoint_lapsing", endpoint=record.key, **outage.describe(now))
            return
        try:
            entry = decode_endpoint_entry(record.key, record.value)
        except BluebellpitchError as error:
            log_malformed_entry(record.key, error)
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

    async def run_expiry(self) -> None:
        """Removes expired entries once their grace period has ended, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            for endpoint_id in self.directory.expire(self._now()):
                log("INFO", "endpoint_gone", endpoint=endpoint_id, reason="lapsed")
