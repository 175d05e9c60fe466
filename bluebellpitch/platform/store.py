"""Client of the platform's store: appends, reads from an offset, and the newest of each key.

An append whose answer is lost may have taken effect, or may still do so later. Reads raise
NotSentError, ConnectionLostError, ReadTimeoutError or ProtocolError.
"""

import base64
import binascii
from dataclasses import dataclass

import msgspec

from bluebellpitch.errors import (
    BluebellpitchError,
    ConnectionLostError,
    NotSentError,
    ProtocolError,
)
from bluebellpitch.http1 import ClientConnection, HttpResponse
from bluebellpitch.platform.records import (
    KeyedRecord,
    Page,
    decode_keyed,
    decode_page,
    encode_keyed,
    encode_record,
)
from bluebellpitch.verdicts import DidNotRun, MayHaveRun

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 1.5
PAGES_AT_MOST = 200


class _Item(msgspec.Struct, frozen=True):
    key: str
    value: str
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """One page of the newest records; ``end`` is the offset after the topic's last record."""

    items: tuple[_Item, ...]
    has_more: bool
    end: int


class _Appended(msgspec.Struct, frozen=True):
    offset: int


class _Truncated(msgspec.Struct, frozen=True):
    first: int


@dataclass(frozen=True, slots=True)
class Truncated:
    """The records asked for are gone; ``first_kept`` is the offset of the oldest that is left."""

    first_kept: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are in the topic, from ``offset`` on."""

    offset: int
    name = "appended"
    reason = "complete"


AppendVerdict = Appended | DidNotRun | MayHaveRun


@dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key. ``end`` is the offset to read on from."""

    records: tuple[KeyedRecord, ...]
    end: int


class StoreClient:
    """One kept connection to the store. Owned by one task; calls do not overlap."""

    def __init__(self, address: str):
        self.address = address
        self._connection: ClientConnection | None = None

    async def read(self, topic: str, start: int, wait_ms: int) -> Page | Truncated:
        """Reads from ``start`` on, waiting up to ``wait_ms`` for a first record."""
        target = f"/log-read?topic={topic}&part=0&from={start}&wait_ms={wait_ms}"
        response = await self._call("GET", target, b"", ANSWER_TIMEOUT_S + wait_ms / 1000)
        if response.status == 410:
            return Truncated(decode_json(response.body, _Truncated).first)
        return decode_page(expect_ok(response), start)

    async def newest(self, topic: str) -> Newest:
        """Reads the newest record of each key, page by page."""
        records, after, end = [], "", None
        for _ in range(PAGES_AT_MOST):
            target = f"/log-newest?topic={topic}&part=0" + (f"&after={after}" if after else "")
            response = await self._call("GET", target, b"", ANSWER_TIMEOUT_S)
            page = decode_json(expect_ok(response), NewestPage)
            records += [KeyedRecord(item.key, decode_value(item.value)) for item in page.items]
            # Pages are not a snapshot: records after the first page's end are read once more.
            end = page.end if end is None else min(end, page.end)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return Newest(tuple(records), end)

    async def put(self, topic: str, key: str, value: bytes) -> AppendVerdict:
        """Appends the newest value of a key; an empty value drops the key."""
        return await self._append(topic, encode_keyed(key, value))

    async def append(self, topic: str, records: tuple[bytes, ...]) -> AppendVerdict:
        """Appends records in one call: all of them or none."""
        return await self._append(topic, b"".join(encode_record(record) for record in records))

    async def _append(self, topic: str, body: bytes) -> AppendVerdict:
        target = f"/log-append?topic={topic}&part=0"
        try:
            response = await self._call("POST", target, body, ANSWER_TIMEOUT_S)
            if response.status != 200:
                return DidNotRun(f"the store answered {response.status}")
            return Appended(decode_json(response.body, _Appended).offset)
        except NotSentError as error:
            return DidNotRun(str(error))
        except (ConnectionLostError, ProtocolError) as error:
            return MayHaveRun(str(error))

    async def _call(self, method: str, target: str, body: bytes, timeout_s: float) -> HttpResponse:
        connection = self._connection
        self._connection = None
        if connection is None or connection.is_stale():
            if connection is not None:
                connection.close()
            connection = await ClientConnection.open(self.address, CONNECT_TIMEOUT_S)
        try:
            response = await connection.call(method, target, body, timeout_s)
        except BaseException:
            connection.close()
            raise
        if connection.start_next_cycle():
            self._connection = connection
        else:
            connection.close()
        return response

    def close(self) -> None:
        """Closes the kept connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def expect_ok(response: HttpResponse) -> bytes:
    """Returns the body of a 200; raises ProtocolError."""
    if response.status != 200:
        raise ProtocolError(f"the store answered {response.status}")
    return response.body


def decode_json(body: bytes, kind: type):
    """Decodes a JSON answer of the store; raises ProtocolError."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the store sent a malformed answer: {error}") from error


def decode_value(text: str) -> bytes | None:
    """Decodes base64; raises ProtocolError."""
    try:
        return base64.b64decode(text, validate=True) or None
    except (binascii.Error, ValueError) as error:
        raise ProtocolError("the store sent a value that is not base64") from error


def keyed_records(page: Page) -> tuple[tuple[KeyedRecord, ...], int]:
    """Returns the readable records of a page, and how many could not be read."""
    records, unreadable = [], 0
    for record in page.records:
        try:
            records.append(decode_keyed(record))
        except BluebellpitchError:
            unreadable += 1
    return tuple(records), unreadable
