"""Tests of the platform adapter: decoders accept valid data and reject malformed data."""

import base64
from contextlib import suppress

import h11
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellpitch.decisions.catalogue import Repeatability, pick_pool
from bluebellpitch.errors import BadRequestError, ProtocolError, UsageError
from bluebellpitch.http1 import HttpRequest
from bluebellpitch.platform.configuration import decode_configuration
from bluebellpitch.platform.endpoint_entries import decode_endpoint_entry
from bluebellpitch.platform.http_messages import (
    ForwardingContext,
    build_error_headers,
    build_forwarded_headers,
    decode_load,
    decode_request,
    decode_response_head,
)
from bluebellpitch.platform.records import (
    decode_keyed_record,
    decode_page,
    encode_keyed_record,
    split_records,
)
from bluebellpitch.platform.settings_file import parse_settings
from bluebellpitch.platform.store import NewestPage, decode_base64, decode_json
from bluebellpitch.platform.vm_records import VmRecord, decode_vm_record, encode_vm_record
from fakes.prepared_deployment import HOST, build_configuration, build_route, settings_text

ENTRY = {
    "service": "app",
    "address": "127.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "born": 12,
    "seq": 3,
}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
DECODERS = [
    decode_configuration,
    decode_vm_record,
    lambda data: decode_page(data, 0),
    decode_keyed_record,
    lambda data: decode_json(data, NewestPage),
    lambda data: decode_endpoint_entry("i-1", data),
    lambda data: list(split_records(data)),
]


@pytest.mark.parametrize("decode", DECODERS)
@given(data=st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_protocol_errors(decode, data):
    with suppress(ProtocolError):
        decode(data)


@given(value=JSON_VALUES)
def test_arbitrary_json_raises_only_protocol_errors(value):
    data = msgspec.json.encode(value)
    for decode in DECODERS[:2] + DECODERS[4:6]:
        with suppress(ProtocolError):
            decode(data)


@given(name=st.sampled_from(sorted(ENTRY)), value=JSON_VALUES)
def test_malformed_field_is_never_replaced_by_a_default(name, value):
    """An entry with a malformed field is rejected as a whole."""
    try:
        entry = decode_endpoint_entry("i-1", msgspec.json.encode(ENTRY | {name: value}))
    except ProtocolError:
        return
    assert entry.pool and entry.slots >= 1
    if name == "state":
        assert entry.is_draining == (value == "draining")


@pytest.mark.parametrize(
    "name",
    ["service", "address", "zone", "version", "slots", "state", "cold_left_ms", "seq"],
)
def test_entry_without_a_required_field_is_rejected(name):
    fields = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(ProtocolError):
        decode_endpoint_entry("i-1", msgspec.json.encode(fields))


@given(key=st.text(min_size=1, max_size=60), value=st.binary(max_size=100))
def test_keyed_record_round_trip(key, value):
    frame = encode_keyed_record(key, value)
    (record,) = split_records(frame)
    decoded = decode_keyed_record(record)
    assert (decoded.key, decoded.value) == (key, value or None)


def test_value_that_is_not_base64_is_a_protocol_error():
    assert decode_base64(base64.b64encode(b"x").decode()) == b"x"
    with pytest.raises(ProtocolError):
        decode_base64("\u00e9")


def test_vm_record_round_trip():
    record = VmRecord("127.0.0.1:7000", "z")
    assert decode_vm_record(encode_vm_record(record)) == record


def test_repeatability_is_derived_from_the_kind():
    catalogue = decode_configuration(msgspec.json.encode(build_configuration(1)))
    repeatability_by_route = {
        r.name: r.repeatability for routes in catalogue.routes_by_host.values() for r in routes
    }
    assert repeatability_by_route == {
        "look": Repeatability.IDEMPOTENT,
        "file": Repeatability.ONCE,
        "draft": Repeatability.RESUMABLE,
        "explain": Repeatability.ONCE,
    }


def test_pool_is_picked_by_weight():
    split = [{"service": "app", "weight": 90}, {"service": "engines", "weight": 10}]
    wire = build_configuration(1)
    wire["routes"][0] |= {"split": split}
    catalogue = decode_configuration(msgspec.json.encode(wire))
    route = catalogue.match_route("tile.example", "/look/7")
    assert [pick_pool(route, draw) for draw in (0.0, 0.89, 0.91, 0.999)] == [
        "app",
        "app",
        "engines",
        "engines",
    ]


def make_request(**headers: str) -> HttpRequest:
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return HttpRequest("POST", "/a/b?c=d", pairs, b"body")


@given(
    headers=st.dictionaries(
        st.sampled_from(
            ["deadline-ms", "last-event-id", "token-usage", "prompt-prefix", "authorization"]
        ),
        st.text(st.characters(codec="latin-1"), max_size=30),
    )
)
def test_malformed_request_headers_raise_only_bad_request_errors(headers):
    request = HttpRequest("POST", "/a", tuple(headers.items()), b"")
    try:
        decode_request(request)
    except BadRequestError as error:
        assert error.status == 400


def test_decode_request():
    request = decode_request(
        make_request(
            host="Tile.Example:80",
            request_id="r",
            deadline_ms="1500",
            authorization="Bearer k",
            token_usage="1460,80",
            prompt_prefix="5c:800,91:410,e4:250",
        )
    )
    assert (request.host, request.path, request.api_key) == ("tile.example", "/a/b", "k")
    assert request.timeout_s == 1.5
    assert (request.prompt.tokens_in, request.prompt.tokens_out) == (1460, 80)
    assert [part.tokens for part in request.prompt.parts] == [800, 410, 250]


def test_forwarded_headers_have_the_remaining_time_but_no_credential():
    request = decode_request(make_request(deadline_ms="9000", authorization="Bearer k", x_own="1"))
    forwarding = ForwardingContext("i-1", 10.25, "office", 3, "7")
    headers = dict(build_forwarded_headers(request, forwarding, now=10.0))
    assert headers == {
        "x-own": "1",
        "Deadline-Ms": "250",
        "Target-Instance": "i-1",
        "Tenant": "office",
        "Request-Priority": "3",
        "Last-Event-Id": "7",
        "Content-Length": "4",
    }


def make_response_head(status: int, *headers: tuple[str, str]):
    return decode_response_head(h11.Response(status_code=status, headers=list(headers)))


def test_did_not_run_needs_the_endpoints_guarantee():
    assert make_response_head(503, ("Not-Executed", "1")).did_not_run
    assert make_response_head(421).did_not_run
    assert not make_response_head(503).did_not_run
    assert not make_response_head(500).did_not_run


def test_decode_load():
    load = decode_load("3,1,8,250")
    assert (load.running, load.waiting, load.slots, load.slowdown) == (3, 1, 8, 2.5)
    assert decode_load("3") is None
    assert decode_load("a,b,c") is None
    assert decode_load("nan,1,8") is None
    assert decode_load("1,inf,8,100") is None


def test_retry_after_is_in_fractional_seconds():
    assert dict(build_error_headers(0.25))["Retry-After"] == "0.250"
    assert "Retry-After" not in dict(build_error_headers(None))


@pytest.mark.parametrize("name", ["cloud_api.duty_per_s", "bounds.report_window_s"])
@pytest.mark.parametrize("value", ["0", "-1", "nan", "inf"])
def test_settings_of_duties_must_be_positive(name, value):
    text = settings_text("vm", "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 4)
    text += f"cloud_api.address=127.0.0.1:5\ncloud_api.duties=metering\n{name}={value}\n"
    with pytest.raises(UsageError, match=name):
        parse_settings(text)


def test_parse_settings():
    text = settings_text("vm-1", "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 4)
    settings = parse_settings(text + "unknown.field=1\n# comment\n\n")
    assert (settings.vm_name, settings.bus_address, settings.store_address) == (
        "vm-1",
        "127.0.0.1:4",
        "127.0.0.1:1",
    )
    assert settings.regions_by_zone == {"z": "r-z"}
    assert (settings.key_revocation_s, settings.config_apply_s, settings.grace_s) == (
        2.5,
        1.0,
        3.0,
    )


@pytest.mark.parametrize("name", ["node_name", "zone", "listen.front", "platform.address", "ip"])
def test_error_names_the_missing_setting(name):
    text = settings_text("vm-1", "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 4)
    lines = [line for line in text.splitlines() if not line.startswith(f"{name}=")]
    with pytest.raises(UsageError, match=name.replace(".", r"\.")):
        parse_settings("\n".join(lines))


def test_error_names_the_setting_that_is_not_a_number():
    text = settings_text("vm-1", "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 4)
    with pytest.raises(UsageError, match="grace_s"):
        parse_settings(text.replace("grace_s=3", "grace_s=long"))


def test_empty_key_opens_no_account():
    """Requests without a key were counted as of the account that listed it."""
    configuration = build_configuration(1, routes=[build_route("all", "safe", "app")])
    configuration["tenants"] = [{"name": "first", "api_keys": ["", "k0"]}]
    catalogue = decode_configuration(msgspec.json.encode(configuration))
    assert catalogue.members_by_key.keys() == {"k0"}


def test_rank_of_the_route_decides_among_members_of_equal_rank():
    """Else an engine preempts the newest of both routes' requests, though one route is urgent."""
    routes = [build_route("urgent", "streaming", "app", priority=0)]
    routes += [build_route("patient", "streaming", "app", priority=2)]
    configuration = build_configuration(1, routes=routes)
    configuration["tenants"] = [
        {"name": "first", "api_keys": ["k0"], "priority": 0},
        {"name": "second", "api_keys": ["k1"], "priority": 1},
        {"name": "plain", "api_keys": ["k2"]},
    ]
    catalogue = decode_configuration(msgspec.json.encode(configuration))
    patient, urgent = catalogue.routes_by_host[HOST]
    first, second, plain = (catalogue.members_by_key[key] for key in ("k0", "k1", "k2"))
    levels = [
        catalogue.urgency(route, member)
        for route, member in [
            (urgent, first),
            (patient, first),
            (urgent, second),
            (patient, second),
            (patient, plain),
        ]
    ]
    assert levels == sorted(set(levels))
    assert catalogue.urgency(urgent, plain) == catalogue.urgency(urgent, first)
    assert catalogue.urgency(patient, None) == catalogue.urgency(patient, plain)


@given(st.lists(st.integers(0, 9), min_size=1), st.lists(st.integers(0, 9) | st.none()))
def test_urgency_never_reverses_the_order_of_ranks_and_fits_the_levels(route_ranks, member_ranks):
    routes = [build_route(f"r{n}", "safe", "app", priority=r) for n, r in enumerate(route_ranks)]
    configuration = build_configuration(1, routes=routes)
    configuration["tenants"] = [
        {"name": f"m{n}", "api_keys": [f"k{n}"], "priority": rank}
        for n, rank in enumerate(member_ranks)
    ]
    catalogue = decode_configuration(msgspec.json.encode(configuration))
    members = [None, *catalogue.members_by_key.values()]
    pairs = [(r, m) for r in catalogue.routes_by_host[HOST] for m in members]
    ranked = sorted(
        ((r.rank if m is None or m.rank is None else m.rank, r.rank), catalogue.urgency(r, m))
        for r, m in pairs
    )
    levels = [level for _, level in ranked]
    assert levels == sorted(levels) and levels[0] >= 0 and levels[-1] < 10
