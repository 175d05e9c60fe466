"""The actions and faults of models/at_most_once.py, against the real decision code."""

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
ANSWERS = st.sampled_from(("now", "now", "lost", "late"))
VMS = ("vm-a", "vm-b", "vm-c")
MADE_AT = 0.0


class Request:
    """One request at one VM, as the claim role drives it."""

    def __init__(self, vm: str, made_at: float):
        self.vm = vm
        self.wish = ClaimRequest("m/key", "body", made_at)
        self.dispatched_at = 0.0
        self.attempted: PendingClaim | None = None
        self.won: Claim | None = None
        self.ended = False
        self.dispatched = False
        self.refused_did_not_run = False


class ClaimsMachine(RuleBasedStateMachine):
    """One log, three VMs with skewed clocks, requests for one key with one body."""

    requests = Bundle("requests")

    def __init__(self):
        super().__init__()
        self.log: list[str] = []
        self.late: list[str] = []
        self.clock = 0.0
        self.folds = {vm: ClaimsStateMachine(HORIZON_S) for vm in VMS}
        self.skews = dict(zip(VMS, (-HORIZON_MARGIN_S / 2, 0.0, HORIZON_MARGIN_S / 2), strict=True))
        self.all_requests: list[Request] = []
        self.claims = 0

    def wall(self, vm: str) -> float:
        return self.clock + self.skews[vm]

    @rule(target=requests, vm=st.sampled_from(VMS))
    def arrive(self, vm):
        return self.make_request(vm, MADE_AT)

    def make_request(self, vm: str, made_at: float) -> Request:
        request = Request(vm, made_at)
        self.all_requests.append(request)
        return request

    @rule(request=requests, answer=ANSWERS, expired=st.booleans())
    def step(self, request, answer, expired):
        """One step on whatever the VM has read so far."""
        if request.ended or request.won:
            return
        fold = self.folds[request.vm]
        wall = self.wall(request.vm)
        match next_claim_step(fold, request.wish, request.attempted, wall, expired):
            case ClaimWon(claim):
                request.won = claim
            case AppendClaim():
                self.send_claim(request, answer)
            case GiveUp(verdict):
                self.end_unrun(request, request.attempted and request.attempted.claim)
                request.refused_did_not_run = verdict.name == "did_not_run"

    @rule(request=requests, answer=ANSWERS, steps=st.integers(1, 3))
    def hurry(self, request, answer, steps):
        """Reads all there is and takes some steps, as a VM on a quiet day does."""
        for _ in range(steps):
            self.read(request.vm, len(self.log))
            self.step(request, answer, False)

    @rule(vms=st.permutations(VMS), counts=st.tuples(st.integers(1, 4), st.integers(1, 4)))
    def race(self, vms, counts):
        """Two VMs claim before either reads; then each reads some of the log and goes on."""
        pair = [self.arrive(vm) for vm in vms[:2]]
        for request in pair:
            self.step(request, "now", False)
        for request, count in zip(pair, counts, strict=True):
            self.read(request.vm, count)
            self.step(request, "now", False)
            self.dispatch(request, True)

    @rule(vm=st.sampled_from(VMS))
    def be_a_ghost(self, vm):
        """A claim lands after its own withdrawal."""
        request = self.arrive(vm)
        self.step(request, "late", False)
        self.step(request, "late", True)
        while self.late:
            self.land_late(len(self.late) - 1)

    @rule(vms=st.permutations(VMS))
    def pause_past_the_horizon(self, vms):
        """A claimer is frozen before dispatch; its key is forgotten; a new request claims it."""
        frozen = self.arrive(vms[0])
        self.hurry(frozen, "now", 3)
        self.clock += HORIZON_S + HORIZON_MARGIN_S
        other = self.make_request(vms[1], self.wall(vms[1]))
        self.forget_old(other.vm)
        self.hurry(other, "now", 3)
        self.dispatch(other, True)
        self.dispatch(frozen, True)

    def send_claim(self, request, answer):
        self.claims += 1
        claim = Claim(f"c{self.claims}", request.wish.key, "body", request.vm, request.wish.made_at)
        request.attempted = PendingClaim(claim)
        record = encode_claim_record(claim)
        if answer == "late":
            self.late.append(record)
            return
        self.log.append(record)
        if answer == "now":
            request.attempted = replace(request.attempted, offset=len(self.log) - 1)

    def end_unrun(self, request, claim):
        request.ended = True
        if claim:
            record = Withdrawal(f"w-{claim.id}", claim.key, claim.id, claim.made_at)
            self.late.append(encode_claim_record(record))

    @rule(place=st.integers(0, 50))
    def land_late(self, place):
        if self.late:
            self.log.append(self.late.pop(place % len(self.late)))

    @rule(vm=st.sampled_from(VMS), count=st.integers(1, 4))
    def read(self, vm, count):
        fold = self.folds[vm]
        for offset in range(fold.offset + 1, min(len(self.log), fold.offset + 1 + count)):
            fold.apply(offset, self.log[offset], self.wall(vm))

    @rule(seconds=st.sampled_from((1.0, 5.0, 300.0)))
    def pass_time(self, seconds):
        self.clock += seconds

    @rule(vm=st.sampled_from(VMS))
    def forget_old(self, vm):
        self.folds[vm].expire_keys(self.wall(vm))

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm):
        """The VM dies with its requests; a new one folds from the start."""
        self.folds[vm] = ClaimsStateMachine(HORIZON_S)
        for request in self.all_requests:
            request.ended |= request.vm == vm

    @rule(request=requests, runs=st.booleans())
    def dispatch(self, request, runs):
        if request.ended or not request.won:
            return
        wall = self.wall(request.vm)
        made_at = request.won.made_at
        if not is_within_horizon(made_at, wall, HORIZON_S, HORIZON_MARGIN_S) or not runs:
            self.end_unrun(request, request.won)
            request.refused_did_not_run = True
            return
        request.dispatched = request.ended = True
        request.dispatched_at = self.clock
        claim = request.won
        outcome = Outcome("o" + claim.id, claim.key, claim.id, "ran", 200, "", b"x", True, made_at)
        self.late.append(encode_claim_record(outcome))

    @invariant()
    def at_most_one_dispatch(self):
        """Two dispatches of a key lie a horizon apart, less what clocks and margins take."""
        times = sorted(r.dispatched_at for r in self.all_requests if r.dispatched)
        gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        assert all(gap >= HORIZON_S - 2 * HORIZON_MARGIN_S for gap in gaps)

    @invariant()
    def void_claims_hold_nothing(self):
        for fold in self.folds.values():
            standing = fold.key_status("m/key", "body")
            if isinstance(standing, KeyClaimed):
                assert not fold.is_withdrawn(standing.claim.id)

    @invariant()
    def refusals_are_true(self):
        assert not any(r.dispatched and r.refused_did_not_run for r in self.all_requests)

    @invariant()
    def folds_agree(self):
        """Two VMs at the same offset with young keys say the same of the key."""
        by_offset = {}
        for vm, fold in self.folds.items():
            if self.wall(vm) < HORIZON_S - HORIZON_MARGIN_S:
                standing = fold.key_status("m/key", "body")
                assert by_offset.setdefault(fold.offset, standing) == standing


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(
    max_examples=400, stateful_step_count=40, deadline=None, derandomize=True
)
