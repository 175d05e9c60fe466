"""Client of the platform's store: appends, reads from an offset, and the newest of each key.

An append whose answer is lost may have taken effect, or may still do so later. Reads raise
NotSentError, BrokenError, StalledError or ProtocolError.
"""

import base64
import binascii
from dataclasses import dataclass

import msgspec

from bluebellpitch.errors import BluebellpitchError, BrokenError, NotSentError, ProtocolError
from bluebellpitch.http1 import ClientConnection, HttpResponse
from bluebellpitch.platform.records import (
    KeyedRecord,
    Page,
    decode_keyed_record,
    decode_page,
    encode_keyed_record,
    encode_record,
)
from bluebellpitch.verdicts import DidNotRun, MayHaveRun

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 1.5
MAX_PAGES = 200


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    value: str
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """One page of the newest records; ``end`` is the offset after the topic's last record."""

    items: tuple[_NewestItem, ...]
    has_more: bool
    end: int


class _AppendResponse(msgspec.Struct, frozen=True):
    offset: int


class _TruncatedResponse(msgspec.Struct, frozen=True):
    first: int


@dataclass(frozen=True, slots=True)
class Truncated:
    """The records asked for are gone; ``first_kept`` is the offset of the oldest that is left."""

    oldest_offset: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are in the topic, from ``offset`` on."""

    offset: int
    name = "appended"
    reason = "complete"


AppendVerdict = Appended | DidNotRun | MayHaveRun


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key. ``end`` is the offset to read on from."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class StoreClient:
    """One kept connection to the store. Owned by one task; calls do not overlap."""

    def __init__(self, address: str):
        self.address = address
        self._connection: ClientConnection | None = None

    async def read(self, topic: str, start_offset: int, wait_ms: int) -> Page | Truncated:
        """Reads from ``start`` on, waiting up to ``wait_ms`` for a first record."""
        target = f"/log-read?topic={topic}&part=0&from={start_offset}&wait_ms={wait_ms}"
        response = await self._send_request("GET", target, b"", RESPONSE_TIMEOUT_S + wait_ms / 1000)
        if response.status == 410:
            return Truncated(decode_json(response.body, _TruncatedResponse).first)
        return decode_page(require_ok(response), start_offset)

    async def read_newest(self, topic: str) -> NewestRecords:
        """Reads the newest record of each key, page by page."""
        records, after, end = [], "", None
        for _ in range(MAX_PAGES):
            target = f"/log-newest?topic={topic}&part=0" + (f"&after={after}" if after else "")
            response = await self._send_request("GET", target, b"", RESPONSE_TIMEOUT_S)
            page = decode_json(require_ok(response), NewestPage)
            records += [KeyedRecord(item.key, decode_base64(item.value)) for item in page.items]
            # Pages are not a snapshot: records after the first page's end are read once more.
            end = page.end if end is None else min(end, page.end)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return NewestRecords(tuple(records), end)

    async def put(self, topic: str, key: str, value: bytes) -> AppendVerdict:
        """Appends the newest value of a key; an empty value drops the key."""
        return await self._append(topic, encode_keyed_record(key, value))

    async def append(self, topic: str, records: tuple[bytes, ...]) -> AppendVerdict:
        """Appends records in one call: all of them or none."""
        return await self._append(topic, b"".join(encode_record(record) for record in records))

    async def _append(self, topic: str, body: bytes) -> AppendVerdict:
        target = f"/log-append?topic={topic}&part=0"
        try:
            response = await self._send_request("POST", target, body, RESPONSE_TIMEOUT_S)
            if response.status != 200:
                return DidNotRun(f"the store answered {response.status}")
            return Appended(decode_json(response.body, _AppendResponse).offset)
        except NotSentError as error:
            return DidNotRun(str(error))
        except (BrokenError, ProtocolError) as error:
            return MayHaveRun(str(error))

    async def _send_request(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        connection = self._connection
        self._connection = None
        if connection is None or connection.has_unread_or_closed():
            if connection is not None:
                connection.close()
            connection = await ClientConnection.open(self.address, CONNECT_TIMEOUT_S)
        try:
            response = await connection.call(method, target, body, timeout_s)
        except BaseException:
            connection.close()
            raise
        if connection.is_reusable():
            self._connection = connection
        else:
            connection.close()
        return response

    def close(self) -> None:
        """Closes the kept connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def require_ok(response: HttpResponse) -> bytes:
    """Returns the body of a 200; raises ProtocolError."""
    if response.status != 200:
        raise ProtocolError(f"the store answered {response.status}")
    return response.body


def decode_json(body: bytes, response_type: type):
    """Decodes a JSON answer of the store; raises ProtocolError."""
    try:
        return msgspec.json.decode(body, type=response_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the store sent a malformed answer: {error}") from error


def decode_base64(text: str) -> bytes | None:
    """Decodes base64; raises ProtocolError."""
    try:
        return base64.b64decode(text, validate=True) or None
    except (binascii.Error, ValueError) as error:
        raise ProtocolError("the store sent a value that is not base64") from error


def decode_keyed_records(page: Page) -> tuple[tuple[KeyedRecord, ...], int]:
    """Returns the readable records of a page, and how many could not be read."""
    records, unreadable = [], 0
    for record in page.records:
        try:
            records.append(decode_keyed_record(record))
        except BluebellpitchError:
            unreadable += 1
    return tuple(records), unreadable
