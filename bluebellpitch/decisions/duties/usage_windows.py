"""Usage windows: spans of true time, and the time of day by which a VM tells them apart.

All times of windows are Unix times in seconds.
"""

import math
from dataclasses import dataclass, field

# A window is settled after this share of the time in which its report is due: before it, counts
# pass two VMs, which each wait for a second at most; after it, a new holder can still take over.
SETTLE_SHARE = 0.3
# Counts and reports are given up after this multiple of the time in which a report is due.
RETENTION_FACTOR = 3.0
# Corrections of a synchronized clock are smaller than this, from one reading to the next.
MAX_CORRECTION_S = 0.1
# How long a jump of the time of day has to last before it is believed.
MIN_JUMP_HOLD_S = 2.0
MAX_JUMP_HOLD_S = 300.0


@dataclass(frozen=True, slots=True)
class UsageWindows:
    """Windows of ``window_s`` seconds, whose reports are due ``due_s`` after their end."""

    window_s: float
    due_s: float

    def index_at(self, time: float) -> int:
        """Returns the index of the window that a time falls into."""
        return math.floor(time / self.window_s)

    def end_of(self, window: int) -> float:
        """Returns the time at which a window ends."""
        return (window + 1) * self.window_s

    def settles_at(self, window: int) -> float:
        """Returns when a window's counts are settled."""
        return self.end_of(window) + SETTLE_SHARE * self.due_s

    def is_late(self, window: int, time: float) -> bool:
        """Returns whether a report that is sent now comes too late."""
        return time > self.end_of(window) + self.due_s

    def last_settled_by(self, time: float) -> int:
        """Returns the index of the last window that is to be settled by a time."""
        return self.index_at(time - SETTLE_SHARE * self.due_s) - 1

    def first_kept(self, time: float) -> int:
        """Returns the index of the oldest window whose counts are still kept."""
        return self.index_at(time - RETENTION_FACTOR * self.due_s)


@dataclass(slots=True)
class WindowClock:
    """True time as this VM takes it: its own clock, which never jumps, plus an offset.

    ``now`` is the VM's clock. Small corrections of the time of day are followed at once. After a
    jump the new offset is taken over once it has lasted longer than the one before, within bounds:
    a VM that starts during a jump believes it until the clock has been back for as long.
    """

    _offset_s: float
    _held_since: float
    _jumped_to_s: float | None = field(default=None, init=False)
    _jumped_at: float = field(default=0.0, init=False)

    @classmethod
    def start(cls, wall: float, now: float) -> "WindowClock":
        """Returns a clock that takes the time of day for true until it jumps."""
        return cls(wall - now, now)

    def time_at(self, now: float) -> float:
        """Returns the Unix time at a moment of the VM's clock."""
        return now + self._offset_s

    def observe(self, wall: float, now: float) -> bool:
        """Compares the time of day; returns whether a jump was taken over."""
        offset_s = wall - now
        if abs(offset_s - self._offset_s) <= MAX_CORRECTION_S:
            self._offset_s, self._jumped_to_s = offset_s, None
            return False
        if self._jumped_to_s is None or abs(offset_s - self._jumped_to_s) > MAX_CORRECTION_S:
            self._jumped_at = now
        self._jumped_to_s = offset_s
        if now - self._jumped_at < self._hold_s():
            return False
        self._offset_s, self._held_since, self._jumped_to_s = offset_s, self._jumped_at, None
        return True

    def _hold_s(self) -> float:
        lasted_s = self._jumped_at - self._held_since
        return min(MAX_JUMP_HOLD_S, max(MIN_JUMP_HOLD_S, lasted_s))
