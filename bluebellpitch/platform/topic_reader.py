"""Reads a topic of the store continuously and retries during outages."""

import asyncio
from collections.abc import AsyncIterator, Callable

from bluebellpitch.constants import STORE_READ_WAIT_MS, STORE_RETRY_DELAY_S
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.records import KeyedRecord, Page
from bluebellpitch.platform.store import StoreClient, Truncated


class TopicReader:
    """Reads a topic from its consumer's offset on. ``last_read_at`` is in monotonic seconds."""

    def __init__(self, client: StoreClient, topic: str, metrics: Metrics, now: Callable[[], float]):
        self._client = client
        self._topic = topic
        self._metrics = metrics
        self._now = now
        self.last_read_at = now()
        self._failing = False

    async def read_pages(self, next_offset: Callable[[], int]) -> AsyncIterator[Page | Truncated]:
        """Yields pages indefinitely; ``next_offset`` returns the offset to read next."""
        while True:
            page = await self._read(next_offset())
            if page is None:
                await asyncio.sleep(STORE_RETRY_DELAY_S)
                continue
            yield page

    async def _read(self, start_offset: int) -> Page | Truncated | None:
        try:
            page = await self._client.read(self._topic, start_offset, STORE_READ_WAIT_MS)
        except BluebellpitchError as error:
            self._record_result(False, str(error))
            return None
        self.last_read_at = self._now()
        self._record_result(True, "")
        return page

    async def read_newest(self, topic: str) -> tuple[KeyedRecord, ...]:
        """Returns the newest record of each key of ``topic``; none if the store fails."""
        try:
            return (await self._client.read_newest(topic)).records
        except BluebellpitchError as error:
            self._record_result(False, str(error))
            return ()

    def _record_result(self, answered: bool, error: str) -> None:
        verdict = "answered" if answered else "failed"
        self._metrics.store_calls.labels(self._topic, verdict).inc()
        self._metrics.store_silence.set(self._now() - self.last_read_at)
        if answered == self._failing:
            log("WARNING" if error else "INFO", f"store_{verdict}", topic=self._topic, error=error)
        self._failing = not answered
