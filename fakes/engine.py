"""Fake model engine: continuous batching, prefix cache, priorities, cancellation, resumption.

Markers in the prompt control it: ``[len=40]`` generates 40 tokens, ``[crash]`` exits the process
after two, ``[reject]`` returns status 400. Token i of a prompt is always the same, so a client can
check that a completion is whole.
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

from bluebellpitch.errors import DisconnectedError
from fakes.server import FakeServer, send_json

LENGTH_PATTERN = re.compile(r"\[len=(\d+)\]")
DEFAULT_LENGTH = 16
SSE_HEADERS = [("Content-Type", "text/event-stream")]


def token_text(prompt: str, index: int) -> str:
    """Returns the text of one token of the completion of a prompt."""
    return f"{zlib.crc32(f'{index}:{prompt}'.encode()):08x} "


def expected_completion(prompt: str) -> str:
    """Returns the text of the whole completion of a prompt."""
    return "".join(token_text(prompt, index) for index in range(completion_length(prompt)))


def completion_length(prompt: str) -> int:
    """Returns how many tokens the completion of a prompt has."""
    match = LENGTH_PATTERN.search(prompt)
    return int(match.group(1)) if match else DEFAULT_LENGTH


@dataclass
class Stream:
    """A running or waiting request. Times are monotonic seconds."""

    prompt: str
    priority: int
    next_index: int
    length: int
    prefilled_at: float
    arrived_at: float
    tokens: asyncio.Queue = field(default_factory=asyncio.Queue)


@dataclass(frozen=True)
class Timing:
    """Durations of the engine's work.

    A decoding step takes ``step_s`` plus ``stream_s`` for each running stream. Prefill takes
    ``cached_prefill_s`` if the prefix of the prompt is cached, else ``prefill_s``.
    """

    step_s: float = 0.008
    stream_s: float = 0.0005
    prefill_s: float = 0.02
    cached_prefill_s: float = 0.005


class FakeEngine(FakeServer):
    """Serves completions.

    Faults: ``slow`` multiplies all durations; ``silent`` stops open streams without closing them
    while new connections are accepted; ``load_lag_s`` and ``cache_lag_s`` delay load reports and
    cache events; ``cache_gap`` drops every n-th cache event.
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
        self.commands: list[dict] = []
        self._running: list[Stream] = []
        self._waiting: list[Stream] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_events: list[tuple[float, int, str, str]] = []
        self._load_history: deque[tuple[float, int, int]] = deque(maxlen=10_000)
        self._has_work = asyncio.Event()
        self._step_ends_at = 0.0

    async def start(self, host: str, port: int) -> int:
        """Starts to listen and to generate tokens; returns the port."""
        self._batch_task = asyncio.create_task(self._run_batch())
        return await super().start(host, port)

    async def _run_batch(self) -> None:
        while True:
            self._admit_waiting()
            if not self._running:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            await self._run_step()

    def _admit_waiting(self) -> None:
        self._waiting.sort(key=lambda s: (s.priority, s.arrived_at))
        while self._waiting and len(self._running) < self.slots:
            stream = self._waiting.pop(0)
            stream.prefilled_at = time.monotonic() + self._prefill_s(stream)
            self._running.append(stream)
        self.peak_requests = max(self.peak_requests, len(self._running) + len(self._waiting))
        self._load_history.append((time.monotonic(), len(self._running), len(self._waiting)))

    def _prefill_s(self, stream: Stream) -> float:
        prefix = stream.prompt[:64]
        cached = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if not cached:
            self._record_cache_event("stored", prefix)
        if len(self._cache) > self.cache_size:
            self._record_cache_event("removed", self._cache.popitem(last=False)[0])
        timing = self.timing
        return (timing.cached_prefill_s if cached else timing.prefill_s) * self.slow

    def _record_cache_event(self, kind: str, prefix: str) -> None:
        number = len(self._cache_events)
        self._cache_events.append((time.monotonic(), number, kind, prefix))

    async def _run_step(self) -> None:
        await self._wait_step_end()
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

    async def _wait_step_end(self) -> None:
        """Sleeps until the step ends; a late wake-up shortens the sleep of the next step."""
        step_s = (self.timing.step_s + self.timing.stream_s * len(self._running)) * self.slow
        now = time.monotonic()
        started_at = self._step_ends_at if now - self._step_ends_at < step_s else now
        self._step_ends_at = started_at + step_s
        await asyncio.sleep(self._step_ends_at - now)

    async def serve(self, connection, request) -> None:
        """Serves completions, load reports, cache events, counts, and control commands."""
        path = request.target.partition("?")[0]
        if path == "/load":
            await send_json(connection, self._load_report())
        elif path == "/cache-events":
            await send_json(connection, self._visible_cache_events())
        elif path == "/stats":
            counts = {
                "made": self.tokens_generated,
                "wasted": self.tokens_wasted,
                "peak": self.peak_requests,
            }
            await send_json(connection, counts)
        elif path == "/count":
            text = unquote(request.target.partition("?")[2])
            count = sum(text in stream.prompt for stream in self._running + self._waiting)
            await send_json(connection, {"held": count})
        elif path == "/orders":
            await self._apply_command(connection, msgspec.json.decode(request.body))
        else:
            await self._serve_completion(connection, request)

    def _load_report(self) -> dict:
        visible_until = time.monotonic() - self.load_lag_s
        running = waiting = 0
        for reported_at, running_then, waiting_then in self._load_history:
            if reported_at > visible_until:
                break
            running, waiting = running_then, waiting_then
        return {"running": running, "waiting": waiting}

    def _visible_cache_events(self) -> list[dict]:
        visible_until = time.monotonic() - self.cache_lag_s
        return [
            {"number": number, "kind": kind, "prefix": prefix}
            for recorded_at, number, kind, prefix in self._cache_events
            if recorded_at <= visible_until and number % self.cache_gap
        ]

    async def _apply_command(self, connection, command: dict) -> None:
        if self.fencing and command["fence"] < self.highest_fence:
            await send_json(connection, {"refused": "old fence"}, 409)
            return
        self.highest_fence = max(self.highest_fence, command["fence"])
        self.commands.append(command)
        await send_json(connection, {})

    async def _serve_completion(self, connection, request) -> None:
        fields = msgspec.json.decode(request.body)
        is_chat = "chat" in request.target
        prompt = fields["messages"][-1]["content"] if is_chat else fields["prompt"]
        if "[reject]" in prompt:
            await send_json(connection, {"error": {"message": "rejected by the model"}}, 400)
            return
        done_tokens = len(fields.get("continue_text", "").split())
        now = time.monotonic()
        priority = fields.get("priority", 0)
        stream = Stream(prompt, priority, done_tokens, completion_length(prompt), now, now)
        if done_tokens < stream.length:
            self._waiting.append(stream)
        else:
            stream.tokens.put_nowait(None)
        self._has_work.set()
        disconnect_task = asyncio.create_task(self._cancel_on_disconnect(connection, stream))
        try:
            await self._send_stream(connection, request, fields, stream, is_chat)
        except DisconnectedError:
            self.tokens_wasted += stream.tokens.qsize()
            raise
        finally:
            disconnect_task.cancel()
            await asyncio.gather(disconnect_task, return_exceptions=True)
            self._remove(stream)

    async def _cancel_on_disconnect(self, connection, stream: Stream) -> None:
        """Removes a stream from the batch as soon as its client disconnects."""
        await connection.wait_disconnected()
        self._remove(stream)
        stream.tokens.put_nowait(-1)

    def _remove(self, stream: Stream) -> None:
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._waiting:
            self._waiting.remove(stream)

    async def _send_stream(
        self, connection, request, fields, stream: Stream, is_chat: bool
    ) -> None:
        request_id = request.header("x-request-id", "none")
        await connection.send_head(200, SSE_HEADERS)
        while (index := await self._next_token(connection, stream)) is not None:
            text = token_text(stream.prompt, index)
            is_last = index == stream.length - 1
            await connection.send_data(encode_chunk(request_id, text, is_chat, is_last))
        if fields.get("stream_options", {}).get("include_usage"):
            usage = {"prompt_tokens": 1, "completion_tokens": stream.length}
            usage["total_tokens"] = stream.length + 1
            chunk = {"id": request_id, "object": "chunk", "choices": [], "usage": usage}
            await connection.send_data(b"data: " + msgspec.json.encode(chunk) + b"\n\n")
        await connection.send_data(b"data: [DONE]\n\n")
        await connection.end_response()

    async def _next_token(self, connection, stream: Stream) -> int | None:
        """Waits for a token; raises DisconnectedError if the client has disconnected."""
        index = await stream.tokens.get()
        while self.silent and not connection.is_disconnected():
            await asyncio.sleep(0.1)
        if connection.is_disconnected():
            raise DisconnectedError("cancelled")
        return index


def encode_chunk(request_id: str, text: str, is_chat: bool, is_last: bool) -> bytes:
    """Returns one server-sent event of a stream."""
    finish_reason = "stop" if is_last else None
    choice = {"index": 0, "finish_reason": finish_reason}
    choice |= {"delta": {"content": text}} if is_chat else {"text": text}
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    chunk = {"id": request_id, "object": kind, "created": 0, "model": "", "choices": [choice]}
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
