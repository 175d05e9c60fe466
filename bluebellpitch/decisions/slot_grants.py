"""Work that a broker knows of: what waits, what runs, and the commands it gives."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a slot. Times are monotonic seconds of the broker.

    ``arrived_at`` is when the caller's request came in, ``expires_at`` when it is refused,
    ``asked_at`` when its VM last asked for it. A ``resumed`` one has given its caller tokens.
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
    last_asked_at: float = 0.0


@dataclass(slots=True)
class ActiveGrant:
    """A granted slot. ``from_share`` marks a grant out of a class's guaranteed share."""

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
    """Run the request on this endpoint now."""

    grant: ActiveGrant
    expected_first_token_s: float
    expected_between_tokens_s: float


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """The request gets no slot."""

    request: QueuedRequest
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class PreemptGrant:
    """Give the slot back and ask again; resume later from the last token."""

    grant: ActiveGrant
    reason: str


BrokerCommand = GrantSlot | RefuseRequest | PreemptGrant


@dataclass(frozen=True, slots=True)
class FinishedGrant:
    """How a grant ended, as its holder tells. Times in seconds; None where unknown."""

    grant_id: str
    outcome: str
    first_token_s: float | None = None
    between_tokens_s: float | None = None


@dataclass(slots=True)
class MovingAverage:
    """An exponentially weighted mean; 0 until a first value."""

    value: float = 0.0
    min_weight: float = 0.1
    count: int = 0

    def add(self, value: float) -> None:
        """Takes one value in."""
        self.count += 1
        weight = max(self.min_weight, 1 / self.count)
        self.value += weight * (value - self.value)


@dataclass(slots=True)
class ClassStats:
    """What a broker has seen of one class. Times in seconds."""

    slot_time_s: MovingAverage = field(default_factory=MovingAverage)
    first_token_s: MovingAverage = field(default_factory=MovingAverage)
    between_tokens_s: MovingAverage = field(default_factory=MovingAverage)
    share_credit_s: float = 0.0
