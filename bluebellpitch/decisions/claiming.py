"""The next step of a VM that wants to claim a key. The role around it does the waiting."""

from dataclasses import dataclass

from bluebellpitch.constants import HORIZON_MARGIN_S
from bluebellpitch.decisions.claims import (
    Claim,
    ClaimsFold,
    Done,
    Free,
    Held,
    OtherBody,
    Outcome,
    is_within_horizon,
)
from bluebellpitch.verdicts import DidNotRun, MayHaveRun


@dataclass(frozen=True, slots=True)
class Wish:
    """A request that wants a key. ``made_at`` is in Unix seconds."""

    key: str
    body: str
    made_at: float


@dataclass(frozen=True, slots=True)
class Attempted:
    """A claim that this VM has sent to the store. ``offset`` is None until its answer came."""

    claim: Claim
    offset: int | None = None


@dataclass(frozen=True, slots=True)
class Won:
    """This VM alone may dispatch the key."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Replay:
    """The key ran before; its outcome is known."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class SendClaim:
    """Append a claim with a new id."""


@dataclass(frozen=True, slots=True)
class WaitForLog:
    """Nothing to do until more of the topic is read."""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End with a verdict, and withdraw the attempted claim if there is one."""

    verdict: DidNotRun | MayHaveRun


Step = Won | Replay | SendClaim | WaitForLog | GiveUp


def next_step(
    fold: ClaimsFold, wish: Wish, attempted: Attempted | None, now_wall: float, expired: bool
) -> Step:
    """Returns what to do now. ``expired``: the request may wait no longer."""
    if not is_within_horizon(wish.made_at, now_wall, fold.horizon_s, HORIZON_MARGIN_S):
        return GiveUp(DidNotRun("request_too_old", 400))
    match fold.standing(wish.key, wish.body):
        case OtherBody():
            return GiveUp(DidNotRun("key_reused", 422))
        case Done(outcome):
            return Replay(outcome)
        case Held(claim) if attempted and claim.id == attempted.claim.id and not expired:
            return Won(claim)
        case Held(claim) if expired and not (attempted and claim.id == attempted.claim.id):
            return GiveUp(MayHaveRun("in_progress", 409, 1.0))
        case _ if expired:
            return GiveUp(DidNotRun("log_unavailable", 503, 5.0))
        case Free() if attempted is None or has_lost(fold, attempted):
            return SendClaim()
    return WaitForLog()


def has_lost(fold: ClaimsFold, attempted: Attempted) -> bool:
    """Tells whether the topic shows that a claim came to nothing: another held the key then."""
    return attempted.offset is not None and fold.offset >= attempted.offset
