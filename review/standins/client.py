"""A client as the pages describe it: one request at a time on a kept connection."""

import asyncio
import re
import time
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
PART = "91bd3f06"


@dataclass(frozen=True, slots=True)
class Answer:
    """``status`` is 0 if none came: the connection ended, or the client gave up (``gave_up``)."""

    status: int
    headers: dict[str, str]
    body: bytes
    sent_at: float
    ended_at: float
    gave_up: bool = False


@dataclass(frozen=True, slots=True)
class Stream:
    """What came of a stream: the ids of its events, and whether it came to its end."""

    status: int
    event_ids: tuple[int, ...]
    is_complete: bool


class Client:
    """Sends requests to one VM. ``host`` and ``key`` are those of the configuration."""

    def __init__(self, address: str, host: str, key: str):
        self._address = address
        self._host = host
        self._key = key
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(
        self, method: str, path: str, request_id: str, body: bytes = b"", deadline_ms: int = 2_000
    ) -> Answer:
        """Sends a request and returns its answer; gives up and leaves at its deadline."""
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                status, headers, answer = await self._exchange(
                    method, path, request_id, body, deadline_ms
                )
        except TimeoutError:
            self.close()
            return Answer(0, {}, b"", sent_at, time.monotonic(), gave_up=True)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return Answer(0, {}, b"", sent_at, time.monotonic())
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, headers, answer, sent_at, time.monotonic())

    async def stream(
        self, path: str, request_id: str, last_event_id: int | None, deadline_ms: int
    ) -> Stream:
        """Requests a generation and reads its events to the end, or until the connection ends."""
        headers = ["Model: m", "Token-Usage: 1460,80", f"Prompt-Prefix: 5c1e07a2:800,{PART}:660"]
        if last_event_id is not None:
            headers.append(f"Last-Event-Id: {last_event_id}")
        status, event_ids = 0, []
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader = await self._send("POST", path, request_id, b"prompt", deadline_ms, headers)
                status, fields = await read_head(reader)
                if status != 200:
                    return Stream(status, (), False)
                while chunk := await read_chunk(reader):
                    event_ids += [int(id) for id in EVENT_ID.findall(chunk)]
            return Stream(status, tuple(event_ids), True)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return Stream(status, tuple(event_ids), False)
        finally:
            self.close()

    async def _exchange(self, method, path, request_id, body, deadline_ms):
        reader = await self._send(method, path, request_id, body, deadline_ms)
        status, headers = await read_head(reader)
        answer = await reader.readexactly(int(headers.get("content-length", "0")))
        return status, headers, answer

    async def _send(self, method, path, request_id, body, deadline_ms, headers=()):
        if self._streams is None:
            host, _, port = self._address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self._host}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {self._key}",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        writer.write("\r\n".join(lines).encode() + HEAD_END + body)
        await writer.drain()
        return reader

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Reads the head of an answer; returns its status and its headers by name in lower case."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in head[1:])
    return int(head[0].split(" ")[1]), {name.lower(): value.strip() for name, _, value in fields}


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Reads one chunk of a chunked body; empty at its end."""
    size = int(await reader.readuntil(b"\r\n"), 16)
    return (await reader.readexactly(size + 2))[:size]
