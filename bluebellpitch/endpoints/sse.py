"""Server-sent events of model engines, passed on as batches of bytes without being decoded."""

from collections.abc import Iterator

import msgspec

from bluebellpitch.decisions.buffer_budget import BufferBudget, BufferShare
from bluebellpitch.decoding import DECODE_ERRORS
from bluebellpitch.errors import ResponseTooLargeError

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]"
MAX_EVENT_BYTES = 4_194_304


class Delta(msgspec.Struct, frozen=True):
    """The new text of a chat completion chunk."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """One choice of a chunk: ``text`` in completions, ``delta`` in chat completions."""

    text: str | None = None
    delta: Delta = Delta()
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class Chunk(msgspec.Struct, frozen=True):
    """One event of a completion stream."""

    id: str = ""
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None


class EventSplitter:
    """Splits a byte stream at the ends of events; holds an incomplete one in ``buffer``."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES, buffer: BufferShare | None = None):
        self._max_event_bytes = max_event_bytes
        self._buffer = buffer or BufferBudget().open()
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that it completes.

        Raises ResponseTooLargeError when an event has no end within ``max_event_bytes``, or no
        memory is left for it.
        """
        incomplete = self._incomplete
        searched = max(0, len(incomplete) - len(EVENT_SEPARATOR) + 1)
        incomplete += data
        end = incomplete.rfind(EVENT_SEPARATOR, searched)
        events = b""
        if end >= 0:
            end += len(EVENT_SEPARATOR)
            events = bytes(incomplete[:end])
            del incomplete[:end]
        if len(incomplete) > self._max_event_bytes:
            message = f"an event has more than {self._max_event_bytes} bytes"
            raise ResponseTooLargeError(message)
        if not self._buffer.resize(len(incomplete)):
            message = f"an event has {len(incomplete)} bytes, and no memory is left for more"
            raise ResponseTooLargeError(message)
        return events

    @property
    def is_incomplete(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._incomplete)


class EventBuffer:
    """Splits a stream of completions. ``done`` is set after the ``[DONE]`` event."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES, buffer: BufferShare | None = None):
        self._splitter = EventSplitter(max_event_bytes, buffer)
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Adds data and returns the events that it completes, without ``[DONE]``.

        Raises ResponseTooLargeError, as EventSplitter does.
        """
        events = self._splitter.feed(data)
        if events.endswith(DONE_EVENT + EVENT_SEPARATOR):
            self.done = True
            events = events[: -len(DONE_EVENT + EVENT_SEPARATOR)]
        return events


def count_events(events: bytes) -> int:
    """Returns the number of events in ``events``."""
    return events.count(EVENT_SEPARATOR)


def has_data(events: bytes) -> bool:
    """Returns whether any of ``events`` carries data; comments keep a connection open only."""
    return events.startswith(b"data:") or b"\ndata:" in events


def split_events(events: bytes) -> Iterator[bytes]:
    """Yields events one by one, without their ends; what follows the last end is one too."""
    start = 0
    while (end := events.find(EVENT_SEPARATOR, start)) >= 0:
        yield events[start:end]
        start = end + len(EVENT_SEPARATOR)
    yield events[start:]


_chunk_decoder = msgspec.json.Decoder(Chunk)


def decode_chunks(events: bytes) -> Iterator[Chunk]:
    """Yields the decoded chunks; skips events that are malformed or carry no data."""
    for event in split_events(events):
        if not event.startswith(b"data: "):
            continue
        try:
            yield _chunk_decoder.decode(event[6:])
        except DECODE_ERRORS:
            continue


def join_text(events: bytes) -> str:
    """Returns the concatenated text of all chunks."""
    choices = (chunk.choices[0] for chunk in decode_chunks(events) if chunk.choices)
    return "".join(choice.text or choice.delta.content or "" for choice in choices)
