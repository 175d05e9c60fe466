"""Decodes callers' requests and endpoints' responses, and builds forwarded headers."""

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass

import h11

from bluebellpitch.decoding import parse_milliseconds, parse_whole_number
from bluebellpitch.errors import BadRequestError
from bluebellpitch.http1 import Headers, HttpRequest, decode_headers
from bluebellpitch.logs import log

BEARER_PREFIX = "bearer "
# Hop-by-hop headers, and headers that only the entry VM may set.
STRIPPED_REQUEST_HEADERS = frozenset(
    "connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade content-length expect authorization tenant target-instance "
    "deadline-ms request-priority last-event-id hold pin-ms kv-backup kv-from kv-fetch "
    "expected-version".split()
)
STRIPPED_RESPONSE_HEADERS = frozenset(
    "connection keep-alive proxy-connection te trailer transfer-encoding upgrade".split()
)
LIMIT_HEADER = "server-limit"
# Timeout of requests that have no deadline header.
DEFAULT_TIMEOUT_S = 60.0
MAX_TIMEOUT_S = 1e9
# More tokens than that are none of a prompt.
MAX_TOKEN_DIGITS = 9
MAX_LOAD = 1e9
LEAVING_HEADER = "server-leaving"
MAX_PAUSE_S = 3_600.0
EVENT_ID_PATTERN = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
# An id that fits into the head of a request.
MAX_EVENT_ID_DIGITS = 1_000
# The id of an event at which a stream cannot be resumed.
UNUSABLE_EVENT_ID = ""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; engines cache what they computed for it under ``id``."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Model and token counts of a generation. Its last part is not shared with other requests."""

    model: str = ""
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other prompts may have too, in their order."""
        return tuple(part.id for part in self.parts[:-1])


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A decoded request. ``timeout_s`` is how long the caller waits for the response."""

    id: str
    method: str
    target: str
    host: str
    path: str
    api_key: str
    timeout_s: float
    last_event_id: str | None
    prompt: Prompt
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reports. ``slowdown`` is 1.0 if its VM runs at normal speed."""

    running: int
    waiting: int
    slots: int
    slowdown: float


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an endpoint's response.

    ``did_not_run`` is set if the endpoint guarantees that it did not process the request.
    """

    status: int
    request_id: str
    did_not_run: bool
    is_wrong_instance: bool
    is_signed: bool
    is_encoded: bool
    closes_connection: bool
    # Idle timeout of the connection at the endpoint, if it announced one.
    keep_alive_s: float | None
    load: LoadReport | None
    # Requests per second that the endpoint takes from all VMs together, if it names a limit.
    limit_per_s: float | None
    headers: tuple[tuple[str, str], ...]
    # The endpoint wants no new requests until it starts again.
    is_leaving: bool = False
    # How long the endpoint wants nothing from this VM, if it turned a request away for so long.
    pause_s: float | None = None


def decode_request(request: HttpRequest) -> RoutedRequest:
    """Decodes a request; raises BadRequestError for malformed numeric headers."""
    authorization = request.header("authorization")
    return RoutedRequest(
        id=request.header("request-id"),
        method=request.method,
        target=request.target,
        host=strip_port(request.header("host")),
        path=request.target.partition("?")[0],
        api_key=(
            authorization[len(BEARER_PREFIX) :].strip()
            if authorization.lower().startswith(BEARER_PREFIX)
            else ""
        ),
        timeout_s=read_timeout(request),
        last_event_id=read_last_event_id(request),
        prompt=decode_prompt(request),
        headers=request.headers,
        body=request.body,
    )


def strip_port(host: str) -> str:
    """Returns the host name of a Host header in lower case, without its port."""
    return host.partition(":")[0].lower()


def read_timeout(request: HttpRequest) -> float:
    """Returns how long the caller waits, in seconds, at most MAX_TIMEOUT_S.

    Raises BadRequestError.
    """
    text = request.header("deadline-ms")
    if not text:
        return DEFAULT_TIMEOUT_S
    timeout_s = parse_milliseconds(text, MAX_TIMEOUT_S)
    if timeout_s is None or timeout_s < 0:
        raise malformed_header(request, "deadline-ms is not a number of milliseconds")
    return timeout_s


def malformed_header(request: HttpRequest, message: str) -> BadRequestError:
    """Returns the error of a request with a header that cannot be read."""
    return BadRequestError(400, "malformed_header", message, request.header("request-id"))


def read_last_event_id(request: HttpRequest) -> str | None:
    """Returns the id after which a stream goes on, as the caller has it; raises BadRequestError.

    It stays text: a float would make another id of a large one.
    """
    text = request.header("last-event-id")
    if not text:
        return None
    if not is_event_id(text):
        raise malformed_header(request, "last-event-id is not a whole number")
    return text


def is_event_id(text: str) -> bool:
    """Returns whether a stream can be resumed after an event with this id."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_EVENT_ID_DIGITS


def decode_prompt(request: HttpRequest) -> Prompt:
    """Decodes the headers on the prompt; malformed parts are skipped."""
    tokens_in, _, tokens_out = request.header("token-usage").partition(",")
    parts = (part.strip().partition(":") for part in request.header("prompt-prefix").split(","))
    return Prompt(
        model=request.header("model"),
        tokens_in=parse_whole_number(tokens_in.strip(), MAX_TOKEN_DIGITS) or 0,
        tokens_out=parse_whole_number(tokens_out.strip(), MAX_TOKEN_DIGITS) or 0,
        parts=tuple(
            PromptPart(id, size)
            for id, _, tokens in parts
            if (size := parse_whole_number(tokens, MAX_TOKEN_DIGITS)) is not None
        ),
    )


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Values that the entry VM sets in the headers of a forwarded request.

    ``expires_at`` is the deadline, on the clock by which the headers are built.
    """

    endpoint_id: str
    expires_at: float
    member: str
    rank: int | None
    last_event_id: str | None


def build_forwarded_headers(
    request: RoutedRequest, forwarding: ForwardingContext, now: float
) -> Headers:
    """Returns the headers of a request that is sent to the endpoint now."""
    headers = [pair for pair in request.headers if pair[0] not in STRIPPED_REQUEST_HEADERS]
    headers.append(("Deadline-Ms", str(max(1, int((forwarding.expires_at - now) * 1000)))))
    headers.append(("Target-Instance", forwarding.endpoint_id))
    if forwarding.member:
        headers.append(("Tenant", forwarding.member))
    if forwarding.rank is not None:
        headers.append(("Request-Priority", str(min(9, max(0, forwarding.rank)))))
    if forwarding.last_event_id is not None:
        headers.append(("Last-Event-Id", forwarding.last_event_id))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers.append(("Content-Length", str(len(request.body))))
    return headers


def decode_response_head(response: h11.Response) -> ResponseHead:
    """Decodes the head of an endpoint's response."""
    headers = decode_headers(response.headers)
    values_by_name = dict(headers)
    status = response.status_code
    return ResponseHead(
        status=status,
        request_id=values_by_name.get("request-id", ""),
        did_not_run="not-executed" in values_by_name or status == 421,
        is_wrong_instance=status == 421,
        is_signed="response-signature" in values_by_name,
        is_encoded=values_by_name.get("content-encoding", "identity") != "identity",
        closes_connection=values_by_name.get("connection", "").lower() == "close",
        keep_alive_s=decode_keep_alive(values_by_name.get("keep-alive", "")),
        load=decode_load(values_by_name.get("server-load", "")),
        limit_per_s=decode_limit(values_by_name.get(LIMIT_HEADER)),
        headers=tuple(pair for pair in headers if pair[0] not in STRIPPED_RESPONSE_HEADERS),
        is_leaving=decode_leaving(values_by_name.get(LEAVING_HEADER, "")),
        pause_s=decode_pause(values_by_name.get("retry-after")) if status == 503 else None,
    )


def decode_pause(text: str | None) -> float | None:
    """Returns a named pause in seconds; None without one, or if it is malformed or too long."""
    if text is None:
        return None
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if not 0 <= pause_s <= MAX_PAUSE_S:
        log("WARNING", "pause_malformed", text=text[:40])
        return None
    return pause_s


def decode_leaving(text: str) -> bool:
    """Returns whether an answer says that its endpoint is leaving."""
    if text not in ("", "0", "1"):
        log("WARNING", "leaving_malformed", text=text[:40])
    return text == "1"


def decode_keep_alive(text: str) -> float | None:
    """Returns the timeout in a Keep-Alive header, in seconds, or None."""
    match = re.search(r"timeout=([0-9]{1,9})(?![0-9])", text)
    return float(match[1]) if match else None


def decode_load(text: str) -> LoadReport | None:
    """Decodes a load report; returns None if it is malformed."""
    try:
        values = [float(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(values) < 3 or not all(0 <= value <= MAX_LOAD for value in values):
        return None
    slowdown = values[3] / 100 if len(values) > 3 else 1.0
    return LoadReport(int(values[0]), int(values[1]), int(values[2]), slowdown)


@dataclass(frozen=True, slots=True)
class Announcements:
    """What an answer says of the future of its endpoint.

    ``limit_per_s`` is in requests per second, None if it names none.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    # How long the endpoint wants nothing from this VM, if it turned a request away for so long.
    pause_s: float | None = None


def read_announcements(status: int, headers: Iterable[tuple[str, str]]) -> Announcements:
    """Returns what a response announces."""
    values_by_name = {name.lower(): value for name, value in headers}
    return Announcements(
        limit_per_s=decode_limit(values_by_name.get(LIMIT_HEADER)),
        is_leaving=decode_leaving(values_by_name.get(LEAVING_HEADER, "")),
        pause_s=decode_pause(values_by_name.get("retry-after")) if status == 503 else None,
    )


def decode_limit(text: str | None) -> float | None:
    """Returns a named limit in requests per second; None without one, or if it is malformed."""
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        limit = math.nan
    if not 0 <= limit < math.inf:
        log("WARNING", "limit_malformed", text=text[:40])
        return None
    return limit


def find_last_event_id(events: bytes) -> str | None:
    """Returns the last id in a sequence of complete events; None if there is none.

    It is UNUSABLE_EVENT_ID if no stream can be resumed there: an earlier one would repeat events.
    """
    ids = EVENT_ID_PATTERN.findall(events)
    if not ids:
        return None
    text = ids[-1].strip().decode("latin-1")
    return text if is_event_id(text) else UNUSABLE_EVENT_ID


def build_error_headers(retry_after_s: float | None) -> Headers:
    """Returns the headers of an error response from the entry VM itself."""
    headers = [("Content-Type", "application/json")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    return headers
