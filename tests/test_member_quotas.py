"""Stateful test of quota loans between VMs with the actions and faults of models/limits.py."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bluebellpitch.constants import LOAN_LEASE_S, MAX_CLOCK_DRIFT_RATIO
from bluebellpitch.decisions.control import (
    ControlStateMachine,
    EpochChange,
    VmIdentity,
    encode_control_record,
)
from bluebellpitch.decisions.member_quotas import (
    EpochHistory,
    QuotaBorrower,
    QuotaLender,
    usable_limit,
)

ZONE, POOL, KEY = "z", "p", "m/p"
VMS = {name: VmIdentity(name, "1", "bus", "admin") for name in ("a", "b", "c", "d")}
KEYS = {name: vm.key for name, vm in VMS.items()}
NAMES = st.sampled_from(tuple(VMS))
VM_NAME_SETS = st.sets(NAMES, min_size=1)


class Vm:
    """State of one VM. Its clock may run slow or fast within the allowed drift."""

    def __init__(self, clock_rate: float):
        self.clock_rate = clock_rate
        self.state_machine = ControlStateMachine()
        self.history = EpochHistory()
        self.lender = QuotaLender()
        self.borrower = QuotaBorrower()
        self.epoch_number_by_vm: dict[str, int] = {}


class LimitsMachine(RuleBasedStateMachine):
    """One zone of four VMs, one member with a zone quota, one pool that any VM may broker."""

    def __init__(self):
        super().__init__()
        half_drift = MAX_CLOCK_DRIFT_RATIO / 2
        clock_rates = (1.0, 1.0 + half_drift / 2, 1.0 - half_drift / 2, 1.0)
        self.vms = {name: Vm(clock_rate) for name, clock_rate in zip(VMS, clock_rates, strict=True)}
        self.time_s = 0.0
        self.zone_quota = 7
        self.log: list[str] = []
        self.loans_in_flight: list[tuple[str, str, int, float]] = []

    def now(self, name: str) -> float:
        return self.time_s * self.vms[name].clock_rate

    @rule(proposer=NAMES, vm_names=st.sets(NAMES, min_size=1))
    def propose(self, proposer, vm_names):
        vm = self.vms[proposer]
        current = vm.state_machine.state.epochs_by_zone.get(ZONE)
        number = (current.number if current else 0) + 1
        identities = tuple(sorted(VMS[name] for name in vm_names))
        record_id = f"e{len(self.log)}"
        change = EpochChange(record_id, ZONE, number, identities, (), vm.history.oldest_number)
        self.log.append(encode_control_record(change))

    @rule(name=NAMES, count=st.integers(1, 3))
    def read_log(self, name, count):
        vm = self.vms[name]
        for offset in range(
            vm.state_machine.offset + 1, min(len(self.log), vm.state_machine.offset + 1 + count)
        ):
            vm.state_machine.apply(offset, self.log[offset])
        epoch = vm.state_machine.state.epochs_by_zone.get(ZONE)
        if epoch is not None:
            vm.history.add(vm.state_machine.state.unsettled_by_zone.get(ZONE, ()) + (epoch,))

    @rule(name=NAMES, other=NAMES)
    def receive_epoch_number(self, name, other):
        current = self.vms[other].history.current
        self.vms[name].epoch_number_by_vm[KEYS[other]] = current.number if current else 0

    @rule(name=NAMES)
    def drop_unused_epochs(self, name):
        vm = self.vms[name]
        vm.history.drop_unused(vm.epoch_number_by_vm, KEYS[name])

    @rule(lender=NAMES, borrower=NAMES)
    def request_loan(self, lender, borrower):
        """The lender accepts a loan request; its answer is in flight."""
        epoch = self.vms[borrower].history.current
        vm = self.vms[lender]
        if epoch is None or vm.history.current is None:
            return
        if vm.history.current.number != epoch.number or not vm.history.contains_vm(KEYS[borrower]):
            return
        if vm.lender.lend(POOL, borrower, self.now(lender)):
            self.loans_in_flight.append((lender, borrower, epoch.number, self.now(borrower)))

    @rule(name=NAMES)
    def catch_up(self, name):
        """A VM reads the whole log, receives all epoch numbers and drops unused epochs."""
        self.read_log(name, len(self.log) + 1)
        for other in VMS:
            self.receive_epoch_number(name, other)
        self.drop_unused_epochs(name)

    @rule(borrower=NAMES, lenders=st.sets(NAMES))
    def borrow(self, borrower, lenders):
        """A VM borrows from some VMs without delay or loss."""
        for lender in sorted(lenders):
            self.request_loan(lender, borrower)
        while self.loans_in_flight:
            self.deliver_loan(0, False)

    @rule(old=VM_NAME_SETS, new=VM_NAME_SETS, lagging=NAMES, borrower=NAMES, proposer=NAMES)
    def reconfigure(self, old, new, lagging, borrower, proposer):
        """One VM stays in an older epoch and uses its own quota while the others move on."""
        for vm_names in (old, new):
            self.catch_up(proposer)
            self.propose(proposer, vm_names)
            for name in sorted(vm_names | {proposer}):
                if vm_names is old or name != lagging:
                    self.catch_up(name)
            if vm_names is old:
                self.borrow(lagging, {lagging})
        self.borrow(borrower, new - {lagging})

    @rule(index=st.integers(0, 50), lost=st.booleans())
    def deliver_loan(self, index, lost):
        if not self.loans_in_flight:
            return
        lender, borrower, epoch, asked_at = self.loans_in_flight.pop(
            index % len(self.loans_in_flight)
        )
        if not lost:
            self.vms[borrower].borrower.record_loan(KEYS[lender], epoch, asked_at)

    @rule(seconds=st.sampled_from((0.1, LOAN_LEASE_S / 2, LOAN_LEASE_S * 1.01)))
    def advance_time(self, seconds):
        self.time_s += seconds

    @invariant()
    def quotas_in_use_are_within_the_zone_quota(self):
        in_use = 0
        for name, vm in self.vms.items():
            lenders = vm.borrower.active_lenders(vm.history.current_number, self.now(name))
            in_use += usable_limit(vm.history, lenders, self.zone_quota, KEY)
        assert in_use <= self.zone_quota


TestLimits = LimitsMachine.TestCase
TestLimits.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
