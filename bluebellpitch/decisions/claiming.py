"""The next step of a VM that wants to claim a key. The role around it does the waiting."""

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
    """A request that wants a key. ``made_at`` is in Unix seconds."""

    key: str
    body_digest: str
    made_at: float


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """A claim that this VM has sent to the store. ``offset`` is None until its answer came."""

    claim: Claim
    offset: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """This VM alone may dispatch the key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class ReplayOutcome:
    """The key ran before; its outcome is known."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append a claim with a new id."""


@dataclass(frozen=True, slots=True)
class AwaitRecords:
    """Nothing to do until more of the topic is read."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End with a verdict, and withdraw the attempted claim if there is one."""

    verdict: DidNotRun | MayHaveRun


ClaimStep = ClaimWon | ReplayOutcome | AppendClaim | AwaitRecords | GiveUp


def next_claim_step(
    claims: ClaimsStateMachine,
    request: ClaimRequest,
    pending: PendingClaim | None,
    now_wall: float,
    timed_out: bool,
) -> ClaimStep:
    """Returns what to do now. ``expired``: the request may wait no longer."""
    if not is_within_horizon(request.made_at, now_wall, claims.horizon_s, HORIZON_MARGIN_S):
        return GiveUp(DidNotRun("request_too_old", 400))
    match claims.key_status(request.key, request.body_digest):
        case KeyBodyMismatch():
            return GiveUp(DidNotRun("key_reused", 422))
        case KeyCompleted(outcome):
            return ReplayOutcome(outcome)
        case KeyClaimed(claim) if pending and claim.id == pending.claim.id and not timed_out:
            return ClaimWon(claim)
        case KeyClaimed(claim) if timed_out and not (pending and claim.id == pending.claim.id):
            return GiveUp(MayHaveRun("in_progress", 409, 1.0))
        case _ if timed_out:
            return GiveUp(DidNotRun("log_unavailable", 503, 5.0))
        case KeyFree() if pending is None or has_lost_race(claims, pending):
            return AppendClaim()
    return AwaitRecords()


def has_lost_race(claims: ClaimsStateMachine, pending: PendingClaim) -> bool:
    """Tells whether the topic shows that a claim came to nothing: another held the key then."""
    return pending.offset is not None and claims.offset >= pending.offset
