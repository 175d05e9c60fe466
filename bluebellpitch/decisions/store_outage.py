"""Whether the store serves a VM, and when it did so again after an outage.

Load pattern: the store refuses some VMs of a zone, and the others read it for them. A VM that peers
keep up to date reads no more, so what peers read has to end the outage too.
"""

from dataclasses import dataclass

# A shorter outage is too brief for entries to expire, so removals after it count as genuine.
MIN_OUTAGE_S = 1.0


@dataclass(slots=True)
class StoreOutage:
    """Times in seconds of this VM's clock; ``failing_since`` is None while the store serves it."""

    failing_since: float | None = None
    recovered_at: float = float("-inf")

    def record_failure(self, now: float) -> bool:
        """Records that a read failed; returns whether that begins an outage."""
        if self.failing_since is not None:
            return False
        self.failing_since = now
        return True

    def record_answer(self, answered_at: float) -> float | None:
        """Records that the store served this VM or a peer; returns the length of what that ends.

        An answer from before the outage ends nothing; None is returned then.
        """
        if self.failing_since is None or answered_at <= self.failing_since:
            return None
        outage_s = answered_at - self.failing_since
        self.failing_since = None
        if outage_s >= MIN_OUTAGE_S:
            self.recovered_at = max(self.recovered_at, answered_at)
        return outage_s

    def record_restored(self, now: float) -> None:
        """Records that the store came back from a copy."""
        self.recovered_at = now

    def is_recent(self, now: float, within_s: float) -> bool:
        """Returns whether the store is out of reach or recovered less than ``within_s`` ago."""
        return self.failing_since is not None or now - self.recovered_at < within_s

    def describe(self, now: float) -> dict[str, str]:
        """Returns how long the store has been out of reach and when it recovered, for a log."""
        failing_s = 0.0 if self.failing_since is None else now - self.failing_since
        recovered_s = now - self.recovered_at
        return {"failing_s": f"{failing_s:.2f}", "recovered_s_ago": f"{recovered_s:.2f}"}
