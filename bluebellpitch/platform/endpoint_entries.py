"""Decodes the entries that endpoints write to the store to register themselves."""

from typing import Literal

import msgspec

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.errors import ProtocolError
from bluebellpitch.http1 import parse_address
from bluebellpitch.logs import log

ENDPOINTS_TOPIC = "keyed.servers"


class _Entry(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    # Start time of the endpoint, in Unix milliseconds.
    born: int = 0
    # Rises with each entry that one start of the endpoint writes.
    seq: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def decode_endpoint_entry(endpoint_id: str, data: bytes) -> EndpointEntry:
    """Decodes an entry; raises ProtocolError, since any process may write to this topic."""
    try:
        wire = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(f"endpoint entry is malformed: {error}") from error
    parse_address(wire.address)
    if not endpoint_id or not wire.service or wire.slots < 1:
        raise ProtocolError("endpoint entry has no id, no service or no slots")
    return EndpointEntry(
        id=endpoint_id,
        pool=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=wire.slots,
        is_draining=wire.state == "draining",
        started_ms=wire.born,
        sequence=wire.seq,
    )


def log_malformed_entry(endpoint_id: str, error: ProtocolError) -> None:
    """Logs an entry that could not be decoded."""
    log("WARNING", "entry_malformed", endpoint=endpoint_id, error=error)
