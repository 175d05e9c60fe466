"""At most once: claims, outcomes and withdrawals on the claims stream, folded in offset order.

A key belongs to its member and to one body. The first claim of a key that is not withdrawn, at the
lowest offset, wins; nobody else dispatches the key. A withdrawal voids its claim's id whether it
lands before or after the claim, and only the claimer itself writes one, once it is sure that it
never dispatched under that id. Keys are kept for a horizon; a request made earlier is refused.
"""

from dataclasses import dataclass

import msgspec

from bluebellpitch.verdicts import MayHaveRun


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Announces that this VM alone may dispatch the key. ``made_at`` is in Unix seconds."""

    id: str
    key: str
    body: str
    vm: str
    made_at: float


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal"):
    """Voids one claim id: it never dispatched and never will."""

    id: str
    key: str
    claim_id: str
    made_at: float


class Outcome(msgspec.Struct, frozen=True, tag="outcome"):
    """How a claimed request ended. Without ``answer_kept`` the body was too large to replay."""

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
    """What is known of one key."""

    made_at: float
    claim: Claim | None = None
    outcome: Outcome | None = None


@dataclass(frozen=True, slots=True)
class KeyFree:
    """Nobody holds the key."""


@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """A claim holds the key, with no outcome yet."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class KeyCompleted:
    """The key has an outcome."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class KeyBodyMismatch:
    """The key belongs to another body."""


KeyStatus = KeyFree | KeyClaimed | KeyCompleted | KeyBodyMismatch


class ClaimsStateMachine:
    """Folds claim records; forgets keys past the horizon."""

    def __init__(self, horizon_s: float):
        self.horizon_s = horizon_s
        self.offset = -1
        self._states_by_key: dict[str, KeyState] = {}
        self._withdrawal_times_by_claim_id: dict[str, float] = {}

    def apply(self, offset: int, data: str | bytes, now_wall: float) -> ClaimRecord | None:
        """Folds one record; returns it when it took effect. ``now_wall`` in Unix seconds."""
        if offset <= self.offset:
            return None
        self.offset = offset
        record = decode_claim_record(data)
        if record is None or now_wall - record.made_at > self.horizon_s:
            return None
        match record:
            case Claim():
                return self._apply_claim(record)
            case Withdrawal():
                return self._apply_withdrawal(record)
            case Outcome():
                return self._apply_outcome(record)

    def _apply_claim(self, claim: Claim) -> Claim | None:
        if claim.id in self._withdrawal_times_by_claim_id:
            return None
        state = self._states_by_key.setdefault(claim.key, KeyState(claim.made_at))
        if state.claim or state.outcome:
            return None
        state.claim = claim
        state.made_at = max(state.made_at, claim.made_at)
        return claim

    def _apply_withdrawal(self, withdrawal: Withdrawal) -> Withdrawal:
        self._withdrawal_times_by_claim_id[withdrawal.claim_id] = withdrawal.made_at
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
        """Returns how a key stands for a request with that body digest."""
        state = self._states_by_key.get(key)
        if state is None or state.claim is None:
            return KeyFree()
        if state.claim.body != body_digest:
            return KeyBodyMismatch()
        return KeyCompleted(state.outcome) if state.outcome else KeyClaimed(state.claim)

    def is_withdrawn(self, claim_id: str) -> bool:
        """Tells whether a claim id is void."""
        return claim_id in self._withdrawal_times_by_claim_id

    def expire_keys(self, now_wall: float) -> None:
        """Forgets keys and withdrawals past the horizon."""
        oldest = now_wall - self.horizon_s
        self._states_by_key = {k: s for k, s in self._states_by_key.items() if s.made_at >= oldest}
        self._withdrawal_times_by_claim_id = {
            k: at for k, at in self._withdrawal_times_by_claim_id.items() if at >= oldest
        }

    def unresolved_claims(self, live_vms: frozenset[str]) -> tuple[Claim, ...]:
        """Returns claims that may have run: with no known answer, and nobody working on them."""
        states = (state for state in self._states_by_key.values() if state.claim)
        return tuple(state.claim for state in states if is_unresolved(state, live_vms))

    def key_count(self) -> int:
        """Returns how many keys are remembered."""
        return len(self._states_by_key)


def is_unresolved(state: KeyState, live_vms: frozenset[str]) -> bool:
    """Tells whether nobody knows, or will know, how a claimed request ended."""
    if state.outcome:
        return state.outcome.verdict == MayHaveRun.name
    return state.claim.vm not in live_vms


def is_within_horizon(made_at: float, now_wall: float, horizon_s: float, margin_s: float) -> bool:
    """Tells whether a request made then may still be dispatched now."""
    return now_wall - made_at < horizon_s - margin_s


def decode_claim_record(data: str | bytes) -> ClaimRecord | None:
    """Returns the typed record, or None when it is not one of ours."""
    try:
        return msgspec.json.decode(data, type=ClaimRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def encode_claim_record(record: ClaimRecord) -> bytes:
    """Returns the record as the store keeps it."""
    return msgspec.json.encode(record)
