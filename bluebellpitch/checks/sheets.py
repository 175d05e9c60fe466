"""Checks the sheet of ``serve``, and what it changes of the one in force."""

from collections.abc import Iterator

from bluebellpitch.checks.changes import describe_value
from bluebellpitch.checks.findings import (
    Change,
    ChangeKind,
    Finding,
    Report,
    build_report,
    error,
    warning,
)
from bluebellpitch.decisions.rows import ClassRow, EndpointRow, MemberRow, PoolRow, Row, row_key
from bluebellpitch.errors import SheetError
from bluebellpitch.operators.sheet import Sheet, parse_sheet

GONE_EFFECTS = {
    MemberRow: "its requests are refused with 401",
    ClassRow: "requests that name it are refused with 400",
    PoolRow: "its requests are refused with 404",
    EndpointRow: "it gets no new requests",
}
SECRET_FIELDS = {"credential"}


def check_sheet(text: str, text_in_force: str | None = None) -> Report:
    """Checks a sheet; raises SheetError if that in force is invalid."""
    in_force = None if text_in_force is None else parse_sheet(text_in_force)
    try:
        sheet = parse_sheet(text)
    except SheetError as invalid:
        return build_report(map(locate_problem, invalid.problems))
    changes = None if in_force is None else compare_sheets(sheet, in_force)
    return build_report(find_empty_pools(sheet), changes)


def locate_problem(problem: str) -> Finding:
    """Returns a problem of the parser, which begins with its place, as a finding."""
    place, separator, message = problem.partition(": ")
    if separator and place.startswith("row "):
        return error((place,), message)
    return error(("the whole sheet",), problem)


def find_empty_pools(sheet: Sheet) -> Iterator[Finding]:
    """Finds models and services without an endpoint that takes requests."""
    served = {
        row.pool for row in sheet.rows if isinstance(row, EndpointRow) and row.state == "live"
    }
    for row in sheet.rows:
        if isinstance(row, PoolRow) and row.name not in served:
            yield warning((row_key(row),), "it has no live endpoint, so its requests are refused")


def compare_sheets(sheet: Sheet, in_force: Sheet) -> Iterator[Change]:
    """Yields the rows that are gone, new or changed."""
    rows, rows_in_force = rows_by_key(sheet), rows_by_key(in_force)
    for key, row in rows_in_force.items():
        if key not in rows:
            yield Change(ChangeKind.REMOVED, key, GONE_EFFECTS[type(row)])
    for key, row in rows.items():
        if key not in rows_in_force:
            yield Change(ChangeKind.ADDED, key, "it is new")
        elif row != rows_in_force[key]:
            message = "; ".join(describe_row(row, rows_in_force[key]))
            yield Change(ChangeKind.CHANGED, key, message)


def rows_by_key(sheet: Sheet) -> dict[str, Row]:
    """Returns the rows by kind and name."""
    return {row_key(row): row for row in sheet.rows}


def describe_row(row: Row, in_force: Row) -> Iterator[str]:
    """Yields the cells that differ; of secrets only that they do."""
    for name in row.__struct_fields__:
        value, value_in_force = getattr(row, name), getattr(in_force, name)
        if value == value_in_force:
            continue
        if name in SECRET_FIELDS:
            yield "another credential; requests with that in force are refused with 401"
        else:
            yield f"{name}: {describe_value(value_in_force)} -> {describe_value(value)}"
