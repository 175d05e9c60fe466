"""Load of each endpoint as this VM can tell: what it holds there, what it says, how it answers."""

from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoints import EndpointEntry

# A report of load counts less the older it is.
REPORT_LIFETIME_S = 0.5
MIN_DOWN_S = 0.3
MAX_DOWN_S = 3.0
# Weight of the latest outcome in the rate of failures.
FAILURE_EWMA_WEIGHT = 0.12
FAILURE_HALF_LIFE_S = 4.0


@dataclass(frozen=True, slots=True)
class WorkItem:
    """What is to be placed. Sizes in tokens; times in seconds of the owner's clock.

    ``rank`` 0 is first; ``gap_s`` is the longest pause between events that is in time.
    """

    id: str
    pool: str
    rank: int
    tokens_in: int
    tokens_out: int
    parts: tuple[tuple[str, int], ...]
    target_s: float
    gap_target_s: float
    arrived_at: float
    expires_at: float


def session_of(parts: tuple[tuple[str, int], ...]) -> str:
    """Returns the last part of a prompt that other requests share; nothing if there is none."""
    return parts[-2][0] if len(parts) > 1 else ""


@dataclass(slots=True)
class EndpointLoad:
    """One endpoint. ``held`` is the work of this VM there, by request id."""

    in_flight_by_id: dict[str, WorkItem] = field(default_factory=dict)
    prefill_tokens_by_id: dict[str, float] = field(default_factory=dict)
    reported_busy: float = 0.0
    reported_at: float = float("-inf")
    slowdown: float = 1.0
    down_until: float = float("-inf")
    next_down_s: float = MIN_DOWN_S
    failure_rate: float = 0.0
    failure_rate_at: float = float("-inf")

    def is_down(self, now: float) -> bool:
        """Tells whether the endpoint gets no new work now."""
        return now < self.down_until

    def recent_failure_rate(self, now: float) -> float:
        """Returns the rate of failures, which fades with time."""
        return self.failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE_S)

    def record_unreachable(self, now: float) -> None:
        """Keeps new work away for a time that doubles."""
        self.down_until = now + self.next_down_s
        self.next_down_s = min(MAX_DOWN_S, self.next_down_s * 2)

    def record_outcome(self, failed: bool, now: float) -> None:
        """Notes how an attempt ended."""
        rate = self.recent_failure_rate(now)
        self.failure_rate = rate + FAILURE_EWMA_WEIGHT * ((1.0 if failed else 0.0) - rate)
        self.failure_rate_at = now
        if not failed:
            self.next_down_s = MIN_DOWN_S

    def record_report(self, busy: float, slowdown: float, now: float) -> None:
        """Takes what the endpoint said of its load."""
        self.reported_busy, self.slowdown, self.reported_at = busy, slowdown, now

    def estimated_requests(self, now: float) -> float:
        """Returns how many requests are there, as far as this VM can tell."""
        fresh = max(0.0, 1 - (now - self.reported_at) / REPORT_LIFETIME_S)
        return max(float(len(self.in_flight_by_id)), self.reported_busy * fresh)


class EndpointLoads:
    """Loads by incarnation of endpoint."""

    def __init__(self):
        self._by_incarnation: dict[tuple[str, int], EndpointLoad] = {}

    def for_endpoint(self, entry: EndpointEntry) -> EndpointLoad:
        """Returns the load of one endpoint."""
        key = (entry.id, entry.started_ms)
        if key not in self._by_incarnation:
            self._by_incarnation[key] = EndpointLoad()
        return self._by_incarnation[key]

    def prune(self, entries) -> None:
        """Forgets endpoints that are gone and hold no work."""
        known = {(entry.id, entry.started_ms) for entry in entries}
        for key, load in list(self._by_incarnation.items()):
            if key not in known and not load.in_flight_by_id:
                del self._by_incarnation[key]
