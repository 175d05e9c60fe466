"""What a broker knows of one engine: work that it holds, prompt parts that it keeps, its pace."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.loads import EndpointLoad, WorkItem
from bluebellpitch.decisions.prefill import PrefillSchedule

# An engine that is this late with a first token, and silent since, gets no new work.
FIRST_TOKEN_OVERDUE_S = 0.7
# Time over which reading counts as recent.
PREFILL_HALF_LIFE_S = 1.0
# Part of an engine's memory that work may be planned to fill.
USABLE_KV_SHARE = 0.92


@dataclass(slots=True)
class AssignedWork:
    """Work at an engine. ``unread`` is how many tokens of its prompt were not kept there."""

    work: WorkItem
    vm: str
    uncached_tokens: int
    expected_first_token_at: float
    prefilled_alone: bool
    is_short: bool
    has_first_token: bool = False


@dataclass(slots=True)
class EngineState:
    """One engine. Sizes in tokens, times in seconds of the owner's clock."""

    entry: EndpointEntry
    slots: int
    kv_capacity_tokens: int
    load: EndpointLoad = field(default_factory=EndpointLoad)
    prefill_schedule: PrefillSchedule = field(default_factory=PrefillSchedule)
    assigned_by_id: dict[str, AssignedWork] = field(default_factory=dict)
    last_response_at: float = float("-inf")
    _recent_prefill_s: float = 0.0
    _recent_prefill_at: float = 0.0
    _cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _cached_tokens: int = 0

    def record_prefill(self, seconds: float, now: float) -> None:
        """Plans a prompt, and counts it as recent reading."""
        self._recent_prefill_s = self.prefill_activity(now) * PREFILL_HALF_LIFE_S + seconds
        self._recent_prefill_at = now
        self.prefill_schedule.append(seconds, now)
        for held in self.assigned_by_id.values():
            held.prefilled_alone = False

    def prefill_activity(self, now: float) -> float:
        """Returns which part of the recent time went, or will go, into reading long prompts."""
        return (
            self._recent_prefill_s
            * 0.5 ** ((now - self._recent_prefill_at) / PREFILL_HALF_LIFE_S)
            / PREFILL_HALF_LIFE_S
        )

    def uncached_tokens(self, work: WorkItem) -> int:
        """Returns how many tokens of a prompt the engine has to read."""
        kept = 0
        for part, size in work.parts:
            if part not in self._cached_parts:
                break
            kept += size
        return max(1, work.tokens_in - kept)

    def uncached_shared(self, work: WorkItem) -> int:
        """Returns how many tokens that other requests share with it the engine has to read."""
        own = work.parts[-1][1] if work.parts else work.tokens_in
        return max(0, self.uncached_tokens(work) - own)

    def cache_prompt(self, work: WorkItem) -> None:
        """Notes that the engine will keep the parts of a prompt; the oldest ones yield."""
        for part, size in work.parts:
            if part not in self._cached_parts:
                self._cached_tokens += size
            self._cached_parts[part] = size
            self._cached_parts.move_to_end(part)
        room = self.kv_capacity_tokens - self.output_tokens()
        while self._cached_parts and self._cached_tokens > room:
            _, size = self._cached_parts.popitem(last=False)
            self._cached_tokens -= size

    def output_tokens(self) -> int:
        """Returns the memory that running work needs."""
        return sum(held.work.tokens_out for held in self.assigned_by_id.values())

    def total_tokens(self) -> int:
        """Returns the memory of running work with its prompts."""
        return sum(h.work.tokens_in + h.work.tokens_out for h in self.assigned_by_id.values())

    def has_capacity(self, work: WorkItem) -> bool:
        """Tells whether a slot and memory are free."""
        if len(self.assigned_by_id) >= self.slots:
            return False
        room = self.kv_capacity_tokens * USABLE_KV_SHARE - self.total_tokens()
        return not self.assigned_by_id or work.tokens_in + work.tokens_out <= room

    def is_usable(self, now: float) -> bool:
        """Tells whether the engine may get new work."""
        return not self.load.is_down(now) and not self.is_overdue(now)

    def is_overdue(self, now: float) -> bool:
        """Tells whether the engine owes a first token and has been silent for long."""
        if now - self.last_response_at < FIRST_TOKEN_OVERDUE_S:
            return False
        return any(
            not held.has_first_token and now > held.expected_first_token_at + FIRST_TOKEN_OVERDUE_S
            for held in self.assigned_by_id.values()
        )

    def short_streams(self) -> int:
        """Returns how many streams with short prompts, which reading would hold up, run there."""
        return sum(held.is_short for held in self.assigned_by_id.values())

    def min_gap_target_s(self) -> float | None:
        """Returns the smallest gap target of the streams that run there."""
        return min(
            (h.work.gap_target_s for h in self.assigned_by_id.values() if h.has_first_token),
            default=None,
        )

    def prefill_backlog_s(self, now: float) -> float:
        """Returns how long the engine still reads what was sent to it."""
        return self.prefill_schedule.free_at(now) - now
