"""Fuzz tests: parsers of untrusted input raise only their own error types."""

import string

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bluebellpitch.callers.requests import parse_completion_request, parse_service_request
from bluebellpitch.decisions.claims import ClaimsStateMachine
from bluebellpitch.decisions.control import ControlStateMachine
from bluebellpitch.decisions.rows import MemberRow, PoolRow, Table, VersionedRow, row_key
from bluebellpitch.decisions.snapshots import SnapshotChunk, assemble_snapshots
from bluebellpitch.endpoints.sse import EventBuffer, count_events, join_text
from bluebellpitch.errors import BadRequestError, ProtocolError, SheetError
from bluebellpitch.http1 import HttpRequest, parse_address
from bluebellpitch.operators.sheet import COLUMNS, format_sheet, parse_sheet
from bluebellpitch.peers.messages import decode_envelope
from fakes.fleet import credential_digest
from fakes.tables import CLASSES, FILING_POOL, MODEL_POOL

MEMBER = MemberRow("m", 1.0, 0, credential_digest("token"), "draft")
ROWS = (MEMBER, *CLASSES, MODEL_POOL, FILING_POOL, PoolRow("other", "model", ()))
TABLE = Table({row_key(row): VersionedRow(row, 0) for row in ROWS}, 0)
fuzz_settings = settings(max_examples=300, deadline=None, derandomize=True)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
FIELDS = st.dictionaries(
    st.sampled_from(("model", "prompt", "messages", "stream", "n", "x")),
    JSON | st.sampled_from(("drafter", "other", 1, True)),
)
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "authorization",
                "x-bluebellpitch-class",
                "x-bluebellpitch-deadline-ms",
                "x-bluebellpitch-made-at",
                "idempotency-key",
            )
        ),
        st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=30)
        | st.sampled_from(("Bearer token", "draft", "nan", "inf", "-1", "1e400", "5")),
    ),
    max_size=5,
)


def make_request(body: bytes, headers, target: str) -> HttpRequest:
    credential = (("authorization", "Bearer token"),)
    return HttpRequest("POST", target, tuple(headers) + credential, body)


@given(st.binary(max_size=80) | FIELDS.map(lambda f: msgspec.json.encode(f, order=None)), HEADERS)
@fuzz_settings
def test_parse_completion(body, headers):
    for target in ("/v1/completions", "/v1/chat/completions"):
        try:
            parse_completion_request(make_request(body, headers, target), TABLE, 0.0)
        except BadRequestError as error:
            assert 400 <= error.status < 500


@given(st.text(string.printable, max_size=40), HEADERS)
@fuzz_settings
def test_parse_service(rest, headers):
    for prefix in ("/services/", "/services/filing/"):
        try:
            parse_service_request(make_request(b"", headers, prefix + rest), TABLE, 0.0, 1e9)
        except BadRequestError as error:
            assert 400 <= error.status < 500


CELLS = st.text(max_size=12) | st.sampled_from(("member", "class", "endpoint", "1", "yes", "live"))
LINES = st.lists(st.lists(CELLS, max_size=len(COLUMNS) + 2).map(",".join), max_size=6)


@given(st.text(max_size=200) | LINES.map(lambda ls: "\n".join([",".join(COLUMNS), *ls])))
@fuzz_settings
def test_parse_sheet(text):
    try:
        parse_sheet(text)
    except SheetError as error:
        assert error.problems


NAMES = st.text(string.ascii_lowercase + string.digits + "-_.", min_size=1, max_size=8)
MEMBERS = st.builds(
    MemberRow,
    name=NAMES,
    weight=st.floats(0.001, 1e6),
    limit=st.integers(0, 10**6),
    credential=st.text("0123456789abcdef", min_size=64, max_size=64),
    default_class=st.just("draft"),
)


@given(st.lists(MEMBERS, max_size=4, unique_by=(lambda r: r.name, lambda r: r.credential)))
@fuzz_settings
def test_formatted_sheet_parses_to_the_same_rows(members):
    rows = (*members, *CLASSES)
    sheet = parse_sheet(format_sheet([VersionedRow(row, 3) for row in rows], 7))
    assert_that(sorted(sheet.rows, key=row_key), Equals(sorted(rows, key=row_key)))
    assert_that(sheet.table_offset, Equals(7))


@given(st.binary(max_size=200))
@fuzz_settings
def test_decode_envelope(data):
    try:
        decode_envelope(data)
    except ProtocolError:
        return


@given(st.text(max_size=120) | JSON.map(lambda value: msgspec.json.encode(value).decode()))
@fuzz_settings
def test_apply_of_malformed_records_advances_only_the_offset(data):
    control, claims = ControlStateMachine(), ClaimsStateMachine(100.0)
    control.apply(0, data)
    claims.apply(0, data, 0.0)
    assert_that((control.offset, claims.position), Equals((0, 0)))


CHUNKS = st.builds(
    SnapshotChunk,
    id=st.sampled_from("ab"),
    index=st.integers(-1, 2),
    count=st.integers(-1, 2),
    data=st.binary(max_size=20),
)


@given(st.lists(st.binary(max_size=120) | CHUNKS.map(msgspec.msgpack.encode), max_size=4))
@fuzz_settings
def test_incomplete_snapshots_are_ignored(records):
    assert_that(assemble_snapshots(records), Equals(()))


@given(
    st.lists(st.binary(max_size=30) | st.sampled_from((b"data: ", b"\n\n", b"data: [DONE]\n\n")))
)
@fuzz_settings
def test_event_buffer(parts):
    buffer = EventBuffer()
    events = b"".join(buffer.feed(part) for part in parts)
    join_text(events)
    assert count_events(events) >= 0


@given(st.text(max_size=20))
@fuzz_settings
def test_parse_address(text):
    try:
        host, port = parse_address(text)
    except ProtocolError:
        return
    assert host and 0 <= port < 65_536
