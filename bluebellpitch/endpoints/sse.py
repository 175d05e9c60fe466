"""Server-sent events of model engines, handled in bulk: whole events pass as bytes."""

from collections.abc import Iterator

import msgspec

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]"


class Delta(msgspec.Struct, frozen=True):
    """The new text of a chat chunk."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """One choice of a chunk; ``text`` for completions, ``delta`` for chat."""

    text: str | None = None
    delta: Delta = Delta()
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True):
    """Token counts."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class Chunk(msgspec.Struct, frozen=True):
    """One event of a completion stream."""

    id: str = ""
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None


class EventBuffer:
    """Cuts a byte stream after whole events. ``done`` is set by the final marker."""

    def __init__(self):
        self._rest = b""
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events that are complete by now, without the final marker."""
        data = self._rest + data
        end = data.rfind(EVENT_SEPARATOR)
        if end < 0:
            self._rest = data
            return b""
        events, self._rest = data[: end + 2], data[end + 2 :]
        if events.endswith(DONE_EVENT + EVENT_SEPARATOR):
            self.done = True
            events = events[: -len(DONE_EVENT + EVENT_SEPARATOR)]
        return events


def count_events(events: bytes) -> int:
    """Returns how many events the bytes hold."""
    return events.count(EVENT_SEPARATOR)


_decoder = msgspec.json.Decoder(Chunk)


def decode_chunks(events: bytes) -> Iterator[Chunk]:
    """Yields the chunks; skips what is not one."""
    for event in events.split(EVENT_SEPARATOR):
        if not event.startswith(b"data: "):
            continue
        try:
            yield _decoder.decode(event[6:])
        except (msgspec.MsgspecError, UnicodeDecodeError):
            continue


def join_text(events: bytes) -> str:
    """Returns the text of all chunks."""
    choices = (chunk.choices[0] for chunk in decode_chunks(events) if chunk.choices)
    return "".join(choice.text or choice.delta.content or "" for choice in choices)
