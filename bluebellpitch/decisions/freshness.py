"""How old the configuration that this VM holds may be.

``known_at`` is the latest moment at which the version held is known to have been the newest, in
seconds of a clock that goes on while the VM is suspended.
"""

from dataclasses import dataclass

# Covers rounding and the way from the check to the endpoint.
FRESHNESS_MARGIN_S = 0.3


@dataclass(slots=True)
class Freshness:
    """``revoke_s`` bounds the use of a key that was taken away, ``apply_s`` that of a version."""

    revoke_s: float
    apply_s: float
    confirmed_at: float = float("-inf")

    def confirm(self, confirmed_at: float) -> None:
        """Notes that the version held was the newest at that moment."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def age_s(self, now: float) -> float:
        """Returns how long ago the version was known to be the newest."""
        return now - self.confirmed_at

    def may_accept_keys(self, now: float) -> bool:
        """Tells whether a key that the configuration holds may be honoured."""
        return self.age_s(now) < self.revoke_s - FRESHNESS_MARGIN_S

    def may_report_unknown(self, now: float) -> bool:
        """Tells whether a route or key that is not there may be called unknown."""
        return self.age_s(now) < self.apply_s - FRESHNESS_MARGIN_S


def read_valid_at(asked_at: float, answered_at: float, wait_s: float, is_empty: bool) -> float:
    """Returns as of when a read of the store shows all that there is.

    An empty answer after the full wait was true until the wait ended; any other one was true when
    the read was sent.
    """
    return asked_at + wait_s if is_empty and answered_at >= asked_at + wait_s else asked_at
