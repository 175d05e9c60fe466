"""Bodies of non-streamed completions, assembled from the streams of model engines."""

import msgspec

from bluebellpitch.callers.requests import CompletionRequest
from bluebellpitch.endpoints.sse import Usage, decode_chunks, join_text


class ChatMessage(msgspec.Struct, frozen=True):
    """The message of a chat completion."""

    role: str
    content: str


class ChatChoice(msgspec.Struct, frozen=True):
    """The choice of a chat completion."""

    index: int
    message: ChatMessage
    finish_reason: str


class TextChoice(msgspec.Struct, frozen=True):
    """The choice of a text completion."""

    index: int
    text: str
    finish_reason: str


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of a non-streamed completion in the OpenAI API."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple
    usage: Usage


def assemble_completion(events: bytes, request: CompletionRequest, request_id: str) -> bytes:
    """Returns the events of a stream as the body of one non-streamed completion."""
    text = join_text(events)
    usage, finish_reason = Usage(), "stop"
    for chunk in decode_chunks(events):
        usage = chunk.usage or usage
        finish_reason = next(
            (c.finish_reason for c in chunk.choices if c.finish_reason), finish_reason
        )
    if "chat" in request.target:
        choice = ChatChoice(0, ChatMessage("assistant", text), finish_reason)
        object_type = "chat.completion"
    else:
        choice = TextChoice(0, text, finish_reason)
        object_type = "text_completion"
    body = CompletionBody(request_id, object_type, 0, request.pool.name, (choice,), usage)
    return msgspec.json.encode(body)
