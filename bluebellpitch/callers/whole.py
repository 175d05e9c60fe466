"""Whole answers of model engines, put together from their streams."""

import msgspec

from bluebellpitch.callers.requests import CompletionJob
from bluebellpitch.endpoints.sse import Usage, decode_chunks, join_text


class Message(msgspec.Struct, frozen=True):
    """The message of a whole chat answer."""

    role: str
    content: str


class ChatChoice(msgspec.Struct, frozen=True):
    """The choice of a whole chat answer."""

    index: int
    message: Message
    finish_reason: str


class TextChoice(msgspec.Struct, frozen=True):
    """The choice of a whole completion."""

    index: int
    text: str
    finish_reason: str


class Whole(msgspec.Struct, frozen=True):
    """A whole answer, as OpenAI clients read it."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple
    usage: Usage


def assemble(events: bytes, job: CompletionJob, request_id: str) -> bytes:
    """Returns a stream's events as one whole answer."""
    text = join_text(events)
    usage, finish = Usage(), "stop"
    for chunk in decode_chunks(events):
        usage = chunk.usage or usage
        finish = next((c.finish_reason for c in chunk.choices if c.finish_reason), finish)
    if "chat" in job.target:
        choice = ChatChoice(0, Message("assistant", text), finish)
        kind = "chat.completion"
    else:
        choice = TextChoice(0, text, finish)
        kind = "text_completion"
    whole = Whole(request_id, kind, 0, job.pool.name, (choice,), usage)
    return msgspec.json.encode(whole)
