"""Which members ask for more than their share of a pool that is too small.

Load pattern: one member sends many times its usual while the engines are full, and the requests of
all others would wait behind its own.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from bluebellpitch.decisions.loads import WorkItem

# Cost of a generated token, in prompt tokens.
OUTPUT_TOKEN_WEIGHT = 2
# What a member usually asks for, and what it has lately been granted, decay with these half-lives.
USUAL_HALF_LIFE_S = 60.0
GRANTED_HALF_LIFE_S = 2.0
# The size of a member's largest request decays with this half-life.
LARGEST_HALF_LIFE_S = 10.0
# Usual demand is first learnt for so long, while nobody is over its share.
LEARNING_S = 5.0
# A member's usual demand counts as at least this part of the mean of all members.
MIN_USUAL_SHARE = 0.25
# A member may exceed its share by this factor, and by this many of its own requests.
TOLERANCE = 1.25
TOLERATED_REQUESTS = 2
# Who is over its share changes slowly, and is worked out anew at this interval.
REFRESH_INTERVAL_S = 0.02
# Members that have asked for less than this many tokens lately are forgotten.
MIN_REMEMBERED_TOKENS = 1.0


@dataclass(slots=True)
class DecayingSum:
    """A sum whose older parts lose half of their weight every ``half_life_s``."""

    half_life_s: float
    _value: float = 0.0
    _at: float = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Adds an amount."""
        self._value, self._at = self.value(now) + amount, now

    def scale(self, factor: float) -> None:
        """Multiplies the sum."""
        self._value *= factor

    def value(self, now: float) -> float:
        """Returns the sum at ``now``."""
        return self._value * 0.5 ** ((now - self._at) / self.half_life_s) if self._value else 0.0


@dataclass(slots=True)
class DecayingMax:
    """The largest of some amounts, each of which loses half of itself every ``half_life_s``."""

    half_life_s: float
    _value: float = 0.0
    _at: float = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Takes an amount into account."""
        self._value, self._at = max(self.value(now), amount), now

    def value(self, now: float) -> float:
        """Returns the largest amount at ``now``."""
        return self._value * 0.5 ** ((now - self._at) / self.half_life_s) if self._value else 0.0


def cost_tokens(work: WorkItem) -> int:
    """Returns the cost of a request, in prompt tokens."""
    return work.tokens_in + OUTPUT_TOKEN_WEIGHT * work.tokens_out


@dataclass(slots=True)
class MemberUse:
    """What one member asks for and was granted, in tokens.

    ``largest`` is its largest request, of which an old one says little about those of now.
    """

    asked: DecayingSum = field(default_factory=lambda: DecayingSum(USUAL_HALF_LIFE_S))
    granted: DecayingSum = field(default_factory=lambda: DecayingSum(GRANTED_HALF_LIFE_S))
    refused: DecayingSum = field(default_factory=lambda: DecayingSum(USUAL_HALF_LIFE_S))
    largest: DecayingMax = field(default_factory=lambda: DecayingMax(LARGEST_HALF_LIFE_S))


@dataclass(frozen=True, slots=True)
class MemberShare:
    """A member's usual part of all that is asked for, and its part of what was granted lately.

    ``refused`` are its requests that got nothing, of which older ones count less.
    """

    member: str
    usual: float
    granted: float
    refused: float
    is_over: bool


class FairShares:
    """The use of one pool in one zone by member.

    A member's share is that of its usual demand in the usual demand of all members that compete.
    A broker that takes over knows no usual demand: it learns it from held work and requests.
    What it has learnt changes slowly, so that a sudden rise does not raise the member's share.
    """

    def __init__(self):
        self._use_by_member: dict[str, MemberUse] = {}
        self._learning_since: float | None = None
        self._has_learnt = False
        self._over_share: frozenset[str] = frozenset()
        self._refreshed_at = float("-inf")

    def record_asked(self, work: WorkItem, now: float) -> None:
        """Counts a request."""
        if not work.member:
            return
        self._learn(now)
        use = self._use_by_member.setdefault(work.member, MemberUse())
        use.asked.add(cost_tokens(work), now)
        use.largest.add(cost_tokens(work), now)

    def _learn(self, now: float) -> None:
        """Ends the learning when it is due, as if the demand had been the same for ever."""
        if self._learning_since is None:
            self._learning_since = now
        learnt_s = now - self._learning_since
        if self._has_learnt or learnt_s < LEARNING_S:
            return
        self._has_learnt = True
        for use in self._use_by_member.values():
            use.asked.scale(USUAL_HALF_LIFE_S / math.log(2) / learnt_s)

    def record_granted(self, work: WorkItem, now: float) -> None:
        """Counts a request that got an engine."""
        use = self._use_by_member.get(work.member)
        if use is not None:
            use.granted.add(cost_tokens(work), now)
            use.largest.add(cost_tokens(work), now)

    def record_refused(self, member: str, now: float) -> None:
        """Counts a request that got no engine."""
        if member in self._use_by_member:
            self._use_by_member[member].refused.add(1.0, now)

    def member_shares(self, waiting: Iterable[str], now: float) -> Iterator[MemberShare]:
        """Returns the shares of all members, of which ``waiting`` have requests in the queue."""
        use_by_member, over_share = self._use_by_member, self.members_over_share(waiting, now)
        asked = {member: use.asked.value(now) for member, use in use_by_member.items()}
        granted = {member: use.granted.value(now) for member, use in use_by_member.items()}
        all_asked, all_granted = max(1.0, sum(asked.values())), max(1.0, sum(granted.values()))
        return (
            MemberShare(
                member=member,
                usual=asked[member] / all_asked,
                granted=granted[member] / all_granted,
                refused=use.refused.value(now),
                is_over=member in over_share,
            )
            for member, use in use_by_member.items()
        )

    def members_over_share(self, waiting: Iterable[str], now: float) -> frozenset[str]:
        """Returns which members were granted more than their shares.

        Empty while fewer than two members wait: nobody else could use what one of them leaves.
        """
        competing = self._use_by_member.keys() & waiting
        if len(competing) < 2 or not self._has_learnt:
            return frozenset()
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._over_share = frozenset(self._find_over_share(competing, now))
            self._refreshed_at = now
        return self._over_share

    def _find_over_share(self, competing: set[str], now: float) -> Iterator[str]:
        granted = {m: use.granted.value(now) for m, use in self._use_by_member.items()}
        members = [m for m, tokens in granted.items() if tokens >= 1 or m in competing]
        usual = self._usual_tokens(members, now)
        per_usual = sum(granted[m] for m in members) / max(1.0, sum(usual.values()))
        return (
            member
            for member in members
            if granted[member] - TOLERANCE * usual[member] * per_usual
            > TOLERATED_REQUESTS * self._use_by_member[member].largest.value(now)
        )

    def _usual_tokens(self, members: list[str], now: float) -> dict[str, float]:
        asked = {m: self._use_by_member[m].asked.value(now) for m in members}
        least = MIN_USUAL_SHARE * sum(asked.values()) / len(asked)
        return {member: max(least, tokens) for member, tokens in asked.items()}

    def expire(self, now: float) -> None:
        """Forgets members that have not asked for a long time."""
        for member, use in list(self._use_by_member.items()):
            if use.asked.value(now) < MIN_REMEMBERED_TOKENS:
                del self._use_by_member[member]
