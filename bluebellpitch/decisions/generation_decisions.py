"""Decisions of a generation broker, its queue items, and the costs it reports to other zones."""

from dataclasses import dataclass

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.loads import WorkItem

# Work is refused when it cannot start within this share of the time until its deadline.
START_DEADLINE_SHARE = 0.5
# The same for a caller that came back as told, which would get no further chance.
RETURNED_START_DEADLINE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Granted:
    """The work may start on the engine ``entry``. ``inputs`` are logged with the decision.

    ``limit_per_s`` is the limit that the engine is known to name, None without any.
    """

    work_id: str
    vm: str
    entry: EndpointEntry
    inputs: dict[str, str]
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Queued:
    """The work is queued."""

    work_id: str
    vm: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The work gets no engine. ``inputs`` are logged with the decision."""

    work_id: str
    vm: str
    reason: str
    retry_after_s: float
    inputs: dict[str, str]


Decision = Granted | Queued | Refused


@dataclass(frozen=True, slots=True)
class LongPromptCost:
    """Cost of a long prompt in a zone, in seconds: a fixed part plus a part per prompt token."""

    fixed_s: float
    s_per_token: float


@dataclass(slots=True)
class WaitingWork:
    """Queued work. Engines whose ids are in ``avoid`` are not considered.

    ``returned_for`` is when the caller's first request came, if it came back as told.
    """

    work: WorkItem
    vm: str
    avoid: frozenset[str]
    returned_for: float | None = None

    @property
    def has_returned(self) -> bool:
        """Whether the caller was refused before and came back as told."""
        return self.returned_for is not None

    @property
    def asked_at(self) -> float:
        """When the caller first asked."""
        return self.work.arrived_at if self.returned_for is None else self.returned_for

    def start_deadline(self) -> float:
        """Returns the time after which the work is refused."""
        return start_deadline(self.work, self.has_returned)


def start_deadline(work: WorkItem, has_returned: bool = False) -> float:
    """Returns the time after which work that has not started is refused."""
    share = RETURNED_START_DEADLINE_SHARE if has_returned else START_DEADLINE_SHARE
    return work.arrived_at + share * (work.expires_at - work.arrived_at)
