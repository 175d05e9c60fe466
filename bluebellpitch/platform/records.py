"""Framing of the store's records: four bytes of length, then the record."""

import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from bluebellpitch.errors import ProtocolError

RECORD_LENGTH = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key; ``value`` is None when the key was dropped."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """Records from the offset ``start`` on. ``end`` is the offset after the topic's last one."""

    start_offset: int
    end_offset: int
    oldest_offset: int
    records: tuple[bytes, ...]


def decode_page(data: bytes, start_offset: int) -> Page:
    """Decodes the answer of a read; raises ProtocolError."""
    if len(data) < PAGE_HEADER.size:
        raise ProtocolError("the store's page has no head")
    end, first_kept = PAGE_HEADER.unpack_from(data)
    return Page(start_offset, end, first_kept, tuple(split_records(data[PAGE_HEADER.size :])))


def split_records(data: bytes) -> Iterator[bytes]:
    """Yields framed records; raises ProtocolError."""
    position = 0
    while position < len(data):
        if position + RECORD_LENGTH.size > len(data):
            raise ProtocolError("the store's page ends inside a length")
        (size,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        if position + size > len(data):
            raise ProtocolError("the store's page ends inside a record")
        yield data[position : position + size]
        position += size


def decode_keyed_record(record: bytes) -> KeyedRecord:
    """Splits a record of a keyed topic; raises ProtocolError."""
    if not record or len(record) < 1 + record[0]:
        raise ProtocolError("a keyed record ends inside its key")
    size = record[0]
    try:
        key = record[1 : 1 + size].decode()
    except UnicodeDecodeError as error:
        raise ProtocolError("a record's key is no text") from error
    return KeyedRecord(key, record[1 + size :] or None)


def decode_values(
    records: Iterable[KeyedRecord],
    decode: Callable[[str, bytes], T],
    on_error: Callable[[str, ProtocolError], None],
) -> dict[str, T]:
    """Returns the values that are there, decoded, by key; ``report`` takes those that cannot be."""
    decoded = {}
    for record in records:
        if record.value is None:
            continue
        try:
            decoded[record.key] = decode(record.key, record.value)
        except ProtocolError as error:
            on_error(record.key, error)
    return decoded


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Frames one record of a keyed topic; an empty value drops the key."""
    name = key.encode()
    return encode_record(bytes([len(name)]) + name + value)


def encode_record(body: bytes) -> bytes:
    """Frames one record."""
    return RECORD_LENGTH.pack(len(body)) + body
