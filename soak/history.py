"""What callers and endpoints saw in a run. Times are seconds of one monotonic clock."""

from dataclasses import dataclass, field

# Events of each stream.
EVENTS = 4
STREAM_KINDS = ("draft", "explain")


@dataclass(frozen=True, slots=True)
class Outcome:
    """One request as its caller saw it. ``status`` is 0 when no whole answer came."""

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
    """One request as an endpoint saw it; ``ran`` tells whether the endpoint began to run it."""

    at: float
    id: str
    pool: str
    endpoint: str
    ran: bool


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a VM, while no other fault touched it or the endpoints."""

    vm: str
    begun_at: float
    ended_at: float


@dataclass
class Record:
    """All that was seen."""

    outcomes: list[Outcome] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    # When the store had taken in that a key is no longer valid.
    taken_at_by_key: dict[str, float] = field(default_factory=dict)
    # When an endpoint's announcement that it leaves was in the store.
    left_at_by_endpoint: dict[str, float] = field(default_factory=dict)
    # Versions in force by process, in the order in which they were seen.
    versions_by_process: dict[str, list[int]] = field(default_factory=dict)
    # Whatever broke the run itself: VMs that failed or did not recover.
    failures: list[str] = field(default_factory=list)
