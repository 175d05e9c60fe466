"""Messages between entry VMs, in msgpack. Times are seconds; ages are relative to sending."""

import msgspec

from bluebellpitch.decisions.control import Snapshot, VmIdentity
from bluebellpitch.errors import ProtocolError
from bluebellpitch.platform.log import Entry


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """A VM is alive. ``control_offset`` is its fold's, ``epoch`` the one it has adopted."""

    vm: VmIdentity
    zone: str
    region: str
    draining: bool
    control_offset: int
    epoch: int


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Asks the broker of a pool for a slot. ``age_s`` is since the request came in."""

    request: str
    attempt: int
    pool: str
    member: str
    class_name: str
    age_s: float
    patience_s: float
    prefix: str = ""
    avoid: tuple[str, ...] = ()
    suspicion: int = 0
    resumable: bool = True
    resumed: bool = False
    remote: bool = False
    preemptions: int = 0


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """A slot is granted, with the usual times to first token and between tokens; 0: unknown."""

    grant: str
    request: str
    attempt: int
    endpoint: str
    address: str
    expected_first_s: float
    expected_between_s: float = 0.0


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The broker gives no slot."""

    request: str
    attempt: int
    pool: str
    reason: str
    retry_after_s: float


class Preempted(msgspec.Struct, frozen=True, tag="preempted"):
    """The holder is to give the slot back and ask again."""

    grant: str
    request: str
    reason: str


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """The asker no longer wants a slot."""

    request: str
    pool: str


class Returned(msgspec.Struct, frozen=True, tag="returned"):
    """A slot is given back."""

    grant: str
    request: str
    pool: str
    outcome: str
    first_s: float | None = None
    between_s: float | None = None


class HeldDetails(msgspec.Struct, frozen=True, array_like=True):
    """What a broker has to know of a grant that another one gave."""

    ask: Ask
    endpoint: str
    held_s: float


class HeldGrant(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A slot that a VM holds now. ``between_s`` is the present time between tokens.

    ``details`` go along until the broker has been told them: a new broker rebuilds from them.
    """

    grant: str
    between_s: float | None = None
    details: HeldDetails | None = None


class Held(msgspec.Struct, frozen=True, tag="held"):
    """All slots of one pool and zone that a VM holds; lets a new broker rebuild its state."""

    pool: str
    grants: tuple[HeldGrant, ...]


class Seen(msgspec.Struct, frozen=True, tag="seen"):
    """A time that a holder measured: to the first token, or between tokens."""

    grant: str
    pool: str
    measure: str
    seconds: float


class Forwarded(msgspec.Struct, frozen=True, tag="forwarded"):
    """A message that reached a VM which no longer brokers the pool; passed on once."""

    origin: str
    message: Ask | Cancel | Returned | Held | Seen


class LoanRequest(msgspec.Struct, frozen=True, tag="loan_request"):
    """A broker asks for the floors of this VM in a pool. ``asked_at`` is the broker's clock."""

    pool: str
    epoch: int
    asked_at: float


class LoanGiven(msgspec.Struct, frozen=True, tag="loan_given"):
    """The floors are lent, under the epoch that was asked for."""

    pool: str
    epoch: int
    asked_at: float


class LoanReturned(msgspec.Struct, frozen=True, tag="loan_returned"):
    """A broker gives floors back before their lease ends."""

    pool: str


class StrikeNoted(msgspec.Struct, frozen=True, tag="strike"):
    """An endpoint died under a request."""

    fingerprint: str
    attempt: str


class StrikesCleared(msgspec.Struct, frozen=True, tag="strikes_cleared"):
    """A suspected request completed."""

    fingerprint: str


class ControlRecords(msgspec.Struct, frozen=True, tag="records"):
    """Records of the control stream, for a VM that reads the log late."""

    entries: tuple[Entry, ...]


class FoldTransfer(msgspec.Struct, frozen=True, tag="fold"):
    """The whole control fold, for a VM that is too far behind for records."""

    snapshot: Snapshot


class WorkAsked(msgspec.Struct, frozen=True, tag="work_asked"):
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


class WorkRead(msgspec.Struct, frozen=True, tag="work_read"):
    """The first token came, ``waited_s`` after the request was sent."""

    work_id: str
    pool: str
    waited_s: float
    slowdown: float


class WorkDone(msgspec.Struct, frozen=True, tag="work_done"):
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


class VmBeat(msgspec.Struct, frozen=True, tag="vm_beat"):
    """An entry VM is alive. ``version`` is that of its configuration, -1 for none."""

    zone: str
    address: str
    draining: bool
    version: int


class FreshnessAsked(msgspec.Struct, frozen=True, tag="freshness_asked"):
    """Asks how old the knowledge of the configuration is. ``asked_at`` is the asker's clock."""

    asked_at: float
    version: int
    reply_to: str


class FreshnessTold(msgspec.Struct, frozen=True, tag="freshness_told"):
    """``version`` was the newest ``age_s`` before this was sent."""

    asked_at: float
    version: int
    age_s: float


class ConfigurationTold(msgspec.Struct, frozen=True, tag="configuration_told"):
    """A configuration as the store holds it."""

    data: bytes


class RecordsTold(msgspec.Struct, frozen=True, tag="records_told"):
    """Records of a topic from ``start`` up to ``next``, as the zone's reader has read them.

    A value of None drops the key.
    """

    topic: str
    start: int
    next: int
    records: tuple[tuple[str, bytes | None], ...]


class RecordsAsked(msgspec.Struct, frozen=True, tag="records_asked"):
    """Asks for the records of a topic from ``start`` on."""

    topic: str
    start: int
    reply_to: str


EntryMessage = (
    WorkAsked
    | WorkQueued
    | WorkGranted
    | WorkRefused
    | WorkRead
    | WorkDone
    | ZoneLoad
    | VmBeat
    | FreshnessAsked
    | FreshnessTold
    | ConfigurationTold
    | RecordsTold
    | RecordsAsked
)

Message = (
    EntryMessage
    | Heartbeat
    | Ask
    | Granted
    | Refused
    | Preempted
    | Cancel
    | Returned
    | Held
    | Seen
    | Forwarded
    | LoanRequest
    | LoanGiven
    | LoanReturned
    | StrikeNoted
    | StrikesCleared
    | ControlRecords
    | FoldTransfer
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender's VM key and hybrid clock stamp."""

    sender: str
    stamp: int
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the envelope as it goes over the wire."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Returns the envelope; raises ProtocolError."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(f"malformed message from a peer: {error}") from error
