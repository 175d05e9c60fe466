"""Load of each endpoint as this VM can tell: what it holds there, what it says, how it answers."""

from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoints import EndpointEntry

# A report of load counts less the older it is.
REPORT_BELIEVED_S = 0.5
DOWN_FIRST_S = 0.3
DOWN_LONGEST_S = 3.0
# Weight of the latest outcome in the rate of failures.
FAILURE_WEIGHT = 0.12
FAILURE_FORGOTTEN_S = 4.0


@dataclass(frozen=True, slots=True)
class Work:
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
    gap_s: float
    arrived_at: float
    expires_at: float


def session_of(parts: tuple[tuple[str, int], ...]) -> str:
    """Returns the last part of a prompt that other requests share; nothing if there is none."""
    return parts[-2][0] if len(parts) > 1 else ""


@dataclass(slots=True)
class EndpointLoad:
    """One endpoint. ``held`` is the work of this VM there, by request id."""

    held: dict[str, Work] = field(default_factory=dict)
    reading: dict[str, float] = field(default_factory=dict)
    reported_busy: float = 0.0
    reported_at: float = float("-inf")
    slowdown: float = 1.0
    down_until: float = float("-inf")
    down_s: float = DOWN_FIRST_S
    failure_rate: float = 0.0
    failure_at: float = float("-inf")

    def is_down(self, now: float) -> bool:
        """Tells whether the endpoint gets no new work now."""
        return now < self.down_until

    def failing(self, now: float) -> float:
        """Returns the rate of failures, which fades with time."""
        return self.failure_rate * 0.5 ** ((now - self.failure_at) / FAILURE_FORGOTTEN_S)

    def note_unreachable(self, now: float) -> None:
        """Keeps new work away for a time that doubles."""
        self.down_until = now + self.down_s
        self.down_s = min(DOWN_LONGEST_S, self.down_s * 2)

    def note_outcome(self, failed: bool, now: float) -> None:
        """Notes how an attempt ended."""
        rate = self.failing(now)
        self.failure_rate = rate + FAILURE_WEIGHT * ((1.0 if failed else 0.0) - rate)
        self.failure_at = now
        if not failed:
            self.down_s = DOWN_FIRST_S

    def note_report(self, busy: float, slowdown: float, now: float) -> None:
        """Takes what the endpoint said of its load."""
        self.reported_busy, self.slowdown, self.reported_at = busy, slowdown, now

    def busy(self, now: float) -> float:
        """Returns how many requests are there, as far as this VM can tell."""
        fresh = max(0.0, 1 - (now - self.reported_at) / REPORT_BELIEVED_S)
        return max(float(len(self.held)), self.reported_busy * fresh)


class Loads:
    """Loads by incarnation of endpoint."""

    def __init__(self):
        self._by_incarnation: dict[tuple[str, int], EndpointLoad] = {}

    def of(self, entry: EndpointEntry) -> EndpointLoad:
        """Returns the load of one endpoint."""
        key = (entry.id, entry.started_ms)
        if key not in self._by_incarnation:
            self._by_incarnation[key] = EndpointLoad()
        return self._by_incarnation[key]

    def forget_others(self, entries) -> None:
        """Forgets endpoints that are gone and hold no work."""
        known = {(entry.id, entry.started_ms) for entry in entries}
        for key, load in list(self._by_incarnation.items()):
            if key not in known and not load.held:
                del self._by_incarnation[key]
