"""Records by which entry VMs, and operators, find entry VMs in the store."""

import msgspec

from bluebellpitch.errors import ProtocolError
from bluebellpitch.http1 import parse_address
from bluebellpitch.logs import log
from bluebellpitch.platform.store import StoreClient

MEMBERS_TOPIC = "keyed.bluebellpitch-vms"


class MemberRecord(msgspec.Struct, frozen=True):
    """One entry VM: where it listens for others and for operators, and its availability zone."""

    bus: str
    zone: str
    admin: str = ""


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


async def read_members(client: StoreClient) -> dict[str, MemberRecord]:
    """Returns the records by name of VM; raises as the client does.

    A VM that stopped without taking its record away is still among them.
    """
    records = {}
    for record in (await client.newest(MEMBERS_TOPIC)).records:
        if record.value is None:
            continue
        try:
            records[record.key] = decode_member(record.value)
        except ProtocolError as error:
            log("WARNING", "member_malformed", vm=record.key, error=error)
    return records
