"""How many bytes of others' messages a VM holds, in all and in one message.

Load pattern: many endpoints answer without end at once. Each answer stays within the limit of one,
but together they are more than the VM has.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

MIB = 1_048_576
# Share of a VM's memory. What is held is copied once more while a slow receiver takes it, and each
# connection has buffers of its own.
BUFFER_MEMORY_SHARE = 0.15


def buffer_capacity(memory_mb: float) -> float:
    """Returns the bytes that all messages of a VM with this much memory may hold."""
    return memory_mb * MIB * BUFFER_MEMORY_SHARE


@dataclass(slots=True)
class BufferBudget:
    """Bytes held of all messages, of at most ``capacity_bytes``.

    The limit of one message is a dynamic threshold: what is still free. So the more messages grow,
    the less each may hold, and there is always room for small ones. Before one is cut,
    ``free_unread`` is called with the bytes that are missing; it ends callers that do not read, and
    returns how many.
    """

    capacity_bytes: float = math.inf
    used_bytes: int = 0
    # How many messages were cut since they would have held too much.
    exceeded: int = 0
    # Part of the bytes held: of responses that callers have not read.
    unread_bytes: int = 0
    free_unread: Callable[[float], int] | None = None
    # How many callers were ended for the memory that they held.
    callers_ended: int = 0

    def open_unread(self) -> "UnreadShare":
        """Returns the share of what one caller has not read."""
        return UnreadShare(self)

    def make_room(self, missing_bytes: float) -> None:
        """Ends callers that do not read, if bytes are missing."""
        if missing_bytes > 0 and self.free_unread is not None:
            self.callers_ended += self.free_unread(missing_bytes)

    def open(self) -> "BufferShare":
        """Returns the share of a new message, which holds nothing yet."""
        return BufferShare(self)


@dataclass(slots=True)
class BufferShare:
    """What one message holds. Released by whoever opened it, once the message is gone."""

    budget: BufferBudget
    held_bytes: int = 0

    def resize(self, size: int) -> bool:
        """Sets the bytes held; returns False, and changes nothing, if they are too many."""
        more, budget = size - self.held_bytes, self.budget
        if more > 0:
            budget.make_room(self._missing_bytes(size))
        if more > 0 and self._missing_bytes(size) > 0:
            budget.exceeded += 1
            return False
        budget.used_bytes += more
        self.held_bytes = size
        return True

    def _missing_bytes(self, size: int) -> float:
        """Returns what is missing for a message of this size; as much has to be left free."""
        return self.budget.used_bytes - self.held_bytes + 2 * size - self.budget.capacity_bytes

    def grow(self, more: int) -> bool:
        """Adds to the bytes held; returns False, and adds none, if they are too many."""
        return self.resize(self.held_bytes + more)

    def release(self) -> None:
        """Holds nothing any more."""
        self.resize(0)


@dataclass(slots=True)
class UnreadShare(BufferShare):
    """What is held of a response that its caller has not read: it was taken in already."""

    def record(self, size: int) -> None:
        """Sets the bytes held; ends callers that do not read if all messages hold too much."""
        self._hold(size)
        self.budget.make_room(self.budget.used_bytes - self.budget.capacity_bytes)

    def release(self) -> None:
        """Holds nothing any more; ends no caller, as this is also called when one is ended."""
        self._hold(0)

    def _hold(self, size: int) -> None:
        self.budget.used_bytes += size - self.held_bytes
        self.budget.unread_bytes += size - self.held_bytes
        self.held_bytes = size
