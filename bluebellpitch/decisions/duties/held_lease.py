"""A lease as its holder sees it."""

from dataclasses import dataclass

# A call of the platform's API is given up after this time.
CALL_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class HeldLease:
    """This VM holds ``duty`` until ``valid_until``, in seconds of its own clock.

    ``token`` rises with each change of holder and is never used by two.
    """

    duty: str
    token: int
    valid_until: float

    def allows_call(self, now: float) -> bool:
        """Returns whether a call that begins now ends, one way or another, under the lease."""
        return now + CALL_TIMEOUT_S < self.valid_until
