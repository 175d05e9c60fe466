"""Records of settled usage windows, which holders of the duty keep beside their lease."""

from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

from bluebellpitch.decisions.duties.usage_reports import SettledWindow
from bluebellpitch.decoding import DECODE_ERRORS, MAX_WHOLE_NUMBER, WholeNumber
from bluebellpitch.errors import ProtocolError
from bluebellpitch.logs import log
from bluebellpitch.platform.records import KeyedRecord, decode_values

KEY_PREFIX = "window-"
# A window's record is overwritten by that of the window so much later.
KEPT_WINDOWS = 32


class _Record(msgspec.Struct, frozen=True):
    window: WholeNumber
    counts: dict[str, WholeNumber] | None
    era: WholeNumber
    # -1 if no window was done yet.
    done_until: Annotated[int, msgspec.Meta(ge=-1, le=MAX_WHOLE_NUMBER)]


_decoder = msgspec.json.Decoder(_Record)


def encode_window(settled: SettledWindow) -> KeyedRecord:
    """Encodes a settled window for the store."""
    counts = settled.counts_by_member
    counts = None if counts is None else dict(counts)
    record = _Record(settled.window, counts, settled.era, settled.done_until)
    return KeyedRecord(f"{KEY_PREFIX}{settled.window % KEPT_WINDOWS}", msgspec.json.encode(record))


def decode_window(key: str, data: bytes) -> SettledWindow:
    """Decodes a settled window; raises ProtocolError."""
    try:
        record = _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise ProtocolError(f"usage window {key} is malformed: {error}") from error
    return SettledWindow(record.window, record.counts, record.era, record.done_until)


def decode_windows(values_by_key: Mapping[str, bytes]) -> Iterable[SettledWindow]:
    """Decodes the settled windows among the values beside a lease; skips malformed ones."""
    records = [
        KeyedRecord(key, value)
        for key, value in values_by_key.items()
        if key.startswith(KEY_PREFIX)
    ]
    return decode_values(records, decode_window, _log_malformed).values()


def _log_malformed(key: str, error: ProtocolError) -> None:
    log("WARNING", "usage_window_malformed", key=key, error=error)
