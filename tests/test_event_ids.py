"""Ids of events, which callers, endpoints and this system hand each other as they are."""

import pytest

from bluebellpitch.errors import BadRequestError, ConnectionLostError
from bluebellpitch.http1 import HttpRequest
from bluebellpitch.platform.http_messages import (
    MAX_EVENT_ID_DIGITS,
    UNUSABLE_EVENT_ID,
    ForwardingContext,
    build_forwarded_headers,
    decode_request,
    find_last_event_id,
)
from tests.prepared_helpers import in_deployment, start_deployment

# Around what a double holds exactly, Unix times in ms and ns, beyond 64 bits, and zeros in front.
LARGE_IDS = (
    "999999999999",
    "1000000000000",
    "1790000000000",
    "9007199254740993",
    "1790000000000000001",
    "18446744073709551617",
    "007",
    "9" * MAX_EVENT_ID_DIGITS,
)


def decode_last_event_id(text: str) -> str | None:
    return decode_request(HttpRequest("POST", "/a", (("last-event-id", text),), b"")).last_event_id


@pytest.mark.parametrize("id", LARGE_IDS)
def test_id_of_a_forwarded_event_is_accepted_from_the_caller_and_reaches_the_endpoint(id):
    """Guards against DENIED: ids from 1e12 on were refused, those above 2**53 changed."""
    found = find_last_event_id(f"id: 1\ndata: a\n\nid: {id}\ndata: id: 9\n\n".encode())
    assert found == id
    request = decode_request(HttpRequest("POST", "/a", (("last-event-id", found),), b""))
    forwarding = ForwardingContext("i-1", 1.0, "", None, request.last_event_id)
    assert ("Last-Event-Id", id) in build_forwarded_headers(request, forwarding, now=0.0)


@pytest.mark.parametrize(
    ("events", "id"),
    [
        (b"data: a\n\n", None),
        (b": ping\n\n", None),
        (b"id:4\r\ndata: a\n\n", "4"),
        (b"id: 3\n\nid: " + b"9" * (MAX_EVENT_ID_DIGITS + 1) + b"\n\n", UNUSABLE_EVENT_ID),
        (b"id: 3\n\nid: \xd9\xa3\n\n", UNUSABLE_EVENT_ID),
        (b"id: 3\n\nid: -4\n\n", UNUSABLE_EVENT_ID),
    ],
)
def test_an_id_that_cannot_be_resumed_from_does_not_leave_an_earlier_one_in_force(events, id):
    """Guards against ORDER: a resume after the earlier id would repeat what came since."""
    assert find_last_event_id(events) == id


@pytest.mark.parametrize("text", ["-1", "1.5", "1e3", "nan", "\xb2", "4 5", "1_0"])
def test_id_that_is_no_whole_number_is_refused(text):
    with pytest.raises(BadRequestError):
        decode_last_event_id(text)


@pytest.mark.parametrize("text", ["", "0", "12"])
def test_small_and_absent_ids(text):
    assert decode_last_event_id(text) == (text or None)


@in_deployment
async def test_streams_with_large_ids_are_resumed_by_callers_and_by_the_vm(deployment):
    """Guards against DENIED: a caller of a VM that is gone resumes its stream at another one."""
    engines, client = await start_deployment(deployment, "engines", "engines")
    first = 1_790_000_000_000_000_001
    for engine in engines:
        engine.first_event_id = first
    response = await client.stream("/draft/7", "r1", last_event_id=str(first + 1))
    ids = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
    assert ids == [f"id: {first + number}".encode() for number in (2, 3)]
    engines[0].mode = "cut"
    for number in range(4):
        response = await client.stream("/draft/7", f"s{number}")
        ids = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [f"id: {first + number}".encode() for number in range(4)]
    assert str(first + 1) in [r.header("last-event-id") for r in engines[1].requests]


@in_deployment
async def test_stream_is_not_resumed_after_an_event_whose_id_is_unusable(deployment):
    engines, client = await start_deployment(deployment, "engines", "engines")
    for engine in engines:
        engine.first_event_id, engine.mode = -3, "cut"
    with pytest.raises(ConnectionLostError):
        await client.stream("/draft/7", "r1")
    assert sum("r1" in engine.ran for engine in engines) == 1
