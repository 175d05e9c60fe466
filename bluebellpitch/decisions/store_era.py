"""The era of the platform's store, which rises each time it comes back from a copy.

A copy is some seconds old: what was acknowledged since then is missing until it is written again.
"""

from dataclasses import dataclass

# Within this time after its return, the store has again what the operator and the endpoints wrote.
REWRITE_S = 2.5


@dataclass(slots=True)
class StoreEra:
    """The latest era that this VM knows of; None before any answer that names one.

    ``risen_at`` is when this VM, or a peer that told it, noticed the last rise. ``known_since`` is
    when this VM first knew of the era, which has lasted at least since then.
    """

    number: int | None = None
    risen_at: float = float("-inf")
    known_since: float = float("inf")

    def observe(self, number: int, now: float) -> bool:
        """Records the era of an answer; returns whether it has risen since an earlier answer."""
        if self.number is None:
            self.number, self.known_since = number, now
            return False
        if number <= self.number:
            return False
        self.number, self.risen_at, self.known_since = number, now, now
        return True

    def observe_rise(self, number: int, risen_at: float, now: float) -> None:
        """Records when, according to a peer, the era ``number`` began; -inf if it does not know."""
        if self.number is not None and number < self.number:
            return
        if self.number is not None and number > self.number and risen_at == float("-inf"):
            risen_at = now
        if number != self.number:
            self.number, self.known_since = number, now
        self.risen_at = max(self.risen_at, risen_at)

    def is_rewritten(self, now: float) -> bool:
        """Returns whether the store has again what was written to it before its return."""
        return now - self.risen_at >= REWRITE_S

    def is_past(self, number: int | None) -> bool:
        """Returns whether an era is over, so that its offsets mean nothing any more."""
        return number is not None and self.number is not None and number < self.number


def is_other_era(one: int | None, other: int | None) -> bool:
    """Returns whether two positions are of different eras; an unknown era may be any."""
    return one is not None and other is not None and one != other
