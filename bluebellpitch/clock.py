"""A hybrid logical clock: orders cause before effect across VMs whose clocks differ.

Source: Kulkarni et al., "Logical Physical Clocks", 2014. A stamp is one integer of microseconds
since the Unix epoch; it never falls behind a stamp that was received, nor behind itself.
"""

from collections.abc import Callable

MICROSECONDS_PER_S = 1_000_000


class HybridClock:
    """Stamps of one VM, strictly increasing."""

    def __init__(self, wall: Callable[[], float]):
        self._wall = wall
        self._last = 0

    def stamp(self) -> int:
        """Returns a new stamp."""
        self._last = max(self._last + 1, int(self._wall() * MICROSECONDS_PER_S))
        return self._last

    def observe(self, stamp: int) -> None:
        """Moves on past a stamp that another VM sent."""
        self._last = max(self._last, stamp)
