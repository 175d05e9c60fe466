"""Client of the platform's store, which keeps append-only and keyed topics.

The store may come back from a copy some seconds old: offsets then go back and are given out again.
Each answer names the era, which rises by one each time, so an offset holds only with its era. It is
None if an answer names none.

An append whose response is lost may have taken effect, or may still do so later. Reads raise
NotSentError, ConnectionLostError, ReadTimeoutError or ProtocolError.
"""

import base64
import binascii
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from bluebellpitch.decoding import DECODE_ERRORS, WholeNumber, parse_whole_number
from bluebellpitch.errors import (
    BluebellpitchError,
    ConnectionLostError,
    NotSentError,
    ProtocolError,
)
from bluebellpitch.http1 import ClientConnection, HttpResponse
from bluebellpitch.logs import log
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
# A slow store may take this long over a read, whether or not it waits for records.
MIN_READ_TIMEOUT_S = 2.5
MAX_PAGES = 200
# Pages have at most 1 MiB of records, which JSON and base64 make larger.
MAX_RESPONSE_BYTES = 4_194_304
# All pages of a topic's newest records together.
MAX_NEWEST_BYTES = 16_777_216
ERA_HEADER = "store-era"
# It counts returns from a copy; all answers that name a lower one would be of the past.
MAX_ERA_DIGITS = 9


class _NewestItem(msgspec.Struct, frozen=True):
    key: str
    value: str
    offset: WholeNumber


class NewestPage(msgspec.Struct, frozen=True):
    """A page of the newest records by key; ``end`` is the offset after the topic's last record."""

    items: tuple[_NewestItem, ...]
    has_more: bool
    end: WholeNumber


class _AppendResponse(msgspec.Struct, frozen=True):
    offset: WholeNumber


class _EndMovedResponse(msgspec.Struct, frozen=True):
    end: WholeNumber


class _TruncatedResponse(msgspec.Struct, frozen=True):
    first: WholeNumber


@dataclass(frozen=True, slots=True)
class Truncated:
    """The requested records have expired, or the topic ends before them.

    The oldest one left is at ``oldest_offset``.
    """

    oldest_offset: int
    era: int | None = None


def has_offset(page: Page | Truncated, start: int) -> bool:
    """Returns whether the topic has the records that were read from ``start`` on."""
    return isinstance(page, Page) and page.oldest_offset <= start <= page.end_offset


@dataclass(frozen=True, slots=True)
class Appended:
    """The store appended the records; the first is at ``offset``."""

    offset: int
    era: int | None = None
    name = "appended"
    reason = "complete"


@dataclass(frozen=True, slots=True)
class EndMoved:
    """The store appended nothing: the topic ends at ``end_offset`` and not where it should."""

    end_offset: int
    era: int | None = None
    name = "end_moved"
    reason = "the topic ends elsewhere"


AppendVerdict = Appended | DidNotRun | MayHaveRun
ConditionalVerdict = AppendVerdict | EndMoved


@dataclass(frozen=True, slots=True)
class NewestRecords:
    """The newest record of each key. Reading continues at ``next_offset``."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    era: int | None = None


class StoreClient:
    """Client with one keep-alive connection. Calls of the same instance must not overlap.

    ``observe_era`` is called with the era of each answer.
    """

    def __init__(self, address: str, observe_era: Callable[[int], None] = lambda era: None):
        self.address = address
        self._observe_era = observe_era
        self._connection: ClientConnection | None = None

    async def read(self, topic: str, start_offset: int, wait_ms: int) -> Page | Truncated:
        """Reads records from ``start_offset`` on; waits up to ``wait_ms`` for the first one."""
        target = f"/log-read?topic={topic}&part=0&from={start_offset}&wait_ms={wait_ms}"
        timeout_s = max(MIN_READ_TIMEOUT_S, RESPONSE_TIMEOUT_S + wait_ms / 1000)
        response = await self._send_request("GET", target, b"", timeout_s)
        era = decode_era(response)
        if response.status == 410:
            return Truncated(decode_json(response.body, _TruncatedResponse).first, era)
        return decode_page(require_ok(response), start_offset, era)

    async def read_newest(self, topic: str) -> NewestRecords:
        """Reads the newest record of each key, page by page.

        Raises ProtocolError also if the store comes back from a copy between two pages, or if the
        pages have no end.
        """
        records, after_key, next_offset, eras, size = [], "", None, set(), 0
        for _ in range(MAX_PAGES):
            target = f"/log-newest?topic={topic}&part=0" + (
                f"&after={quote(after_key, safe='')}" if after_key else ""
            )
            response = await self._send_request("GET", target, b"", RESPONSE_TIMEOUT_S)
            eras.add(decode_era(response))
            size += len(response.body)
            if size > MAX_NEWEST_BYTES:
                raise ProtocolError(f"{topic} has more than {MAX_NEWEST_BYTES} bytes")
            if len(eras) > 1:
                raise ProtocolError("the store came back from a copy between two pages")
            page = decode_json(require_ok(response), NewestPage)
            records += [KeyedRecord(item.key, decode_base64(item.value)) for item in page.items]
            # The pages are no consistent snapshot, so reading continues at the lowest end offset;
            # records appended in between are read a second time.
            next_offset = page.end if next_offset is None else min(next_offset, page.end)
            if not page.has_more or not page.items:
                return NewestRecords(tuple(records), next_offset, *eras)
            after_key = page.items[-1].key
        raise ProtocolError(f"the store has more than {MAX_PAGES} pages of {topic}")

    async def put(self, topic: str, key: str, value: bytes) -> AppendVerdict:
        """Appends a new value of a key; an empty value deletes the key."""
        return await self._append(topic, encode_keyed_record(key, value))

    async def append(self, topic: str, records: tuple[bytes, ...]) -> AppendVerdict:
        """Appends records in one call, which the store applies atomically."""
        return await self._append(topic, b"".join(encode_record(record) for record in records))

    async def append_at(
        self, topic: str, records: tuple[KeyedRecord, ...], at: int
    ) -> ConditionalVerdict:
        """Appends keyed records in one call, on condition that the topic ends at offset ``at``.

        The store checks this when it applies them, also if that is late. The end that several pages
        of ``read_newest`` give serves as ``at``: if any of them had another end, that was a higher
        one, which makes the store refuse.
        """
        frames = (encode_keyed_record(record.key, record.value or b"") for record in records)
        return await self._append(topic, b"".join(frames), at)

    async def _append(self, topic: str, body: bytes, at: int | None = None) -> ConditionalVerdict:
        target = f"/log-append?topic={topic}&part=0" + ("" if at is None else f"&at={at}")
        try:
            response = await self._send_request("POST", target, body, RESPONSE_TIMEOUT_S)
            if response.status == 412 and at is not None:
                end_offset = decode_json(response.body, _EndMovedResponse).end
                return EndMoved(end_offset, decode_era(response))
            if response.status != 200:
                return DidNotRun(f"the store responded with status {response.status}")
            offset = decode_json(response.body, _AppendResponse).offset
            return Appended(offset, decode_era(response))
        except NotSentError as error:
            return DidNotRun(str(error))
        except (ConnectionLostError, ProtocolError) as error:
            return MayHaveRun(str(error))

    async def _send_request(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        connection = self._connection
        self._connection = None
        if connection is None or connection.is_stale():
            if connection is not None:
                connection.close()
            connection = await ClientConnection.open(self.address, CONNECT_TIMEOUT_S)
        try:
            response = await connection.call(
                method, target, body, timeout_s, max_bytes=MAX_RESPONSE_BYTES
            )
        except BaseException:
            connection.close()
            raise
        if (era := decode_era(response)) is not None:
            self._observe_era(era)
        if connection.start_next_cycle():
            self._connection = connection
        else:
            connection.close()
        return response

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def decode_era(response: HttpResponse) -> int | None:
    """Returns the era that an answer names; None without one, or if it is malformed."""
    text = next((value for name, value in response.headers if name.lower() == ERA_HEADER), None)
    if text is None:
        return None
    era = parse_whole_number(text, MAX_ERA_DIGITS)
    if era is None:
        log("WARNING", "era_malformed", text=text[:40])
    return era


def require_ok(response: HttpResponse) -> bytes:
    """Returns the body of a response with status 200; raises ProtocolError for others."""
    if response.status != 200:
        raise ProtocolError(f"the store responded with status {response.status}")
    return response.body


def decode_json(body: bytes, response_type: type):
    """Decodes a JSON response of the store; raises ProtocolError."""
    try:
        return msgspec.json.decode(body, type=response_type)
    except DECODE_ERRORS as error:
        raise ProtocolError(f"the store sent a malformed response: {error}") from error


def decode_base64(text: str) -> bytes | None:
    """Decodes base64; raises ProtocolError."""
    try:
        return base64.b64decode(text, validate=True) or None
    except (binascii.Error, ValueError) as error:
        raise ProtocolError("the store sent a value that is not base64") from error


def decode_keyed_records(page: Page) -> tuple[tuple[KeyedRecord, ...], int]:
    """Decodes the records of a page; returns them and the number of malformed ones."""
    records, malformed_count = [], 0
    for record in page.records:
        try:
            records.append(decode_keyed_record(record))
        except BluebellpitchError:
            malformed_count += 1
    return tuple(records), malformed_count
