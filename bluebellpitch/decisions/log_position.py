"""Positions in a log whose offsets are given out again when the store comes back from a copy.

A position holds the era of the store above the offset, so that positions of a later era are higher.
-1 is the position before the first record.
"""

OFFSET_BITS = 32
MAX_OFFSET = (1 << OFFSET_BITS) - 1
BEFORE_FIRST = -1


def log_position(era: int | None, offset: int) -> int:
    """Returns the position of an offset; without an era it is the offset itself."""
    return ((era or 0) << OFFSET_BITS) + offset


def era_of(position: int) -> int:
    """Returns the era of a position; 0 before the first record."""
    return max(0, position) >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Returns the offset of a position, -1 before the first record."""
    return position if position < 0 else position & MAX_OFFSET
