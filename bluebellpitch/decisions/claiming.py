"""Protocol by which a VM claims an idempotency key, one step at a time.

The caller performs the I/O and the waiting, then calls for the next step again.
"""

from dataclasses import dataclass

from bluebellpitch.constants import HORIZON_MARGIN_S
from bluebellpitch.decisions.claims import (
    Claim,
    ClaimsStateMachine,
    KeyBodyMismatch,
    KeyClaimed,
    KeyCompleted,
    KeyFree,
    Outcome,
    is_within_horizon,
)
from bluebellpitch.verdicts import DidNotRun, MayHaveRun


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request to be claimed: its key, body digest and time in Unix seconds."""

    key: str
    body_digest: str
    made_at: float


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """A claim sent to the store. ``position`` is None while the append is not acknowledged."""

    claim: Claim
    position: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The claim owns the key; this VM may dispatch the request."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ReplayOutcome:
    """The request already ran; return its recorded outcome."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append a claim with a new id to the claims topic."""


@dataclass(frozen=True, slots=True)
class AwaitRecords:
    """Wait until more records of the claims topic are applied."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Reject the request with a verdict, and withdraw the pending claim if there is one."""

    verdict: DidNotRun | MayHaveRun


ClaimStep = ClaimWon | ReplayOutcome | AppendClaim | AwaitRecords | GiveUp


def next_claim_step(
    state_machine: ClaimsStateMachine,
    request: ClaimRequest,
    pending: PendingClaim | None,
    now_wall: float,
    timed_out: bool,
    may_win: bool = True,
) -> ClaimStep:
    """Returns the next step. ``timed_out`` is set once the claim deadline has passed.

    ``may_win`` is not set while the store may lack claims that it acknowledged before it came back
    from a copy.
    """
    if not is_within_horizon(request.made_at, now_wall, state_machine.horizon_s, HORIZON_MARGIN_S):
        return GiveUp(DidNotRun("request_too_old", 400))
    match state_machine.key_status(request.key, request.body_digest):
        case KeyBodyMismatch():
            return GiveUp(DidNotRun("key_reused", 422))
        case KeyCompleted(outcome):
            return ReplayOutcome(outcome)
        case KeyClaimed(claim) if pending and claim.id == pending.claim.id and not timed_out:
            return ClaimWon(claim) if may_win else AwaitRecords()
        case KeyClaimed(claim) if timed_out and not (pending and claim.id == pending.claim.id):
            return GiveUp(MayHaveRun("in_progress", 409, 1.0))
        case _ if timed_out:
            return GiveUp(DidNotRun("log_unavailable", 503, 5.0))
        case KeyFree() if pending is None or has_lost_race(state_machine, pending):
            return AppendClaim()
    return AwaitRecords()


def has_lost_race(state_machine: ClaimsStateMachine, pending: PendingClaim) -> bool:
    """Returns whether a pending claim has been applied without taking the key.

    Another claim owned the key at that position, so a new claim is needed once the key is free.
    """
    return pending.position is not None and state_machine.position >= pending.position
