"""Requests that crash the endpoint that runs them.

A fingerprint of member and body earns a strike when an endpoint dies under it, and loses all when
it completes. Requests with one strike are kept apart from each other, so that a second crash tells
the culprit from most of its former neighbours; with two, a request runs alone on its endpoint; with
three it is refused. So at most three endpoints fall to one request.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from bluebellpitch.constants import STRIKE_TTL_S, STRIKES_TO_REFUSE, STRIKES_TO_RUN_ALONE


class IsolationLevel(IntEnum):
    """How a request may be placed."""

    NONE = 0
    SEPARATED = 1
    EXCLUSIVE = 2
    REFUSED = 3


@dataclass(slots=True)
class StrikeTracker:
    """Strikes by fingerprint: ids of the attempts that died, with the time of each."""

    ttl_s: float = STRIKE_TTL_S
    _strikes_by_fingerprint: dict[str, dict[str, float]] = field(default_factory=dict)

    def add(self, fingerprint: str, attempt: str, now: float) -> None:
        """Notes that an endpoint died under an attempt; the same attempt counts once."""
        self._strikes_by_fingerprint.setdefault(fingerprint, {})[attempt] = now

    def clear(self, fingerprint: str) -> None:
        """Forgets the strikes of a request that completed."""
        self._strikes_by_fingerprint.pop(fingerprint, None)

    def count(self, fingerprint: str, now: float) -> int:
        """Returns the strikes in force."""
        attempts = self._strikes_by_fingerprint.get(fingerprint, {})
        return sum(now - at < self.ttl_s for at in attempts.values())

    def isolation_level(self, fingerprint: str, now: float) -> IsolationLevel:
        """Returns how the request may be placed now."""
        strikes = self.count(fingerprint, now)
        if strikes >= STRIKES_TO_REFUSE:
            return IsolationLevel.REFUSED
        if strikes >= STRIKES_TO_RUN_ALONE:
            return IsolationLevel.EXCLUSIVE
        return IsolationLevel.SEPARATED if strikes else IsolationLevel.NONE

    def expire(self, now: float) -> None:
        """Forgets fingerprints whose strikes are all old."""
        old = [f for f in self._strikes_by_fingerprint if not self.count(f, now)]
        for fingerprint in old:
            del self._strikes_by_fingerprint[fingerprint]
