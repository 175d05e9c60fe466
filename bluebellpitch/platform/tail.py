"""Follows one stream of the log, page by page, through outages."""

import asyncio
from collections.abc import AsyncIterator, Callable

from bluebellpitch.constants import LOG_RETRY_S
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.log import LogClient, Page


class Tail:
    """Reads a stream from where its owner stands. ``answered_at`` is monotonic seconds."""

    def __init__(self, client: LogClient, stream: str, metrics: Metrics, now: Callable[[], float]):
        self._client = client
        self._stream = stream
        self._metrics = metrics
        self._now = now
        self.answered_at = now()
        self._failing = False

    async def pages(self, next_offset: Callable[[], int]) -> AsyncIterator[Page]:
        """Yields pages for ever; ``next_offset`` tells where the owner wants to go on."""
        while True:
            page = await self._read(next_offset())
            if page is None:
                await asyncio.sleep(LOG_RETRY_S)
                continue
            yield page

    async def _read(self, start: int) -> Page | None:
        try:
            page = await self._client.read(self._stream, start)
        except BluebellpitchError as error:
            self._note(False, str(error))
            return None
        self.answered_at = self._now()
        self._note(True, "")
        return page

    def _note(self, answered: bool, error: str) -> None:
        verdict = "answered" if answered else "failed"
        self._metrics.log_reads.labels(self._stream, verdict).inc()
        self._metrics.log_silence.set(self._now() - self.answered_at)
        if answered == self._failing:
            log("WARNING" if error else "INFO", f"log_{verdict}", stream=self._stream, error=error)
        self._failing = not answered
