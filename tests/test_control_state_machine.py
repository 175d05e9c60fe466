"""Stateful test of the control state machine with the actions and faults of models/table.py."""

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


def make_member_row(name: str, weight: float) -> MemberRow:
    return MemberRow(name, weight, 0, "0" * 64, "draft")


class ControlMachine(RuleBasedStateMachine):
    """Stale and duplicated changes, record expiry, snapshots, transfers from peers, restarts."""

    def __init__(self):
        super().__init__()
        self.log: list[bytes] = []
        self.snapshots: list[Snapshot] = []
        self.first_kept = 0
        self.references = [ControlStateMachine()]
        self.machines_by_reader = {name: ControlStateMachine() for name in READERS}
        self.changes: list[TableChange] = []
        self.first_verdicts_by_id: dict[str, object] = {}

    def append(self, record: bytes) -> None:
        offset = len(self.log)
        self.log.append(record)
        machine = ControlStateMachine()
        for index, data in enumerate(self.log):
            machine.apply(index, data)
        self.references.append(machine)
        change = decode_control_record(record)
        verdict = machine.state.verdicts_by_id.get(change.id)
        if isinstance(change, TableChange):
            assert self.first_verdicts_by_id.setdefault(change.id, verdict) == verdict
            if verdict == Accepted(offset):
                before = self.references[-2]
                assert all(before.revision_of(key) == rev for key, rev in change.base.items())

    @rule(name=st.sampled_from("xy"), base_index=st.integers(0, 50), deletes=st.booleans())
    def append_change(self, name, base_index, deletes):
        base_state = self.references[base_index % len(self.references)]
        row = make_member_row(name, 1.0 + len(self.changes))
        base = {row_key(row): base_state.revision_of(row_key(row))}
        rows = () if deletes else (row,)
        deleted = (row_key(row),) if deletes else ()
        change = TableChange(f"t{len(self.changes)}", base, rows, deleted)
        self.changes.append(change)
        self.append(encode_control_record(change))

    @rule(index=st.integers(0, 50))
    def append_again(self, index):
        if self.changes:
            self.append(encode_control_record(self.changes[index % len(self.changes)]))

    @rule()
    def publish_snapshot(self):
        self.snapshots.insert(0, self.references[-1].create_snapshot())

    @rule(count=st.integers(1, 3))
    def expire_records(self, count):
        self.first_kept = min(len(self.log), self.first_kept + count)

    @rule(name=st.sampled_from(READERS), count=st.integers(1, 4))
    def apply_records(self, name, count):
        machine = self.machines_by_reader[name]
        if machine.offset + 1 < self.first_kept and not machine.install_latest_snapshot(
            self.snapshots
        ):
            return
        if machine.offset + 1 < self.first_kept:
            return
        for offset in range(machine.offset + 1, min(len(self.log), machine.offset + 1 + count)):
            if offset >= self.first_kept:
                machine.apply(offset, self.log[offset])

    @rule(name=st.sampled_from(READERS))
    def install_from_peer(self, name):
        other = next(reader for reader in READERS if reader != name)
        before = self.machines_by_reader[name].offset
        self.machines_by_reader[name].install_snapshot(
            self.machines_by_reader[other].create_snapshot()
        )
        assert self.machines_by_reader[name].offset >= before

    @rule(name=st.sampled_from(READERS))
    def restart(self, name):
        self.machines_by_reader[name] = ControlStateMachine()

    @invariant()
    def readers_agree_with_the_log(self):
        for machine in self.machines_by_reader.values():
            expected = self.references[machine.offset + 1].state
            assert machine.state.rows_by_key == expected.rows_by_key
            assert machine.table.rows_by_key == expected.rows_by_key

    @invariant()
    def verdicts_never_change(self):
        for machine in self.machines_by_reader.values():
            for record_id, verdict in machine.state.verdicts_by_id.items():
                assert isinstance(verdict, Accepted | Conflicted)
                assert self.first_verdicts_by_id[record_id] == verdict


TestControl = ControlMachine.TestCase
TestControl.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
