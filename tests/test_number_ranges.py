"""Numbers of operators, endpoints and the store, up to the sizes that are proper."""

import msgspec
import pytest

from bluebellpitch.platform.configuration import decode_configuration
from bluebellpitch.platform.endpoint_entries import decode_endpoint_entry
from bluebellpitch.platform.store import NewestPage, decode_json
from fakes.prepared_deployment import build_configuration

# Beyond what a double holds exactly, a Unix time in nanoseconds, and the largest 64-bit one.
LARGE_NUMBERS = (2**53 + 1, 1_790_000_000_000_000_001, 2**63 - 1)


@pytest.mark.parametrize("number", LARGE_NUMBERS)
def test_large_versions_counts_and_offsets_are_taken_exactly(number):
    """Guards against CONFIG: a version above 2**53 was malformed, so the change was ignored."""
    assert decode_configuration(msgspec.json.encode(build_configuration(number))).version == number
    entry = {
        "service": "app",
        "address": "127.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "born": number,
        "seq": number,
    }
    decoded = decode_endpoint_entry("i-1", msgspec.json.encode(entry))
    assert (decoded.started_ms, decoded.sequence) == (number, number)
    page = msgspec.json.encode({"items": [], "has_more": False, "end": number})
    assert decode_json(page, NewestPage).end == number
