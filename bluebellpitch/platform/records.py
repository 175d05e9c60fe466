"""Framing of the store's records: a four-byte length, then the record."""

import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from bluebellpitch.errors import ProtocolError

RECORD_LENGTH = struct.Struct(">I")
# End offset of the topic, then the offset of its oldest record.
PAGE_HEADER = struct.Struct(">QQ")
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A value of a key in a keyed topic; ``value`` is None if the record deletes the key."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a topic, the first at ``start_offset``.

    ``end_offset`` is the offset after the topic's last record. ``era`` is that of the store's
    answer: an offset of another era means another record.
    """

    start_offset: int
    end_offset: int
    oldest_offset: int
    records: tuple[bytes, ...]
    era: int | None = None


def decode_page(data: bytes, start_offset: int, era: int | None = None) -> Page:
    """Decodes the response to a read; raises ProtocolError."""
    if len(data) < PAGE_HEADER.size:
        raise ProtocolError("page from the store is shorter than its header")
    end_offset, oldest_offset = PAGE_HEADER.unpack_from(data)
    records = tuple(split_records(data[PAGE_HEADER.size :]))
    return Page(start_offset, end_offset, oldest_offset, records, era)


def split_records(data: bytes) -> Iterator[bytes]:
    """Yields the records in a sequence of frames; raises ProtocolError."""
    position = 0
    while position < len(data):
        if position + RECORD_LENGTH.size > len(data):
            raise ProtocolError("page from the store is truncated inside a record length")
        (size,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        if position + size > len(data):
            raise ProtocolError("page from the store is truncated inside a record")
        yield data[position : position + size]
        position += size


def decode_keyed_record(record: bytes) -> KeyedRecord:
    """Decodes a record of a keyed topic; raises ProtocolError."""
    if not record or len(record) < 1 + record[0]:
        raise ProtocolError("keyed record is truncated inside its key")
    key_size = record[0]
    try:
        key = record[1 : 1 + key_size].decode()
    except UnicodeDecodeError as error:
        raise ProtocolError("key of a record is not valid UTF-8") from error
    return KeyedRecord(key, record[1 + key_size :] or None)


def decode_values(
    records: Iterable[KeyedRecord],
    decode: Callable[[str, bytes], T],
    on_error: Callable[[str, ProtocolError], None],
) -> dict[str, T]:
    """Decodes the values of records and returns them by key; deleted keys are skipped.

    ``on_error`` is called for each value that cannot be decoded.
    """
    decoded_by_key = {}
    for record in records:
        if record.value is None:
            continue
        try:
            decoded_by_key[record.key] = decode(record.key, record.value)
        except ProtocolError as error:
            on_error(record.key, error)
    return decoded_by_key


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Frames a record of a keyed topic; an empty value deletes the key."""
    key_bytes = key.encode()
    return encode_record(bytes([len(key_bytes)]) + key_bytes + value)


def encode_record(body: bytes) -> bytes:
    """Frames a record."""
    return RECORD_LENGTH.pack(len(body)) + body
