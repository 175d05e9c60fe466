"""Load and health of endpoints as seen from this VM.

Sources are this VM's own requests in flight, the load that endpoints report, and outcomes.
"""

from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoints import EndpointEntry

# A reported load loses weight linearly and is ignored from this age on.
REPORT_LIFETIME_S = 0.5
# A reported slowdown loses half of its weight in this time, so a slow endpoint is tried again.
SLOWDOWN_HALF_LIFE_S = 2.0
MIN_DOWN_S = 0.3
MAX_DOWN_S = 3.0
# An endpoint that answers nothing for so many times its usual response time is silent.
SILENCE_FACTOR = 4.0
MIN_SILENCE_S = 0.3
UNKNOWN_RESPONSE_S = 0.25
# Weight of the latest response in the moving average of response times.
RESPONSE_EWMA_WEIGHT = 0.2
# Weight of the latest outcome in the moving average of failures.
FAILURE_EWMA_WEIGHT = 0.12
FAILURE_HALF_LIFE_S = 4.0


@dataclass(frozen=True, slots=True)
class WorkItem:
    """A request to be placed on an endpoint.

    Sizes are in tokens, times in seconds of the owner's clock. ``rank`` 0 is served first.
    ``parts`` are the ids and sizes of the prompt's parts; all but the last may be shared with other
    requests. ``target_s`` is the target for the time to first token, ``gap_target_s`` that for the
    longest gap between events. ``member`` is empty in a configuration without members.
    ``spillover_delay_s`` is how much later a broker hears of a first token of another zone.
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
    member: str = ""
    spillover_delay_s: float = 0.0


def session_of(parts: tuple[tuple[str, int], ...]) -> str:
    """Returns the id of the last shared part of a prompt, or an empty string without any."""
    return parts[-2][0] if len(parts) > 1 else ""


@dataclass(slots=True)
class EndpointLoad:
    """One endpoint. ``in_flight_by_id`` holds this VM's requests there.

    ``prefill_tokens_by_id`` holds the prompt sizes of those without a first token,
    ``placed_at_by_id`` when each was placed, the oldest first.
    """

    in_flight_by_id: dict[str, WorkItem] = field(default_factory=dict)
    prefill_tokens_by_id: dict[str, float] = field(default_factory=dict)
    reported_busy: float = 0.0
    reported_at: float = float("-inf")
    reported_slowdown: float = 1.0
    slowdown_at: float = float("-inf")
    down_until: float = float("-inf")
    next_down_s: float = MIN_DOWN_S
    placed_at_by_id: dict[str, float] = field(default_factory=dict)
    last_response_at: float = float("-inf")
    usual_response_s: float = UNKNOWN_RESPONSE_S
    failure_rate: float = 0.0
    failure_rate_at: float = float("-inf")

    def is_down(self, now: float) -> bool:
        """Returns whether the endpoint gets no new work."""
        return now < self.down_until

    def recent_failure_rate(self, now: float) -> float:
        """Returns the failure rate, which decays with time."""
        return self.failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE_S)

    def record_unreachable(self, now: float) -> None:
        """Marks the endpoint as down, with exponential backoff."""
        self.down_until = now + self.next_down_s
        self.next_down_s = min(MAX_DOWN_S, self.next_down_s * 2)

    def place(self, work: WorkItem, now: float) -> None:
        """Counts a request that is placed at the endpoint."""
        self.in_flight_by_id[work.id] = work
        self.prefill_tokens_by_id[work.id] = float(work.tokens_in)
        self.placed_at_by_id[work.id] = now

    def remove(self, work_id: str) -> None:
        """Removes a request that has ended."""
        self.in_flight_by_id.pop(work_id, None)
        self.prefill_tokens_by_id.pop(work_id, None)
        self.placed_at_by_id.pop(work_id, None)

    def record_response(self, work_id: str, now: float) -> None:
        """Records how long the response to a request took."""
        self.last_response_at = now
        if (placed_at := self.placed_at_by_id.get(work_id)) is not None:
            self.usual_response_s += RESPONSE_EWMA_WEIGHT * (
                now - placed_at - self.usual_response_s
            )

    def is_silent(self, now: float) -> bool:
        """Returns whether nothing has come since the oldest request, for unusually long."""
        oldest = next(iter(self.placed_at_by_id.values()), now)
        silence_s = max(MIN_SILENCE_S, SILENCE_FACTOR * self.usual_response_s)
        return now - oldest > silence_s and self.last_response_at < oldest

    def may_answer(self, now: float) -> bool:
        """Returns whether the endpoint is neither down nor silent."""
        return not (self.is_down(now) or self.is_silent(now))

    def record_silence(self, now: float) -> None:
        """Marks the endpoint as down, as the next request would cost its caller much time too."""
        self.record_outcome(True, now)
        self.down_until = now + MAX_DOWN_S

    def record_outcome(self, failed: bool, now: float) -> None:
        """Records the outcome of an attempt."""
        rate = self.recent_failure_rate(now)
        self.failure_rate = rate + FAILURE_EWMA_WEIGHT * ((1.0 if failed else 0.0) - rate)
        self.failure_rate_at = now
        if not failed:
            self.next_down_s = MIN_DOWN_S

    def record_report(self, busy: float, slowdown: float, now: float) -> None:
        """Records the load that the endpoint reported."""
        self.reported_busy, self.reported_at = busy, now
        self.record_slowdown(slowdown, now)

    def record_slowdown(self, slowdown: float, now: float) -> None:
        """Records how much longer than usual a response said that work takes."""
        self.reported_slowdown, self.slowdown_at = max(1.0, slowdown), now

    def slowdown(self, now: float) -> float:
        """Returns the reported slowdown, of which less counts with its age."""
        weight = 0.5 ** ((now - self.slowdown_at) / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self.reported_slowdown - 1.0) * weight

    def estimated_requests(self, now: float) -> float:
        """Returns the estimated number of requests at the endpoint, from own and reported load."""
        weight = max(0.0, 1 - (now - self.reported_at) / REPORT_LIFETIME_S)
        return max(float(len(self.in_flight_by_id)), self.reported_busy * weight)


class EndpointLoads:
    """Loads by endpoint incarnation."""

    def __init__(self):
        self._by_incarnation: dict[tuple[str, int], EndpointLoad] = {}

    def for_endpoint(self, entry: EndpointEntry) -> EndpointLoad:
        """Returns the load of an endpoint; a new one if it is not known yet."""
        key = (entry.id, entry.started_ms)
        if key not in self._by_incarnation:
            self._by_incarnation[key] = EndpointLoad()
        return self._by_incarnation[key]

    def prune(self, entries) -> None:
        """Removes endpoints that are not in ``entries`` and have no requests in flight."""
        known = {(entry.id, entry.started_ms) for entry in entries}
        for key, load in list(self._by_incarnation.items()):
            if key not in known and not load.in_flight_by_id:
                del self._by_incarnation[key]
