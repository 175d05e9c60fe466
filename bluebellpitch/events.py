"""Recent events of one VM, for the timeline command."""

from collections import deque
from collections.abc import Iterator
from enum import StrEnum

import msgspec

from bluebellpitch.clock import HybridClock


class EventKind(StrEnum):
    """Kinds of events."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    FIRST_TOKEN = "first_token"
    RESUMED = "resumed"
    PREEMPTED = "preempted"
    RETRIED = "retried"
    COMPLETED = "completed"
    REFUSED = "refused"
    CLAIMED = "claimed"
    WITHDRAWN = "withdrawn"
    OUTCOME = "outcome"
    EPOCH = "epoch"
    TABLE = "table"
    ROLE_TAKEN = "role_taken"
    ROLE_GIVEN_UP = "role_given_up"
    ENDPOINT_SLOW = "endpoint_slow"
    ENDPOINT_DOWN = "endpoint_down"
    ENDPOINT_BACK = "endpoint_back"
    STRIKE = "strike"
    DRAINING = "draining"


class Event(msgspec.Struct, frozen=True):
    """One event. ``stamp`` is from the hybrid clock of the VM, in microseconds."""

    stamp: int
    vm: str
    kind: EventKind
    request: str = ""
    member: str = ""
    class_name: str = ""
    endpoint: str = ""
    detail: str = ""


class EventRing:
    """A ring buffer of the latest events; ``dropped`` counts those that were overwritten."""

    def __init__(self, vm: str, clock: HybridClock, size: int):
        self.vm = vm
        self.clock = clock
        self.dropped = 0
        self._events: deque[Event] = deque(maxlen=size)

    def record(self, kind: EventKind, request="", member="", class_name="", endpoint="", detail=""):
        """Adds an event with a new stamp."""
        if len(self._events) == self._events.maxlen:
            self.dropped += 1
        stamp = self.clock.stamp()
        self._events.append(
            Event(stamp, self.vm, kind, request, member, class_name, endpoint, detail)
        )

    def after(self, stamp: int) -> Iterator[Event]:
        """Yields events later than ``stamp``, oldest first."""
        return (event for event in tuple(self._events) if event.stamp > stamp)
