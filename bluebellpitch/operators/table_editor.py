"""Reads and changes the agreed table: the operators' side of the control topic."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from uuid import uuid4

from bluebellpitch.constants import STORE_RETRY_S
from bluebellpitch.decisions.control import (
    Accepted,
    Conflicted,
    ControlStateMachine,
    TableChange,
    encode_control_record,
)
from bluebellpitch.decisions.rows import Row, row_key
from bluebellpitch.decisions.snapshots import assemble_snapshots
from bluebellpitch.errors import BluebellpitchError, ConflictError, UnreachableError
from bluebellpitch.operators.sheet import Sheet
from bluebellpitch.platform.records import Page
from bluebellpitch.platform.store import Appended, StoreClient, Truncated
from bluebellpitch.platform.topics import CONTROL_TOPIC, SNAPSHOTS_TOPIC


@dataclass(frozen=True, slots=True)
class TableDiff:
    """What a sheet would change. ``deleted`` and ``conflicts`` are keys; ``base`` revisions."""

    added: tuple[Row, ...] = ()
    changed: tuple[Row, ...] = ()
    deleted: tuple[str, ...] = ()
    conflicts: tuple[str, ...] = ()
    base_revisions: dict[str, int] = field(default_factory=dict)

    def is_empty(self) -> bool:
        """Tells whether nothing changes."""
        return not (self.added or self.changed or self.deleted)


def diff_table(sheet: Sheet, control: ControlStateMachine, onto_current: bool = False) -> TableDiff:
    """Compares a sheet with the agreed table.

    A row that the operator left as it was shown changes nothing. One that was edited must have been
    shown at its present revision, else it is a conflict; ``onto_current`` takes all present
    revisions as known. A row that the sheet could not know is left alone.
    """
    current = control.state.rows_by_key
    origins_by_key = {} if onto_current else sheet.baselines_by_key
    offset = control.offset if onto_current else sheet.table_offset
    added, changed, conflicts = [], [], []
    for row in sheet.rows:
        key = row_key(row)
        origin, present = origins_by_key.get(key), current.get(key)
        if (origin and origin.matches(row)) or (present and present.row == row):
            continue
        if present is None and origin is None:
            added.append(row)
        elif present and (onto_current or (origin and origin.revision == present.revision)):
            changed.append(row)
        else:
            conflicts.append(key)
    kept = {row_key(row) for row in sheet.rows}
    deleted = [k for k, v in current.items() if k not in kept and v.revision <= offset]
    keys = [row_key(row) for row in added + changed] + deleted
    base = {key: control.revision_of(key) for key in keys}
    return TableDiff(tuple(added), tuple(changed), tuple(deleted), tuple(conflicts), base)


class TableEditor:
    """Folds the control topic for one command of an operator."""

    def __init__(self, client: StoreClient, now: Callable[[], float], timeout_s: float):
        self._client = client
        self._now = now
        self._deadline = now() + timeout_s
        self.control = ControlStateMachine()

    async def catch_up(self) -> None:
        """Folds all that is in the store now; raises UnreachableError."""
        while True:
            page = await self._retry_until_deadline(
                lambda: self._client.read(CONTROL_TOPIC, self.control.offset + 1, 0)
            )
            if isinstance(page, Truncated):
                await self._install_snapshot(page.oldest_offset)
                continue
            self._apply_page(page)
            if self.control.offset + 1 >= page.end_offset:
                return

    async def _retry_until_deadline(self, call: Callable[[], Awaitable]):
        error = "no answer in time"
        while self._now() < self._deadline:
            try:
                return await call()
            except BluebellpitchError as failure:
                error = str(failure)
                await asyncio.sleep(STORE_RETRY_S)
        raise UnreachableError(f"the platform's store cannot be read: {error}")

    async def _install_snapshot(self, oldest_offset: int) -> None:
        newest = await self._retry_until_deadline(lambda: self._client.read_newest(SNAPSHOTS_TOPIC))
        self.control.install_latest_snapshot(
            assemble_snapshots(r.value for r in newest.records if r.value)
        )
        if self.control.offset + 1 < oldest_offset:
            raise UnreachableError("the store has lost old records, and holds no snapshot of them")

    def _apply_page(self, page: Page) -> None:
        for offset, data in enumerate(page.records, page.start_offset):
            self.control.apply(offset, data)

    async def apply(self, diff: TableDiff, author: str) -> int:
        """Puts a change into the store and returns its offset.

        An append whose answer was lost is looked for there before it is sent again. Raises
        ConflictError or UnreachableError.
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
                await asyncio.sleep(STORE_RETRY_S)
        raise UnreachableError(
            "the store did not confirm the change in time; run the command again: it is safe"
        )
