"""Work that a broker knows of: what waits, what runs, and the commands it gives."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Waiting:
    """A request that waits for a slot. Times are monotonic seconds of the broker.

    ``arrived_at`` is when the caller's request came in, ``expires_at`` when it is refused,
    ``asked_at`` when its VM last asked for it. A ``resumed`` one has given its caller tokens.
    """

    request: str
    attempt: int
    asker: str
    member: str
    class_name: str
    arrived_at: float
    expires_at: float
    prefix: str = ""
    avoid: frozenset[str] = frozenset()
    suspicion: int = 0
    resumable: bool = True
    resumed: bool = False
    remote: bool = False
    preemptions: int = 0
    asked_at: float = 0.0


@dataclass(slots=True)
class Running:
    """A granted slot. ``from_share`` marks a grant out of a class's guaranteed share."""

    grant: str
    work: Waiting
    endpoint: str
    granted_at: float
    confirmed_at: float
    from_share: bool = False
    preempting: bool = False
    first_token_seen: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Run the request on this endpoint now."""

    running: Running
    expected_first_s: float
    expected_between_s: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request gets no slot."""

    work: Waiting
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Preempt:
    """Give the slot back and ask again; resume later from the last token."""

    running: Running
    reason: str


Command = Grant | Refuse | Preempt


@dataclass(frozen=True, slots=True)
class Finished:
    """How a grant ended, as its holder tells. Times in seconds; None where unknown."""

    grant: str
    outcome: str
    first_s: float | None = None
    between_s: float | None = None


@dataclass(slots=True)
class Mean:
    """An exponentially weighted mean; 0 until a first value."""

    value: float = 0.0
    gain: float = 0.1
    count: int = 0

    def add(self, value: float) -> None:
        """Takes one value in."""
        self.count += 1
        gain = max(self.gain, 1 / self.count)
        self.value += gain * (value - self.value)


@dataclass(slots=True)
class ClassLoad:
    """What a broker has seen of one class. Times in seconds."""

    slot_s: Mean = field(default_factory=Mean)
    first_s: Mean = field(default_factory=Mean)
    between_s: Mean = field(default_factory=Mean)
    share_credit_s: float = 0.0
