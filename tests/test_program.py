"""What a user of the command line sees."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from bluebellpitch.exits import ExitStatus
from fakes.federations import CLASSES, MODEL, member, sheet
from fakes.fleet import free_address
from tests.helpers import run_program

SERVE = {
    "--vm-name": "vm-1",
    "--zone": "z",
    "--region": "r",
    "--listen": "127.0.0.1:0",
    "--admin": "127.0.0.1:0",
    "--bus": "127.0.0.1:1",
    "--log-address": "127.0.0.1:1",
    "--vms-address": "127.0.0.1:1",
}


def serve(**changes: str):
    flags = SERVE | {f"--{name.replace('_', '-')}": value for name, value in changes.items()}
    return run_program("serve", *(text for pair in flags.items() for text in pair))


@pytest.mark.parametrize(
    ("flag", "value"),
    [("listen", "nowhere"), ("zone", "a b"), ("stall_s", "0"), ("log_level", "LOUD")],
)
def test_wrong_setting_is_named(flag, value):
    shown = serve(**{flag: value})
    assert_that(shown.status, Equals(ExitStatus.USAGE))
    assert_that(shown.err, Contains(f"--{flag.replace('_', '-')}"))
    assert_that(shown.err.count("\n"), Equals(1))


def test_missing_setting_is_named():
    shown = run_program("serve")
    assert_that(shown.status, Equals(ExitStatus.USAGE))
    assert_that(shown.err, Contains("--vm-name"))


def test_setting_from_the_environment(monkeypatch):
    monkeypatch.setenv("BLUEBELLPITCH_ZONE", "not a zone")
    flags = [text for pair in SERVE.items() if pair[0] != "--zone" for text in pair]
    assert_that(run_program("serve", *flags).err, Contains("not a zone"))


def test_good_sheet_is_right(tmp_path):
    path = tmp_path / "table.csv"
    path.write_text(sheet(member("a"), *CLASSES, MODEL))
    shown = run_program("table", "check", str(path))
    assert_that((shown.status, shown.err), Equals((ExitStatus.OK, "")))


def test_all_errors_of_a_sheet_are_named_at_once(tmp_path):
    path = tmp_path / "table.csv"
    text = sheet(member("a"), member("b", "none"), *CLASSES, MODEL)
    path.write_text(text.replace("member,a,1.0", "member,a,-1").replace("pool,drafter", "pol,x"))
    shown = run_program("table", "check", str(path))
    assert_that(shown.status, Equals(ExitStatus.USAGE))
    assert_that(shown.err, Contains("column weight: '-1' must be a number above 0"))
    assert_that(shown.err, Contains("column kind: 'pol' must be one of"))
    assert_that(shown.err, Contains("column default_class: there is no class 'none'"))


def test_platform_out_of_reach_has_its_own_status(tmp_path):
    shown = run_program("table", "show", "--log-address", free_address(), "--patience-s", "0.3")
    assert_that(shown.status, Equals(ExitStatus.UNREACHABLE))
    assert_that(shown.err, Contains("the platform's log cannot be read"))


def test_vm_out_of_reach_is_named():
    address = free_address()
    shown = run_program("status", "--vm", address)
    assert_that(shown.status, Equals(ExitStatus.UNREACHABLE))
    assert_that(shown.err, Contains(address))


def test_version():
    assert_that(run_program("version").out, Equals("0.1.0\n"))
