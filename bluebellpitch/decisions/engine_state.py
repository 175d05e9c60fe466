"""What a broker knows of one engine: work that it holds, prompt parts that it keeps, its pace."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.loads import EndpointLoad, Work
from bluebellpitch.decisions.reading import ReadingPace

# An engine that is this late with a first token, and silent since, gets no new work.
OVERDUE_S = 0.7
# Time over which reading counts as recent.
RECENT_S = 1.0
# Part of an engine's memory that work may be planned to fill.
MEMORY_SHARE = 0.92


@dataclass(slots=True)
class HeldWork:
    """Work at an engine. ``unread`` is how many tokens of its prompt were not kept there."""

    work: Work
    vm: str
    unread: int
    expected_read_at: float
    read_alone: bool
    is_short: bool
    is_read: bool = False


@dataclass(slots=True)
class EngineState:
    """One engine. Sizes in tokens, times in seconds of the owner's clock."""

    entry: EndpointEntry
    slots: int
    memory_tokens: int
    load: EndpointLoad = field(default_factory=EndpointLoad)
    pace: ReadingPace = field(default_factory=ReadingPace)
    held_by_id: dict[str, HeldWork] = field(default_factory=dict)
    heard_at: float = float("-inf")
    _read_s: float = 0.0
    _read_noted_at: float = 0.0
    _kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _kept_tokens: int = 0

    def note_reading(self, seconds: float, now: float) -> None:
        """Plans a prompt, and counts it as recent reading."""
        self._read_s = self.recent_reading(now) * RECENT_S + seconds
        self._read_noted_at = now
        self.pace.add(seconds, now)
        for held in self.held_by_id.values():
            held.read_alone = False

    def recent_reading(self, now: float) -> float:
        """Returns which part of the recent time went, or will go, into reading long prompts."""
        return self._read_s * 0.5 ** ((now - self._read_noted_at) / RECENT_S) / RECENT_S

    def unread(self, work: Work) -> int:
        """Returns how many tokens of a prompt the engine has to read."""
        kept = 0
        for part, size in work.parts:
            if part not in self._kept:
                break
            kept += size
        return max(1, work.tokens_in - kept)

    def unread_shared(self, work: Work) -> int:
        """Returns how many tokens that other requests share with it the engine has to read."""
        own = work.parts[-1][1] if work.parts else work.tokens_in
        return max(0, self.unread(work) - own)

    def keep(self, work: Work) -> None:
        """Notes that the engine will keep the parts of a prompt; the oldest ones yield."""
        for part, size in work.parts:
            if part not in self._kept:
                self._kept_tokens += size
            self._kept[part] = size
            self._kept.move_to_end(part)
        room = self.memory_tokens - self.held_tokens()
        while self._kept and self._kept_tokens > room:
            _, size = self._kept.popitem(last=False)
            self._kept_tokens -= size

    def held_tokens(self) -> int:
        """Returns the memory that running work needs."""
        return sum(held.work.tokens_out for held in self.held_by_id.values())

    def running_tokens(self) -> int:
        """Returns the memory of running work with its prompts."""
        return sum(h.work.tokens_in + h.work.tokens_out for h in self.held_by_id.values())

    def has_room(self, work: Work) -> bool:
        """Tells whether a slot and memory are free."""
        if len(self.held_by_id) >= self.slots:
            return False
        room = self.memory_tokens * MEMORY_SHARE - self.running_tokens()
        return not self.held_by_id or work.tokens_in + work.tokens_out <= room

    def is_usable(self, now: float) -> bool:
        """Tells whether the engine may get new work."""
        return not self.load.is_down(now) and not self.is_overdue(now)

    def is_overdue(self, now: float) -> bool:
        """Tells whether the engine owes a first token and has been silent for long."""
        if now - self.heard_at < OVERDUE_S:
            return False
        return any(
            not held.is_read and now > held.expected_read_at + OVERDUE_S
            for held in self.held_by_id.values()
        )

    def streams(self) -> int:
        """Returns how many streams with short prompts, which reading would hold up, run there."""
        return sum(held.is_short for held in self.held_by_id.values())

    def smallest_gap_s(self) -> float | None:
        """Returns the smallest gap target of the streams that run there."""
        return min((h.work.gap_s for h in self.held_by_id.values() if h.is_read), default=None)

    def reading_left_s(self, now: float) -> float:
        """Returns how long the engine still reads what was sent to it."""
        return self.pace.free_at(now) - now
