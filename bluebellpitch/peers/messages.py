"""Messages between entry VMs, in msgpack. Times are seconds; ages are relative to sending."""

import msgspec

from bluebellpitch.decisions.control import Snapshot, VmIdentity
from bluebellpitch.errors import ProtocolError
from bluebellpitch.peers.platform_messages import PlatformMessage


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """A VM is alive. ``control_offset`` is its fold's, ``epoch`` the one it has adopted."""

    vm: VmIdentity
    zone: str
    region: str
    draining: bool
    control_offset: int
    epoch: int


class SlotRequest(msgspec.Struct, frozen=True, tag="ask"):
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


class SlotGranted(msgspec.Struct, frozen=True, tag="granted"):
    """A slot is granted, with the usual times to first token and between tokens; 0: unknown."""

    grant: str
    request: str
    attempt: int
    endpoint: str
    address: str
    expected_first_s: float
    expected_between_s: float = 0.0


class SlotRefused(msgspec.Struct, frozen=True, tag="refused"):
    """The broker gives no slot."""

    request: str
    attempt: int
    pool: str
    reason: str
    retry_after_s: float


class SlotPreempted(msgspec.Struct, frozen=True, tag="preempted"):
    """The holder is to give the slot back and ask again."""

    grant: str
    request: str
    reason: str


class SlotRequestCancelled(msgspec.Struct, frozen=True, tag="cancel"):
    """The asker no longer wants a slot."""

    request: str
    pool: str


class SlotReleased(msgspec.Struct, frozen=True, tag="returned"):
    """A slot is given back."""

    grant: str
    request: str
    pool: str
    outcome: str
    first_s: float | None = None
    between_s: float | None = None


class HeldGrantDetails(msgspec.Struct, frozen=True, array_like=True):
    """What a broker has to know of a grant that another one gave."""

    slot_request: SlotRequest
    endpoint: str
    held_s: float


class HeldGrant(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A slot that a VM holds now. ``between_s`` is the present time between tokens.

    ``details`` go along until the broker has been told them: a new broker rebuilds from them.
    """

    grant: str
    between_s: float | None = None
    details: HeldGrantDetails | None = None


class HeldGrantsReport(msgspec.Struct, frozen=True, tag="held"):
    """All slots of one pool and zone that a VM holds; lets a new broker rebuild its state."""

    pool: str
    grants: tuple[HeldGrant, ...]


class LatencyReport(msgspec.Struct, frozen=True, tag="seen"):
    """A time that a holder measured: to the first token, or between tokens."""

    grant: str
    pool: str
    measure: str
    seconds: float


class ForwardedMessage(msgspec.Struct, frozen=True, tag="forwarded"):
    """A message that reached a VM which no longer brokers the pool; passed on once."""

    origin: str
    message: SlotRequest | SlotRequestCancelled | SlotReleased | HeldGrantsReport | LatencyReport


class LoanRequest(msgspec.Struct, frozen=True, tag="loan_request"):
    """A broker asks for the floors of this VM in a pool. ``asked_at`` is the broker's clock."""

    pool: str
    epoch: int
    asked_at: float


class LoanGranted(msgspec.Struct, frozen=True, tag="loan_given"):
    """The floors are lent, under the epoch that was asked for."""

    pool: str
    epoch: int
    asked_at: float


class LoanReturned(msgspec.Struct, frozen=True, tag="loan_returned"):
    """A broker gives floors back before their lease ends."""

    pool: str


class StrikeReport(msgspec.Struct, frozen=True, tag="strike"):
    """An endpoint died under a request. ``confirm`` asks for a StrikeKnown."""

    fingerprint: str
    attempt: str
    confirm: bool = False


class StrikeAck(msgspec.Struct, frozen=True, tag="strike_known"):
    """The sender of this has noted the strike."""

    attempt: str


class StrikesCleared(msgspec.Struct, frozen=True, tag="strikes_cleared"):
    """A suspected request completed."""

    fingerprint: str


class ControlEntry(msgspec.Struct, frozen=True):
    """One record of the control topic."""

    offset: int
    data: bytes


class ControlRecords(msgspec.Struct, frozen=True, tag="records"):
    """Records of the control topic, for a VM that reads the store late."""

    entries: tuple[ControlEntry, ...]


class SnapshotTransfer(msgspec.Struct, frozen=True, tag="fold"):
    """The whole control fold, for a VM that is too far behind for records."""

    snapshot: Snapshot


Message = (
    PlatformMessage
    | Heartbeat
    | SlotRequest
    | SlotGranted
    | SlotRefused
    | SlotPreempted
    | SlotRequestCancelled
    | SlotReleased
    | HeldGrantsReport
    | LatencyReport
    | ForwardedMessage
    | LoanRequest
    | LoanGranted
    | LoanReturned
    | StrikeReport
    | StrikeAck
    | StrikesCleared
    | ControlRecords
    | SnapshotTransfer
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
