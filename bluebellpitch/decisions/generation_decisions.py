"""What a broker of generations answers, offers other zones, and keeps in its queue."""

from dataclasses import dataclass

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.loads import WorkItem

# Work is refused when it cannot start within this part of its time.
START_DEADLINE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Granted:
    """Work may start at an engine."""

    work_id: str
    vm: str
    entry: EndpointEntry
    inputs: dict[str, str]


@dataclass(frozen=True, slots=True)
class Queued:
    """Work waits."""

    work_id: str
    vm: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Work gets no engine."""

    work_id: str
    vm: str
    reason: str
    retry_after_s: float
    inputs: dict[str, str]


Decision = Granted | Queued | Refused


@dataclass(frozen=True, slots=True)
class LongPromptCost:
    """Cost of a long prompt in a zone, in seconds: a fixed part, and one for each token."""

    fixed_s: float
    s_per_token: float


@dataclass(slots=True)
class WaitingWork:
    """Work in the queue."""

    work: WorkItem
    vm: str
    avoid: frozenset[str]

    def start_deadline(self) -> float:
        """Returns until when it may start."""
        work = self.work
        return work.arrived_at + START_DEADLINE_SHARE * (work.expires_at - work.arrived_at)
