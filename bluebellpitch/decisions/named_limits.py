"""Paces requests to endpoints that name how many they take, from all VMs together.

Whoever sends by itself has a share of the limit. A share comes as one request at a time, at even
intervals from a random moment on, and is lost if it is not used soon: VMs that were idle cannot
all send at once.
"""

import math
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

# A limit that no answer confirms ends after this time, plus that of a few requests at the limit.
LIMIT_TTL_S = 10.0
LIMIT_TTL_REQUESTS = 3
# Share of the turns that go to who waits first, whatever its rank.
UNRANKED_TURN_SHARE = 0.25
# How long an unused turn of a sender is kept.
TURN_KEPT_S = 0.5
MIN_RATE_PER_S = 0.01


@dataclass(slots=True)
class NamedLimit:
    """The limit of one incarnation of an endpoint, as a rate per second of this sender's share."""

    rate_per_s: float
    share: float
    named_at: float
    next_turn_at: float

    @property
    def interval_s(self) -> float:
        """Time between two turns."""
        return 1.0 / (max(MIN_RATE_PER_S, self.rate_per_s) * self.share)

    def has_ended(self, now: float) -> bool:
        """Returns whether the limit was not confirmed for too long."""
        return now - self.named_at > LIMIT_TTL_S + LIMIT_TTL_REQUESTS * self.interval_s

    def wait_s(self, now: float) -> float:
        """Returns the time until the next turn, 0 if it has come; turns not used are lost."""
        missed_s = now - TURN_KEPT_S - self.next_turn_at
        if missed_s > 0:
            self.next_turn_at += math.ceil(missed_s / self.interval_s) * self.interval_s
        return max(0.0, self.next_turn_at - now)

    def take_turn(self, now: float) -> None:
        """Counts a request."""
        self.next_turn_at = max(self.next_turn_at, now - TURN_KEPT_S) + self.interval_s


@dataclass(slots=True)
class NamedLimits:
    """Limits by incarnation of the endpoint. ``random`` returns numbers from 0 to 1."""

    random: Callable[[], float] = random.random
    _by_incarnation: dict[tuple[str, int], NamedLimit] = field(default_factory=dict)

    def record(
        self, key: tuple[str, int], rate_per_s: float | None, share: float, now: float
    ) -> bool:
        """Records what an answer names, None for no limit; returns whether that is a change.

        ``share`` is the part of the limit that this sender may use.
        """
        known = self._by_incarnation.get(key)
        if rate_per_s is None:
            self._by_incarnation.pop(key, None)
            return known is not None
        if known is None or known.has_ended(now):
            self._drop_ended(now)
            limit = NamedLimit(rate_per_s, share, now, now)
            limit.next_turn_at += self.random() * limit.interval_s
            self._by_incarnation[key] = limit
            return True
        is_change = known.rate_per_s != rate_per_s
        known.rate_per_s, known.share, known.named_at = rate_per_s, share, now
        known.next_turn_at = min(known.next_turn_at, now + known.interval_s)
        return is_change

    def _drop_ended(self, now: float) -> None:
        limits = self._by_incarnation
        self._by_incarnation = {k: limit for k, limit in limits.items() if not limit.has_ended(now)}

    def find(self, key: tuple[str, int], now: float) -> NamedLimit | None:
        """Returns the limit in force, or None."""
        limit = self._by_incarnation.get(key)
        if limit is not None and limit.has_ended(now):
            del self._by_incarnation[key]
            return None
        return limit

    def wait_s(self, key: tuple[str, int], now: float) -> float:
        """Returns the time until the endpoint may get a request from here, 0 without a limit."""
        limit = self.find(key, now)
        return 0.0 if limit is None else limit.wait_s(now)

    def take_turn(self, key: tuple[str, int], now: float) -> None:
        """Counts a request to an endpoint."""
        limit = self.find(key, now)
        if limit is not None:
            limit.take_turn(now)

    def in_force(self, now: float) -> dict[tuple[str, int], float]:
        """Returns the named rates."""
        self._drop_ended(now)
        return {key: limit.rate_per_s for key, limit in self._by_incarnation.items()}


@dataclass(slots=True)
class TurnQueue:
    """The ranks that wait for an endpoint, by pool; rank 0 is served first, the others not never.

    ``random`` returns numbers from 0 to 1.
    """

    random: Callable[[], float] = random.random
    _ranks_by_pool: dict[str, list[int]] = field(default_factory=dict)

    @contextmanager
    def join(self, pool: str, rank: int) -> Iterator["TurnPlace"]:
        """Counts a request among the waiting ones of its pool."""
        ranks = self._ranks_by_pool.setdefault(pool, [])
        ranks.append(rank)
        try:
            yield TurnPlace(rank, ranks, self.random() < UNRANKED_TURN_SHARE)
        finally:
            ranks.remove(rank)
            if not ranks:
                del self._ranks_by_pool[pool]


@dataclass(frozen=True, slots=True)
class TurnPlace:
    """One waiting request among ``ranks``."""

    rank: int
    ranks: list[int]
    is_unranked: bool

    def must_yield(self) -> bool:
        """Returns whether a more urgent request waits for the same turn."""
        return not self.is_unranked and min(self.ranks) < self.rank
