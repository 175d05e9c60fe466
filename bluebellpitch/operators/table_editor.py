"""Reads and changes the operators' table through the control topic."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from uuid import uuid4

from bluebellpitch.constants import STORE_RETRY_DELAY_S
from bluebellpitch.decisions.control import (
    Accepted,
    Conflicted,
    ControlStateMachine,
    TableChange,
    encode_control_record,
)
from bluebellpitch.decisions.rows import Row, row_key
from bluebellpitch.decisions.snapshots import assemble_snapshots
from bluebellpitch.decisions.store_era import is_other_era
from bluebellpitch.errors import BluebellpitchError, ConflictError, UnreachableError
from bluebellpitch.operators.sheet import Sheet
from bluebellpitch.platform.records import Page
from bluebellpitch.platform.store import Appended, StoreClient, Truncated
from bluebellpitch.platform.topics import CONTROL_TOPIC, SNAPSHOTS_TOPIC


@dataclass(frozen=True, slots=True)
class TableDiff:
    """Changes that a sheet makes to the table.

    ``deleted`` and ``conflicts`` are keys; ``base_revisions`` holds the current revisions by key.
    """

    added: tuple[Row, ...] = ()
    changed: tuple[Row, ...] = ()
    deleted: tuple[str, ...] = ()
    conflicts: tuple[str, ...] = ()
    base_revisions: dict[str, int] = field(default_factory=dict)

    def is_empty(self) -> bool:
        """Returns whether the sheet changes nothing."""
        return not (self.added or self.changed or self.deleted)


def diff_table(sheet: Sheet, control: ControlStateMachine, onto_current: bool = False) -> TableDiff:
    """Compares a sheet with the current table.

    A row that equals its baseline changes nothing. An edited row is a conflict unless its baseline
    has the current revision; ``onto_current`` skips this check and overwrites. Rows that the
    sheet lacks are deleted, except those added or changed after the sheet was made.
    """
    current_by_key = control.state.rows_by_key
    baselines_by_key = {} if onto_current else sheet.baselines_by_key
    table_offset = control.offset if onto_current else sheet.table_offset
    added, changed, conflicts = [], [], []
    for row in sheet.rows:
        key = row_key(row)
        baseline, current = baselines_by_key.get(key), current_by_key.get(key)
        if (baseline and baseline.matches(row)) or (current and current.row == row):
            continue
        if current is None and baseline is None:
            added.append(row)
        elif current and (onto_current or (baseline and baseline.revision == current.revision)):
            changed.append(row)
        else:
            conflicts.append(key)
    sheet_keys = {row_key(row) for row in sheet.rows}
    deleted = [
        key
        for key, versioned in current_by_key.items()
        if key not in sheet_keys and versioned.revision <= table_offset
    ]
    affected_keys = [row_key(row) for row in added + changed] + deleted
    base_revisions = {key: control.revision_of(key) for key in affected_keys}
    return TableDiff(tuple(added), tuple(changed), tuple(deleted), tuple(conflicts), base_revisions)


class TableEditor:
    """Replays and changes the control state for one command of an operator."""

    def __init__(self, client: StoreClient, now: Callable[[], float], timeout_s: float):
        self._client = client
        self._now = now
        self._deadline = now() + timeout_s
        self.control = ControlStateMachine()
        self._era: int | None = None

    async def catch_up(self) -> None:
        """Applies all records up to the end of the topic; raises UnreachableError."""
        while True:
            page = await self._retry_until_deadline(
                lambda: self._client.read(CONTROL_TOPIC, self.control.next_offset, 0)
            )
            if is_other_era(page.era, self._era):
                self.control = ControlStateMachine()
                self._era = page.era
                continue
            self._era = page.era if page.era is not None else self._era
            if isinstance(page, Truncated):
                await self._install_snapshot(page.oldest_offset)
                continue
            self._apply_page(page)
            if self.control.next_offset >= page.end_offset:
                return

    async def _retry_until_deadline(self, call: Callable[[], Awaitable]):
        last_error = "no response in time"
        while self._now() < self._deadline:
            try:
                return await call()
            except BluebellpitchError as error:
                last_error = str(error)
                await asyncio.sleep(STORE_RETRY_DELAY_S)
        raise UnreachableError(f"the platform's store cannot be read: {last_error}")

    async def _install_snapshot(self, oldest_offset: int) -> None:
        newest = await self._retry_until_deadline(lambda: self._client.read_newest(SNAPSHOTS_TOPIC))
        self.control.install_latest_snapshot(
            assemble_snapshots(r.value for r in newest.records if r.value)
        )
        if self.control.next_offset < oldest_offset:
            raise UnreachableError(
                "the store has dropped old records and has no snapshot that covers them"
            )

    def _apply_page(self, page: Page) -> None:
        for offset, data in enumerate(page.records, page.start_offset):
            self.control.apply(offset, data)

    async def apply(self, diff: TableDiff, author: str) -> int:
        """Appends a change to the control topic and returns its offset.

        After an append without a response, the topic is searched for the change before it is sent
        again. Raises ConflictError or UnreachableError.
        """
        change = TableChange(
            uuid4().hex, diff.base_revisions, diff.added + diff.changed, diff.deleted, author
        )
        while self._now() < self._deadline:
            verdict = await self._client.append(CONTROL_TOPIC, (encode_control_record(change),))
            await self.catch_up()
            match self.control.state.verdicts_by_id.get(change.id):
                case Accepted(offset):
                    return offset
                case Conflicted(_, keys):
                    raise ConflictError(f"changed by another operator: {', '.join(keys)}")
            if not isinstance(verdict, Appended):
                await asyncio.sleep(STORE_RETRY_DELAY_S)
        raise UnreachableError(
            "the store did not confirm the change in time; it is safe to run the command again"
        )
