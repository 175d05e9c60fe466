"""Decodes the entries by which endpoints announce themselves in the store."""

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
    # The Unix millisecond of the endpoint's start.
    born: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def decode_endpoint_entry(endpoint_id: str, data: bytes) -> EndpointEntry:
    """Returns the entry; raises ProtocolError for what other writers leave there."""
    try:
        wire = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(f"the entry is malformed: {error}") from error
    parse_address(wire.address)
    if not endpoint_id or not wire.service or wire.slots < 1:
        raise ProtocolError("the entry lacks an id, a service or slots")
    return EndpointEntry(
        id=endpoint_id,
        pool=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=wire.slots,
        is_draining=wire.state == "draining",
        started_ms=wire.born,
    )


def log_malformed_entry(endpoint_id: str, error: ProtocolError) -> None:
    """Logs an entry that names no endpoint."""
    log("WARNING", "entry_malformed", endpoint=endpoint_id, error=error)
