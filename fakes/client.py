"""HTTP client that sends completions and service calls, and measures the responses."""

import time
from dataclasses import dataclass

import msgspec

from bluebellpitch.endpoints.sse import EventBuffer, count_events, join_text
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.http1 import ClientConnection, HttpResponse, fetch


@dataclass(frozen=True)
class StreamedResponse:
    """A response to a streamed completion.

    Times are seconds since the request was sent; status 0 means that no response came.
    """

    status: int
    headers: dict[str, str]
    text: str
    complete: bool
    first_token_s: float = 0.0
    last_token_s: float = 0.0
    tokens: int = 0

    @property
    def token_interval_s(self) -> float:
        """Returns the mean time between tokens; 0 for fewer than two tokens."""
        return (
            (self.last_token_s - self.first_token_s) / (self.tokens - 1) if self.tokens > 1 else 0.0
        )


def build_headers(credential: str, class_name: str = "", **extra: str) -> list[tuple[str, str]]:
    """Returns request headers; names in ``extra`` have underscores in place of dashes."""
    headers = [("Authorization", f"Bearer {credential}"), ("Content-Type", "application/json")]
    if class_name:
        headers.append(("X-Bluebellpitch-Class", class_name))
    return headers + [(name.replace("_", "-"), value) for name, value in extra.items()]


async def stream_completion(
    address: str,
    credential: str,
    prompt: str,
    class_name: str = "",
    model: str = "drafter",
    **extra,
) -> StreamedResponse:
    """Requests a streamed completion and reads the response to its end."""
    body = msgspec.json.encode({"model": model, "prompt": prompt, "stream": True})
    started = time.monotonic()
    connection = None
    try:
        connection = await ClientConnection.open(address, 5.0)
        headers = build_headers(credential, class_name, **extra)
        await connection.send("POST", "/v1/completions", headers, body)
        return await read_stream(connection, started)
    except BluebellpitchError as error:
        return StreamedResponse(0, {}, repr(error), False)
    finally:
        if connection:
            connection.close()


async def read_stream(connection: ClientConnection, started: float) -> StreamedResponse:
    """Reads a streamed response; ``started`` is when it was requested, in monotonic seconds."""
    head = await connection.read_head(600.0)
    headers = {name.decode(): value.decode() for name, value in head.headers}
    if head.status_code != 200:
        parts = [part async for part in connection.read_body(60.0)]
        return StreamedResponse(head.status_code, headers, b"".join(parts).decode(), False)
    buffer, parts = EventBuffer(), []
    first_s = last_s = 0.0
    while (data := await connection.read_data(600.0)) is not None:
        if events := buffer.feed(data):
            last_s = time.monotonic() - started
            first_s = first_s or last_s
            parts.append(events)
    events = b"".join(parts)
    text = join_text(events)
    return StreamedResponse(200, headers, text, buffer.done, first_s, last_s, count_events(events))


async def submit_case(
    address: str,
    credential: str,
    case: str,
    key: str,
    pool: str = "filing",
    timeout_s=20.0,
    **extra,
) -> HttpResponse | None:
    """Submits a case, which is not idempotent; None when no response came.

    ``key`` is the idempotency key; an empty one is not sent.
    """
    body = msgspec.json.encode({"case": case})
    headers = build_headers(credential, **extra)
    if key:
        headers.append(("Idempotency-Key", key))
    try:
        return await fetch(
            address, "POST", f"/services/{pool}/cases", body, headers, timeout_s=timeout_s
        )
    except BluebellpitchError:
        return None


async def look_up_case(
    address: str, credential: str, case: str, pool: str = "filing"
) -> HttpResponse | None:
    """Looks a case up, which is idempotent; None when no response came."""
    headers = build_headers(credential)
    try:
        return await fetch(
            address, "GET", f"/services/{pool}/cases/{case}", b"", headers, timeout_s=20.0
        )
    except BluebellpitchError:
        return None
