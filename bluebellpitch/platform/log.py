"""Client of the platform's append-only log.

Protocol: ``POST /streams/NAME`` with ``{"records": [...]}`` answers ``{"offset": FIRST}``;
``GET /streams/NAME?from=N&wait_ms=W`` answers a Page. An append whose answer is lost may or may
not have taken effect, and may land later.
"""

from dataclasses import dataclass

import msgspec

from bluebellpitch.constants import APPEND_TIMEOUT_S, LOG_READ_WAIT_MS, LOG_TIMEOUT_S
from bluebellpitch.errors import BrokenError, NotSentError, ProtocolError
from bluebellpitch.http1 import HttpResponse, fetch


class Entry(msgspec.Struct, frozen=True):
    """One record as the log keeps it."""

    offset: int
    data: str


class Page(msgspec.Struct, frozen=True):
    """Records from an offset on. ``first`` is the oldest offset that the log still keeps."""

    first: int
    next: int
    records: tuple[Entry, ...]


class _Appended(msgspec.Struct, frozen=True):
    offset: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The records are on the log, from ``offset`` on."""

    offset: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """The records are not on the log and will not get there."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The records may be on the log already, or later, or never."""

    reason: str


AppendVerdict = Appended | NotAppended | Unknown


class LogClient:
    """Reads and appends; holds no state but the address."""

    def __init__(self, address: str):
        self.address = address

    async def append(self, stream: str, records: tuple[str, ...]) -> AppendVerdict:
        """Appends records in one call."""
        body = msgspec.json.encode({"records": records})
        try:
            response = await fetch(
                self.address, "POST", f"/streams/{stream}", body, timeout_s=APPEND_TIMEOUT_S
            )
            return Appended(decode_answer(response, _Appended).offset)
        except NotSentError as error:
            return NotAppended(str(error))
        except (BrokenError, ProtocolError) as error:
            return Unknown(str(error))

    async def read(self, stream: str, start: int, wait_ms: int = LOG_READ_WAIT_MS) -> Page:
        """Reads from ``start`` on; waits up to ``wait_ms`` for a first record.

        Raises NotSentError, BrokenError or ProtocolError.
        """
        target = f"/streams/{stream}?from={start}&wait_ms={wait_ms}"
        response = await fetch(
            self.address, "GET", target, timeout_s=LOG_TIMEOUT_S + wait_ms / 1000
        )
        return decode_answer(response, Page)


def decode_answer(response: HttpResponse, kind: type):
    """Returns the typed body; raises ProtocolError."""
    if response.status != 200:
        raise ProtocolError(f"the log answered {response.status}")
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"the log sent a malformed answer: {error}") from error
