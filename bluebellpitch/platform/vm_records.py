"""Records of entry VMs in the store, used by other VMs and by operators to find them."""

import asyncio

import msgspec

from bluebellpitch.decoding import DECODE_ERRORS
from bluebellpitch.errors import ProtocolError
from bluebellpitch.http1 import parse_remote_address
from bluebellpitch.logs import log
from bluebellpitch.platform.records import decode_values
from bluebellpitch.platform.store import Appended, StoreClient
from bluebellpitch.verdicts import MayHaveRun

VM_RECORDS_TOPIC = "keyed.bluebellpitch-vms"


class VmRecord(msgspec.Struct, frozen=True):
    """Addresses and availability zone of an entry VM.

    ``bus`` is its address for other entry VMs, ``admin`` the one for operators.
    """

    bus: str
    zone: str
    admin: str = ""


_decoder = msgspec.json.Decoder(VmRecord)


def encode_vm_record(record: VmRecord) -> bytes:
    """Encodes a record for the store."""
    return msgspec.json.encode(record)


def decode_vm_record(data: bytes) -> VmRecord:
    """Decodes a record; raises ProtocolError."""
    try:
        record = _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise ProtocolError(f"VM record is malformed: {error}") from error
    parse_remote_address(record.bus)
    return record


async def read_vm_records(client: StoreClient) -> dict[str, VmRecord]:
    """Returns the records by VM name; raises the errors of StoreClient.

    They include VMs that stopped without removing their record.
    """
    records = (await client.read_newest(VM_RECORDS_TOPIC)).records
    return decode_values(records, lambda _, data: decode_vm_record(data), log_malformed_vm_record)


def log_malformed_vm_record(vm: str, error: ProtocolError) -> None:
    """Logs a record that could not be decoded."""
    log("WARNING", "member_malformed", vm=vm, error=error)


async def register_vm(client: StoreClient, vm: str, record: VmRecord) -> bool:
    """Writes the record of a VM; returns whether the store confirmed it."""
    verdict = await client.put(VM_RECORDS_TOPIC, vm, encode_vm_record(record))
    log("INFO", "registered", verdict=verdict.name, reason=verdict.reason)
    return isinstance(verdict, Appended)


async def unregister_vm(client: StoreClient, vm: str, timeout_s: float) -> None:
    """Deletes the record of a VM, if the store answers in time."""
    try:
        async with asyncio.timeout(timeout_s):
            verdict = await client.put(VM_RECORDS_TOPIC, vm, b"")
    except TimeoutError:
        verdict = MayHaveRun(f"no answer within {timeout_s:.2f} s")
    log("INFO", "unregistered", verdict=verdict.name, reason=verdict.reason)
