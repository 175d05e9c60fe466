"""Parses and validates requests of callers against the table."""

import hashlib
from dataclasses import dataclass
from uuid import uuid4

import msgspec

from bluebellpitch.constants import HORIZON_MARGIN_S
from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.rows import ClassRow, MemberRow, PoolRow, Table
from bluebellpitch.decoding import DECODE_ERRORS, parse_milliseconds
from bluebellpitch.errors import BadRequestError
from bluebellpitch.http1 import HttpRequest

CLASS_HEADER = "x-bluebellpitch-class"
DEADLINE_HEADER = "x-bluebellpitch-deadline-ms"
MADE_AT_HEADER = "x-bluebellpitch-made-at"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
IDEMPOTENCY_KEY_MAX_LENGTH = 255
PROMPT_PREFIX_LENGTH = 256
COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
SERVICE_PATH_PREFIX = "/services/"
EXCLUDED_REQUEST_HEADERS = frozenset(
    "connection keep-alive te trailer transfer-encoding upgrade host content-length"
    " authorization expect proxy-authorization".split()
)


class CompletionFields(msgspec.Struct, frozen=True):
    """The body fields of a completion request that this system reads."""

    model: str
    stream: bool = False
    prompt: str | list[str] | None = None
    messages: list[dict] | None = None
    n: int | None = None


@dataclass(frozen=True, slots=True)
class Caller:
    """The member and class of a request.

    ``arrived_at`` is in monotonic seconds; ``max_wait_s`` bounds the wait for a slot.
    """

    request_id: str
    member: MemberRow
    service_class: ClassRow
    arrived_at: float
    max_wait_s: float


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A completion request. ``body`` is the caller's JSON body, forwarded to the engine."""

    caller: Caller
    pool: PoolRow
    target: str
    body: dict
    stream: bool
    fingerprint: str
    prefix_digest: str


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request to a plain service. ``made_at`` is in Unix seconds."""

    caller: Caller
    pool: PoolRow
    http_request: HttpRequest
    target: str
    is_idempotent: bool
    idempotency_key: str
    digest: str
    made_at: float


def identify_caller(request: HttpRequest, table: Table, now: float) -> Caller:
    """Returns the caller of a request; raises BadRequestError."""
    member = authenticate_member(request, table)
    name = request.header(CLASS_HEADER) or member.default_class
    service_class = table.classes_by_name.get(name)
    if service_class is None:
        known = ", ".join(sorted(table.classes_by_name))
        raise BadRequestError(400, "unknown_class", f"class {name!r} is none of: {known}")
    return Caller(uuid4().hex, member, service_class, now, read_max_wait(request, service_class))


def authenticate_member(request: HttpRequest, table: Table) -> MemberRow:
    """Returns the member whose bearer token the request carries; raises BadRequestError."""
    scheme, _, token = request.header("authorization").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise BadRequestError(401, "no_credential", "send Authorization: Bearer CREDENTIAL")
    digest = hashlib.sha256(token.strip().encode("latin-1", "replace")).hexdigest()
    member = table.members_by_credential.get(digest)
    if member is None:
        raise BadRequestError(401, "wrong_credential", "the credential belongs to no member")
    return member


def read_max_wait(request: HttpRequest, service_class: ClassRow) -> float:
    """Returns the longest wait for a slot, in seconds: the deadline, capped by the class."""
    text = request.header(DEADLINE_HEADER)
    if not text:
        return service_class.max_wait_ms / 1000
    wait_s = parse_milliseconds(text, service_class.max_wait_ms / 1000)
    if wait_s is None:
        raise BadRequestError(400, "bad_deadline", f"{DEADLINE_HEADER} must be milliseconds")
    if wait_s <= 0:
        raise BadRequestError(400, "deadline_past", "the deadline has passed")
    return wait_s


def parse_completion_request(request: HttpRequest, table: Table, now: float) -> CompletionRequest:
    """Returns the typed request; raises BadRequestError."""
    caller = identify_caller(request, table, now)
    body, fields = decode_body(request.body)
    pool = table.pools_by_name.get(fields.model)
    if pool is None or pool.kind != "model":
        known = ", ".join(sorted(p.name for p in table.pools_by_name.values() if p.kind == "model"))
        raise BadRequestError(404, "unknown_model", f"model {fields.model!r} is none of: {known}")
    prompt_field = "messages" if "chat" in request.target else "prompt"
    if not body.get(prompt_field):
        raise BadRequestError(400, "bad_request", f"the field {prompt_field!r} is missing or empty")
    if fields.n not in (None, 1):
        raise BadRequestError(400, "bad_request", "the field 'n' must be 1")
    text = msgspec.json.encode(body[prompt_field]).decode()
    fingerprint = digest_text(caller.member.name, text)
    prefix_digest = digest_text(pool.name, text[:PROMPT_PREFIX_LENGTH])
    return CompletionRequest(
        caller, pool, request.target, body, fields.stream, fingerprint, prefix_digest
    )


def decode_body(body: bytes) -> tuple[dict, CompletionFields]:
    """Returns the decoded JSON body, and the fields of it that are read here."""
    try:
        decoded = msgspec.json.decode(body, type=dict)
        return decoded, msgspec.convert(decoded, CompletionFields)
    except DECODE_ERRORS as error:
        raise BadRequestError(400, "bad_json", f"the body is invalid: {error}") from error


def parse_service_request(
    request: HttpRequest, table: Table, now: float, unix_now: float
) -> ServiceRequest:
    """Returns the typed request; ``unix_now`` is in Unix seconds. Raises BadRequestError."""
    caller = identify_caller(request, table, now)
    name, _, rest = request.target.removeprefix(SERVICE_PATH_PREFIX).partition("/")
    pool = table.pools_by_name.get(name)
    if pool is None or pool.kind != "service":
        raise BadRequestError(404, "unknown_service", f"there is no service {name!r}")
    is_idempotent = request.method in pool.repeatable
    idempotency_key = read_idempotency_key(request, caller.member)
    digest = digest_text(request.method, "/" + rest, request.body)
    made_at = read_made_at(request, unix_now)
    return ServiceRequest(
        caller, pool, request, "/" + rest, is_idempotent, idempotency_key, digest, made_at
    )


def read_idempotency_key(request: HttpRequest, member: MemberRow) -> str:
    """Returns the idempotency key, qualified by the member, or an empty string."""
    key = request.header(IDEMPOTENCY_KEY_HEADER)
    if len(key) > IDEMPOTENCY_KEY_MAX_LENGTH:
        raise BadRequestError(
            400,
            "bad_key",
            f"{IDEMPOTENCY_KEY_HEADER} has more than {IDEMPOTENCY_KEY_MAX_LENGTH} characters",
        )
    return f"{member.name}/{key}" if key else ""


def read_made_at(request: HttpRequest, unix_now: float) -> float:
    """Returns when the request was made according to its header, by default now."""
    text = request.header(MADE_AT_HEADER)
    if not text:
        return unix_now
    try:
        made_at = float(text)
    except ValueError as error:
        message = f"{MADE_AT_HEADER} must be seconds since the Unix epoch"
        raise BadRequestError(400, "bad_made_at", message) from error
    if not 0 <= made_at <= unix_now + HORIZON_MARGIN_S / 2:
        raise BadRequestError(400, "bad_made_at", f"{MADE_AT_HEADER} is negative or in the future")
    return made_at


def forwarded_headers(request: HttpRequest) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are forwarded to a service."""
    return tuple((k, v) for k, v in request.headers if k not in EXCLUDED_REQUEST_HEADERS)
