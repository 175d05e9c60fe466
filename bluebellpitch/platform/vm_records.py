"""Records by which entry VMs, and operators, find entry VMs in the store."""

import msgspec

from bluebellpitch.errors import ProtocolError
from bluebellpitch.http1 import parse_address
from bluebellpitch.logs import log
from bluebellpitch.platform.records import decode_values
from bluebellpitch.platform.store import Appended, StoreClient

VM_RECORDS_TOPIC = "keyed.bluebellpitch-vms"


class VmRecord(msgspec.Struct, frozen=True):
    """One entry VM: where it listens for others and for operators, and its availability zone."""

    bus: str
    zone: str
    admin: str = ""


_decoder = msgspec.json.Decoder(VmRecord)


def encode_vm_record(record: VmRecord) -> bytes:
    """Returns the record as the store keeps it."""
    return msgspec.json.encode(record)


def decode_vm_record(data: bytes) -> VmRecord:
    """Returns the record; raises ProtocolError."""
    try:
        record = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the VM's record is malformed: {error}") from error
    parse_address(record.bus)
    return record


async def read_vm_records(client: StoreClient) -> dict[str, VmRecord]:
    """Returns the records by name of VM; raises as the client does.

    A VM that stopped without taking its record away is still among them.
    """
    records = (await client.read_newest(VM_RECORDS_TOPIC)).records
    return decode_values(records, lambda _, data: decode_vm_record(data), log_malformed_vm_record)


def log_malformed_vm_record(vm: str, error: ProtocolError) -> None:
    """Logs a record that is none."""
    log("WARNING", "member_malformed", vm=vm, error=error)


async def register_vm(client: StoreClient, vm: str, record: VmRecord) -> bool:
    """Writes the record of a VM; returns whether it is there for sure."""
    verdict = await client.put(VM_RECORDS_TOPIC, vm, encode_vm_record(record))
    log("INFO", "registered", verdict=verdict.name, reason=verdict.reason)
    return isinstance(verdict, Appended)


async def unregister_vm(client: StoreClient, vm: str) -> None:
    """Takes the record of a VM away."""
    verdict = await client.put(VM_RECORDS_TOPIC, vm, b"")
    log("INFO", "unregistered", verdict=verdict.name, reason=verdict.reason)
