"""A broker's model of one engine: its running work, its KV cache and its prefill schedule."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.engine_speeds import EngineSpeed
from bluebellpitch.decisions.loads import EndpointLoad, WorkItem
from bluebellpitch.decisions.prefill import PrefillSchedule

# An engine gets no new work when a first token is this late and nothing else came in meanwhile.
FIRST_TOKEN_OVERDUE_S = 0.7
# Half-life of the recent prefill time of an engine.
PREFILL_HALF_LIFE_S = 1.0
# Share of an engine's KV capacity that assigned work may fill.
USABLE_KV_SHARE = 0.92


@dataclass(slots=True)
class AssignedWork:
    """Work at an engine. ``uncached_tokens`` is the part of its prompt that had to be prefilled.

    ``prefilled_alone`` marks a prompt whose prefill no other one overlapped, so that its time to
    first token is a sample of the prefill speed.
    """

    work: WorkItem
    vm: str
    uncached_tokens: int
    expected_first_token_at: float
    prefilled_alone: bool
    is_short: bool
    has_first_token: bool = False

    @property
    def report_delay_s(self) -> float:
        """How long a first token was under way to this broker; above 0 for another zone's work.

        The other half of the spillover delay passes before the prompt is at the engine.
        """
        return self.work.spillover_delay_s / 2


@dataclass(slots=True)
class EngineState:
    """One engine. Sizes in tokens, times in seconds of the owner's clock."""

    entry: EndpointEntry
    slots: int
    kv_capacity_tokens: int
    load: EndpointLoad = field(default_factory=EndpointLoad)
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    prefill_schedule: PrefillSchedule = field(default_factory=PrefillSchedule)
    assigned_by_id: dict[str, AssignedWork] = field(default_factory=dict)
    last_response_at: float = float("-inf")
    _recent_prefill_s: float = 0.0
    _recent_prefill_at: float = 0.0
    _cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _cached_tokens: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """The incarnation."""
        return self.entry.incarnation

    def record_prefill(self, seconds: float, now: float) -> None:
        """Schedules the prefill of a prompt and counts it as recent."""
        self._recent_prefill_s = self.prefill_activity(now) * PREFILL_HALF_LIFE_S + seconds
        self._recent_prefill_at = now
        self.prefill_schedule.append(seconds, now)
        for assigned in self.assigned_by_id.values():
            assigned.prefilled_alone = False

    def prefill_activity(self, now: float) -> float:
        """Returns the share of the recent time that prefill took, scheduled prefill included."""
        return (
            self._recent_prefill_s
            * 0.5 ** ((now - self._recent_prefill_at) / PREFILL_HALF_LIFE_S)
            / PREFILL_HALF_LIFE_S
        )

    def uncached_tokens(self, work: WorkItem) -> int:
        """Returns how many tokens of a prompt the engine has to prefill."""
        cached = 0
        for part, size in work.parts:
            if part not in self._cached_parts:
                break
            cached += size
        return max(1, work.tokens_in - cached)

    def uncached_shared(self, work: WorkItem) -> int:
        """Returns how many tokens the engine has to prefill that the prompt shares with others."""
        unshared = work.parts[-1][1] if work.parts else work.tokens_in
        return max(0, self.uncached_tokens(work) - unshared)

    def cache_prompt(self, work: WorkItem) -> None:
        """Adds the parts of a prompt to the cache; evicts the least recently used ones."""
        for part, size in work.parts:
            if part not in self._cached_parts:
                self._cached_tokens += size
            self._cached_parts[part] = size
            self._cached_parts.move_to_end(part)
        max_cached_tokens = self.kv_capacity_tokens - self.output_tokens()
        while self._cached_parts and self._cached_tokens > max_cached_tokens:
            _, size = self._cached_parts.popitem(last=False)
            self._cached_tokens -= size

    def output_tokens(self) -> int:
        """Returns the KV capacity that the output of assigned work needs."""
        return sum(assigned.work.tokens_out for assigned in self.assigned_by_id.values())

    def total_tokens(self) -> int:
        """Returns the KV capacity that assigned work needs, prompts included."""
        return sum(a.work.tokens_in + a.work.tokens_out for a in self.assigned_by_id.values())

    def has_capacity(self, work: WorkItem) -> bool:
        """Returns whether a slot and enough KV capacity are free; an idle engine takes any work."""
        if len(self.assigned_by_id) >= self.slots:
            return False
        free_tokens = self.kv_capacity_tokens * USABLE_KV_SHARE - self.total_tokens()
        return not self.assigned_by_id or work.tokens_in + work.tokens_out <= free_tokens

    def is_usable(self, now: float) -> bool:
        """Returns whether the engine may get new work."""
        return not self.load.is_down(now) and not self.is_overdue(now)

    def is_overdue(self, now: float) -> bool:
        """Returns whether a first token is overdue and the engine has been silent."""
        if now - self.last_response_at < FIRST_TOKEN_OVERDUE_S:
            return False
        return any(
            not assigned.has_first_token
            and now > assigned.expected_first_token_at + FIRST_TOKEN_OVERDUE_S
            for assigned in self.assigned_by_id.values()
        )

    def short_streams(self) -> int:
        """Returns how many streams of short prompts run here, which a prefill would delay."""
        return sum(assigned.is_short for assigned in self.assigned_by_id.values())

    def min_gap_target_s(self) -> float | None:
        """Returns the smallest gap target of the streams that have started, None without any."""
        return min(
            (a.work.gap_target_s for a in self.assigned_by_id.values() if a.has_first_token),
            default=None,
        )

    def prefill_backlog_s(self, now: float) -> float:
        """Returns how long the scheduled prefill still takes, at least as long as it is overdue."""
        return max(self.prefill_schedule.free_at(now) - now, self.prefill_overdue_s(now))

    def prefill_overdue_s(self, now: float) -> float:
        """Returns for how long a first token has been overdue, so that prefill still goes on.

        One that is overdue for very long was lost, and shows nothing about the others.
        """
        overdue_s = (
            now - assigned.expected_first_token_at
            for assigned in self.assigned_by_id.values()
            if not assigned.has_first_token
        )
        return max((s for s in overdue_s if 0.0 < s < FIRST_TOKEN_OVERDUE_S), default=0.0)

    def record_first_token(self, assigned: AssignedWork, fixed_s: float, now: float) -> None:
        """Records a first token; the last one that is due shows when the prefill ended."""
        assigned.has_first_token = True
        if all(other.has_first_token for other in self.assigned_by_id.values()):
            self.prefill_schedule.end_at(now - fixed_s - assigned.report_delay_s)
