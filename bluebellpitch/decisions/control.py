"""State machine over the control topic: changes of the operators' table, and zone epochs.

All VMs apply the same records in the order of the log, so they agree without a consensus protocol
of their own. A record that conflicts with the current state changes nothing; its verdict is kept
so that its author can read it.

The store may lose records and give their offsets out again. Whoever appends lost changes again
puts a record ``EraBegan`` before them. Offsets of rows, verdicts and snapshots are positions that
hold the era of the last such record, so they mean the same to VMs that applied the lost records and
to those that did not.
"""

from collections.abc import Iterable

import msgspec

from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.log_position import log_position, offset_of
from bluebellpitch.decisions.rows import Row, Table, VersionedRow, row_key
from bluebellpitch.decoding import DECODE_ERRORS

MAX_KEPT_VERDICTS = 4_096
MAX_KEPT_DELETIONS = 4_096


class VmIdentity(msgspec.Struct, frozen=True, order=True):
    """One incarnation of an entry VM. ``bus`` and ``admin`` are its network addresses."""

    name: str
    incarnation: str
    bus: str
    admin: str

    @property
    def key(self) -> str:
        """Identifier that is unique to this incarnation."""
        return f"{self.name}.{self.incarnation}"


class TableChange(msgspec.Struct, frozen=True, tag="table"):
    """Upserts and deletes rows, with optimistic concurrency control.

    ``base`` is the revision of each affected key that the change was made from; -1 for no row.
    """

    id: str
    base: dict[str, int]
    rows: tuple[Row, ...]
    deleted: tuple[str, ...] = ()
    author: str = ""


class Epoch(msgspec.Struct, frozen=True):
    """Membership of a zone's entry VMs.

    ``excluded`` are former VMs of it that are not confirmed to have terminated.
    """

    number: int
    vms: tuple[VmIdentity, ...]
    excluded: tuple[VmIdentity, ...] = ()


class EpochChange(msgspec.Struct, frozen=True, tag="epoch"):
    """Proposes a zone's next epoch. ``gone`` names VMs that are confirmed to have terminated.

    ``settled`` is the oldest epoch that any VM may still use, as far as the proposer is certain.
    """

    id: str
    zone: str
    number: int
    vms: tuple[VmIdentity, ...]
    gone: tuple[str, ...] = ()
    settled: int = 0


class EraBegan(msgspec.Struct, frozen=True, tag="era"):
    """The store came back from a copy: positions after this record are of another era."""

    id: str
    era: int


class RestoredChange(msgspec.Struct, frozen=True, tag="restored"):
    """A change of the table that was accepted at ``position``, before the store lost it.

    It has the id of the lost record, so it takes effect once, however many VMs append it.
    """

    id: str
    position: int
    rows: tuple[Row, ...]
    deleted: tuple[str, ...] = ()
    author: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """The complete control state at an offset.

    It is determined by the records up to that offset, so duplicate snapshots are harmless.
    """

    id: str
    offset: int
    state: bytes
    digest: str
    # Era of the store when the snapshot was made, None if it names none.
    store_era: int | None = None


ControlRecord = TableChange | EpochChange | EraBegan | RestoredChange


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The record at this offset was applied."""

    offset: int


class Conflicted(msgspec.Struct, frozen=True, tag="conflicted"):
    """The record was rejected: these keys had changed since the revisions it was based on."""

    offset: int
    keys: tuple[str, ...]


RecordVerdict = Accepted | Conflicted


class ControlState(msgspec.Struct):
    """Contents of a snapshot. ``offset`` is the last position applied, -1 for none.

    ``deletions_by_key`` holds the offsets at which rows were deleted.
    """

    offset: int = -1
    rows_by_key: dict[str, VersionedRow] = {}
    epochs_by_zone: dict[str, Epoch] = {}
    unsettled_by_zone: dict[str, tuple[Epoch, ...]] = {}
    verdicts_by_id: dict[str, RecordVerdict] = {}
    deletions_by_key: dict[str, int] = {}
    era: int = 0


class ControlStateMachine:
    """Applies control records in offset order; never returns to a lower offset."""

    def __init__(self):
        self.state = ControlState()
        self.table = Table({})

    @property
    def offset(self) -> int:
        """The last position applied, -1 for none."""
        return self.state.offset

    @property
    def next_offset(self) -> int:
        """The offset of the next record in the log."""
        return offset_of(self.offset) + 1

    def apply(self, log_offset: int, data: str | bytes) -> RecordVerdict | None:
        """Applies one record; returns None if it is old, a duplicate or malformed."""
        if log_offset < self.next_offset:
            return None
        record = decode_control_record(data)
        if isinstance(record, EraBegan):
            self.state.era = max(self.state.era, record.era)
        offset = log_position(self.state.era, log_offset)
        verdict = self._apply_record(offset, record) if record else None
        self.state.offset = offset
        return verdict

    def _apply_record(self, offset: int, record: ControlRecord) -> RecordVerdict | None:
        if record.id in self.state.verdicts_by_id:
            return None
        match record:
            case TableChange():
                verdict = self._apply_table_change(offset, record)
            case EpochChange():
                verdict = self._apply_epoch_change(offset, record)
            case EraBegan():
                verdict = Accepted(offset)
            case RestoredChange():
                verdict = self._apply_restored_change(offset, record)
        self._store_verdict(record.id, verdict)
        return verdict

    def _store_verdict(self, record_id: str, verdict: RecordVerdict) -> None:
        verdicts = self.state.verdicts_by_id
        verdicts[record_id] = verdict
        if len(verdicts) > MAX_KEPT_VERDICTS:
            del verdicts[next(iter(verdicts))]

    def _apply_table_change(self, offset: int, change: TableChange) -> RecordVerdict:
        affected = [row_key(row) for row in change.rows] + list(change.deleted)
        stale = tuple(key for key in affected if change.base.get(key, -1) != self.revision_of(key))
        if stale:
            return Conflicted(offset, stale)
        changes = {row_key(row): VersionedRow(row, offset) for row in change.rows}
        self._change_table(changes, change.deleted, offset, offset)
        return Accepted(offset)

    def _change_table(
        self,
        changes: dict[str, VersionedRow],
        deleted: tuple[str, ...],
        revision: int,
        offset: int,
    ) -> None:
        self.table = self.table.with_changes(changes, deleted, offset)
        self.state.rows_by_key = self.table.rows_by_key
        deletions = self.state.deletions_by_key
        for key in changes:
            deletions.pop(key, None)
        deletions |= dict.fromkeys(deleted, revision)
        while len(deletions) > MAX_KEPT_DELETIONS:
            del deletions[next(iter(deletions))]

    def _apply_restored_change(self, offset: int, change: RestoredChange) -> RecordVerdict:
        """Applies a lost change except to rows that have been changed since."""
        position = min(change.position, offset)
        changes = {
            row_key(row): VersionedRow(row, position)
            for row in change.rows
            if self._last_change_of(row_key(row)) < position
        }
        deleted = tuple(key for key in change.deleted if self._last_change_of(key) < position)
        self._change_table(changes, deleted, position, offset)
        return Accepted(position)

    def _last_change_of(self, key: str) -> int:
        return max(self.revision_of(key), self.state.deletions_by_key.get(key, -1))

    def revision_of(self, key: str) -> int:
        """Returns the position of the record that set a row, -1 if there is no such row."""
        versioned = self.state.rows_by_key.get(key)
        return versioned.revision if versioned else -1

    def _apply_epoch_change(self, offset: int, change: EpochChange) -> RecordVerdict:
        current = self.state.epochs_by_zone.get(change.zone, Epoch(0, ()))
        if change.number != current.number + 1:
            return Conflicted(offset, (f"epoch/{change.zone}",))
        not_excluded = {vm.key for vm in change.vms} | set(change.gone)
        excluded = [vm for vm in current.vms + current.excluded if vm.key not in not_excluded]
        epoch = Epoch(change.number, tuple(sorted(change.vms)), tuple(sorted(excluded)))
        self.state.epochs_by_zone = {**self.state.epochs_by_zone, change.zone: epoch}
        previous = self.state.unsettled_by_zone.get(change.zone, ()) + (current,)
        unsettled = tuple(e for e in previous if e.number > 0 and e.number >= change.settled)
        self.state.unsettled_by_zone = {**self.state.unsettled_by_zone, change.zone: unsettled}
        return Accepted(offset)

    def lacks(self, verdicts_by_id: dict[str, RecordVerdict]) -> tuple[str, ...]:
        """Returns the ids among these of records that were accepted and are not in this state."""
        accepted = (id for id, verdict in verdicts_by_id.items() if isinstance(verdict, Accepted))
        return tuple(id for id in accepted if id not in self.state.verdicts_by_id)

    def create_snapshot(self, store_era: int | None = None) -> Snapshot:
        """Returns the state as a snapshot record; equal states give equal records."""
        state = msgspec.json.encode(self.state, order="sorted")
        digest = digest_text(state)
        id = f"snapshot-{self.offset}-{digest}"
        return Snapshot(id, self.offset, state, digest, store_era)

    def install_latest_snapshot(self, snapshots: Iterable[Snapshot]) -> bool:
        """Installs the first valid snapshot ahead of this state, in place of expired records."""
        return any(self.install_snapshot(snapshot) for snapshot in snapshots)

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Replaces the state by a snapshot if its digest is valid and its offset is ahead."""
        if snapshot.offset <= self.offset or digest_text(snapshot.state) != snapshot.digest:
            return False
        try:
            state = msgspec.json.decode(snapshot.state, type=ControlState)
        except DECODE_ERRORS:
            return False
        self.state = state
        self.table = Table(state.rows_by_key, state.offset)
        return True


def decode_control_record(data: str | bytes) -> ControlRecord | None:
    """Returns the decoded record, or None if it is malformed or of an unknown type."""
    try:
        return msgspec.json.decode(data, type=ControlRecord)
    except DECODE_ERRORS:
        return None


def encode_control_record(record: ControlRecord) -> bytes:
    """Returns the record in its stored form."""
    return msgspec.json.encode(record)
