"""In which order queued prompts get engines, and how much of a queue is ahead of each.

Load pattern: prompts of several members and callers that return after a refusal wait for engines
that cannot read them all in time.
"""

from dataclasses import dataclass
from typing import NamedTuple

from bluebellpitch.decisions.generation_decisions import WaitingWork
from bluebellpitch.decisions.prefill import PrefillSpeed


class Standing(NamedTuple):
    """What the order of queued work depends on, apart from time."""

    rank: int
    is_over_share: bool
    has_returned: bool

    def goes_before(self, other: "Standing") -> bool:
        """Returns whether work of this standing may go before other, newer work."""
        if self.rank != other.rank:
            return self.rank < other.rank
        if self.is_over_share != other.is_over_share:
            return other.is_over_share
        return self.has_returned or not other.has_returned


@dataclass(frozen=True, slots=True)
class QueueOrder:
    """The order of a queue at ``now``: first by rank, then members that keep to their shares.

    Among those, callers that return as told and requests that can still meet their target come
    before late ones, and older ones before newer ones.
    """

    speed: PrefillSpeed
    members_over_share: frozenset[str]
    now: float

    def is_over_share(self, waiting: WaitingWork) -> bool:
        """Returns whether the work's member was granted more than its share."""
        return waiting.work.member in self.members_over_share

    def key(self, waiting: WaitingWork) -> tuple[int, bool, bool, float]:
        """Returns the sort key of queued work."""
        is_late = not waiting.has_returned and self._is_late(waiting)
        return waiting.work.rank, self.is_over_share(waiting), is_late, waiting.asked_at

    def _is_late(self, waiting: WaitingWork) -> bool:
        work = waiting.work
        read_s = self.speed.fixed_s + work.tokens_in * self.speed.s_per_token
        return self.now + read_s > waiting.asked_at + work.target_s

    def standing(self, waiting: WaitingWork) -> Standing:
        """Returns the standing of queued work."""
        return Standing(waiting.work.rank, self.is_over_share(waiting), waiting.has_returned)
