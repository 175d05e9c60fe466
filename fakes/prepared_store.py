"""Fake store of the prepared platform: an in-memory log of topics with one partition each."""

import asyncio
import base64
import copy
import struct
from urllib.parse import parse_qs

from bluebellpitch.errors import DisconnectedError
from fakes.server import FakeServer, send_json

LENGTH_PREFIX = struct.Struct(">I")


class FakeStore(FakeServer):
    """Serves ``/log-append``, ``/log-read``, ``/log-newest`` and ``/log-trim``.

    Faults: a ``status`` other than 200 is the response to all calls; ``outage`` closes connections
    without a response; ``silent`` never responds; ``lose_answers`` is how many of the next appends
    get no response, and ``late_s`` how much later these are appended; ``slow_s`` delays each call.
    ``restore`` goes back to the copy made by ``keep_copy`` and raises the era that answers name.
    """

    def __init__(self):
        super().__init__()
        self.status = 200
        self.outage = False
        self.silent = False
        self.lose_answers = 0
        self.late_s = 0.0
        self.slow_s = 0.0
        self.era = 0
        self.calls: list[str] = []
        self._records: dict[str, list[bytes]] = {}
        self._first_offsets: dict[str, int] = {}
        self._newest_by_key: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._appended = asyncio.Event()
        self._copy: tuple = ()

    def keep_copy(self) -> None:
        """Makes the copy to which ``restore`` goes back."""
        self._copy = copy.deepcopy((self._records, self._first_offsets, self._newest_by_key))

    @property
    def is_copied(self) -> bool:
        """Whether there is a copy; setting it makes one."""
        return bool(self._copy)

    @is_copied.setter
    def is_copied(self, _: bool) -> None:
        self.keep_copy()

    @property
    def restored_eras(self) -> int:
        """The era; setting it restores the copy."""
        return self.era

    @restored_eras.setter
    def restored_eras(self, _: int) -> None:
        self.restore()

    def restore(self) -> None:
        """Loses what was written since the copy; its offsets are given out again."""
        self._records, self._first_offsets, self._newest_by_key = copy.deepcopy(self._copy)
        self.era += 1
        self._appended.set()
        self._appended = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record of a keyed topic; returns its offset."""
        name = key.encode()
        return self._append(topic, [bytes([len(name)]) + name + value])

    def truncate(self, topic: str) -> None:
        """Deletes the records of a topic; the newest value of each key remains."""
        self._first_offsets[topic] = self._end_offset(topic)
        self._records[topic] = []

    def newest_keys(self, topic: str) -> set[str]:
        """Returns the keys of a topic that have a value."""
        return set(self._newest_by_key.get(topic, {}))

    def _end_offset(self, topic: str) -> int:
        return self._first_offsets.get(topic, 0) + len(self._records.get(topic, []))

    def _append(self, topic: str, records: list[bytes]) -> int:
        offset = self._end_offset(topic)
        if topic.startswith("keyed."):
            self._update_newest(topic, offset, records)
        self._records.setdefault(topic, []).extend(records)
        self._appended.set()
        self._appended = asyncio.Event()
        return offset

    def _update_newest(self, topic: str, offset: int, records: list[bytes]) -> None:
        keys = self._newest_by_key.setdefault(topic, {})
        for index, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                keys[key] = (value, offset + index)
            else:
                keys.pop(key, None)

    async def serve(self, connection, request) -> None:
        """Handles one call."""
        path, _, text = request.target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        self.calls.append(path)
        if self.outage:
            raise DisconnectedError("outage")
        if self.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.slow_s)
        if self.status != 200:
            await self._send(connection, {}, self.status)
        elif path == "/log-append":
            await self._serve_append(connection, query, request.body)
        elif path == "/log-trim":
            self.truncate(query["topic"])
            await self._send(connection, {})
        elif path == "/log-read":
            await self._serve_read(connection, query)
        else:
            await self._serve_newest(connection, query)

    def _era_headers(self) -> list[tuple[str, str]]:
        return [("Store-Era", str(self.era))]

    async def _send(self, connection, body, status: int = 200) -> None:
        await send_json(connection, body, status, self._era_headers())

    async def _serve_append(self, connection, query: dict[str, str], body: bytes) -> None:
        topic, records = query["topic"], list(split_records(body))
        at = int(query["at"]) if "at" in query else None
        if self.lose_answers > 0:
            self.lose_answers -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._append_at, topic, records, at)
            raise DisconnectedError("response lost")
        offset = self._append_at(topic, records, at)
        end = self._end_offset(topic)
        if offset is None:
            await self._send(connection, {"end": end}, 412)
            return
        await self._send(connection, {"offset": offset, "end": end})

    def _append_at(self, topic: str, records: list[bytes], at: int | None) -> int | None:
        """Appends if the topic ends at ``at``, else returns None; without ``at`` in any case."""
        if at is not None and at != self._end_offset(topic):
            return None
        return self._append(topic, records)

    async def _serve_read(self, connection, query: dict[str, str]) -> None:
        topic, start = query["topic"], int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        era = self.era
        if start == self._end_offset(topic):
            appended = self._appended
            try:
                async with asyncio.timeout(wait_s):
                    while start == self._end_offset(topic) and self.era == era:
                        await appended.wait()
                        appended = self._appended
            except TimeoutError:
                pass
        if self.outage or self.era != era:
            raise DisconnectedError("outage")
        if self.status != 200:
            await self._send(connection, {}, self.status)
            return
        first = self._first_offsets.get(topic, 0)
        if not first <= start <= self._end_offset(topic):
            await self._send(connection, {"first": first}, 410)
            return
        records = self._records.get(topic, [])[start - first :]
        body = struct.pack(">QQ", self._end_offset(topic), first)
        body += b"".join(LENGTH_PREFIX.pack(len(record)) + record for record in records)
        headers = [("Content-Type", "application/octet-stream"), *self._era_headers()]
        await connection.respond(200, headers, body)

    async def _serve_newest(self, connection, query: dict[str, str]) -> None:
        topic = query["topic"]
        keys = sorted(self._newest_by_key.get(topic, {}).items())
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in keys
            if key > query.get("after", "")
        ]
        page = items[:2]
        end = self._end_offset(topic)
        await self._send(connection, {"items": page, "has_more": len(items) > 2, "end": end})


def split_records(body: bytes):
    """Yields the length-prefixed records of an append."""
    while body:
        (size,) = LENGTH_PREFIX.unpack_from(body)
        yield body[4 : 4 + size]
        body = body[4 + size :]
