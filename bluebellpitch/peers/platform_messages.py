"""Messages between entry VMs on the prepared platform. Times are in seconds, ages as of sending."""

import msgspec

from bluebellpitch.peers.retry_messages import RetryLoan, RetryLoanRequest


class WorkRequest(msgspec.Struct, frozen=True, tag="work_asked"):
    """Requests an engine from the broker of a zone. ``age_s`` is since the request arrived.

    ``reply_to`` is the bus address of the requesting VM. ``must_stay`` is set if the request may
    not spill over: it comes from ``home_zone``, or another zone did not answer.
    """

    work_id: str
    pool: str
    rank: int
    tokens_in: int
    tokens_out: int
    parts: tuple[tuple[str, int], ...]
    target_s: float
    gap_s: float
    age_s: float
    left_s: float
    avoid: tuple[str, ...]
    vm: str
    reply_to: str
    must_stay: bool = msgspec.field(default=False, name="is_passed_on")
    member: str = ""
    home_zone: str = ""


class WorkQueued(msgspec.Struct, frozen=True, tag="work_queued"):
    """The work is queued at the broker; the next message about it follows within ``within_s``.

    ``spillover_to`` is the address of the broker of another zone, if the work went there; that
    broker confirms it with ``within_s`` 0, again and again while the work waits there.
    """

    work_id: str
    within_s: float
    spillover_to: str = msgspec.field(default="", name="forwarded_to")


class WorkGranted(msgspec.Struct, frozen=True, tag="work_granted"):
    """The work may start at an endpoint. Reports about it go to ``broker_address``.

    ``limit_per_s`` is the limit that the broker knows of the endpoint.
    """

    work_id: str
    pool: str
    endpoint_id: str
    address: str
    zone: str
    started_ms: int
    broker_address: str
    limit_per_s: float | None = None


class EndpointLimit(msgspec.Struct, frozen=True, tag="endpoint_limit"):
    """An endpoint named in an answer how many requests it takes per second, or (None) no limit."""

    pool: str
    endpoint_id: str
    started_ms: int
    limit_per_s: float | None


class EndpointLeaving(msgspec.Struct, frozen=True, tag="endpoint_leaving"):
    """An endpoint said in an answer that it leaves."""

    pool: str
    endpoint_id: str
    started_ms: int
    address: str
    zone: str


class WorkRefused(msgspec.Struct, frozen=True, tag="work_refused"):
    """The broker refuses an engine for the work."""

    work_id: str
    reason: str
    retry_after_s: float
    broker_address: str = ""


class FirstTokenReport(msgspec.Struct, frozen=True, tag="work_read"):
    """The first token arrived ``waited_s`` after the request was sent to the engine."""

    work_id: str
    pool: str
    waited_s: float
    slowdown: float


class WorkEnded(msgspec.Struct, frozen=True, tag="work_done"):
    """The work has ended at its engine, or was cancelled."""

    work_id: str
    pool: str
    outcome: str
    longest_gap_s: float = 0.0


class HeldWork(msgspec.Struct, frozen=True, array_like=True):
    """Work that a VM has at an engine, as its broker needs to know it."""

    work_id: str
    endpoint_id: str
    started_ms: int
    rank: int
    tokens_in: int
    tokens_out: int
    parts: tuple[tuple[str, int], ...]
    gap_s: float
    left_s: float
    has_first_token: bool
    member: str = ""


class HeldWorkReport(msgspec.Struct, frozen=True, tag="work_held"):
    """All work of a pool that a VM has at the engines of one zone."""

    pool: str
    vm: str
    works: tuple[HeldWork, ...]


class HeldWorkRequest(msgspec.Struct, frozen=True, tag="held_asked"):
    """A VM that starts to broker a pool in its zone asks what its engines run."""

    pool: str
    zone: str
    reply_to: str


class ZoneLoad(msgspec.Struct, frozen=True, tag="zone_load"):
    """Cost of a prompt in a zone, in seconds of waiting, as reported by the zone's broker.

    A long prompt costs a fixed part plus a part per token. ``queue_s_per_token`` is the time that
    all engines of the zone together need per token. ``sessions`` are the last shared parts of the
    prompts granted in the zone since the previous report.
    """

    pool: str
    zone: str
    long_fixed_s: float
    long_s_per_token: float
    short_cost_s: float
    queue_s_per_token: float
    reply_to: str
    sessions: tuple[str, ...] = ()


class VmHeartbeat(msgspec.Struct, frozen=True, tag="vm_beat"):
    """Liveness of an entry VM. ``version`` is that of its configuration, -1 for none.

    The next heartbeat follows within ``interval_s``.
    """

    zone: str
    address: str
    draining: bool
    version: int
    interval_s: float


class FreshnessRequest(msgspec.Struct, frozen=True, tag="freshness_asked"):
    """Requests the age of a peer's configuration. ``asked_at`` is on the requester's clock."""

    asked_at: float
    version: int
    reply_to: str


class FreshnessReply(msgspec.Struct, frozen=True, tag="freshness_told"):
    """``version`` was the newest configuration ``age_s`` before this was sent from ``reply_to``.

    The store's ``era`` has lasted ``era_age_s``; infinity if the sender has seen none before.
    """

    asked_at: float
    version: int
    age_s: float
    reply_to: str = ""
    era: int | None = None
    era_age_s: float = float("inf")


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="configuration_asked"):
    """Requests the configuration of a peer if its version is newer than ``version``."""

    version: int
    reply_to: str


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="configuration_told"):
    """A configuration in its stored form."""

    data: bytes


class RecordsUpdate(msgspec.Struct, frozen=True, tag="records_told"):
    """Records of a topic from ``start`` up to but excluding ``next``.

    A value of None deletes the key. The reply to a request repeats its ``asked_at``: the sender
    held all records ``age_s`` before it replied. With ``is_complete`` the records are the newest of
    all keys instead. ``era`` is the store's era to which the offsets belong, None if it names none.
    With ``is_by_reader`` the age goes back to a read of the zone's reader, the sender.
    """

    topic: str
    start: int
    next: int
    records: tuple[tuple[str, bytes | None], ...]
    asked_at: float | None = None
    age_s: float = 0.0
    is_complete: bool = False
    era: int | None = None
    is_by_reader: bool = False


class RecordsRequest(msgspec.Struct, frozen=True, tag="records_asked"):
    """Requests the records of a topic from ``start`` on, and their age.

    ``asked_at`` is on the requester's clock. ``needs_all`` is set if the requester cannot read
    the store or has missed records: the reply may then hold all keys, should some records in
    between be missing, or be of another ``era``.
    """

    topic: str
    start: int
    reply_to: str
    asked_at: float | None = None
    needs_all: bool = False
    era: int | None = None


class EndpointCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of one incarnation of an endpoint, ``age_s`` ago.

    ``suspects`` are the young runs that were lost: the id of each request, and the ids of the parts
    that its prompt may share. ``cleared_parts`` survived in runs that began later.
    """

    incarnation: str
    age_s: float
    suspects: tuple[tuple[str, tuple[str, ...]], ...]
    cleared_parts: tuple[str, ...]


class CrashEvidenceUpdate(msgspec.Struct, frozen=True, tag="crash_evidence"):
    """What a VM knows of crashes; ``known_parts`` are suspected parts that survived before them."""

    crashes: tuple[EndpointCrash, ...]
    known_parts: tuple[str, ...]


class CrashEvidenceRequest(msgspec.Struct, frozen=True, tag="crash_evidence_asked"):
    """Introduces a VM that the receiver may not know; it may request all evidence of crashes."""

    reply_to: str
    wants_reply: bool


class DutyAnnouncement(msgspec.Struct, frozen=True, tag="duty_held"):
    """The sender holds a duty under a fencing token; reports for it go to ``reply_to``.

    ``offset`` is that of the lease's last record in the store. An empty ``reply_to`` says that the
    sender gave the duty back.
    """

    duty: str
    token: int
    offset: int
    reply_to: str


class UsageCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests that began to run in a window, by member, as counted so far by one VM."""

    vm: str
    window: int
    counts_by_member: dict[str, int]


class UsageUpdate(msgspec.Struct, frozen=True, tag="usage_told"):
    """Counts of one VM or, from the collector of a zone, of several; each replaces an older one."""

    counts: tuple[UsageCounts, ...]


class ZoneDemand(msgspec.Struct, frozen=True, tag="zone_demand"):
    """Demand on the engines of a pool in one zone, as the zone's broker sees it.

    ``tokens_per_s`` are the prompt tokens that arrived per second, ``arrivals_per_s`` the requests,
    ``engine_tokens_per_s`` what one engine of the zone can read, ``busy_share`` the share of the
    engines' reading time in use, ``running`` and ``slots`` their places in use and in all,
    ``waiting`` the requests in the queue and ``refused_per_s`` those refused for want of capacity.
    """

    pool: str
    zone: str
    tokens_per_s: float
    arrivals_per_s: float
    engine_tokens_per_s: float
    busy_share: float
    running: int
    slots: int
    waiting: int
    refused_per_s: float


PlatformMessage = (
    WorkRequest
    | WorkQueued
    | WorkGranted
    | EndpointLimit
    | EndpointLeaving
    | WorkRefused
    | FirstTokenReport
    | WorkEnded
    | HeldWorkReport
    | HeldWorkRequest
    | ZoneLoad
    | VmHeartbeat
    | FreshnessRequest
    | FreshnessReply
    | ConfigurationRequest
    | ConfigurationUpdate
    | RecordsUpdate
    | RecordsRequest
    | CrashEvidenceUpdate
    | CrashEvidenceRequest
    | DutyAnnouncement
    | UsageUpdate
    | ZoneDemand
    | RetryLoanRequest
    | RetryLoan
)
