"""Callers' requests, checked against the table and typed."""

import hashlib
from dataclasses import dataclass
from uuid import uuid4

import msgspec

from bluebellpitch.constants import HORIZON_MARGIN_S
from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.rows import ClassRow, MemberRow, PoolRow, Table
from bluebellpitch.errors import BadRequestError
from bluebellpitch.http1 import HttpRequest

CLASS_HEADER = "x-bluebellpitch-class"
DEADLINE_HEADER = "x-bluebellpitch-deadline-ms"
MADE_AT_HEADER = "x-bluebellpitch-made-at"
KEY_HEADER = "idempotency-key"
KEY_MAX_CHARACTERS = 255
PREFIX_CHARACTERS = 256
COMPLETION_TARGETS = ("/v1/completions", "/v1/chat/completions")
SERVICE_PREFIX = "/services/"
HOP_HEADERS = frozenset(
    "connection keep-alive te trailer transfer-encoding upgrade host content-length"
    " authorization expect proxy-authorization".split()
)


class CompletionFields(msgspec.Struct, frozen=True):
    """The fields of a completion request that the router reads."""

    model: str
    stream: bool = False
    prompt: str | list[str] | None = None
    messages: list[dict] | None = None
    n: int | None = None


@dataclass(frozen=True, slots=True)
class Caller:
    """Who asks, for what class of service. ``arrived_at`` is monotonic, in seconds."""

    request_id: str
    member: MemberRow
    row: ClassRow
    arrived_at: float
    patience_s: float


@dataclass(frozen=True, slots=True)
class CompletionJob:
    """A completion. ``fields`` is the caller's JSON body, which the engine gets."""

    caller: Caller
    pool: PoolRow
    target: str
    fields: dict
    stream: bool
    fingerprint: str
    prefix: str


@dataclass(frozen=True, slots=True)
class ServiceJob:
    """A call of a plain service. ``made_at`` is in Unix seconds."""

    caller: Caller
    pool: PoolRow
    request: HttpRequest
    target: str
    repeatable: bool
    key: str
    body_digest: str
    made_at: float


def identify_caller(request: HttpRequest, table: Table, now: float) -> Caller:
    """Returns the caller; raises BadRequestError."""
    member = find_member(request, table)
    name = request.header(CLASS_HEADER) or member.default_class
    row = table.classes_by_name.get(name)
    if row is None:
        known = ", ".join(sorted(table.classes_by_name))
        raise BadRequestError(400, "unknown_class", f"class {name!r} is none of: {known}")
    return Caller(uuid4().hex, member, row, now, read_patience(request, row))


def find_member(request: HttpRequest, table: Table) -> MemberRow:
    """Returns the member whose credential the request bears."""
    scheme, _, token = request.header("authorization").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise BadRequestError(401, "no_credential", "send Authorization: Bearer CREDENTIAL")
    digest = hashlib.sha256(token.strip().encode("latin-1", "replace")).hexdigest()
    member = table.members_by_credential.get(digest)
    if member is None:
        raise BadRequestError(401, "wrong_credential", "the credential is not any member's")
    return member


def read_patience(request: HttpRequest, row: ClassRow) -> float:
    """Returns how long the request may wait for a slot, in seconds."""
    text = request.header(DEADLINE_HEADER)
    if not text:
        return row.max_wait_ms / 1000
    try:
        deadline_s = float(text) / 1000
    except ValueError:
        deadline_s = float("nan")
    if deadline_s <= 0:
        raise BadRequestError(400, "deadline_past", "the deadline has passed")
    if not deadline_s < 1e9:
        raise BadRequestError(400, "bad_deadline", f"{DEADLINE_HEADER} must be milliseconds")
    return min(deadline_s, row.max_wait_ms / 1000)


def parse_completion_request(request: HttpRequest, table: Table, now: float) -> CompletionJob:
    """Returns the job; raises BadRequestError."""
    caller = identify_caller(request, table, now)
    fields, typed = decode_fields(request.body)
    pool = table.pools_by_name.get(typed.model)
    if pool is None or pool.kind != "model":
        known = ", ".join(sorted(p.name for p in table.pools_by_name.values() if p.kind == "model"))
        raise BadRequestError(404, "unknown_model", f"model {typed.model!r} is none of: {known}")
    wanted = "messages" if "chat" in request.target else "prompt"
    if not fields.get(wanted):
        raise BadRequestError(400, "bad_request", f"the field {wanted!r} is missing or empty")
    if typed.n not in (None, 1):
        raise BadRequestError(400, "bad_request", "the field 'n' must be 1")
    text = msgspec.json.encode(fields[wanted]).decode()
    fingerprint = digest_text(caller.member.name, text)
    prefix = digest_text(pool.name, text[:PREFIX_CHARACTERS])
    return CompletionJob(caller, pool, request.target, fields, typed.stream, fingerprint, prefix)


def decode_fields(body: bytes) -> tuple[dict, CompletionFields]:
    """Returns the JSON body as it is, and typed."""
    try:
        fields = msgspec.json.decode(body, type=dict)
        return fields, msgspec.convert(fields, CompletionFields)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadRequestError(400, "bad_json", f"the body is not a request: {error}") from error


def parse_service_request(
    request: HttpRequest, table: Table, now: float, wall: float
) -> ServiceJob:
    """Returns the job; ``wall`` is in Unix seconds. Raises BadRequestError."""
    caller = identify_caller(request, table, now)
    name, _, rest = request.target.removeprefix(SERVICE_PREFIX).partition("/")
    pool = table.pools_by_name.get(name)
    if pool is None or pool.kind != "service":
        raise BadRequestError(404, "unknown_service", f"there is no service {name!r}")
    repeatable = request.method in pool.repeatable
    key = read_key(request, caller.member)
    digest = digest_text(request.method, "/" + rest, request.body)
    made_at = read_made_at(request, wall)
    return ServiceJob(caller, pool, request, "/" + rest, repeatable, key, digest, made_at)


def read_key(request: HttpRequest, member: MemberRow) -> str:
    """Returns the member's idempotency key, or nothing."""
    key = request.header(KEY_HEADER)
    if len(key) > KEY_MAX_CHARACTERS:
        raise BadRequestError(
            400, "bad_key", f"{KEY_HEADER} has over {KEY_MAX_CHARACTERS} characters"
        )
    return f"{member.name}/{key}" if key else ""


def read_made_at(request: HttpRequest, wall: float) -> float:
    """Returns when the request was made: as its caller says, else now."""
    text = request.header(MADE_AT_HEADER)
    if not text:
        return wall
    try:
        made_at = float(text)
    except ValueError as error:
        message = f"{MADE_AT_HEADER} must be seconds since the Unix epoch"
        raise BadRequestError(400, "bad_made_at", message) from error
    if not 0 <= made_at <= wall + HORIZON_MARGIN_S / 2:
        raise BadRequestError(400, "bad_made_at", f"{MADE_AT_HEADER} lies in the future")
    return made_at


def forwarded_headers(request: HttpRequest) -> tuple[tuple[str, str], ...]:
    """Returns the headers that a service gets to see."""
    return tuple((k, v) for k, v in request.headers if k not in HOP_HEADERS)
