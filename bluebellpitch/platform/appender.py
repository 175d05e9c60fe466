"""Appends of one VM to one stream, batched: appends are scarce for the whole federation."""

import asyncio
from collections import deque

from bluebellpitch.constants import APPEND_BATCH_S
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.log import Appended, AppendVerdict, LogClient

BATCH_RECORDS = 256


class Appender:
    """Owns the queue of records; one append is under way at a time."""

    def __init__(self, log_client: LogClient, stream: str, metrics: Metrics):
        self._log = log_client
        self._stream = stream
        self._metrics = metrics
        self._queue: deque[tuple[str, asyncio.Future]] = deque()
        self._wake = asyncio.Event()

    async def append(self, record: str) -> AppendVerdict:
        """Appends one record; its own offset is in the verdict."""
        future = asyncio.get_running_loop().create_future()
        self._queue.append((record, future))
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Appends batches until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(APPEND_BATCH_S)
            self._wake.clear()
            while self._queue:
                await self._append_batch()

    async def _append_batch(self) -> None:
        count = min(BATCH_RECORDS, len(self._queue))
        batch = [self._queue.popleft() for _ in range(count)]
        verdict = await self._log.append(self._stream, tuple(record for record, _ in batch))
        self._metrics.log_appends.labels(self._stream, type(verdict).__name__).inc()
        for position, (_, future) in enumerate(batch):
            if not future.done():
                future.set_result(shift(verdict, position))


def shift(verdict: AppendVerdict, position: int) -> AppendVerdict:
    """Returns the verdict for one record of a batch."""
    match verdict:
        case Appended(offset):
            return Appended(offset + position)
        case _:
            return verdict
