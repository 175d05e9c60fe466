"""A hybrid logical clock: orders causes before effects across VMs whose clocks differ.

Source: Kulkarni et al., "Logical Physical Clocks", 2014. A stamp is an integer of
microseconds since the Unix epoch. Each stamp is later than all stamps issued or received before.
"""

from collections.abc import Callable

MICROSECONDS_PER_S = 1_000_000


class HybridClock:
    """Issues the strictly increasing stamps of one VM. ``wall`` returns Unix time in seconds."""

    def __init__(self, wall: Callable[[], float]):
        self._wall = wall
        self._last = 0

    def stamp(self) -> int:
        """Returns a new stamp."""
        self._last = max(self._last + 1, int(self._wall() * MICROSECONDS_PER_S))
        return self._last

    def observe(self, stamp: int) -> None:
        """Advances the clock to a stamp received from another VM."""
        self._last = max(self._last, stamp)
