"""How many bytes of others' messages a VM holds, in all and in one message.

Load pattern: many endpoints answer without end at once. Each answer stays within the limit of one,
but together they are more than the VM has.
"""

import math
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
    the less each may hold, and there is always room for small ones.
    """

    capacity_bytes: float = math.inf
    used_bytes: int = 0
    # How many messages were cut since they would have held too much.
    exceeded: int = 0

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
        if more > 0 and size > budget.capacity_bytes - budget.used_bytes - more:
            budget.exceeded += 1
            return False
        budget.used_bytes += more
        self.held_bytes = size
        return True

    def grow(self, more: int) -> bool:
        """Adds to the bytes held; returns False, and adds none, if they are too many."""
        return self.resize(self.held_bytes + more)

    def release(self) -> None:
        """Holds nothing any more."""
        self.resize(0)
