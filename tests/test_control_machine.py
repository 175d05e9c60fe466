"""The actions and faults of models/table.py, against the real decision code."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bluebellpitch.decisions.control import (
    Accepted,
    Conflicted,
    ControlStateMachine,
    Snapshot,
    TableChange,
    decode_control_record,
    encode_control_record,
)
from bluebellpitch.decisions.rows import MemberRow, row_key

READERS = ("a", "b")


def row_of(name: str, weight: float) -> MemberRow:
    return MemberRow(name, weight, 0, "0" * 64, "draft")


class ControlMachine(RuleBasedStateMachine):
    """Operators with stale views, copies of changes, expiry, snapshots, peers, reboots."""

    def __init__(self):
        super().__init__()
        self.log: list[bytes] = []
        self.snapshots: list[Snapshot] = []
        self.first = 0
        self.reference = [ControlStateMachine()]
        self.readers = {name: ControlStateMachine() for name in READERS}
        self.changes: list[TableChange] = []
        self.first_verdicts: dict[str, object] = {}

    def land(self, record: bytes) -> None:
        offset = len(self.log)
        self.log.append(record)
        fold = ControlStateMachine()
        for place, data in enumerate(self.log):
            fold.apply(place, data)
        self.reference.append(fold)
        change = decode_control_record(record)
        verdict = fold.state.verdicts_by_id.get(change.id)
        if isinstance(change, TableChange):
            assert self.first_verdicts.setdefault(change.id, verdict) == verdict
            if verdict == Accepted(offset):
                before = self.reference[-2]
                assert all(before.revision_of(key) == rev for key, rev in change.base.items())

    @rule(name=st.sampled_from("xy"), prefix=st.integers(0, 50), deletes=st.booleans())
    def edit(self, name, prefix, deletes):
        seen = self.reference[prefix % len(self.reference)]
        row = row_of(name, 1.0 + len(self.changes))
        base = {row_key(row): seen.revision_of(row_key(row))}
        rows = () if deletes else (row,)
        deleted = (row_key(row),) if deletes else ()
        change = TableChange(f"t{len(self.changes)}", base, rows, deleted)
        self.changes.append(change)
        self.land(encode_control_record(change))

    @rule(place=st.integers(0, 50))
    def land_again(self, place):
        if self.changes:
            self.land(encode_control_record(self.changes[place % len(self.changes)]))

    @rule()
    def publish_snapshot(self):
        self.snapshots.insert(0, self.reference[-1].create_snapshot())

    @rule(count=st.integers(1, 3))
    def expire(self, count):
        self.first = min(len(self.log), self.first + count)

    @rule(name=st.sampled_from(READERS), count=st.integers(1, 4))
    def read(self, name, count):
        fold = self.readers[name]
        if fold.offset + 1 < self.first and not fold.install_latest_snapshot(self.snapshots):
            return
        if fold.offset + 1 < self.first:
            return
        for offset in range(fold.offset + 1, min(len(self.log), fold.offset + 1 + count)):
            if offset >= self.first:
                fold.apply(offset, self.log[offset])

    @rule(name=st.sampled_from(READERS))
    def take_from_peer(self, name):
        other = next(reader for reader in READERS if reader != name)
        before = self.readers[name].offset
        self.readers[name].install_snapshot(self.readers[other].create_snapshot())
        assert self.readers[name].offset >= before

    @rule(name=st.sampled_from(READERS))
    def reboot(self, name):
        self.readers[name] = ControlStateMachine()

    @invariant()
    def readers_agree_with_the_log(self):
        for fold in self.readers.values():
            expected = self.reference[fold.offset + 1].state
            assert fold.state.rows_by_key == expected.rows_by_key
            assert fold.table.rows_by_key == expected.rows_by_key

    @invariant()
    def verdicts_never_change(self):
        for fold in self.readers.values():
            for record_id, verdict in fold.state.verdicts_by_id.items():
                assert isinstance(verdict, Accepted | Conflicted)
                assert self.first_verdicts[record_id] == verdict


TestControl = ControlMachine.TestCase
TestControl.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
