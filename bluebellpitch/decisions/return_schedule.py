"""When callers that were refused may come back, and who has come back as told.

Load pattern: a burst beyond what the engines can take, of which many are refused at one moment,
would all return at one moment and be refused again.
"""

from dataclasses import dataclass, field

from bluebellpitch.decisions.loads import WorkItem

MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 3.0
# Callers wait at most this share of the time that they have left, whatever they are told.
HONOURED_SHARE = 1 / 3
# Share of the engines' time that is kept for callers that return; new requests get the rest.
RETURN_SHARE = 0.1
# A caller that returns this much earlier than told has still returned as told.
EARLY_RETURN_S = 0.02
# Successive multiples of this fraction, modulo 1, are spread evenly for any number of them.
GOLDEN_FRACTION = 0.618034

Prompt = tuple[str, int, int, tuple[tuple[str, int], ...]]


@dataclass(frozen=True, slots=True)
class PlannedReturn:
    """When a refused caller should return; ``has_room`` says whether room is kept for it then."""

    retry_after_s: float
    has_room: bool


@dataclass(frozen=True, slots=True)
class KeptRoom:
    """Room for a caller that returns at ``returns_at``; its first request came at ``asked_at``."""

    returns_at: float
    asked_at: float
    expires_at: float


def prompt_of(work: WorkItem) -> Prompt:
    """Returns what the first and the second request of a caller have in common."""
    return work.member, work.rank, work.tokens_in, work.parts


@dataclass(slots=True)
class ReturnSchedule:
    """Places in a queue that refused callers hold by their Retry-After, in seconds.

    Callers for whom no place is left before they return anyway are spread over the time until then.
    """

    _next_at: float = float("-inf")
    _kept_by_prompt: dict[Prompt, KeptRoom] = field(default_factory=dict)
    _without_room_count: int = 0

    def plan(
        self, work: WorkItem, asked_at: float, busy_s: float, prompt_s: float, now: float
    ) -> PlannedReturn:
        """Returns when a caller should come back.

        It would be admitted after ``busy_s`` at the earliest, never if that is infinite.
        ``prompt_s`` is the time that its prompt takes of all engines together.
        """
        latest_s = min(MAX_RETRY_AFTER_S, HONOURED_SHARE * (work.expires_at - now))
        at = max(now + max(MIN_RETRY_AFTER_S, busy_s), self._next_at)
        if at > now + latest_s:
            return PlannedReturn(self._spread_s(latest_s), False)
        self._next_at = at + prompt_s / RETURN_SHARE
        self._kept_by_prompt[prompt_of(work)] = KeptRoom(at, asked_at, work.expires_at)
        return PlannedReturn(at - now, True)

    def _spread_s(self, latest_s: float) -> float:
        """Returns a wait between the shortest and ``latest_s``; successive ones lie apart."""
        position = self._without_room_count * GOLDEN_FRACTION % 1.0
        self._without_room_count += 1
        return latest_s - position * max(0.0, latest_s - MIN_RETRY_AFTER_S)

    def take_room(self, work: WorkItem, now: float) -> KeptRoom | None:
        """Returns the room kept for a caller that returns now, once; None without any.

        A caller that returns before it was told to has none yet, and keeps its place.
        """
        kept = self._kept_by_prompt.get(prompt_of(work))
        if kept is None or now < kept.returns_at - EARLY_RETURN_S:
            return None
        del self._kept_by_prompt[prompt_of(work)]
        return kept if now < kept.expires_at else None

    def expire(self, now: float) -> None:
        """Forgets callers that did not return in time."""
        for prompt, kept in list(self._kept_by_prompt.items()):
            if now >= kept.expires_at:
                del self._kept_by_prompt[prompt]
