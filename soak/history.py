"""What callers and endpoints observed in a run. Times are seconds of one monotonic clock."""

from dataclasses import dataclass, field

from fakes.duty_api import DutyCall

# Number of events of each stream.
STREAM_EVENTS = 4
STREAM_KINDS = ("draft", "explain")
DUTY_LEASE_S = 4.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """A request as its caller observed it. ``status`` is 0 if there was no complete response."""

    id: str
    kind: str
    key: str
    vm: str
    sent_at: float
    ended_at: float
    status: int
    verdict: str
    retry_after: str
    endpoint_answered: bool
    body: bytes


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as an endpoint observed it; ``ran`` tells whether the endpoint began to run it."""

    at: float
    id: str
    pool: str
    endpoint: str
    ran: bool


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a VM during which no other fault affected it or the endpoints."""

    vm: str
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Suspension:
    """A time for which the process of a VM was suspended."""

    vm: str
    started_at: float
    ended_at: float


@dataclass
class History:
    """Everything observed in one run."""

    outcomes: list[Outcome] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    # When the configuration that revokes a key was in the store.
    revoked_at_by_key: dict[str, float] = field(default_factory=dict)
    # When the notice of a leaving endpoint was in the store.
    leaving_at_by_endpoint: dict[str, float] = field(default_factory=dict)
    # Versions of the configuration in force in each process, in the order observed.
    versions_by_process: dict[str, list[int]] = field(default_factory=dict)
    # Calls that the platform's API had, whatever it answered.
    duty_calls: list[DutyCall] = field(default_factory=list)
    suspensions: list[Suspension] = field(default_factory=list)
    # Usage windows that began after the faults and are due.
    due_windows: list[int] = field(default_factory=list)
    # Failures of the run itself, such as VMs that exited or did not recover.
    failures: list[str] = field(default_factory=list)
