"""The command line: options, errors, exit statuses and the program as one file."""

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from bluebellpitch.exit_status import ExitStatus
from fakes.fleet import is_listening, wait_until
from fakes.ports import free_address
from fakes.tables import CLASSES, MODEL_POOL, member_row, new_sheet
from tests.helpers import run_program

ROOT = Path(__file__).resolve().parent.parent
SERVE_OPTIONS = {
    "--vm-name": "vm-1",
    "--zone": "z",
    "--region": "r",
    "--listen": "127.0.0.1:0",
    "--admin": "127.0.0.1:0",
    "--bus": "127.0.0.1:1",
    "--store-address": "127.0.0.1:1",
}


def run_serve(**changes: str):
    options = SERVE_OPTIONS | {
        f"--{name.replace('_', '-')}": value for name, value in changes.items()
    }
    return run_program("serve", *(text for pair in options.items() for text in pair))


@pytest.mark.parametrize(
    ("option", "value"),
    [("listen", "nowhere"), ("zone", "a b"), ("stall_s", "0"), ("log_level", "LOUD")],
)
def test_error_names_the_invalid_option(option, value):
    result = run_serve(**{option: value})
    assert_that(result.status, Equals(ExitStatus.USAGE))
    assert_that(result.stderr, Contains(f"--{option.replace('_', '-')}"))
    assert_that(result.stderr.count("\n"), Equals(1))


def test_error_names_the_missing_option():
    result = run_program("serve")
    assert_that(result.status, Equals(ExitStatus.USAGE))
    assert_that(result.stderr, Contains("--vm-name"))


def test_program_exits_with_its_status_and_does_not_take_the_interpreter_apart():
    """That took a VM with a third of a core up to a second, after its grace period had ended."""
    script = (
        "import atexit, sys; atexit.register(print, 'taken apart');"
        " print('written', end='');"
        " from bluebellpitch.__main__ import run; run()"
    )
    command = [sys.executable, "-c", script, "serve"]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert_that((ended.returncode, ended.stdout), Equals((ExitStatus.USAGE, "written")))
    assert_that(ended.stderr, Contains("--vm-name"))


@pytest.mark.parametrize("closed", ["read end", "stdout", "stderr", "both"])
def test_program_ends_quietly_when_nobody_takes_its_output(closed):
    """The last of the output, which is written at the end, raised an error with a traceback."""
    redirect = {"stdout": ">&-", "stderr": "2>&-", "both": ">&- 2>&-"}.get(closed, "")
    command = ["bash", "-c", f'exec "$0" -m bluebellpitch version {redirect}', sys.executable]
    environment = {k: v for k, v in os.environ.items() if k != "PYTHONUNBUFFERED"}
    reading, writing = os.pipe()
    os.close(reading)
    stdout = writing if closed == "read end" else subprocess.DEVNULL
    try:
        ended = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            stdout=stdout,
            stderr=subprocess.PIPE,
            text=True,
            timeout=30,
        )
    finally:
        os.close(writing)
    expected = ExitStatus.FAILED if closed == "read end" else ExitStatus.OK
    assert_that((ended.returncode, ended.stderr), Equals((expected, "")))


def test_option_is_read_from_the_environment(monkeypatch):
    monkeypatch.setenv("BLUEBELLPITCH_ZONE", "not a zone")
    options = [text for pair in SERVE_OPTIONS.items() if pair[0] != "--zone" for text in pair]
    assert_that(run_program("serve", *options).stderr, Contains("not a zone"))


def test_valid_sheet_passes_the_check(tmp_path):
    path = tmp_path / "table.csv"
    path.write_text(new_sheet(member_row("a"), *CLASSES, MODEL_POOL))
    result = run_program("table", "check", str(path))
    assert_that((result.status, result.stderr), Equals((ExitStatus.OK, "")))


def test_all_errors_of_a_sheet_are_reported_at_once(tmp_path):
    path = tmp_path / "table.csv"
    text = new_sheet(member_row("a"), member_row("b", "none"), *CLASSES, MODEL_POOL)
    path.write_text(text.replace("member,a,1.0", "member,a,-1").replace("pool,drafter", "pol,x"))
    result = run_program("table", "check", str(path))
    assert_that(result.status, Equals(ExitStatus.USAGE))
    assert_that(result.stderr, Contains("column weight: '-1' must be a number above 0"))
    assert_that(result.stderr, Contains("column kind: 'pol' must be one of"))
    assert_that(result.stderr, Contains("column default_class: there is no class 'none'"))


def test_unreachable_platform_has_its_own_exit_status(tmp_path):
    result = run_program("table", "show", "--store-address", free_address(), "--patience-s", "0.3")
    assert_that(result.status, Equals(ExitStatus.UNREACHABLE))
    assert_that(result.stderr, Contains("the platform's store cannot be read"))


def test_error_names_the_unreachable_vm():
    address = free_address()
    result = run_program("status", "--vm", address)
    assert_that(result.status, Equals(ExitStatus.UNREACHABLE))
    assert_that(result.stderr, Contains(address))


def test_version():
    assert_that(run_program("version").stdout, Equals("0.1.0\n"))


def test_first_table_of_the_readme_is_valid(tmp_path):
    lines = (ROOT / "README.md").read_text().splitlines()
    start = next(n for n, line in enumerate(lines) if line.startswith("    kind,name"))
    rows = [line.strip() for line in lines[start : start + 5]]
    path = tmp_path / "table.csv"
    path.write_text("\n".join(rows).replace("DIGEST", "0" * 64))
    result = run_program("table", "check", str(path))
    assert_that((result.stderr, result.status), Equals(("", ExitStatus.OK)))


def test_program_is_one_file_that_starts_no_other_process(tmp_path):
    """Builds the zip application, runs an entry VM from it, and inspects the process."""
    program = tmp_path / "bluebellpitch.pyz"
    build = [sys.executable, "-m", "shiv", "-q", "-c", "bluebellpitch", "-o", str(program), "."]
    subprocess.run([*build, "-r", "requirements.txt"], cwd=ROOT, check=True, capture_output=True)
    addresses = {name: free_address() for name in ("listen", "admin", "bus")}
    options = SERVE_OPTIONS | {f"--{name}": value for name, value in addresses.items()}
    arguments = [text for pair in options.items() for text in pair]
    environment = {**os.environ, "SHIV_ROOT": str(tmp_path / "unpacked"), "PYTHONPATH": ""}
    process = subprocess.Popen(
        [sys.executable, str(program), "serve", *arguments], env=environment, cwd=tmp_path
    )
    try:
        asyncio.run(wait_until(lambda: is_listening(addresses["admin"]), "it serves", 60.0))
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text()
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        files = [os.readlink(link) for link in Path(f"/proc/{process.pid}/fd").iterdir()]
        assert_that(children.strip(), Equals(""))
        assert_that("/dev/shm" in maps, Equals(False))
        assert_that(any("io_uring" in file for file in files), Equals(False))
    finally:
        process.terminate()
        assert_that(process.wait(30), Equals(0))
