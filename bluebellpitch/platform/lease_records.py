"""Lease records in the store, in one keyed topic for each duty, beside values of the holder."""

from collections.abc import Iterable

import msgspec

from bluebellpitch.decisions.duties.lease import MAX_TOKEN, LeaseRecord
from bluebellpitch.decoding import DECODE_ERRORS
from bluebellpitch.logs import log
from bluebellpitch.platform.records import KeyedRecord

TOPIC_PREFIX = "keyed.bluebellpitch-duty-"
LEASE_KEY = "lease"
# What stands there must run out like a lease, whoever wrote it.
UNKNOWN_LEASE = LeaseRecord(holder="", token=0)

_decoder = msgspec.json.Decoder(LeaseRecord)


def duty_topic(duty: str) -> str:
    """Returns the topic of a duty."""
    return TOPIC_PREFIX + duty


def encode_lease(record: LeaseRecord) -> KeyedRecord:
    """Encodes a lease for the store."""
    return KeyedRecord(LEASE_KEY, msgspec.json.encode(record))


def decode_lease(data: bytes) -> LeaseRecord:
    """Decodes a lease; one that is malformed is held by nobody known."""
    try:
        record = _decoder.decode(data)
    except DECODE_ERRORS as error:
        log("WARNING", "lease_malformed", error=error)
        return UNKNOWN_LEASE
    if not 0 <= record.token < MAX_TOKEN:
        log("WARNING", "lease_malformed", token=record.token)
        return UNKNOWN_LEASE
    return record


def split_lease(records: Iterable[KeyedRecord]) -> tuple[LeaseRecord | None, dict[str, bytes]]:
    """Returns the lease among the newest records of a duty, and the holder's values by key."""
    values_by_key = {record.key: record.value for record in records if record.value is not None}
    data = values_by_key.pop(LEASE_KEY, None)
    return (None if data is None else decode_lease(data)), values_by_key
