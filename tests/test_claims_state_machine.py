"""Stateful test of the claim protocol with the actions and faults of models/at_most_once.py."""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from bluebellpitch.constants import HORIZON_MARGIN_S
from bluebellpitch.decisions.claiming import (
    AppendClaim,
    ClaimRequest,
    ClaimWon,
    GiveUp,
    PendingClaim,
    next_claim_step,
)
from bluebellpitch.decisions.claims import (
    Claim,
    ClaimsStateMachine,
    KeyClaimed,
    Outcome,
    Withdrawal,
    encode_claim_record,
    is_within_horizon,
)

HORIZON_S = 1000.0
# "now": appended and acknowledged; "lost": appended, but the acknowledgement is lost; "late":
# unacknowledged, and appended later or never.
APPEND_RESULTS = st.sampled_from(("now", "now", "lost", "late"))
VMS = ("vm-a", "vm-b", "vm-c")
MADE_AT = 0.0


class Request:
    """One request at one VM, driven through the claim protocol as the VM does."""

    def __init__(self, vm: str, made_at: float):
        self.vm = vm
        self.claim_request = ClaimRequest("m/key", "body", made_at)
        self.dispatched_at = 0.0
        self.pending: PendingClaim | None = None
        self.won_claim: Claim | None = None
        self.ended = False
        self.dispatched = False
        self.rejected_as_did_not_run = False


class ClaimsMachine(RuleBasedStateMachine):
    """One log, three VMs with skewed clocks, and requests with the same key and body."""

    requests = Bundle("requests")

    def __init__(self):
        super().__init__()
        self.log: list[str] = []
        self.delayed: list[str] = []
        self.clock = 0.0
        self.machines_by_vm = {vm: ClaimsStateMachine(HORIZON_S) for vm in VMS}
        self.skews = dict(zip(VMS, (-HORIZON_MARGIN_S / 2, 0.0, HORIZON_MARGIN_S / 2), strict=True))
        self.all_requests: list[Request] = []
        self.claim_count = 0

    def wall_time(self, vm: str) -> float:
        return self.clock + self.skews[vm]

    @rule(target=requests, vm=st.sampled_from(VMS))
    def add_request(self, vm):
        return self.make_request(vm, MADE_AT)

    def make_request(self, vm: str, made_at: float) -> Request:
        request = Request(vm, made_at)
        self.all_requests.append(request)
        return request

    @rule(request=requests, append_result=APPEND_RESULTS, timed_out=st.booleans())
    def step(self, request, append_result, timed_out):
        """Performs one step, with the records that the VM has applied so far."""
        if request.ended or request.won_claim:
            return
        machine = self.machines_by_vm[request.vm]
        now_wall = self.wall_time(request.vm)
        match next_claim_step(machine, request.claim_request, request.pending, now_wall, timed_out):
            case ClaimWon(claim):
                request.won_claim = claim
            case AppendClaim():
                self.send_claim(request, append_result)
            case GiveUp(verdict):
                self.end_undispatched(request, request.pending and request.pending.claim)
                request.rejected_as_did_not_run = verdict.name == "did_not_run"

    @rule(request=requests, append_result=APPEND_RESULTS, steps=st.integers(1, 3))
    def catch_up_and_step(self, request, append_result, steps):
        """Applies all records before each step, as a VM that keeps up with the log does."""
        for _ in range(steps):
            self.apply_records(request.vm, len(self.log))
            self.step(request, append_result, False)

    @rule(vms=st.permutations(VMS), counts=st.tuples(st.integers(1, 4), st.integers(1, 4)))
    def race_two_claims(self, vms, counts):
        """Two VMs claim before either reads; then each applies some records and continues."""
        pair = [self.add_request(vm) for vm in vms[:2]]
        for request in pair:
            self.step(request, "now", False)
        for request, count in zip(pair, counts, strict=True):
            self.apply_records(request.vm, count)
            self.step(request, "now", False)
            self.dispatch(request, True)

    @rule(vm=st.sampled_from(VMS))
    def append_claim_after_withdrawal(self, vm):
        """The claim is appended after its own withdrawal."""
        request = self.add_request(vm)
        self.step(request, "late", False)
        self.step(request, "late", True)
        while self.delayed:
            self.append_delayed(len(self.delayed) - 1)

    @rule(vms=st.permutations(VMS))
    def pause_past_horizon(self, vms):
        """A VM pauses before dispatch until its key expires; a new request claims the key."""
        paused = self.add_request(vms[0])
        self.catch_up_and_step(paused, "now", 3)
        self.clock += HORIZON_S + HORIZON_MARGIN_S
        other = self.make_request(vms[1], self.wall_time(vms[1]))
        self.expire_keys_of(other.vm)
        self.catch_up_and_step(other, "now", 3)
        self.dispatch(other, True)
        self.dispatch(paused, True)

    def send_claim(self, request, append_result):
        self.claim_count += 1
        claim = Claim(
            f"c{self.claim_count}",
            request.claim_request.key,
            "body",
            request.vm,
            request.claim_request.made_at,
        )
        request.pending = PendingClaim(claim)
        record = encode_claim_record(claim)
        if append_result == "late":
            self.delayed.append(record)
            return
        self.log.append(record)
        if append_result == "now":
            request.pending = replace(request.pending, position=len(self.log) - 1)

    def end_undispatched(self, request, claim):
        request.ended = True
        if claim:
            record = Withdrawal(f"w-{claim.id}", claim.key, claim.id, claim.made_at)
            self.delayed.append(encode_claim_record(record))

    @rule(index=st.integers(0, 50))
    def append_delayed(self, index):
        if self.delayed:
            self.log.append(self.delayed.pop(index % len(self.delayed)))

    @rule(vm=st.sampled_from(VMS), count=st.integers(1, 4))
    def apply_records(self, vm, count):
        machine = self.machines_by_vm[vm]
        for offset in range(machine.position + 1, min(len(self.log), machine.position + 1 + count)):
            machine.apply(offset, self.log[offset], self.wall_time(vm))

    @rule(seconds=st.sampled_from((1.0, 5.0, 300.0)))
    def advance_clock(self, seconds):
        self.clock += seconds

    @rule(vm=st.sampled_from(VMS))
    def expire_keys_of(self, vm):
        self.machines_by_vm[vm].expire_keys(self.wall_time(vm))

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm):
        """The VM crashes, losing its requests; its successor replays the log from the start."""
        self.machines_by_vm[vm] = ClaimsStateMachine(HORIZON_S)
        for request in self.all_requests:
            request.ended |= request.vm == vm

    @rule(request=requests, sends=st.booleans())
    def dispatch(self, request, sends):
        if request.ended or not request.won_claim:
            return
        now_wall = self.wall_time(request.vm)
        made_at = request.won_claim.made_at
        if not is_within_horizon(made_at, now_wall, HORIZON_S, HORIZON_MARGIN_S) or not sends:
            self.end_undispatched(request, request.won_claim)
            request.rejected_as_did_not_run = True
            return
        request.dispatched = request.ended = True
        request.dispatched_at = self.clock
        claim = request.won_claim
        outcome = Outcome("o" + claim.id, claim.key, claim.id, "ran", 200, "", b"x", True, made_at)
        self.delayed.append(encode_claim_record(outcome))

    @invariant()
    def at_most_one_dispatch(self):
        """Dispatches of a key are a retention horizon apart, less clock skew and margin."""
        times = sorted(r.dispatched_at for r in self.all_requests if r.dispatched)
        gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        assert all(gap >= HORIZON_S - 2 * HORIZON_MARGIN_S for gap in gaps)

    @invariant()
    def withdrawn_claims_own_no_key(self):
        for machine in self.machines_by_vm.values():
            status = machine.key_status("m/key", "body")
            if isinstance(status, KeyClaimed):
                assert not machine.is_withdrawn(status.claim.id)

    @invariant()
    def rejected_requests_never_ran(self):
        assert not any(r.dispatched and r.rejected_as_did_not_run for r in self.all_requests)

    @invariant()
    def vms_agree_at_same_offset(self):
        """VMs at the same offset report the same key status until keys may expire."""
        status_by_offset = {}
        for vm, machine in self.machines_by_vm.items():
            if self.wall_time(vm) < HORIZON_S - HORIZON_MARGIN_S:
                status = machine.key_status("m/key", "body")
                assert status_by_offset.setdefault(machine.position, status) == status


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(
    max_examples=400, stateful_step_count=40, deadline=None, derandomize=True
)
