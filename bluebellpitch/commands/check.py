"""``check``: checks a configuration or a sheet, and shows what it changes."""

import io
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from bluebellpitch.checks.findings import ChangeKind, Finding, Report, Severity, build_report, error
from bluebellpitch.checks.rules import check_configuration
from bluebellpitch.checks.sheets import check_sheet
from bluebellpitch.commands.options import print_output
from bluebellpitch.errors import ProtocolError, SheetError, UsageError
from bluebellpitch.exit_status import ExitStatus
from bluebellpitch.platform.configuration import decode_entries
from bluebellpitch.platform.configuration_places import format_place, locate_errors

SIGNS = {ChangeKind.ADDED: "+", ChangeKind.CHANGED: "~", ChangeKind.REMOVED: "-"}
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class OutputFormat(StrEnum):
    """How a report is printed."""

    TEXT = "text"
    JSON = "json"


def check(
    context: typer.Context,
    file: Annotated[
        Path, typer.Argument(help="A configuration as JSON, or a table as a CSV sheet.")
    ],
    in_force: Annotated[
        Path | None, typer.Option("--in-force", help="The version in force, in the same form.")
    ] = None,
    zone: Annotated[
        list[str],
        typer.Option("--zone", help="A zone of the deployment; give all of them, or none."),
    ] = (),
    output: Annotated[
        OutputFormat, typer.Option("--format", help="How to print the result.")
    ] = OutputFormat.TEXT,
) -> int:
    """Checks a file without contacting the platform."""
    data = read_file(file)
    data_in_force = None if in_force is None else read_file(in_force)
    try:
        if is_configuration(file, data):
            report = check_configuration_file(data, frozenset(zone), data_in_force)
        else:
            report = check_sheet_file(data, data_in_force)
    except (ProtocolError, SheetError) as invalid:
        raise UsageError(f"{in_force}: the version in force is invalid: {invalid}") from invalid
    if output is OutputFormat.JSON:
        print_output(context, format_json(report))
    else:
        for line in format_text(report):
            print_output(context, line)
    return get_exit_status(report)


def read_file(path: Path) -> bytes:
    """Reads a file; raises UsageError."""
    try:
        return path.read_bytes()
    except OSError as failure:
        raise UsageError(f"{path} cannot be read: {failure}") from failure


def is_configuration(path: Path, data: bytes) -> bool:
    """Returns whether a file is meant as a configuration: by its suffix, or else its content."""
    if path.suffix.lower() in (".json", ".csv"):
        return path.suffix.lower() == ".json"
    return data.removeprefix(BYTE_ORDER_MARK).lstrip()[:1] in (b"{", b"[")


def check_configuration_file(
    data: bytes, zones: frozenset[str], data_in_force: bytes | None
) -> Report:
    """Checks a configuration; raises ProtocolError if that in force is malformed."""
    in_force = None if data_in_force is None else decode_entries(data_in_force)
    try:
        entries = decode_entries(data)
    except ProtocolError:
        errors = locate_errors(data)
        return build_report(error((place,), message) for place, message in errors.items())
    return check_configuration(entries, zones, in_force)


def check_sheet_file(data: bytes, data_in_force: bytes | None) -> Report:
    """Checks a sheet; raises SheetError if that in force is invalid."""
    in_force = None if data_in_force is None else decode_sheet(data_in_force)
    try:
        text = decode_sheet(data)
    except SheetError as invalid:
        return build_report([error(("the whole sheet",), str(invalid))])
    return check_sheet(text, in_force)


def decode_sheet(data: bytes) -> str:
    """Decodes the text of a sheet as ``table`` reads it; raises SheetError."""
    try:
        return io.TextIOWrapper(io.BytesIO(data), encoding="utf-8").read()
    except UnicodeDecodeError as failure:
        raise SheetError((f"not valid UTF-8: {failure}",)) from failure


def get_exit_status(report: Report) -> ExitStatus:
    """Returns the exit status of the worst finding; changes have none."""
    if report.count(Severity.ERROR):
        return ExitStatus.HAS_ERRORS
    return ExitStatus.HAS_WARNINGS if report.findings else ExitStatus.OK


def format_finding(finding: Finding) -> str:
    """Returns the line of one finding."""
    return f"{finding.severity}: {format_place(finding.place)}: {finding.message}"


def format_text(report: Report) -> Iterator[str]:
    """Yields one line per finding and change, and a summary."""
    yield from map(format_finding, report.findings)
    for change in report.changes or ():
        yield f"{SIGNS[change.kind]} {change.entry}: {change.message}"
    counts = [
        (report.count(Severity.ERROR), "error"),
        (report.count(Severity.WARNING), "warning"),
    ]
    if report.changes is not None:
        counts.append((len(report.changes), "change"))
    yield ", ".join(f"{count} {word}{'' if count == 1 else 's'}" for count, word in counts)


def format_json(report: Report) -> str:
    """Returns the report as a JSON object; ``changes`` is null if nothing was compared."""
    findings = [
        {
            "severity": finding.severity,
            "place": format_place(finding.place),
            "message": finding.message,
        }
        for finding in report.findings
    ]
    return msgspec.json.encode({"findings": findings, "changes": report.changes}).decode()
