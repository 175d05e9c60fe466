"""Framing of the store's records: four bytes of length, then the record."""

import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from bluebellpitch.errors import ProtocolError

LENGTH = struct.Struct(">I")
HEAD = struct.Struct(">QQ")
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key; ``value`` is None when the key was dropped."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Page:
    """Records from the offset ``start`` on. ``end`` is the offset after the topic's last one."""

    start: int
    end: int
    first_kept: int
    records: tuple[bytes, ...]


def decode_page(data: bytes, start: int) -> Page:
    """Decodes the answer of a read; raises ProtocolError."""
    if len(data) < HEAD.size:
        raise ProtocolError("the store's page has no head")
    end, first_kept = HEAD.unpack_from(data)
    return Page(start, end, first_kept, tuple(split_records(data[HEAD.size :])))


def split_records(data: bytes) -> Iterator[bytes]:
    """Yields framed records; raises ProtocolError."""
    position = 0
    while position < len(data):
        if position + LENGTH.size > len(data):
            raise ProtocolError("the store's page ends inside a length")
        (size,) = LENGTH.unpack_from(data, position)
        position += LENGTH.size
        if position + size > len(data):
            raise ProtocolError("the store's page ends inside a record")
        yield data[position : position + size]
        position += size


def decode_keyed(record: bytes) -> KeyedRecord:
    """Splits a record of a keyed topic; raises ProtocolError."""
    if not record or len(record) < 1 + record[0]:
        raise ProtocolError("a keyed record ends inside its key")
    size = record[0]
    try:
        key = record[1 : 1 + size].decode()
    except UnicodeDecodeError as error:
        raise ProtocolError("a record's key is no text") from error
    return KeyedRecord(key, record[1 + size :] or None)


def decode_each(
    records: Iterable[KeyedRecord],
    decode: Callable[[str, bytes], T],
    report: Callable[[str, ProtocolError], None],
) -> dict[str, T]:
    """Returns the values that are there, decoded, by key; ``report`` takes those that cannot be."""
    decoded = {}
    for record in records:
        if record.value is None:
            continue
        try:
            decoded[record.key] = decode(record.key, record.value)
        except ProtocolError as error:
            report(record.key, error)
    return decoded


def encode_keyed(key: str, value: bytes) -> bytes:
    """Frames one record of a keyed topic; an empty value drops the key."""
    name = key.encode()
    return encode_record(bytes([len(name)]) + name + value)


def encode_record(body: bytes) -> bytes:
    """Frames one record."""
    return LENGTH.pack(len(body)) + body
