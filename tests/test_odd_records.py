"""Odd records, from whichever writer, end no task and do not hold up the others."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellpitch.decisions.claims import decode_claim_record
from bluebellpitch.decisions.control import ControlStateMachine, Snapshot, decode_control_record
from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.snapshots import decode_chunk
from bluebellpitch.endpoints.sse import decode_chunks
from bluebellpitch.errors import NotSentError, ProtocolError
from bluebellpitch.http1 import ClientConnection, HttpRequest, parse_address
from bluebellpitch.peers.messages import decode_envelope
from bluebellpitch.platform.configuration import decode_configuration
from bluebellpitch.platform.endpoint_entries import decode_endpoint_entry
from bluebellpitch.platform.http_messages import decode_keep_alive, decode_load, decode_prompt
from bluebellpitch.platform.store import NewestPage, decode_json
from bluebellpitch.platform.vm_records import VM_RECORDS_TOPIC, decode_vm_record
from fakes.prepared_deployment import wait_until
from tests.prepared_helpers import in_deployment, start_deployment
from tests.test_fuzz import fuzz_settings

DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
ENTRY = (
    b'{"service": "app", "address": "127.0.0.1:%s", "zone": "z", "slots": %s, "state": "ready",'
    b' "version": "v1", "cold_left_ms": 0, "born": %s, "seq": 1, "x": %s}'
)
ODD_ENTRIES = {
    "deeply nested field": ENTRY % (b"80", b"4", b"1", NESTED),
    "port of many digits": ENTRY % (b"9" * 5_000, b"4", b"1", b"1"),
    "port out of range": ENTRY % (b"65536", b"4", b"1", b"1"),
    "port 0": ENTRY % (b"0", b"4", b"1", b"1"),
    "port in other digits": ENTRY % ("٨٠".encode(), b"4", b"1", b"1"),
    "slots of many digits": ENTRY % (b"80", b"9" * 400, b"1", b"1"),
    "too many slots": ENTRY % (b"80", b"9" * 18, b"1", b"1"),
    "start of many digits": ENTRY % (b"80", b"4", b"9" * 400, b"1"),
    "start before all time": ENTRY % (b"80", b"4", b"-1", b"1"),
    "host with a blank": ENTRY.replace(b"127.0.0.1", b"a b") % (b"80", b"4", b"1", b"1"),
    "host of many letters": ENTRY.replace(b"127.0.0.1", b"a" * 300) % (b"80", b"4", b"1", b"1"),
    "host with a zero byte": ENTRY.replace(b"127.0.0.1", b"a\\u0000") % (b"80", b"4", b"1", b"1"),
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_of_an_endpoint_is_malformed(name):
    assert decode_endpoint_entry("i-1", ENTRY % (b"80", b"4", b"1", b"1")).slots == 4
    with pytest.raises(ProtocolError):
        decode_endpoint_entry("i-1", ODD_ENTRIES[name])


@in_deployment
async def test_entry_with_missing_fields_moves_no_endpoint_to_another_service(deployment):
    """Guards against ROUTE: an entry of another writer made an endpoint run others' requests."""
    (app, _), client = await start_deployment(deployment, "app", "engines")
    (vm,) = deployment.vms
    entry = {"service": "engines", "address": app.address, "zone": "z", "slots": 8}
    entry |= {"state": "ready", "born": 1}
    deployment.store.put("keyed.servers", "i-0", msgspec.json.encode(entry))
    deployment.publish_entry(app, "app", seq=2, slots=9)
    deployment.store.put("keyed.servers", "i-0", msgspec.json.encode(entry))
    await deployment.add_endpoint("i-2", "app")
    await wait_until(lambda: "i-2" in vm.directory.entries_by_id)
    assert vm.directory.entries_by_id["i-0"].pool == "app"
    for number in range(6):
        await client.stream("/explain/7", f"r{number}")
    assert app.requests == []


DECODERS = {
    "configuration": decode_configuration,
    "VM record": decode_vm_record,
    "answer of the store": lambda data: decode_json(data, NewestPage),
    "message of a peer": decode_envelope,
}


@pytest.mark.parametrize("name", DECODERS)
@pytest.mark.parametrize(
    "data", [NESTED, b'{"x": ' + NESTED + b"}", b"\x91" * DEPTH, b"\x81\xa1x" + b"\x91" * DEPTH]
)
def test_deeply_nested_input_is_malformed(name, data):
    with pytest.raises(ProtocolError):
        DECODERS[name](data)


@pytest.mark.parametrize("data", [NESTED, b'{"type": "claim", "x": ' + NESTED + b"}"])
def test_deeply_nested_records_of_logs_are_skipped(data):
    assert decode_claim_record(data) is None
    assert decode_control_record(data) is None
    assert decode_chunk(b"\x91" * DEPTH) is None
    assert list(decode_chunks(b"data: " + data + b"\n\n")) == []
    snapshot = Snapshot("s", 5, data, digest_text(data))
    assert not ControlStateMachine().install_snapshot(snapshot)


@pytest.mark.parametrize("address", ["a b:80", "h:" + "9" * 5_000, "h:٨٠", "\0:80", ":80"])
def test_odd_address_is_malformed(address):
    with pytest.raises(ProtocolError):
        parse_address(address)


@pytest.mark.parametrize(
    "address", ["a" * 300 + ":80", "\0:80", "127.0.0.1:99999", "h:" + "9" * 5000]
)
def test_connection_to_an_odd_address_was_not_sent(run, address):
    with pytest.raises(NotSentError):
        run(ClientConnection.open(address, 1.0))


def test_odd_figures_in_headers_are_ignored():
    digits = "9" * 5_000
    headers = (("token-usage", f"{digits},٣"), ("prompt-prefix", f"aa:{digits},bb:7"))
    prompt = decode_prompt(HttpRequest("POST", "/", headers, b""))
    assert (prompt.tokens_in, prompt.tokens_out) == (0, 0)
    assert [(part.id, part.tokens) for part in prompt.parts] == [("bb", 7)]
    assert decode_keep_alive(f"timeout={digits}") is None
    assert decode_load(f"{digits},1,1") is None
    assert decode_load("-1,1,1") is None


@fuzz_settings
@given(st.binary() | st.text().map(str.encode))
def test_decoders_raise_only_their_own_error(data):
    for decode in (*DECODERS.values(), lambda data: decode_endpoint_entry("i-1", data)):
        try:
            decode(data)
        except ProtocolError:
            continue


@in_deployment
async def test_vm_follows_the_endpoints_behind_odd_entries(deployment):
    _, client = await start_deployment(deployment, "app")
    vm = deployment.vms[0]
    for number, data in enumerate(ODD_ENTRIES.values()):
        deployment.store.put("keyed.servers", f"odd-{number}", data)
    deployment.store.put("keyed.op", "config", NESTED)
    deployment.store.put(VM_RECORDS_TOPIC, "odd", NESTED)
    await deployment.add_endpoint("i-7", "app")
    deployment.configure(2)
    await wait_until(lambda: "i-7" in vm.directory.entries_by_id)
    await wait_until(lambda: vm.configuration.version() == 2)
    assert set(vm.directory.entries_by_id) == {"i-0", "i-7"}
    assert (await client.call("GET", "/look/7", "r1")).status == 200
    started = await deployment.add_vm()
    await wait_until(lambda: set(started.directory.entries_by_id) == {"i-0", "i-7"})
    assert not vm.draining.is_set() and not started.draining.is_set()
