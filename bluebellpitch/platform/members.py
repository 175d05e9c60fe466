"""Records by which entry VMs find each other in the store."""

import msgspec

from bluebellpitch.errors import ProtocolError
from bluebellpitch.http1 import parse_address

MEMBERS_TOPIC = "keyed.bluebellpitch-vms"


class MemberRecord(msgspec.Struct, frozen=True):
    """One entry VM: where it listens for others, and its availability zone."""

    bus: str
    zone: str


_decoder = msgspec.json.Decoder(MemberRecord)


def encode_member(record: MemberRecord) -> bytes:
    """Returns the record as the store keeps it."""
    return msgspec.json.encode(record)


def decode_member(data: bytes) -> MemberRecord:
    """Returns the record; raises ProtocolError."""
    try:
        record = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the VM's record is malformed: {error}") from error
    parse_address(record.bus)
    return record
