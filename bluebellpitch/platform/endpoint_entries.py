"""Decodes the entries that endpoints write to the store to register themselves."""

from typing import Annotated, Literal

import msgspec

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decoding import DECODE_ERRORS, WholeNumber
from bluebellpitch.errors import ProtocolError
from bluebellpitch.http1 import parse_remote_address
from bluebellpitch.logs import log

ENDPOINTS_TOPIC = "keyed.servers"
MAX_SLOTS = 1_000_000


class _Entry(msgspec.Struct, frozen=True):
    """What each endpoint writes. An entry that lacks a field without a default is another's."""

    service: str
    address: str
    zone: str
    # Of the endpoint's software.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # How much longer the endpoint is slow after its start.
    cold_left_ms: float
    # Rises with each entry that one start of the endpoint writes.
    seq: WholeNumber
    # Start time of the endpoint, in Unix milliseconds.
    born: WholeNumber = 0
    spot: bool = False


_decoder = msgspec.json.Decoder(_Entry)


def decode_endpoint_entry(endpoint_id: str, data: bytes) -> EndpointEntry:
    """Decodes an entry; raises ProtocolError, since any process may write to this topic."""
    try:
        wire = _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise ProtocolError(f"endpoint entry is malformed: {error}") from error
    parse_remote_address(wire.address)
    if not endpoint_id or not wire.service:
        raise ProtocolError("endpoint entry has no id or no service")
    return EndpointEntry(
        id=endpoint_id,
        pool=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=wire.slots,
        is_draining=wire.state == "draining",
        started_ms=wire.born,
        sequence=wire.seq,
        is_spot=wire.spot,
    )


def log_malformed_entry(endpoint_id: str, error: ProtocolError) -> None:
    """Logs an entry that could not be decoded."""
    log("WARNING", "entry_malformed", endpoint=endpoint_id, error=error)
