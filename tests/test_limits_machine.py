"""The actions and faults of models/limits.py, against the real decision code."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bluebellpitch.constants import LOAN_LEASE_S, MAX_CLOCK_DRIFT_RATIO
from bluebellpitch.decisions.control import (
    ControlFold,
    EpochChange,
    VmIdentity,
    encode_record,
)
from bluebellpitch.decisions.floors import Borrower, EpochHistory, Lender, usable_limit

ZONE, POOL, KEY = "z", "p", "m/p"
VMS = {name: VmIdentity(name, "1", "bus", "admin") for name in ("a", "b", "c", "d")}
KEYS = {name: vm.key for name, vm in VMS.items()}
NAMES = st.sampled_from(tuple(VMS))
MEMBERS = st.sets(NAMES, min_size=1)


class Vm:
    """What one VM knows; its clock may run slow or fast within the drift."""

    def __init__(self, rate: float):
        self.rate = rate
        self.fold = ControlFold()
        self.history = EpochHistory()
        self.lender = Lender()
        self.borrower = Borrower()
        self.told: dict[str, int] = {}


class LimitsMachine(RuleBasedStateMachine):
    """One zone of four VMs, one member with a share, one pool that anyone may broker."""

    def __init__(self):
        super().__init__()
        half = MAX_CLOCK_DRIFT_RATIO / 2
        rates = (1.0, 1.0 + half / 2, 1.0 - half / 2, 1.0)
        self.vms = {name: Vm(rate) for name, rate in zip(VMS, rates, strict=True)}
        self.time = 0.0
        self.share = 7
        self.log: list[str] = []
        self.in_flight: list[tuple[str, str, int, float]] = []

    def now(self, name: str) -> float:
        return self.time * self.vms[name].rate

    @rule(proposer=NAMES, members=st.sets(NAMES, min_size=1))
    def propose(self, proposer, members):
        vm = self.vms[proposer]
        current = vm.fold.state.epochs_by_zone.get(ZONE)
        number = (current.number if current else 0) + 1
        identities = tuple(sorted(VMS[name] for name in members))
        record_id = f"e{len(self.log)}"
        change = EpochChange(record_id, ZONE, number, identities, (), vm.history.settled)
        self.log.append(encode_record(change))

    @rule(name=NAMES, count=st.integers(1, 3))
    def read(self, name, count):
        vm = self.vms[name]
        for offset in range(vm.fold.offset + 1, min(len(self.log), vm.fold.offset + 1 + count)):
            vm.fold.apply(offset, self.log[offset])
        epoch = vm.fold.state.epochs_by_zone.get(ZONE)
        if epoch is not None:
            vm.history.adopt(vm.fold.state.unsettled_by_zone.get(ZONE, ()) + (epoch,))

    @rule(name=NAMES, other=NAMES)
    def hear(self, name, other):
        current = self.vms[other].history.current
        self.vms[name].told[KEYS[other]] = current.number if current else 0

    @rule(name=NAMES)
    def settle(self, name):
        vm = self.vms[name]
        vm.history.settle(vm.told, KEYS[name])

    @rule(lender=NAMES, borrower=NAMES)
    def ask(self, lender, borrower):
        """A request reaches the lender; its answer is on its way."""
        epoch = self.vms[borrower].history.current
        vm = self.vms[lender]
        if epoch is None or vm.history.current is None:
            return
        if vm.history.current.number != epoch.number or not vm.history.holds(KEYS[borrower]):
            return
        if vm.lender.lend(POOL, borrower, self.now(lender)):
            self.in_flight.append((lender, borrower, epoch.number, self.now(borrower)))

    @rule(name=NAMES)
    def catch_up(self, name):
        """A VM that reads the log, hears everybody and settles what it can."""
        self.read(name, len(self.log) + 1)
        for other in VMS:
            self.hear(name, other)
        self.settle(name)

    @rule(borrower=NAMES, lenders=st.sets(NAMES))
    def borrow(self, borrower, lenders):
        """Asks some VMs, and hears from them at once."""
        for lender in sorted(lenders):
            self.ask(lender, borrower)
        while self.in_flight:
            self.arrive(0, False)

    @rule(old=MEMBERS, new=MEMBERS, behind=NAMES, borrower=NAMES, proposer=NAMES)
    def reconfigure(self, old, new, behind, borrower, proposer):
        """One VM stays in an older epoch and uses its own floor while the others go on."""
        for members in (old, new):
            self.catch_up(proposer)
            self.propose(proposer, members)
            for name in sorted(members | {proposer}):
                if members is old or name != behind:
                    self.catch_up(name)
            if members is old:
                self.borrow(behind, {behind})
        self.borrow(borrower, new - {behind})

    @rule(place=st.integers(0, 50), lost=st.booleans())
    def arrive(self, place, lost):
        if not self.in_flight:
            return
        lender, borrower, epoch, asked_at = self.in_flight.pop(place % len(self.in_flight))
        if not lost:
            self.vms[borrower].borrower.record(KEYS[lender], epoch, asked_at)

    @rule(seconds=st.sampled_from((0.1, LOAN_LEASE_S / 2, LOAN_LEASE_S * 1.01)))
    def pass_time(self, seconds):
        self.time += seconds

    @invariant()
    def sum_in_use_is_within_the_share(self):
        used = 0
        for name, vm in self.vms.items():
            lenders = vm.borrower.lenders(vm.history.number, self.now(name))
            used += usable_limit(vm.history, lenders, self.share, KEY)
        assert used <= self.share


TestLimits = LimitsMachine.TestCase
TestLimits.settings = settings(
    max_examples=400, stateful_step_count=50, deadline=None, derandomize=True
)
