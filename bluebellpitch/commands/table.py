"""``table``: checks, shows and changes the table that is in force."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, closing
from pathlib import Path
from typing import Annotated

import typer

from bluebellpitch.commands.options import (
    OntoCurrent,
    RetryTimeout,
    SheetPath,
    StoreAddress,
    option,
    print_output,
)
from bluebellpitch.decisions.control import ControlStateMachine
from bluebellpitch.decisions.rows import row_key
from bluebellpitch.environment import Environment
from bluebellpitch.errors import ConflictError, UsageError
from bluebellpitch.exit_status import ExitStatus
from bluebellpitch.operators.sheet import Sheet, format_sheet, parse_sheet
from bluebellpitch.operators.table_editor import TableDiff, TableEditor, diff_table
from bluebellpitch.platform.store import StoreClient


def read_sheet_file(path: Path) -> Sheet:
    """Reads and parses a sheet file; raises UsageError or SheetError."""
    try:
        return parse_sheet(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path} cannot be read: {error}") from error


@asynccontextmanager
async def open_editor(
    environment: Environment, address: str, timeout_s: float
) -> AsyncIterator[TableEditor]:
    """Yields an editor that has applied all control records; closes its connection at the end."""
    with closing(StoreClient(address)) as client:
        editor = TableEditor(client, environment.now, timeout_s)
        await editor.catch_up()
        yield editor


async def read_control(
    environment: Environment, address: str, timeout_s: float
) -> ControlStateMachine:
    """Returns the control state after all records in the store."""
    async with open_editor(environment, address, timeout_s) as editor:
        return editor.control


def check(context: typer.Context, sheet: SheetPath) -> int:
    """Checks a sheet without contacting the platform."""
    rows = read_sheet_file(sheet).rows
    print_output(context, f"{sheet}: {len(rows)} rows are valid")
    return ExitStatus.OK


def show(
    context: typer.Context, store_address: StoreAddress, patience_s: RetryTimeout = 10.0
) -> int:
    """Prints the table that is in force."""
    control = asyncio.run(read_control(context.obj, store_address, patience_s))
    rows = control.state.rows_by_key.values()
    print_output(context, format_sheet(rows, control.offset), end="")
    return ExitStatus.OK


def diff(
    context: typer.Context,
    sheet: SheetPath,
    store_address: StoreAddress,
    onto_current: OntoCurrent = False,
    patience_s: RetryTimeout = 10.0,
) -> int:
    """Prints the changes that applying a sheet would make."""
    desired = read_sheet_file(sheet)
    control = asyncio.run(read_control(context.obj, store_address, patience_s))
    for line in format_diff(diff_table(desired, control, onto_current)):
        print_output(context, line)
    return ExitStatus.OK


def apply(
    context: typer.Context,
    sheet: SheetPath,
    store_address: StoreAddress,
    author: Annotated[
        str, option("--author", "Name of the operator to record with the change.")
    ] = "operator",
    onto_current: OntoCurrent = False,
    patience_s: RetryTimeout = 15.0,
) -> int:
    """Applies a sheet to the table in force."""
    desired = read_sheet_file(sheet)
    operation = apply_sheet(context.obj, desired, store_address, author, onto_current, patience_s)
    print_output(context, asyncio.run(operation))
    return ExitStatus.OK


async def apply_sheet(
    environment: Environment,
    desired: Sheet,
    store_address: str,
    author: str,
    onto_current: bool,
    timeout_s: float,
) -> str:
    """Applies a sheet; returns a message for the operator. Raises ConflictError."""
    async with open_editor(environment, store_address, timeout_s) as editor:
        table_diff = diff_table(desired, editor.control, onto_current)
        if table_diff.conflicts:
            keys = ", ".join(table_diff.conflicts)
            raise ConflictError(f"changed by another operator since the sheet was made: {keys}")
        if table_diff.is_empty():
            return f"nothing to change; in force at offset {editor.control.offset}"
        return f"in force at offset {await editor.apply(table_diff, author)}"


def format_diff(table_diff: TableDiff) -> Iterator[str]:
    """Yields one line per row that would change or that conflicts."""
    yield from (f"+ {row_key(row)}" for row in table_diff.added)
    yield from (f"~ {row_key(row)}" for row in table_diff.changed)
    yield from (f"- {key}" for key in table_diff.deleted)
    yield from (f"! {key} (changed by another operator)" for key in table_diff.conflicts)
    if table_diff.is_empty() and not table_diff.conflicts:
        yield "no difference"
