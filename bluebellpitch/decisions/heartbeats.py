"""To whom a VM sends heartbeats, and how often.

Load pattern: a large zone, where each VM hearing each other often costs time that grows with the
square of their number. Only the loss of a VM that holds a role, and what role holders keep for a
lost VM, must be noticed soon.
"""

from dataclasses import dataclass

ROLE_HOLDER_INTERVAL_S = 0.15
NEAR_INTERVAL_S = 0.45
# VMs that hold no role hear each other once in so many rounds.
ROUNDS_PER_FAR_HEARTBEAT = 2


@dataclass(frozen=True, slots=True)
class HeartbeatRound:
    """Intervals that one round of heartbeats announces, in seconds.

    ``near_s`` goes to the VMs that hold roles or are next in line, ``far_s`` to the others of the
    zone, in each round where ``is_far_due``.
    """

    near_s: float
    far_s: float
    is_far_due: bool


ROLE_HOLDER_ROUND = HeartbeatRound(ROLE_HOLDER_INTERVAL_S, ROLE_HOLDER_INTERVAL_S, True)


@dataclass(slots=True)
class HeartbeatSchedule:
    """The rounds of one VM."""

    _round: int = 0
    _held_role: bool = False
    _was_draining: bool = False

    def next_round(self, holds_role: bool, is_draining: bool) -> HeartbeatRound:
        """Returns the next round; changes of role or a planned stop go to all VMs at once."""
        has_changed = (holds_role, is_draining) != (self._held_role, self._was_draining)
        self._held_role, self._was_draining = holds_role, is_draining
        self._round = 0 if has_changed else self._round + 1
        if holds_role:
            return ROLE_HOLDER_ROUND
        is_far_due = self._round % ROUNDS_PER_FAR_HEARTBEAT == 0
        return HeartbeatRound(
            NEAR_INTERVAL_S, NEAR_INTERVAL_S * ROUNDS_PER_FAR_HEARTBEAT, is_far_due
        )
