"""Staleness of this VM's configuration.

``confirmed_at`` is the latest time at which the local version is known to have been the newest, in
seconds of a clock that keeps running while the VM is suspended.
"""

from dataclasses import dataclass

# Covers rounding and the delay between the check and the arrival at the endpoint.
FRESHNESS_MARGIN_S = 0.3


@dataclass(slots=True)
class Freshness:
    """``revoke_s`` limits the use of a revoked key, ``apply_s`` that of an outdated version."""

    revoke_s: float
    apply_s: float
    confirmed_at: float = float("-inf")

    def confirm(self, confirmed_at: float) -> None:
        """Records that the local version was the newest at ``confirmed_at``."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age_s(self, now: float) -> float:
        """Returns the time since the local version was known to be the newest."""
        return now - self.confirmed_at

    def may_accept_keys(self, now: float) -> bool:
        """Returns whether a key in the configuration may be accepted."""
        return self.age_s(now) < self.revoke_s - FRESHNESS_MARGIN_S

    def may_report_unknown(self, now: float) -> bool:
        """Returns whether a missing route or key may be reported as unknown."""
        return self.age_s(now) < self.apply_s - FRESHNESS_MARGIN_S


def read_valid_at(requested_at: float, responded_at: float, wait_s: float, is_empty: bool) -> float:
    """Returns the time up to which a long-poll read reflects the store.

    An empty response after the full wait is valid up to the end of the wait. Any other response is
    valid only as of the time when the read was sent.
    """
    return (
        requested_at + wait_s
        if is_empty and responded_at >= requested_at + wait_s
        else requested_at
    )
