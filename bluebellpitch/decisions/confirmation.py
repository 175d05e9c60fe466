"""When the records of a topic were last known to be complete, and through whom.

Load pattern: all VMs of a zone read the store at once, after a start or an outage, although one of
them could read it for all.
"""

from dataclasses import dataclass

# While a peer confirmed its records no longer ago than this, a VM leaves the store to others.
CONFIRMED_MAX_AGE_S = 1.8


@dataclass(slots=True)
class Confirmation:
    """Times in seconds of this VM's clock; ``confirmed_at`` is the latest."""

    confirmed_at: float = float("-inf")
    _read_at: float = float("-inf")
    _peer_at: float = float("-inf")

    def age_s(self, now: float) -> float:
        """Returns the time since all records were last known to be here."""
        return now - self.confirmed_at

    def record_read(self, at: float) -> bool:
        """Records this VM's own read of the store; returns whether it is the latest news."""
        self._read_at = max(self._read_at, at)
        return self._advance(at)

    def record_peer(self, at: float, is_by_reader: bool) -> bool:
        """Records what a peer confirmed; returns whether it is the latest news.

        A time that is not later than the one known here counts only if the zone's reader read the
        store then: otherwise it may go back to this VM's own read, or to a VM that stops reading.
        """
        if is_by_reader or at > self.confirmed_at:
            self._peer_at = max(self._peer_at, at)
        return self._advance(at)

    def _advance(self, at: float) -> bool:
        is_news = at > self.confirmed_at
        self.confirmed_at = max(self.confirmed_at, at)
        return is_news

    def is_own_read(self) -> bool:
        """Returns whether ``confirmed_at`` goes back to this VM's own read of the store."""
        return self._read_at >= self.confirmed_at

    def is_kept_by_peers(self, now: float) -> bool:
        """Returns whether peers confirm the records often enough."""
        return now - self._peer_at < CONFIRMED_MAX_AGE_S
