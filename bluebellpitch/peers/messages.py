"""Messages between entry VMs, in msgpack. Times are in seconds, ages as of sending."""

import zlib

import msgspec

from bluebellpitch.decisions.control import Snapshot, VmIdentity
from bluebellpitch.decoding import DECODE_ERRORS
from bluebellpitch.errors import ProtocolError
from bluebellpitch.peers.platform_messages import PlatformMessage


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """Liveness of a VM, with its control state's offset and the epoch it has adopted.

    ``store_era`` is the era of the log that it has applied, None if the store names none.
    """

    vm: VmIdentity
    zone: str
    region: str
    draining: bool
    control_offset: int
    epoch: int
    store_era: int | None = None


class SlotRequest(msgspec.Struct, frozen=True, tag="ask"):
    """Requests a slot from the broker of a pool. ``age_s`` is since the request arrived."""

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
    """A slot is granted, with the expected times to first token and between tokens; 0: unknown.

    ``limit_per_s`` is the limit that the broker knows of the endpoint.
    """

    grant: str
    request: str
    attempt: int
    endpoint: str
    address: str
    expected_first_s: float
    expected_between_s: float = 0.0
    limit_per_s: float | None = None


class SlotRefused(msgspec.Struct, frozen=True, tag="refused"):
    """The broker refuses a slot."""

    request: str
    attempt: int
    pool: str
    reason: str
    retry_after_s: float


class SlotPreempted(msgspec.Struct, frozen=True, tag="preempted"):
    """Tells the holder of a slot to release it and request another."""

    grant: str
    request: str
    reason: str


class SlotRequestCancelled(msgspec.Struct, frozen=True, tag="cancel"):
    """The requester no longer needs a slot."""

    request: str
    pool: str


class SlotReleased(msgspec.Struct, frozen=True, tag="returned"):
    """A slot is released, with the outcome and the latencies measured."""

    grant: str
    request: str
    pool: str
    outcome: str
    first_s: float | None = None
    between_s: float | None = None


class HeldGrantDetails(msgspec.Struct, frozen=True, array_like=True):
    """State of a grant that a new broker needs to take it over from its predecessor."""

    slot_request: SlotRequest
    endpoint: str
    held_s: float


class HeldGrant(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """A slot that a VM currently holds. ``between_s`` is the current time between tokens.

    ``details`` are included until they have been sent to the broker: a new broker rebuilds its
    state from them.
    """

    grant: str
    between_s: float | None = None
    details: HeldGrantDetails | None = None


class HeldGrantsReport(msgspec.Struct, frozen=True, tag="held"):
    """All slots of a pool that a VM holds in a zone; a new broker rebuilds its state from these."""

    pool: str
    grants: tuple[HeldGrant, ...]


class LatencyReport(msgspec.Struct, frozen=True, tag="seen"):
    """A latency measured by the holder of a slot: to the first token, or between tokens."""

    grant: str
    pool: str
    measure: str
    seconds: float


class LeavingReport(msgspec.Struct, frozen=True, tag="leaving_told"):
    """An endpoint said in an answer that it leaves."""

    pool: str
    endpoint: str


class LimitReport(msgspec.Struct, frozen=True, tag="limit_named"):
    """An endpoint named how many requests it takes per second, or (None) no limit."""

    pool: str
    endpoint: str
    limit_per_s: float | None


class ForwardedMessage(msgspec.Struct, frozen=True, tag="forwarded"):
    """A message forwarded by a VM that is no longer the pool's broker; forwarded at most once."""

    origin: str
    message: SlotRequest | SlotRequestCancelled | SlotReleased | HeldGrantsReport | LatencyReport


class LoanRequest(msgspec.Struct, frozen=True, tag="loan_request"):
    """A broker requests a loan of this VM's quotas (its parts of members' limits) in a pool.

    ``asked_at`` is on the broker's clock.
    """

    pool: str
    epoch: int
    asked_at: float


class LoanGranted(msgspec.Struct, frozen=True, tag="loan_given"):
    """The quotas are lent to the broker, under the requested epoch."""

    pool: str
    epoch: int
    asked_at: float


class LoanReturned(msgspec.Struct, frozen=True, tag="loan_returned"):
    """A broker returns borrowed quotas before their lease expires."""

    pool: str


class StrikeReport(msgspec.Struct, frozen=True, tag="strike"):
    """An endpoint crashed while serving a request. ``confirm`` requests a StrikeConfirmation."""

    fingerprint: str
    attempt: str
    confirm: bool = False


class StrikeConfirmation(msgspec.Struct, frozen=True, tag="strike_known"):
    """Confirms that the sender has recorded a strike."""

    attempt: str


class StrikesCleared(msgspec.Struct, frozen=True, tag="strikes_cleared"):
    """A request with strikes completed, so its strikes are cleared."""

    fingerprint: str


class ControlEntry(msgspec.Struct, frozen=True):
    """One record of the control topic, at its offset in the log."""

    offset: int
    data: bytes


class ControlRecords(msgspec.Struct, frozen=True, tag="records"):
    """Records of the control topic, sent to a VM that lags behind the store.

    ``store_era`` is the era of the log, None if the store names none.
    """

    entries: tuple[ControlEntry, ...]
    store_era: int | None = None


class SnapshotTransfer(msgspec.Struct, frozen=True, tag="fold"):
    """The complete control state, sent to a VM whose missing records are no longer available."""

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
    | LeavingReport
    | LimitReport
    | ForwardedMessage
    | LoanRequest
    | LoanGranted
    | LoanReturned
    | StrikeReport
    | StrikeConfirmation
    | StrikesCleared
    | ControlRecords
    | SnapshotTransfer
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender's VM key and hybrid logical clock timestamp."""

    sender: str
    stamp: int
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)

# Larger messages are compressed: on a thin link, bulk holds up all that follows it.
COMPRESS_ABOVE_BYTES = 1_024
COMPRESSION_LEVEL = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# First byte of a compressed message; one that is not compressed begins with an array's.
COMPRESSED_MARKER = b"z"


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the envelope in its wire format."""
    data = _encoder.encode(envelope)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return data
    return COMPRESSED_MARKER + zlib.compress(data, COMPRESSION_LEVEL)


def decode_envelope(data: bytes) -> Envelope:
    """Returns the decoded envelope; raises ProtocolError if it is malformed."""
    try:
        if data.startswith(COMPRESSED_MARKER):
            data = decompress(data[len(COMPRESSED_MARKER) :])
        return _decoder.decode(data)
    except (*DECODE_ERRORS, zlib.error) as error:
        raise ProtocolError(f"malformed message from a peer: {error}") from error


def decompress(data: bytes) -> bytes:
    """Returns the contents of a compressed message; raises ProtocolError if they are too large."""
    decompressor = zlib.decompressobj()
    contents = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ProtocolError("message from a peer is truncated or too large")
    return contents
