"""Queued requests, active grants, commands of a slot broker and per-class statistics."""

from dataclasses import dataclass, field

# Whether a request is isolated, and the endpoints that may not take it otherwise.
Restriction = tuple[bool, frozenset[str]]
UNRESTRICTED: Restriction = (False, frozenset())
ISOLATED: Restriction = (True, frozenset())


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a slot. Times are seconds on the broker's monotonic clock.

    ``arrived_at`` is when the client's request arrived, ``expires_at`` when it is refused,
    ``last_requested_at`` when its VM last requested a slot. The client of a ``resumed`` request has
    already received tokens.
    """

    request_id: str
    attempt: int
    requesting_vm: str
    member: str
    class_name: str
    arrived_at: float
    expires_at: float
    prefix: str = ""
    excluded_endpoints: frozenset[str] = frozenset()
    isolation_level: int = 0
    resumable: bool = True
    resumed: bool = False
    remote: bool = False
    preemptions: int = 0
    last_requested_at: float = 0.0

    @property
    def restriction(self) -> Restriction:
        """What keeps the request from some endpoints; the same for all isolated requests."""
        return ISOLATED if self.isolation_level else (False, self.excluded_endpoints)


@dataclass(slots=True)
class ActiveGrant:
    """A granted slot. ``from_guaranteed_share``: granted out of the class's guaranteed share."""

    grant_id: str
    request: QueuedRequest
    endpoint: str
    granted_at: float
    confirmed_at: float
    from_guaranteed_share: bool = False
    preempting: bool = False
    first_token_seen: bool = False


@dataclass(frozen=True, slots=True)
class GrantSlot:
    """Tells the VM to run the request on the endpoint now."""

    grant: ActiveGrant
    expected_first_token_s: float
    expected_inter_token_s: float
    limit_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Tells the VM that the request gets no slot."""

    request: QueuedRequest
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class PreemptGrant:
    """Tells the VM to return the slot and get another; the request resumes from its last token."""

    grant: ActiveGrant
    reason: str


SlotBrokerCommand = GrantSlot | RefuseRequest | PreemptGrant


@dataclass(frozen=True, slots=True)
class FinishedGrant:
    """The end of a grant as reported by its VM. A time of None is unknown."""

    grant_id: str
    outcome: str
    first_token_s: float | None = None
    inter_token_s: float | None = None


@dataclass(slots=True)
class MovingAverage:
    """An exponentially weighted moving average; 0 until the first value."""

    value: float = 0.0
    min_weight: float = 0.1
    count: int = 0

    def add(self, value: float) -> None:
        """Adds a value. The first values weigh more, so that the start value of 0 has no effect."""
        self.count += 1
        weight = max(self.min_weight, 1 / self.count)
        self.value += weight * (value - self.value)


@dataclass(slots=True)
class ClassStats:
    """Average times of one class at a broker, and its balance of guaranteed slot time."""

    slot_time_s: MovingAverage = field(default_factory=MovingAverage)
    first_token_s: MovingAverage = field(default_factory=MovingAverage)
    inter_token_s: MovingAverage = field(default_factory=MovingAverage)
    share_credit_s: float = 0.0


def arrival_key(grant: ActiveGrant) -> tuple[float, str]:
    """Sort key: arrival time of the client's request, then grant id."""
    return grant.request.arrived_at, grant.grant_id
