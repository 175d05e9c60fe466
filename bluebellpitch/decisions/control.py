"""The control topic: table changes and epochs, folded in offset order.

All VMs fold the same records, so they agree without a protocol of their own. A record that a rule
refuses changes nothing and is remembered as refused, for its author to see.
"""

from collections.abc import Iterable

import msgspec

from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.rows import Row, Table, VersionedRow, row_key

MAX_KEPT_VERDICTS = 4_096


class VmIdentity(msgspec.Struct, frozen=True, order=True):
    """One incarnation of an entry VM. ``bus`` and ``admin`` are addresses."""

    name: str
    incarnation: str
    bus: str
    admin: str

    @property
    def key(self) -> str:
        """The name that no other incarnation has."""
        return f"{self.name}.{self.incarnation}"


class TableChange(msgspec.Struct, frozen=True, tag="table"):
    """Sets and deletes rows. ``base`` gives the revision of each touched key; -1: absent."""

    id: str
    base: dict[str, int]
    rows: tuple[Row, ...]
    deleted: tuple[str, ...] = ()
    author: str = ""


class Epoch(msgspec.Struct, frozen=True):
    """A zone's entry VMs. ``excluded`` have left but may still run, as far as is known."""

    number: int
    vms: tuple[VmIdentity, ...]
    excluded: tuple[VmIdentity, ...] = ()


class EpochChange(msgspec.Struct, frozen=True, tag="epoch"):
    """Proposes a zone's next epoch. ``gone`` names VMs that are proved to be no more.

    ``settled`` is the oldest epoch that some VM may still be in, as the proposer knows for sure.
    """

    id: str
    zone: str
    number: int
    vms: tuple[VmIdentity, ...]
    gone: tuple[str, ...] = ()
    settled: int = 0


class Snapshot(msgspec.Struct, frozen=True):
    """The whole fold at an offset. A function of the fold alone, so duplicates do no harm."""

    id: str
    offset: int
    state: bytes
    digest: str


ControlRecord = TableChange | EpochChange


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The record took effect at this offset."""

    offset: int


class Conflicted(msgspec.Struct, frozen=True, tag="conflicted"):
    """The record changed nothing, for these keys had moved on."""

    offset: int
    keys: tuple[str, ...]


RecordVerdict = Accepted | Conflicted


class ControlState(msgspec.Struct):
    """What a snapshot holds. ``offset`` is the last offset folded; -1: none."""

    offset: int = -1
    rows_by_key: dict[str, VersionedRow] = {}
    epochs_by_zone: dict[str, Epoch] = {}
    unsettled_by_zone: dict[str, tuple[Epoch, ...]] = {}
    verdicts_by_id: dict[str, RecordVerdict] = {}


class ControlStateMachine:
    """Folds control records; never goes back to a lower offset."""

    def __init__(self):
        self.state = ControlState()
        self.table = Table({})

    @property
    def offset(self) -> int:
        """The last offset folded; -1: none."""
        return self.state.offset

    def apply(self, offset: int, data: str | bytes) -> RecordVerdict | None:
        """Folds one record; None when it is old or not understood."""
        if offset <= self.offset:
            return None
        record = decode_control_record(data)
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
        self._store_verdict(record.id, verdict)
        return verdict

    def _store_verdict(self, record_id: str, verdict: RecordVerdict) -> None:
        verdicts = self.state.verdicts_by_id
        verdicts[record_id] = verdict
        if len(verdicts) > MAX_KEPT_VERDICTS:
            del verdicts[next(iter(verdicts))]

    def _apply_table_change(self, offset: int, change: TableChange) -> RecordVerdict:
        touched = [row_key(row) for row in change.rows] + list(change.deleted)
        stale = tuple(key for key in touched if change.base.get(key, -1) != self.revision_of(key))
        if stale:
            return Conflicted(offset, stale)
        changes = {row_key(row): VersionedRow(row, offset) for row in change.rows}
        self.table = self.table.with_changes(changes, change.deleted, offset)
        self.state.rows_by_key = self.table.rows_by_key
        return Accepted(offset)

    def revision_of(self, key: str) -> int:
        """Returns the offset that set a row; -1 when there is no such row."""
        versioned = self.state.rows_by_key.get(key)
        return versioned.revision if versioned else -1

    def _apply_epoch_change(self, offset: int, change: EpochChange) -> RecordVerdict:
        current = self.state.epochs_by_zone.get(change.zone, Epoch(0, ()))
        if change.number != current.number + 1:
            return Conflicted(offset, (f"epoch/{change.zone}",))
        out = {vm.key for vm in change.vms} | set(change.gone)
        left = [vm for vm in current.vms + current.excluded if vm.key not in out]
        epoch = Epoch(change.number, tuple(sorted(change.vms)), tuple(sorted(left)))
        self.state.epochs_by_zone = {**self.state.epochs_by_zone, change.zone: epoch}
        former = self.state.unsettled_by_zone.get(change.zone, ()) + (current,)
        kept = tuple(e for e in former if e.number > 0 and e.number >= change.settled)
        self.state.unsettled_by_zone = {**self.state.unsettled_by_zone, change.zone: kept}
        return Accepted(offset)

    def create_snapshot(self) -> Snapshot:
        """Returns the fold as a record; equal folds give equal records."""
        state = msgspec.json.encode(self.state, order="sorted")
        digest = digest_text(state)
        return Snapshot(f"snapshot-{self.offset}-{digest}", self.offset, state, digest)

    def install_latest_snapshot(self, snapshots: Iterable[Snapshot]) -> bool:
        """Bridges expired records with the first snapshot that is whole and ahead."""
        return any(self.install_snapshot(snapshot) for snapshot in snapshots)

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Takes a snapshot over when it is whole and ahead of this fold."""
        if snapshot.offset <= self.offset or digest_text(snapshot.state) != snapshot.digest:
            return False
        try:
            state = msgspec.json.decode(snapshot.state, type=ControlState)
        except msgspec.MsgspecError:
            return False
        self.state = state
        self.table = Table(state.rows_by_key, state.offset)
        return True


def decode_control_record(data: str | bytes) -> ControlRecord | None:
    """Returns the typed record, or None when it is not one of ours."""
    try:
        return msgspec.json.decode(data, type=ControlRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def encode_control_record(record: ControlRecord) -> bytes:
    """Returns the record as the store keeps it."""
    return msgspec.json.encode(record)
