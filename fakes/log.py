"""A stand-in for the platform's append-only log."""

import asyncio
from urllib.parse import parse_qs

import msgspec

from bluebellpitch.errors import GoneError
from fakes.server import FakeServer, answer


class FakeLog(FakeServer):
    """Keeps streams in memory.

    Faults: ``outage`` refuses all, ``lose_answers`` takes the next appends but does not answer,
    ``drop_appends`` loses the next appends whole, ``late_s`` lets lost appends land so much later,
    ``slow_s`` delays each call, ``retention`` is how many records a stream keeps.
    """

    def __init__(self):
        super().__init__()
        self.outage = False
        self.lose_answers = 0
        self.drop_appends = 0
        self.late_s = 0.0
        self.slow_s = 0.0
        self.retention = 1_000_000
        self.appends = 0
        self._records_by_stream: dict[str, list[tuple[int, str]]] = {}
        self._next_by_stream: dict[str, int] = {}
        self._grown = asyncio.Event()

    async def serve(self, connection, request) -> None:
        """Answers an append or a read."""
        if self.outage:
            raise GoneError("outage")
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        path, _, query = request.target.partition("?")
        if path == "/stats":
            counts = {"appends": self.appends, "records": dict(self._next_by_stream)}
            await answer(connection, counts)
            return
        stream = path.removeprefix("/streams/")
        if request.method == "POST":
            await self._append(connection, stream, msgspec.json.decode(request.body)["records"])
        else:
            await self._read(connection, stream, parse_qs(query))

    async def _append(self, connection, stream: str, records: list[str]) -> None:
        self.appends += 1
        if self.drop_appends > 0:
            self.drop_appends -= 1
            raise GoneError("append dropped")
        if self.lose_answers > 0:
            self.lose_answers -= 1
            asyncio.get_running_loop().call_later(self.late_s, self._put, stream, records)
            raise GoneError("answer lost")
        await answer(connection, {"offset": self._put(stream, records)})

    def _put(self, stream: str, records: list[str]) -> int:
        kept = self._records_by_stream.setdefault(stream, [])
        first = self._next_by_stream.get(stream, 0)
        kept.extend((first + place, record) for place, record in enumerate(records))
        self._next_by_stream[stream] = first + len(records)
        del kept[: max(0, len(kept) - self.retention)]
        self._grown.set()
        self._grown = asyncio.Event()
        return first

    async def _read(self, connection, stream: str, query: dict) -> None:
        start = int(query["from"][0])
        wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000
        deadline = asyncio.get_running_loop().time() + wait_s
        while start >= self._next_by_stream.get(stream, 0):
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._grown.wait(), left_s)
            except TimeoutError:
                break
        if self.outage:
            raise GoneError("outage")
        kept = self._records_by_stream.get(stream, [])
        next_offset = self._next_by_stream.get(stream, 0)
        first = kept[0][0] if kept else next_offset
        page = kept[max(0, start - first) :][:1_000]
        records = [{"offset": offset, "data": data} for offset, data in page]
        await answer(connection, {"first": first, "next": next_offset, "records": records})
