"""A stand-in for a model engine: continuous batching, prefix cache, priorities, cancel, resume.

The prompt steers it: ``[len=40]`` makes 40 tokens, ``[crash]`` ends the process after two. Token i
of a prompt is always the same, so a caller can check that an answer is whole.
"""

import asyncio
import os
import re
import time
import zlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from urllib.parse import unquote

import msgspec

from bluebellpitch.errors import GoneError
from fakes.server import FakeServer, send_json

LENGTH_PATTERN = re.compile(r"\[len=(\d+)\]")
DEFAULT_LENGTH = 16
SSE_HEADERS = [("Content-Type", "text/event-stream")]


def token_text(prompt: str, index: int) -> str:
    """Returns one token of the answer to a prompt."""
    return f"{zlib.crc32(f'{index}:{prompt}'.encode()):08x} "


def expected_completion(prompt: str) -> str:
    """Returns the whole answer to a prompt."""
    return "".join(token_text(prompt, index) for index in range(completion_length(prompt)))


def completion_length(prompt: str) -> int:
    """Returns how many tokens the answer has."""
    found = LENGTH_PATTERN.search(prompt)
    return int(found.group(1)) if found else DEFAULT_LENGTH


@dataclass
class Stream:
    """One request in the batch. Times in seconds."""

    prompt: str
    priority: int
    next_index: int
    length: int
    prefilled_at: float
    arrived_at: float
    tokens: asyncio.Queue = field(default_factory=asyncio.Queue)


@dataclass(frozen=True)
class Timing:
    """A step of the batch takes ``step_s`` plus ``stream_s`` for each stream in it."""

    step_s: float = 0.008
    stream_s: float = 0.0005
    prefill_s: float = 0.02
    cached_prefill_s: float = 0.005


class FakeEngine(FakeServer):
    """Serves completions.

    Faults: ``slow`` multiplies all times, ``silent`` lets open streams go silent while new
    connections work, ``load_lag_s`` delays load reports, ``cache_gap`` drops every n-th cache
    event.
    """

    def __init__(self, name: str, slots: int, timing: Timing, fencing: bool = True):
        super().__init__()
        self.name = name
        self.slots = slots
        self.timing = timing
        self.fencing = fencing
        self.slow = 1.0
        self.silent = False
        self.load_lag_s = 2.0
        self.cache_lag_s = 1.0
        self.cache_gap = 5
        self.cache_size = 256
        self.tokens_generated = 0
        self.tokens_wasted = 0
        self.peak_requests = 0
        self.highest_fence = -1
        self.orders: list[dict] = []
        self._running: list[Stream] = []
        self._waiting: list[Stream] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_events: list[tuple[float, int, str, str]] = []
        self._loads: deque[tuple[float, int, int]] = deque(maxlen=10_000)
        self._wake = asyncio.Event()
        self._step_ends = 0.0

    async def start(self, host: str, port: int) -> int:
        """Starts to listen and to make tokens."""
        self._loop = asyncio.create_task(self._run())
        return await super().start(host, port)

    async def _run(self) -> None:
        while True:
            self._admit()
            if not self._running:
                self._wake.clear()
                await self._wake.wait()
                continue
            await self._step()

    def _admit(self) -> None:
        self._waiting.sort(key=lambda s: (s.priority, s.arrived_at))
        while self._waiting and len(self._running) < self.slots:
            stream = self._waiting.pop(0)
            stream.prefilled_at = time.monotonic() + self._prefill_s(stream)
            self._running.append(stream)
        self.peak_requests = max(self.peak_requests, len(self._running) + len(self._waiting))
        self._loads.append((time.monotonic(), len(self._running), len(self._waiting)))

    def _prefill_s(self, stream: Stream) -> float:
        prefix = stream.prompt[:64]
        cached = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if not cached:
            self._note_cache("stored", prefix)
        if len(self._cache) > self.cache_size:
            self._note_cache("removed", self._cache.popitem(last=False)[0])
        timing = self.timing
        return (timing.cached_prefill_s if cached else timing.prefill_s) * self.slow

    def _note_cache(self, kind: str, prefix: str) -> None:
        number = len(self._cache_events)
        self._cache_events.append((time.monotonic(), number, kind, prefix))

    async def _step(self) -> None:
        await self._wait_step()
        now = time.monotonic()
        for stream in tuple(self._running):
            if now < stream.prefilled_at:
                continue
            stream.tokens.put_nowait(stream.next_index)
            stream.next_index += 1
            self.tokens_generated += 1
            if "[crash]" in stream.prompt and stream.next_index >= 2:
                os._exit(1)
            if stream.next_index >= stream.length:
                self._running.remove(stream)
                stream.tokens.put_nowait(None)

    async def _wait_step(self) -> None:
        """Sleeps to the end of the step; a late wake-up is made up for in the next."""
        step_s = (self.timing.step_s + self.timing.stream_s * len(self._running)) * self.slow
        now = time.monotonic()
        begun = self._step_ends if now - self._step_ends < step_s else now
        self._step_ends = begun + step_s
        await asyncio.sleep(self._step_ends - now)

    async def serve(self, connection, request) -> None:
        """Answers completions, reports and orders."""
        path = request.target.partition("?")[0]
        if path == "/load":
            await send_json(connection, self._load_report())
        elif path == "/cache-events":
            await send_json(connection, self._late_cache_events())
        elif path == "/stats":
            counts = {
                "made": self.tokens_generated,
                "wasted": self.tokens_wasted,
                "peak": self.peak_requests,
            }
            await send_json(connection, counts)
        elif path == "/count":
            text = unquote(request.target.partition("?")[2])
            held = sum(text in stream.prompt for stream in self._running + self._waiting)
            await send_json(connection, {"held": held})
        elif path == "/orders":
            await self._take_order(connection, msgspec.json.decode(request.body))
        else:
            await self._complete(connection, request)

    def _load_report(self) -> dict:
        horizon = time.monotonic() - self.load_lag_s
        running = waiting = 0
        for at, run, wait in self._loads:
            if at > horizon:
                break
            running, waiting = run, wait
        return {"running": running, "waiting": waiting}

    def _late_cache_events(self) -> list[dict]:
        horizon = time.monotonic() - self.cache_lag_s
        return [
            {"number": number, "kind": kind, "prefix": prefix}
            for at, number, kind, prefix in self._cache_events
            if at <= horizon and number % self.cache_gap
        ]

    async def _take_order(self, connection, order: dict) -> None:
        if self.fencing and order["fence"] < self.highest_fence:
            await send_json(connection, {"refused": "old fence"}, 409)
            return
        self.highest_fence = max(self.highest_fence, order["fence"])
        self.orders.append(order)
        await send_json(connection, {})

    async def _complete(self, connection, request) -> None:
        fields = msgspec.json.decode(request.body)
        chat = "chat" in request.target
        prompt = fields["messages"][-1]["content"] if chat else fields["prompt"]
        if "[reject]" in prompt:
            await send_json(connection, {"error": {"message": "rejected by the model"}}, 400)
            return
        done = len(fields.get("continue_text", "").split())
        now = time.monotonic()
        priority = fields.get("priority", 0)
        stream = Stream(prompt, priority, done, completion_length(prompt), now, now)
        if done < stream.length:
            self._waiting.append(stream)
        else:
            stream.tokens.put_nowait(None)
        self._wake.set()
        watcher = asyncio.create_task(self._watch(connection, stream))
        try:
            await self._send_stream(connection, request, fields, stream, chat)
        except GoneError:
            self.tokens_wasted += stream.tokens.qsize()
            raise
        finally:
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)
            self._forget(stream)

    async def _watch(self, connection, stream: Stream) -> None:
        """Takes a cancelled stream out of the batch at once."""
        await connection.wait_gone()
        self._forget(stream)
        stream.tokens.put_nowait(-1)

    def _forget(self, stream: Stream) -> None:
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)

    async def _send_stream(self, connection, request, fields, stream: Stream, chat: bool) -> None:
        request_id = request.header("x-request-id", "none")
        await connection.start(200, SSE_HEADERS)
        while (index := await self._next_token(connection, stream)) is not None:
            text = token_text(stream.prompt, index)
            last = index == stream.length - 1
            await connection.send(encode_chunk(request_id, text, chat, last))
        if fields.get("stream_options", {}).get("include_usage"):
            usage = {"prompt_tokens": 1, "completion_tokens": stream.length}
            usage["total_tokens"] = stream.length + 1
            chunk = {"id": request_id, "object": "chunk", "choices": [], "usage": usage}
            await connection.send(b"data: " + msgspec.json.encode(chunk) + b"\n\n")
        await connection.send(b"data: [DONE]\n\n")
        await connection.end()

    async def _next_token(self, connection, stream: Stream) -> int | None:
        """Waits for a token; raises GoneError when the request was cancelled."""
        index = await stream.tokens.get()
        while self.silent and not connection.is_gone():
            await asyncio.sleep(0.1)
        if connection.is_gone():
            raise GoneError("cancelled")
        return index


def encode_chunk(request_id: str, text: str, chat: bool, last: bool) -> bytes:
    """Returns one event of a stream."""
    finish = "stop" if last else None
    choice = {"index": 0, "finish_reason": finish}
    choice |= {"delta": {"content": text}} if chat else {"text": text}
    kind = "chat.completion.chunk" if chat else "text_completion"
    chunk = {"id": request_id, "object": kind, "created": 0, "model": "", "choices": [choice]}
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
