"""Batches the appends of one VM to one topic.

The rate of appends is limited for all VMs of the federation together.
"""

import asyncio
from collections import deque

from bluebellpitch.constants import APPEND_BATCH_DELAY_S
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.store import Appended, AppendVerdict, StoreClient

MAX_BATCH_RECORDS = 256


class Appender:
    """Queues records and appends them in batches, one append call at a time."""

    def __init__(self, client: StoreClient, topic: str, metrics: Metrics):
        self._client = client
        self._topic = topic
        self._metrics = metrics
        self._queue: deque[tuple[bytes, asyncio.Future]] = deque()
        self._wake = asyncio.Event()

    async def append(self, record: bytes) -> AppendVerdict:
        """Appends one record and returns its verdict, which has the offset of this record."""
        future = asyncio.get_running_loop().create_future()
        self._queue.append((record, future))
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Appends queued records in batches until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(APPEND_BATCH_DELAY_S)
            self._wake.clear()
            while self._queue:
                await self._append_batch()

    async def _append_batch(self) -> None:
        count = min(MAX_BATCH_RECORDS, len(self._queue))
        batch = [self._queue.popleft() for _ in range(count)]
        verdict = await self._client.append(self._topic, tuple(record for record, _ in batch))
        self._metrics.store_appends.labels(self._topic, verdict.name).inc()
        for position, (_, future) in enumerate(batch):
            if not future.done():
                future.set_result(shift_offset(verdict, position))


def shift_offset(verdict: AppendVerdict, position: int) -> AppendVerdict:
    """Returns the verdict of the record at ``position`` in a batch."""
    match verdict:
        case Appended(offset, era):
            return Appended(offset + position, era)
        case _:
            return verdict
