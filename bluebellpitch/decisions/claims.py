"""At-most-once execution: a state machine over the records of the claims topic.

All VMs apply claims, outcomes and withdrawals in log order. An idempotency key is scoped to its
member and bound to one request body. The claim with the lowest position that is not withdrawn owns
the key, and only its VM dispatches the request. A withdrawal invalidates a claim id whether it is
appended before or after the claim. Only the VM that sent the claim withdraws it, and only when it
is certain that it never dispatched under that id. Keys are kept for a retention horizon; requests
made before that are rejected.

When the store comes back from a copy, the log is read again from its start: known records change
nothing. VMs append again what it lacks, and a claim that was lost keeps its position, which is
lower than those of the new era.
"""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from bluebellpitch.decisions.log_position import BEFORE_FIRST
from bluebellpitch.decoding import DECODE_ERRORS
from bluebellpitch.verdicts import MayHaveRun


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Requests the exclusive right to dispatch a key.

    ``body`` is the digest of the request body, ``made_at`` the time of the request in Unix seconds.
    ``lost_position`` is set if the store lost the claim and it was appended again.
    """

    id: str
    key: str
    body: str
    vm: str
    made_at: float
    lost_position: int | None = None


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal"):
    """Invalidates one claim id: nothing was or will be dispatched under it."""

    id: str
    key: str
    claim_id: str
    made_at: float


class Outcome(msgspec.Struct, frozen=True, tag="outcome"):
    """Result of a claimed request.

    ``answer`` is the response body to replay; without ``answer_kept`` it was too large to store.
    """

    id: str
    key: str
    claim_id: str
    verdict: str
    status: int
    content_type: str
    answer: bytes
    answer_kept: bool
    made_at: float


ClaimRecord = Claim | Withdrawal | Outcome


@dataclass(slots=True)
class KeyState:
    """Claim and outcome of one key. ``position`` is that of the claim."""

    made_at: float
    claim: Claim | None = None
    position: int = BEFORE_FIRST
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class KeyFree:
    """No valid claim owns the key."""


@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """A claim owns the key; its outcome is not recorded yet."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class KeyCompleted:
    """The outcome of the key is recorded."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class KeyBodyMismatch:
    """The key was claimed for a request with a different body."""


KeyStatus = KeyFree | KeyClaimed | KeyCompleted | KeyBodyMismatch


class ClaimsStateMachine:
    """Applies claim records in log order; drops keys older than the retention horizon."""

    def __init__(self, horizon_s: float):
        self.horizon_s = horizon_s
        self.position = BEFORE_FIRST
        self._states_by_key: dict[str, KeyState] = {}
        self._withdrawals_by_claim_id: dict[str, Withdrawal] = {}

    def apply(self, position: int, data: str | bytes, now_wall: float) -> ClaimRecord | None:
        """Applies one record and returns it if it took effect, else None.

        ``now_wall`` is in Unix seconds. Records at or below the current position are skipped.
        """
        if position <= self.position:
            return None
        self.position = position
        record = decode_claim_record(data)
        if record is None or now_wall - record.made_at > self.horizon_s:
            return None
        match record:
            case Claim(lost_position=None):
                return self._apply_claim(record, position)
            case Claim():
                return self._apply_claim(record, min(position, record.lost_position))
            case Withdrawal():
                return self._apply_withdrawal(record)
            case Outcome():
                return self._apply_outcome(record)

    def _apply_claim(self, claim: Claim, position: int) -> Claim | None:
        if claim.id in self._withdrawals_by_claim_id:
            return None
        state = self._states_by_key.setdefault(claim.key, KeyState(claim.made_at))
        if state.outcome or (state.claim and state.position <= position):
            return None
        state.claim, state.position = claim, position
        state.made_at = max(state.made_at, claim.made_at)
        return claim

    def _apply_withdrawal(self, withdrawal: Withdrawal) -> Withdrawal:
        self._withdrawals_by_claim_id[withdrawal.claim_id] = withdrawal
        state = self._states_by_key.get(withdrawal.key)
        if state and state.claim and state.claim.id == withdrawal.claim_id and not state.outcome:
            del self._states_by_key[withdrawal.key]
        return withdrawal

    def _apply_outcome(self, outcome: Outcome) -> Outcome | None:
        state = self._states_by_key.get(outcome.key)
        if state is None or state.claim is None or state.claim.id != outcome.claim_id:
            return None
        state.outcome = state.outcome or outcome
        return outcome

    def key_status(self, key: str, body_digest: str) -> KeyStatus:
        """Returns the status of a key for a request with the given body digest."""
        state = self._states_by_key.get(key)
        if state is None or state.claim is None:
            return KeyFree()
        if state.claim.body != body_digest:
            return KeyBodyMismatch()
        return KeyCompleted(state.outcome) if state.outcome else KeyClaimed(state.claim)

    def is_withdrawn(self, claim_id: str) -> bool:
        """Returns whether a claim id has been withdrawn."""
        return claim_id in self._withdrawals_by_claim_id

    def expire_keys(self, now_wall: float) -> None:
        """Drops keys and withdrawals older than the retention horizon."""
        cutoff = now_wall - self.horizon_s
        self._states_by_key = {k: s for k, s in self._states_by_key.items() if s.made_at >= cutoff}
        self._withdrawals_by_claim_id = {
            claim_id: withdrawal
            for claim_id, withdrawal in self._withdrawals_by_claim_id.items()
            if withdrawal.made_at >= cutoff
        }

    def records_missing_from(self, known_ids: set[str]) -> Iterator[ClaimRecord]:
        """Yields what a log with the records ``known_ids`` lacks, in an order that it can apply."""
        withdrawals = self._withdrawals_by_claim_id.values()
        yield from (w for w in withdrawals if w.id not in known_ids)
        for state in self._states_by_key.values():
            if state.claim and state.claim.id not in known_ids:
                yield msgspec.structs.replace(state.claim, lost_position=state.position)
            if state.outcome and state.outcome.id not in known_ids:
                yield state.outcome

    def unresolved_claims(self, live_vms: frozenset[str]) -> tuple[Claim, ...]:
        """Returns claims that may have run, with an unknown result and no live VM serving them."""
        states = (state for state in self._states_by_key.values() if state.claim)
        return tuple(state.claim for state in states if is_unresolved(state, live_vms))

    def key_count(self) -> int:
        """Returns the number of keys within the retention horizon."""
        return len(self._states_by_key)


def is_unresolved(state: KeyState, live_vms: frozenset[str]) -> bool:
    """Returns whether the result of a claimed request is unknown and will stay so."""
    if state.outcome:
        return state.outcome.verdict == MayHaveRun.name
    return state.claim.vm not in live_vms


def is_within_horizon(made_at: float, now_wall: float, horizon_s: float, margin_s: float) -> bool:
    """Returns whether a request made at ``made_at`` may still be dispatched.

    The margin allows for clock skew between VMs, so that no VM has dropped the key by then.
    """
    return now_wall - made_at < horizon_s - margin_s


def decode_claim_record(data: str | bytes) -> ClaimRecord | None:
    """Returns the decoded record, or None if it is malformed or of an unknown type."""
    try:
        return msgspec.json.decode(data, type=ClaimRecord)
    except DECODE_ERRORS:
        return None


def encode_claim_record(record: ClaimRecord) -> bytes:
    """Returns the record in its stored form."""
    return msgspec.json.encode(record)
