"""Stateful test of leases: VMs that stall and restart, lost and late answers, restored stores."""

from contextlib import contextmanager
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bluebellpitch.decisions.duties.held_lease import CALL_TIMEOUT_S, HeldLease
from bluebellpitch.decisions.duties.lease import (
    TOKENS_PER_ERA,
    LeaseAppend,
    LeaseReading,
    LeaseRecord,
    LeaseState,
)
from bluebellpitch.decisions.store_era import StoreEra

LEASE_S = 4.0
VMS = st.sampled_from(("a", "b", "c"))
SECONDS = st.sampled_from((0.1, 1.0, 2.0, 5.5))
# When an append takes effect: before its answer, much later or never.
EFFECTS = st.sampled_from(("now", "now", "now", "late"))


@dataclass(frozen=True)
class Call:
    """A call of the platform's API; it may arrive until ``ends_at``."""

    vm: str
    token: int
    starts_at: float
    ends_at: float


@dataclass
class Process:
    """One process of a VM, and the answer of the store that is on its way to it."""

    vm: str
    state: LeaseState
    answer: LeaseReading | tuple[LeaseAppend, int | None, int | None] | None = None
    calls_end_at: float = 0.0
    usable_from: float = 0.0


@dataclass
class Store:
    """A topic: ``records`` are the lease records by offset."""

    records: list[LeaseRecord] = field(default_factory=list)
    era: int = 1
    copied: tuple[LeaseRecord, ...] = ()

    def append(self, append: LeaseAppend) -> int | None:
        if append.at != len(self.records):
            return None
        self.records.append(append.record)
        return append.at


class LeaseMachine(RuleBasedStateMachine):
    """Three VMs of which each has one call of the store under way at most."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.late: list[LeaseAppend] = []
        self.announcements: list[tuple[str, int, int]] = []
        self.calls: list[Call] = []
        self.process_count = 0
        self.processes_by_vm: dict[str, Process] = {}

    @initialize()
    def start(self):
        for vm in "abc":
            self.restart(vm)

    @rule(vm=VMS)
    def restart(self, vm):
        self.process_count += 1
        state = LeaseState(f"{vm}/{self.process_count}", LEASE_S, StoreEra())
        self.processes_by_vm[vm] = Process(vm, state)

    @rule(seconds=SECONDS)
    def let_time_pass(self, seconds):
        self.now += seconds

    @rule(vm=VMS, names_era=st.sampled_from((True, True, True, False)))
    def send_read(self, vm, names_era):
        process = self.processes_by_vm[vm]
        if process.answer is None:
            records = self.store.records
            era = self.store.era if names_era else None
            last = records[-1] if records else None
            process.answer = LeaseReading(last, len(records), era, self.now)

    @rule(vm=VMS, effect=EFFECTS, names_era=st.sampled_from((True, True, True, False)))
    def send_append(self, vm, effect, names_era):
        process = self.processes_by_vm[vm]
        if process.answer is None and (append := process.state.next_append(self.now)):
            self.send(process, append, effect, names_era)

    @rule(vm=VMS, effect=EFFECTS)
    def send_release(self, vm, effect):
        process = self.processes_by_vm[vm]
        if process.answer is None and process.state.term is not None:
            free_in_s = max(0.0, process.calls_end_at - self.now)
            self.send(process, process.state.release(free_in_s, self.now), effect, True)
            process.usable_from = float("inf")

    def send(self, process, append, effect, names_era):
        if effect == "late":
            self.late.append(append)
            process.state.lose_answer()
            return
        offset = self.store.append(append)
        process.answer = (append, offset, self.store.era if names_era else None)

    @rule(vm=VMS)
    def receive(self, vm):
        process = self.processes_by_vm[vm]
        answer, process.answer, state = process.answer, None, process.state
        was = state.term
        match answer:
            case LeaseReading(record, end, era):
                self.observe_era(state, era)
                state.observe(LeaseReading(record, end, era, self.now))
            case (append, None, era):
                self.observe_era(state, era)
                state.refuse()
            case (append, offset, era):
                self.observe_era(state, era)
                state.accept(append, offset, 1, era, self.now)
        if state.term is not None and (was is None or was.token != state.term.token):
            process.usable_from = process.calls_end_at

    def observe_era(self, state, era):
        if era is not None:
            state.store_era.observe(era, self.now)

    @rule(vm=VMS)
    def lose_answer(self, vm):
        process = self.processes_by_vm[vm]
        process.answer = None
        process.state.lose_answer()

    @rule(index=st.integers(0, 9))
    def take_effect(self, index):
        if self.late:
            self.store.append(self.late.pop(index % len(self.late)))

    @rule(vm=VMS)
    def announce(self, vm):
        term = self.processes_by_vm[vm].state.term
        if term is not None and self.now < term.valid_until:
            self.announcements.append((vm, term.token, term.end_offset - 1))

    @rule(vm=VMS, index=st.integers(0, 9))
    def hear(self, vm, index):
        if self.announcements:
            sender, token, offset = self.announcements[index % len(self.announcements)]
            if sender != vm:
                self.processes_by_vm[vm].state.observe_announcement(token, offset, self.now)

    @rule()
    def copy_store(self):
        self.store.copied = tuple(self.store.records)

    @rule()
    def restore_store(self):
        self.store.records = list(self.store.copied)
        self.store.era += 1

    @rule(vms=st.permutations("abc"), is_stalled=st.booleans())
    def hand_over(self, vms, is_stalled):
        """One VM calls and gives the lease back, if it has it, and another one takes its turn."""
        self.receive(vms[0])
        self.call(vms[0])
        self.send_release(vms[0], "now")
        self.receive(vms[0])
        self.take_turn(vms[1], 0.1, is_stalled)

    @rule(vm=VMS, seconds=SECONDS, is_stalled=st.booleans())
    def take_turn(self, vm, seconds, is_stalled):
        """Reads, appends what is due and calls, as a VM does that nothing disturbs."""
        self.now += seconds
        self.receive(vm)
        self.send_read(vm, True)
        self.receive(vm)
        self.send_append(vm, "now", True)
        if not is_stalled:
            self.receive(vm)
        self.call(vm)

    @rule(vm=VMS)
    def call(self, vm):
        """Begins a call, as DutyHolder.lease allows it."""
        process, term = self.processes_by_vm[vm], self.processes_by_vm[vm].state.term
        if term is None or self.now < process.usable_from:
            return
        if not HeldLease("", term.token, term.valid_until).allows_call(self.now):
            return
        process.calls_end_at = self.now + CALL_TIMEOUT_S
        self.calls.append(Call(vm, term.token, self.now, process.calls_end_at))

    def earlier_calls_of_others(self):
        """Yields each call with the calls of other VMs that began before it."""
        for index, call in enumerate(self.calls):
            yield call, [other for other in self.calls[:index] if other.vm != call.vm]

    @invariant()
    def calls_of_two_vms_do_not_overlap_and_tokens_rise(self):
        for call, others in self.earlier_calls_of_others():
            assert all(other.ends_at < call.starts_at for other in others)
            assert all(other.token < call.token for other in others)

    @invariant()
    def no_vm_returns_within_the_lease_time(self):
        for call, others in self.earlier_calls_of_others():
            last = max((other.starts_at for other in others), default=None)
            own = [o.ends_at for o in self.calls if o.vm == call.vm and last and o.starts_at < last]
            assert all(call.starts_at - ends_at > LEASE_S for ends_at in own)

    @invariant()
    def tokens_are_exact_in_json(self):
        assert all(TOKENS_PER_ERA <= call.token < 2**53 for call in self.calls)


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)


@contextmanager
def scenario():
    """A machine whose VMs have all read the topic, while it was empty, long enough ago."""
    machine = LeaseMachine()
    machine.start()
    machine.copy_store()
    for vm in "abc":
        machine.take_turn(vm, 0.0, False)
    machine.let_time_pass(5.5)
    yield machine
    machine.calls_of_two_vms_do_not_overlap_and_tokens_rise()
    machine.no_vm_returns_within_the_lease_time()


def test_next_holder_waits_for_calls_under_way():
    with scenario() as machine:
        machine.take_turn("a", 0.0, False)
        machine.hand_over("ab", False)
        machine.take_turn("b", 1.0, False)
        assert {call.vm for call in machine.calls} == {"a", "b"}


def test_vm_that_held_the_lease_a_moment_ago_does_not_take_it_at_once():
    with scenario() as machine:
        machine.take_turn("a", 0.0, False)
        machine.hand_over("ab", False)
        machine.take_turn("b", 1.0, False)
        machine.hand_over("ba", False)
        machine.take_turn("a", 1.0, False)
        machine.take_turn("a", 5.5, False)
        assert [call.vm for call in machine.calls][-1] == "a"


def test_acquisition_that_lands_in_a_restored_store_acquires_nothing():
    """In the era before, the same offset and so the same token was another VM's."""
    with scenario() as machine:
        machine.take_turn("b", 0.0, False)
        machine.let_time_pass(0.1)
        machine.restore_store()
        machine.send_append("a", "now", True)
        machine.receive("a")
        machine.call("a")


def test_late_renewal_that_lands_in_a_restored_store_renews_nothing():
    with scenario() as machine:
        machine.take_turn("a", 0.0, False)
        machine.let_time_pass(2.0)
        machine.send_append("a", "late", True)
        machine.restore_store()
        machine.take_turn("b", 0.1, False)
        machine.take_turn("b", 5.5, False)
        machine.take_effect(0)
        for _ in range(3):
            machine.take_turn("a", 0.1, False)
        assert machine.calls[-1].vm == "b"
