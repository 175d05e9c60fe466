"""Decodes callers' requests and endpoints' answers, and writes the requests that go on."""

import re
from dataclasses import dataclass

import h11

from bluebellpitch.errors import BadRequestError
from bluebellpitch.http1 import Headers, HttpRequest

BEARER_PREFIX = "bearer "
# Headers that concern one connection, and those that are this system's to set.
STRIPPED_REQUEST_HEADERS = frozenset(
    "connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade content-length expect authorization tenant target-instance "
    "deadline-ms request-priority last-event-id hold pin-ms kv-backup kv-from kv-fetch "
    "expected-version".split()
)
STRIPPED_RESPONSE_HEADERS = frozenset(
    "connection keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
)
# Longest wait assumed for a caller that does not say how long it waits.
DEFAULT_TIMEOUT_S = 60.0
EVENT_ID_PATTERN = re.compile(rb"^id: ?(\d+)\s*$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; engines keep what they read of it under ``id``."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Size of a generation in tokens. The last part belongs to the request alone."""

    model: str = ""
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request, decoded. ``patience_s`` is how long the caller waits."""

    id: str
    method: str
    target: str
    host: str
    path: str
    api_key: str
    timeout_s: float
    last_event_id: int | None
    prompt: Prompt
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint says of its load. ``slowdown`` is 1.0 where its VM is as fast as usual."""

    running: int
    waiting: int
    slots: int
    slowdown: float


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an endpoint's answer. ``did_not_run`` is the endpoint's own promise."""

    status: int
    request_id: str
    did_not_run: bool
    is_wrong_instance: bool
    is_signed: bool
    is_encoded: bool
    closes_connection: bool
    # Seconds that the endpoint keeps an idle connection, if it says so.
    keep_alive_s: float | None
    load: LoadReport | None
    headers: tuple[tuple[str, str], ...]


def decode_request(request: HttpRequest) -> RoutedRequest:
    """Returns the typed request; raises BadRequestError for numbers that are none."""
    patience_ms = read_numeric_header(request, "deadline-ms")
    last_event = read_numeric_header(request, "last-event-id")
    key = request.header("authorization")
    return RoutedRequest(
        id=request.header("request-id"),
        method=request.method,
        target=request.target,
        host=strip_port(request.header("host")),
        path=request.target.partition("?")[0],
        api_key=key[len(BEARER_PREFIX) :].strip() if key.lower().startswith(BEARER_PREFIX) else "",
        timeout_s=DEFAULT_TIMEOUT_S if patience_ms is None else patience_ms / 1000,
        last_event_id=None if last_event is None else int(last_event),
        prompt=decode_prompt(request),
        headers=request.headers,
        body=request.body,
    )


def strip_port(host: str) -> str:
    """Returns the host's name in lower case."""
    return host.partition(":")[0].lower()


def read_numeric_header(request: HttpRequest, name: str) -> float | None:
    """Returns a header as a number; raises BadRequestError."""
    text = request.header(name)
    if not text:
        return None
    try:
        value = float(text)
    except ValueError as error:
        raise BadRequestError(400, "malformed_header", f"{name} is not a number") from error
    if not 0 <= value < 1e12:
        raise BadRequestError(400, "malformed_header", f"{name} is out of range")
    return value


def decode_prompt(request: HttpRequest) -> Prompt:
    """Returns the size of the generation; parts that cannot be read are left out."""
    tokens_in, _, tokens_out = request.header("token-usage").partition(",")
    parts = (part.strip().partition(":") for part in request.header("prompt-prefix").split(","))
    return Prompt(
        model=request.header("model"),
        tokens_in=int(tokens_in) if tokens_in.strip().isdecimal() else 0,
        tokens_out=int(tokens_out) if tokens_out.strip().isdecimal() else 0,
        parts=tuple(PromptPart(id, int(size)) for id, _, size in parts if size.isdecimal()),
    )


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """What this system adds to a request that goes on to an endpoint."""

    endpoint_id: str
    remaining_s: float
    member: str
    rank: int | None
    last_event_id: int | None


def build_forwarded_headers(request: RoutedRequest, forwarding: ForwardingContext) -> Headers:
    """Returns the headers that the endpoint gets."""
    headers = [pair for pair in request.headers if pair[0] not in STRIPPED_REQUEST_HEADERS]
    headers.append(("Deadline-Ms", str(max(1, int(forwarding.remaining_s * 1000)))))
    headers.append(("Target-Instance", forwarding.endpoint_id))
    if forwarding.member:
        headers.append(("Tenant", forwarding.member))
    if forwarding.rank is not None:
        headers.append(("Request-Priority", str(min(9, max(0, forwarding.rank)))))
    if forwarding.last_event_id is not None:
        headers.append(("Last-Event-Id", str(forwarding.last_event_id)))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers.append(("Content-Length", str(len(request.body))))
    return headers


def decode_response_head(response: h11.Response) -> ResponseHead:
    """Returns the typed head of an endpoint's answer."""
    headers = tuple((name.decode(), value.decode("latin-1")) for name, value in response.headers)
    by_name = dict(headers)
    status = response.status_code
    return ResponseHead(
        status=status,
        request_id=by_name.get("request-id", ""),
        did_not_run="not-executed" in by_name or status == 421,
        is_wrong_instance=status == 421,
        is_signed="response-signature" in by_name,
        is_encoded=by_name.get("content-encoding", "identity") != "identity",
        closes_connection=by_name.get("connection", "").lower() == "close",
        keep_alive_s=decode_keep_alive(by_name.get("keep-alive", "")),
        load=decode_load(by_name.get("server-load", "")),
        headers=tuple(pair for pair in headers if pair[0] not in STRIPPED_RESPONSE_HEADERS),
    )


def decode_keep_alive(text: str) -> float | None:
    """Returns the idle timeout in seconds."""
    found = re.search(r"timeout=(\d+)", text)
    return float(found[1]) if found else None


def decode_load(text: str) -> LoadReport | None:
    """Returns the load, or None for what cannot be read."""
    try:
        figures = [float(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(figures) < 3:
        return None
    slowdown = figures[3] / 100 if len(figures) > 3 else 1.0
    return LoadReport(int(figures[0]), int(figures[1]), int(figures[2]), slowdown)


def find_last_event_id(events: bytes) -> int | None:
    """Returns the id of the last event among whole events."""
    found = EVENT_ID_PATTERN.findall(events)
    return int(found[-1]) if found else None


def build_error_headers(retry_after_s: float | None) -> Headers:
    """Returns the headers of this system's own answers."""
    headers = [("Content-Type", "application/json")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    return headers
