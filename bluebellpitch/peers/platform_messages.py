"""Messages between entry VMs on the prepared platform. Times are seconds, ages as of sending."""

import msgspec


class WorkRequest(msgspec.Struct, frozen=True, tag="work_asked"):
    """Asks the broker of a zone for an engine. ``age_s`` is since the request came in.

    ``reply_to`` is the bus address of the VM that asks; ``is_passed_on`` when another zone's broker
    sent it here.
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
    is_passed_on: bool = False


class WorkQueued(msgspec.Struct, frozen=True, tag="work_queued"):
    """The work waits at the broker; the next message about it comes within ``within_s``."""

    work_id: str
    within_s: float


class WorkGranted(msgspec.Struct, frozen=True, tag="work_granted"):
    """The work may start at an endpoint. ``broker_address`` takes what is told about it."""

    work_id: str
    pool: str
    endpoint_id: str
    address: str
    zone: str
    started_ms: int
    broker_address: str


class WorkRefused(msgspec.Struct, frozen=True, tag="work_refused"):
    """The work gets no engine."""

    work_id: str
    reason: str
    retry_after_s: float


class FirstTokenReport(msgspec.Struct, frozen=True, tag="work_read"):
    """The first token came, ``waited_s`` after the request was sent."""

    work_id: str
    pool: str
    waited_s: float
    slowdown: float


class WorkEnded(msgspec.Struct, frozen=True, tag="work_done"):
    """The work has left its engine, or is no longer wanted."""

    work_id: str
    pool: str
    outcome: str
    longest_gap_s: float = 0.0


class ZoneLoad(msgspec.Struct, frozen=True, tag="zone_load"):
    """What a prompt costs in a zone, as seconds of waiting, told by the broker there.

    A long one costs a fixed part and one for each token. ``queue_s_per_token`` is the time that
    all engines there need for a token. ``sessions`` are the last shared parts of the prompts that
    were granted there since the load was told before.
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
    """An entry VM is alive. ``version`` is that of its configuration, -1 for none.

    The next beat follows within ``interval_s``.
    """

    zone: str
    address: str
    draining: bool
    version: int
    interval_s: float


class FreshnessRequest(msgspec.Struct, frozen=True, tag="freshness_asked"):
    """Asks how old the knowledge of the configuration is. ``asked_at`` is the asker's clock."""

    asked_at: float
    version: int
    reply_to: str


class FreshnessReply(msgspec.Struct, frozen=True, tag="freshness_told"):
    """``version`` was the newest ``age_s`` before this was sent."""

    asked_at: float
    version: int
    age_s: float


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="configuration_told"):
    """A configuration as the store holds it."""

    data: bytes


class RecordsUpdate(msgspec.Struct, frozen=True, tag="records_told"):
    """Records of a topic from ``start`` up to ``next``, as the zone's reader has read them.

    A value of None drops the key.
    """

    topic: str
    start: int
    next: int
    records: tuple[tuple[str, bytes | None], ...]


class RecordsRequest(msgspec.Struct, frozen=True, tag="records_asked"):
    """Asks for the records of a topic from ``start`` on."""

    topic: str
    start: int
    reply_to: str


PlatformMessage = (
    WorkRequest
    | WorkQueued
    | WorkGranted
    | WorkRefused
    | FirstTokenReport
    | WorkEnded
    | ZoneLoad
    | VmHeartbeat
    | FreshnessRequest
    | FreshnessReply
    | ConfigurationUpdate
    | RecordsUpdate
    | RecordsRequest
)
