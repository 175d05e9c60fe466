"""``check``: faults of a configuration or sheet before it is sent, and what it changes."""

import copy
import io
import string
from pathlib import Path

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bluebellpitch.checks.reach import find_shadowed_routes
from bluebellpitch.environment import Environment
from bluebellpitch.errors import ProtocolError
from bluebellpitch.exit_status import ExitStatus
from bluebellpitch.main import main
from bluebellpitch.platform.configuration import decode_configuration, decode_entries
from fakes.prepared_deployment import API_KEY, MEMBER, build_configuration, build_route
from fakes.tables import CLASSES, FILING_POOL, MODEL_POOL, member_row, new_sheet
from tests.helpers import run_program
from tests.test_fuzz import JSON, LINES

SCALING = {"min": 1, "max": 2, "zone_prices": {"z1": 1.0, "z2": 2.0}}
REMOVED = object()
fuzz_settings = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


def change(configuration: dict, *path_and_value) -> dict:
    """Returns a copy with one value replaced; an index behind the end of a list appends to it."""
    *path, last, value = path_and_value
    changed = copy.deepcopy(configuration)
    parent = changed
    for part in path:
        parent = parent[part]
    if value is REMOVED:
        del parent[last]
    elif isinstance(parent, list) and last >= len(parent):
        parent.append(value)
    else:
        parent[last] = value
    return changed


CLEAN = change(build_configuration(4), "services", 1, "scaling", SCALING)


@pytest.fixture
def check(tmp_path):
    """Returns a function that checks a file against that in force: the status and the report."""

    def run_check(content, in_force=None, *options: str):
        arguments = [write(tmp_path / "new", content), "--format", "json", *options]
        if in_force is not None:
            arguments += ["--in-force", write(tmp_path / "in_force", in_force)]
        result = run_program("check", *arguments)
        assert result.stderr == ""
        return result.status, msgspec.json.decode(result.stdout)

    return run_check


def write(path: Path, content) -> str:
    path.write_bytes(content if isinstance(content, bytes) else msgspec.json.encode(content))
    return str(path)


def places(report: dict, severity: str) -> list[str]:
    return [found["place"] for found in report["findings"] if found["severity"] == severity]


def test_clean_file_has_no_findings(check):
    assert check(CLEAN) == (ExitStatus.OK, {"findings": [], "changes": None})
    assert check(CLEAN, None, "--zone", "z1", "--zone", "z2")[0] is ExitStatus.OK


SECOND_LOOK = build_route("again", "safe", "app", path_prefix="/look/")
SECOND_MEMBER = {"name": "other", "api_keys": ["other-key"]}
SPLIT = [{"service": "app", "weight": 0}, {"service": "engines", "weight": 1}]
OTHER_PRICES = {
    "name": "engines-2",
    "max_conns": 9,
    "scaling": {"max": 2, "zone_prices": {"z1": 1}},
}

ERRORS = {
    "host with a port": (("routes", 0, "host", "tile.example:80"), "routes[0].host"),
    "prefix without slash": (("routes", 0, "path_prefix", "look"), "routes[0].path_prefix"),
    "prefix with a query": (("routes", 0, "path_prefix", "/look?x"), "routes[0].path_prefix"),
    "repeated prefix": (("routes", 4, SECOND_LOOK), "routes[4].path_prefix"),
    "negative weight": (
        ("routes", 0, "split", [{"service": "app", "weight": -1}, SPLIT[1]]),
        "routes[0].split[0].weight",
    ),
    "unlisted service": (("routes", 0, "service", "gone"), "routes[0].service"),
    "empty key": (("tenants", 1, SECOND_MEMBER | {"api_keys": [""]}), "tenants[1].api_keys[0]"),
    "key in blanks": (
        ("tenants", 1, SECOND_MEMBER | {"api_keys": ["k "]}),
        "tenants[1].api_keys[0]",
    ),
    "key of two accounts": (
        ("tenants", 1, SECOND_MEMBER | {"api_keys": ["k", API_KEY]}),
        "tenants[1].api_keys[1]",
    ),
    "repeated service": (("services", 2, CLEAN["services"][0]), "services[2].name"),
    "no timeout": (("routes", 0, "timeout_ms", 0), "routes[0].timeout_ms"),
    "no slots": (("services", 1, "engine", "slots", 0), "services[1].engine.slots"),
    "no memory": (("services", 1, "engine", "kv_capacity", 0), "services[1].engine.kv_capacity"),
    "minimum above maximum": (("services", 1, "scaling", "min", 3), "services[1].scaling.min"),
    "no heads": (("limits", "max_header_bytes", 0), "limits.max_header_bytes"),
    "no bodies": (("limits", "max_body_bytes", 0), "limits.max_body_bytes"),
    "wrong type": (("routes", 2, "kind", "odd"), "routes[2].kind"),
    "missing field": (("services", 1, "max_conns", REMOVED), "services[1]"),
    "wrong limit": (("limits", "max_body_bytes", "x"), "limits.max_body_bytes"),
}
WARNINGS = {
    "weight 0": (("routes", 0, "split", SPLIT), "routes[0].split[0].weight"),
    "unused service": (("services", 2, {"name": "x", "max_conns": 1}), "services[2].name"),
    "account without keys": (("tenants", 1, {"name": "other"}), "tenants[1].api_keys"),
    "no accounts": (("tenants", []), "tenants"),
    "key listed twice": (("tenants", 0, "api_keys", 1, API_KEY), "tenants[0].api_keys[1]"),
    "repeated route name": (("routes", 0, "name", "file"), "routes[1].name"),
    "repeated account": (("tenants", 1, SECOND_MEMBER | {"name": MEMBER}), "tenants[1].name"),
    "goal above timeout": (("routes", 0, "goal_ms", 3_000), "routes[0].goal_ms"),
    "no goal": (("routes", 0, "goal_ms", 0), "routes[0].goal_ms"),
    "gap above timeout": (("routes", 2, "gap_target_ms", 3_000), "routes[2].gap_target_ms"),
    "too few connections": (("services", 1, "max_conns", 7), "services[1].max_conns"),
}


@pytest.mark.parametrize("fault", ERRORS)
def test_error_is_found_at_its_place(check, fault):
    path_and_value, place = ERRORS[fault]
    status, report = check(change(CLEAN, *path_and_value))
    assert (status, places(report, "error")) == (ExitStatus.HAS_ERRORS, [place])


@pytest.mark.parametrize("fault", WARNINGS)
def test_warning_is_found_at_its_place(check, fault):
    path_and_value, place = WARNINGS[fault]
    status, report = check(change(CLEAN, *path_and_value))
    assert (status, places(report, "error")) == (ExitStatus.HAS_WARNINGS, [])
    assert places(report, "warning") == [place]


def test_prices_and_attempts_are_held_against_the_zones(check):
    prices = "services[1].scaling.zone_prices"
    _, report = check(CLEAN, None, "--zone", "z1")
    assert (places(report, "error"), places(report, "warning")) == ([prices], [])
    _, report = check(CLEAN, None, "--zone", "z1", "--zone", "z2", "--zone", "z3")
    assert (places(report, "error"), places(report, "warning")) == ([], [prices])
    many_attempts = change(CLEAN, "routes", 2, "max_attempts", 5)
    _, report = check(many_attempts, None, "--zone", "z1", "--zone", "z2")
    assert places(report, "warning") == ["routes[2].max_attempts"]
    _, report = check(change(CLEAN, "services", 2, OTHER_PRICES))
    assert "services[2].scaling.zone_prices" in places(report, "warning")


def test_all_malformed_entries_are_reported_at_once(check):
    malformed = change(change(CLEAN, "routes", 1, "name", 1), "tenants", 0, "priority", "x")
    assert places(check(malformed)[1], "error") == ["routes[1].name", "tenants[0].priority"]


def test_place_of_a_syntax_error_is_its_line_and_column(check):
    assert places(check(b'{"version": 1,\n "routes": [}')[1], "error") == ["line 2, column 13"]


PREFIXES = ("", "/", "/a", "/a/", "/a/b/")


@given(st.lists(st.tuples(st.sampled_from("AaB"), st.sampled_from(PREFIXES)), max_size=8))
@fuzz_settings
def test_routes_are_shadowed_if_no_request_reaches_them(addresses):
    routes = [build_route("r", "safe", "app", host=h, path_prefix=p) for h, p in addresses]
    data = msgspec.json.encode(build_configuration(1) | {"routes": routes})
    entries, catalogue = decode_entries(data), decode_configuration(data)
    hosts_and_paths = [(host, f"{prefix or '/'}z") for host in "ab" for prefix in PREFIXES]
    reached = [catalogue.match_route(*request) for request in hosts_and_paths]
    shadowed = {finding.place[1] for finding in find_shadowed_routes(entries)}
    count = len({(route.host, route.path_prefix) for route in reached if route})
    assert len(entries.routes) - len(shadowed) == count


CHANGES = {
    "route gone": (("routes", 0, REMOVED), "route 'look'", "404"),
    "route takes from another": (
        ("routes", 4, build_route("part", "safe", "app", path_prefix="/look/x/")),
        "route 'part'",
        "takes requests of route 'look'",
    ),
    "other service": (("routes", 0, "split", SPLIT), "route 'look'", "'engines' (1), not to 'app'"),
    "public": (("routes", 0, "public", True), "route 'look'", "no key is needed"),
    "timeout": (("routes", 0, "timeout_ms", 500), "route 'look'", "2 -> 0.5"),
    "rank": (("tenants", 0, "priority", 3), f"account '{MEMBER}'", "its rank is 3"),
    "key given": (("tenants", 0, "api_keys", 1, "second"), f"account '{MEMBER}'", "keys given: 1"),
    "key taken away": (("tenants", 0, "api_keys", []), f"account '{MEMBER}'", "refused with 401"),
    "key moved": (("tenants", 0, "name", "new"), f"account '{MEMBER}'", "now of account 'new'"),
    "keys not asked for": (("tenants", None), "accounts", "everybody may use all routes"),
    "slots": (("services", 1, "engine", "slots", 4), "service 'engines'", "slots: 8 -> 4"),
    "prices": (("services", 1, "scaling", "zone_prices", {}), "service 'engines'", "z1 1, z2 2"),
    "body limit": (("limits", "max_body_bytes", 9), "limits", "10000 -> 9; larger ones"),
}


@pytest.mark.parametrize("name", CHANGES)
def test_change_says_what_callers_notice(check, name):
    path_and_value, entry, message = CHANGES[name]
    _, report = check(change(change(CLEAN, *path_and_value), "version", 5), CLEAN)
    assert places(report, "error") == []
    found = [
        c for c in report["changes"] if c["entry"].startswith(entry) and message in c["message"]
    ]
    assert len(found) == 1
    assert API_KEY not in str(report)


def test_version_that_vms_would_ignore_is_an_error(check):
    assert places(check(CLEAN, CLEAN)[1], "error") == ["version"]
    assert check(change(CLEAN, "version", 5), CLEAN) == (0, {"findings": [], "changes": []})


def test_sheet_is_checked_and_compared(check):
    sheet = new_sheet(member_row("a"), *CLASSES, MODEL_POOL).encode()
    status, report = check(sheet)
    assert (status, places(report, "warning")) == (ExitStatus.HAS_WARNINGS, ["pool/drafter"])
    status, report = check(sheet.replace(b"pool,drafter", b"pol,drafter"))
    assert (status, places(report, "error")) == (ExitStatus.HAS_ERRORS, ["row 7, column kind"])
    other = new_sheet(member_row("a", limit=3), *CLASSES, MODEL_POOL, FILING_POOL).encode()
    entries = [(c["kind"], c["entry"]) for c in check(other, sheet)[1]["changes"]]
    assert entries == [("changed", "member/a"), ("added", "pool/filing")]


def test_text_has_a_line_for_each_finding_and_change(tmp_path):
    new = write(tmp_path / "new.json", change(CLEAN, "routes", 0, "goal_ms", 3_000))
    lines = run_program(
        "check", new, "--in-force", write(tmp_path / "old", CLEAN)
    ).stdout.splitlines()
    assert [line.split(":")[0] for line in lines[:2]] == ["error", "warning"]
    assert lines[2].startswith("~ route 'look' (tile.example/look/): target (s): 0.4 -> 3;")
    assert lines[3:] == ["1 error, 1 warning, 1 change"]


def test_names_that_the_terminal_cannot_show_are_escaped(tmp_path):
    terminal = io.TextIOWrapper(io.BytesIO(), encoding="ascii")
    path = write(tmp_path / "new", change(CLEAN, "routes", 0, "service", "窓口"))
    assert main(["check", path], Environment(stdout=terminal)) is ExitStatus.HAS_ERRORS
    terminal.seek(0)
    assert r"'\u7a93\u53e3'" in terminal.read()


def test_unusable_files_are_wrong_use(tmp_path):
    clean, odd = write(tmp_path / "clean", CLEAN), write(tmp_path / "odd", b"{")
    for arguments in ([str(tmp_path)], [clean, "--in-force", odd], [clean, "--in-force", "none"]):
        assert run_program("check", *arguments).status is ExitStatus.USAGE


def paths_in(value, path=()):
    """Yields the path of each value inside a configuration."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for name, inner in items:
        yield (*path, name)
        if isinstance(inner, dict | list):
            yield from paths_in(inner, (*path, name))


ODD = JSON | st.sampled_from((-1, 0, 1e300, 2**70, "", "a:1", "/", None, [], {})) | st.just(REMOVED)
EDITS = st.lists(st.tuples(st.sampled_from(list(paths_in(CLEAN))), ODD), max_size=3)


def edit(edits) -> bytes:
    configuration = CLEAN
    for path, value in edits:
        try:
            configuration = change(configuration, *path, value)
        except (KeyError, IndexError, TypeError):
            continue
    return msgspec.json.encode(configuration)


@given(EDITS.map(edit), EDITS.map(edit))
@fuzz_settings
def test_what_passes_is_what_route_takes(check, data, data_in_force):
    try:
        decode_configuration(data_in_force)
    except ProtocolError:
        data_in_force = None
    status, report = check(data, data_in_force, "--zone", "z1")
    assert status in (ExitStatus.OK, ExitStatus.HAS_WARNINGS, ExitStatus.HAS_ERRORS)
    try:
        decode_configuration(data)
    except ProtocolError:
        assert status is ExitStatus.HAS_ERRORS


TEXTS = LINES.map(lambda lines: "\n".join(lines).encode()) | st.text(string.printable).map(
    str.encode
)


@given(st.binary() | st.binary().map(b"{".__add__) | TEXTS, st.sampled_from(("", ".csv", ".json")))
@fuzz_settings
def test_no_file_ends_the_check_with_a_traceback(tmp_path, data, suffix):
    path = write(tmp_path / f"file{suffix}", data)
    for arguments in ([path], [path, "--in-force", path]):
        result = run_program("check", *arguments)
        assert result.status is not ExitStatus.FAILED
