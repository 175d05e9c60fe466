"""Isolates poison requests, which crash the endpoint that runs them.

A fingerprint of member and body gets a strike when an endpoint crashes while running it; completion
clears its strikes. Requests with one strike never share an endpoint with each other, so that a
second crash separates the culprit from most requests that ran beside it. With two strikes a request
runs alone on its endpoint, and with three it is refused. So one request crashes at most three
endpoints.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from bluebellpitch.constants import STRIKE_TTL_S, STRIKES_TO_REFUSE, STRIKES_TO_RUN_ALONE


class IsolationLevel(IntEnum):
    """How far a request must be isolated from others."""

    NONE = 0
    SEPARATED = 1
    EXCLUSIVE = 2
    REFUSED = 3


@dataclass(slots=True)
class StrikeTracker:
    """Strikes by fingerprint: ids of the attempts that crashed an endpoint, with their times."""

    ttl_s: float = STRIKE_TTL_S
    _strikes_by_fingerprint: dict[str, dict[str, float]] = field(default_factory=dict)

    def add(self, fingerprint: str, attempt: str, now: float) -> None:
        """Records that an endpoint crashed while running an attempt; an attempt counts once."""
        self._strikes_by_fingerprint.setdefault(fingerprint, {})[attempt] = now

    def clear(self, fingerprint: str) -> None:
        """Clears the strikes of a request that completed."""
        self._strikes_by_fingerprint.pop(fingerprint, None)

    def count(self, fingerprint: str, now: float) -> int:
        """Returns the number of strikes that have not expired."""
        strikes = self._strikes_by_fingerprint.get(fingerprint, {})
        return sum(now - at < self.ttl_s for at in strikes.values())

    def isolation_level(self, fingerprint: str, now: float) -> IsolationLevel:
        """Returns the isolation that a request needs now."""
        strikes = self.count(fingerprint, now)
        if strikes >= STRIKES_TO_REFUSE:
            return IsolationLevel.REFUSED
        if strikes >= STRIKES_TO_RUN_ALONE:
            return IsolationLevel.EXCLUSIVE
        return IsolationLevel.SEPARATED if strikes else IsolationLevel.NONE

    def expire(self, now: float) -> None:
        """Drops fingerprints whose strikes have all expired."""
        expired = [fp for fp in self._strikes_by_fingerprint if not self.count(fp, now)]
        for fingerprint in expired:
            del self._strikes_by_fingerprint[fingerprint]
