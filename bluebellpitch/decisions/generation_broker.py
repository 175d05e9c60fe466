"""The broker of one pool of engines in one zone: which generation goes where, and when.

Short prompts go at once, to engines that read little; long ones go where few streams would be held
up, and wait until an engine may read them. Waiting work is served by rank, then in time before
late, then by age. Work that cannot start within its patience is refused as soon as that is clear.
"""

from collections.abc import Iterable, Iterator

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.engine_state import AssignedWork, EngineState
from bluebellpitch.decisions.generation_decisions import (
    Decision,
    Granted,
    LongPromptCost,
    Queued,
    Refused,
    WaitingWork,
)
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.prefill import (
    DEFAULT_PREFILL_SHARE,
    MAX_PREFILL_SHARE,
    PrefillShare,
    PrefillSpeed,
)

# A prompt that takes at most this part of a gap to read is not paced.
SHORT_PREFILL_SHARE = 0.12
# Where no gap is declared, this stands in for it.
DEFAULT_GAP_TARGET_S = 0.4
# Reading that may be planned at an engine where no stream runs.
UNPACED_BACKLOG_S = 0.1
# Costs, as seconds of waiting for the first token: of one running request; for a short prompt, of
# an engine that reads all the time; for each second of reading, of each stream that it holds up; of
# each second in which parts are read that another engine may keep.
RUNNING_REQUEST_COST_S = 0.003
BUSY_PREFILL_COST_S = 0.4
DELAYED_STREAM_COST = 0.3
CACHE_MISS_COST = 2.0
FAILURE_COST_S = 1.0
EXPIRY_GRACE_S = 2.0
# Gaps count against reading at engines that read for this part of the recent time.
MIN_PREFILL_ACTIVITY = 0.15
MIN_RETRY_AFTER_S = 0.3
LONG_EWMA_WEIGHT = 0.1
NO_ENGINE = "no_engine_here"
MAX_RETRY_AFTER_S = 3.0


class GenerationBroker:
    """Decides for one pool in one zone. The caller gives the present time."""

    def __init__(self, pool: str):
        self.pool = pool
        self.speed = PrefillSpeed()
        self.gap_target_s = DEFAULT_GAP_TARGET_S
        self.waiting_by_id: dict[str, WaitingWork] = {}
        self._engines: dict[tuple[str, int], EngineState] = {}
        self._engine_by_work_id: dict[str, EngineState] = {}
        self._mean_long_tokens = 0.0
        self.short_stream_share = PrefillShare()
        self.long_stream_share = PrefillShare(MAX_PREFILL_SHARE)

    def set_engines(
        self,
        entries: Iterable[EndpointEntry],
        slots: int,
        kv_capacity_tokens: int,
        gap_target_s: float | None,
    ) -> None:
        """Takes the engines that there are."""
        self.gap_target_s = gap_target_s or DEFAULT_GAP_TARGET_S
        engines = {}
        for entry in entries:
            key = (entry.id, entry.started_ms)
            state = self._engines.get(key) or EngineState(entry, slots, kv_capacity_tokens)
            state.entry, state.slots, state.kv_capacity_tokens = entry, slots, kv_capacity_tokens
            engines[key] = state
        self._engines = engines

    def has_usable_engine(self, now: float) -> bool:
        """Tells whether any engine here may get work, now or later."""
        return any(engine.is_usable(now) for engine in self._engines.values())

    def cache_miss_cost_s(self, work: WorkItem) -> float:
        """Returns the cost of reading the shared parts of a prompt again."""
        shared = work.tokens_in - self.unshared_tokens(work)
        return shared * self.speed.s_per_token * CACHE_MISS_COST

    def unshared_tokens(self, work: WorkItem) -> int:
        """Returns the part of a prompt that no engine can have kept."""
        return work.parts[-1][1] if work.parts else work.tokens_in

    def long_prompt_cost_s(self, work: WorkItem, avoid: frozenset[str], now: float) -> float:
        """Returns the cost of a long prompt here, behind what waits already."""
        engines = self._candidates(work, avoid, now)
        if not engines:
            return float("inf")
        best = min(self._cost_s(engine, work, now) for engine in engines)
        return best + self._queue_wait_s(work, len(engines))

    def estimate_long_prompt_cost(self, now: float) -> LongPromptCost:
        """Returns what a long prompt that no engine keeps would cost here."""
        tokens = max(1, int(self._mean_long_tokens))
        typical = WorkItem(
            "", self.pool, 1 << 20, tokens, 1, (), 1.0, self.gap_target_s, now, now + 1.0
        )
        engines = self._candidates(typical, frozenset(), now)
        if not engines:
            return LongPromptCost(float("inf"), 0.0)
        engine = min(engines, key=lambda engine: self._cost_s(engine, typical, now))
        s_per_token = self.speed.s_per_token * (1 + engine.short_streams() * DELAYED_STREAM_COST)
        cost_s = self._cost_s(engine, typical, now) - tokens * s_per_token
        return LongPromptCost(cost_s + self._queue_wait_s(typical, len(engines)), s_per_token)

    def pool_s_per_token(self) -> float:
        """Returns the reading time of a token when all engines here read as much as they may."""
        return self.speed.s_per_token / (DEFAULT_PREFILL_SHARE * max(1, len(self._engines)))

    def submit(self, work: WorkItem, vm: str, avoid: frozenset[str], now: float) -> list[Decision]:
        """Takes new work in; returns what is decided by that."""
        if work.id in self._engine_by_work_id:
            self.finish(work.id, "withdrawn", now)
        waiting = WaitingWork(work, vm, avoid)
        if not self.is_short_prompt(work):
            self._mean_long_tokens += LONG_EWMA_WEIGHT * (work.tokens_in - self._mean_long_tokens)
        expected = now + self.expected_wait_s(work, avoid, now)
        if expected == float("inf") and not self.has_usable_engine(now):
            inputs = self._describe_refusal(work, expected - now)
            return [Refused(work.id, vm, NO_ENGINE, MIN_RETRY_AFTER_S, inputs)]
        if expected > waiting.start_deadline():
            retry_s = self._retry_after(expected - now)
            inputs = self._describe_refusal(work, expected - now)
            return [Refused(work.id, vm, "no_capacity_in_time", retry_s, inputs)]
        self.waiting_by_id[work.id] = waiting
        decisions = list(self.schedule(now))
        if work.id in self.waiting_by_id:
            decisions.append(Queued(work.id, vm))
        return decisions

    def _retry_after(self, wait_s: float) -> float:
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s / 2))

    def expected_wait_s(self, work: WorkItem, avoid: frozenset[str], now: float) -> float:
        """Returns how long work would wait for an engine, behind what waits already."""
        engines = self._candidates(work, avoid, now)
        if not engines:
            return float("inf")
        best = min(self._start_wait_s(engine, work, now) for engine in engines)
        return best if self.is_short_prompt(work) else best + self._queue_wait_s(work, len(engines))

    def _queue_wait_s(self, work: WorkItem, engines: int) -> float:
        """Returns how long what waits before this work takes."""
        ahead = sum(
            waiting.work.tokens_in
            for waiting in self.waiting_by_id.values()
            if waiting.work.rank <= work.rank
        )
        return ahead * self.speed.s_per_token / (DEFAULT_PREFILL_SHARE * engines)

    def schedule(self, now: float) -> Iterator[Decision]:
        """Yields grants and refusals that are due.

        What follows from a decision may serve the queue again before the next one is asked for.
        """
        paced_waits = False
        for waiting in sorted(self.waiting_by_id.values(), key=lambda w: self._queue_order(w, now)):
            work = waiting.work
            if self.waiting_by_id.get(work.id) is not waiting:
                continue
            is_short_prompt = self.is_short_prompt(work)
            if paced_waits and not is_short_prompt:
                continue
            engine = self._pick_engine(waiting, now)
            if engine is not None:
                del self.waiting_by_id[work.id]
                inputs = self._describe_grant(engine, work, now)
                self._assign(engine, waiting, now)
                yield Granted(work.id, waiting.vm, engine.entry, inputs)
                continue
            paced_waits = paced_waits or not is_short_prompt
        yield from self._refuse_expired(now)

    def _describe_grant(self, engine: EngineState, work: WorkItem, now: float) -> dict[str, str]:
        """Returns what decided a grant, for the log."""
        return {
            "rank": str(work.rank),
            "waited_ms": f"{(now - work.arrived_at) * 1000:.0f}",
            "tokens": str(work.tokens_in),
            "unread": str(engine.uncached_tokens(work)),
            "reading_left_ms": f"{engine.prefill_backlog_s(now) * 1000:.0f}",
            "held": str(len(engine.assigned_by_id)),
            "tokens_per_ms": f"{0.001 / self.speed.s_per_token:.1f}",
            "fixed_ms": f"{self.speed.fixed_s * 1000:.0f}",
            "reading_share": f"{self._prefill_share(engine).value:.2f}",
        }

    def _describe_refusal(self, work: WorkItem, wait_s: float) -> dict[str, str]:
        """Returns what decided a refusal, for the log."""
        return {
            "rank": str(work.rank),
            "tokens": str(work.tokens_in),
            "expected_wait_s": f"{wait_s:.2f}",
            "waiting": str(len(self.waiting_by_id)),
            "engines": str(len(self._engines)),
        }

    def _refuse_expired(self, now: float) -> Iterator[Refused]:
        for waiting in list(self.waiting_by_id.values()):
            work = waiting.work
            if self.waiting_by_id.get(work.id) is waiting and now >= waiting.start_deadline():
                del self.waiting_by_id[work.id]
                inputs = self._describe_refusal(work, now - work.arrived_at)
                yield Refused(work.id, waiting.vm, "waited_too_long", MIN_RETRY_AFTER_S, inputs)

    def _queue_order(self, waiting: WaitingWork, now: float) -> tuple[int, bool, float]:
        work = waiting.work
        first_at = now + self.speed.fixed_s + work.tokens_in * self.speed.s_per_token
        return work.rank, first_at > work.arrived_at + work.target_s, work.arrived_at

    def is_short_prompt(self, work: WorkItem) -> bool:
        """Tells whether a prompt is read so fast that it need not be paced."""
        return self.is_short_length(work.tokens_in)

    def is_short_length(self, tokens: int) -> bool:
        """Tells the same of a number of prompt tokens."""
        return tokens * self.speed.s_per_token <= SHORT_PREFILL_SHARE * self.gap_target_s

    def _candidates(self, work: WorkItem, avoid: frozenset[str], now: float) -> list[EngineState]:
        return [
            engine
            for engine in self._engines.values()
            if engine.entry.id not in avoid and engine.is_usable(now) and engine.has_capacity(work)
        ]

    def _prefill_s(self, engine: EngineState, work: WorkItem) -> float:
        return engine.uncached_tokens(work) * self.speed.s_per_token * engine.load.slowdown

    def _start_wait_s(self, engine: EngineState, work: WorkItem, now: float) -> float:
        seconds = self._prefill_s(engine, work)
        if seconds <= SHORT_PREFILL_SHARE * self.gap_target_s:
            return 0.0
        gap_s = engine.min_gap_target_s()
        share = self._prefill_share(engine).value
        if gap_s is None or share >= MAX_PREFILL_SHARE:
            return max(0.0, engine.prefill_backlog_s(now) - UNPACED_BACKLOG_S)
        return engine.prefill_schedule.start_wait_s(seconds, gap_s, share, now)

    def _prefill_share(self, engine: EngineState) -> PrefillShare:
        return self.short_stream_share if engine.short_streams() else self.long_stream_share

    def _pick_engine(self, waiting: WaitingWork, now: float) -> EngineState | None:
        """Returns the engine with the least cost if the work may start there now."""
        work = waiting.work
        engines = self._candidates(work, waiting.avoid, now)
        if not engines:
            return None
        costs = [(self._cost_s(engine, work, now), index) for index, engine in enumerate(engines)]
        engine = engines[min(costs)[1]]
        return engine if self._start_wait_s(engine, work, now) <= 0.001 else None

    def _cost_s(self, engine: EngineState, work: WorkItem, now: float) -> float:
        wait_s = max(self._start_wait_s(engine, work, now), engine.prefill_backlog_s(now))
        reading_s = self._prefill_s(engine, work)
        crowding_s = len(engine.assigned_by_id) * RUNNING_REQUEST_COST_S
        failing_s = engine.load.recent_failure_rate(now) * FAILURE_COST_S
        if self.is_short_prompt(work):
            pauses_s = engine.prefill_activity(now) * BUSY_PREFILL_COST_S
        else:
            pauses_s = reading_s * engine.short_streams() * DELAYED_STREAM_COST
            pauses_s += engine.uncached_shared(work) * self.speed.s_per_token * CACHE_MISS_COST
        return wait_s + reading_s + crowding_s + failing_s + pauses_s

    def short_prompt_cost_s(self, now: float) -> float:
        """Returns the least cost of a usual short prompt here."""
        work = WorkItem("", self.pool, 0, 1, 1, (), 1.0, self.gap_target_s, now, now + 1.0)
        engines = self._candidates(work, frozenset(), now)
        return min((self._cost_s(engine, work, now) for engine in engines), default=float("inf"))

    def _assign(self, engine: EngineState, waiting: WaitingWork, now: float) -> None:
        work = waiting.work
        unread = engine.uncached_tokens(work)
        seconds = self._prefill_s(engine, work)
        read_alone = engine.prefill_backlog_s(now) <= 0
        engine.record_prefill(seconds, now)
        read_at = engine.prefill_schedule.free_at(now) + self.speed.fixed_s
        engine.cache_prompt(work)
        engine.assigned_by_id[work.id] = AssignedWork(
            work, waiting.vm, unread, read_at, read_alone, self.is_short_prompt(work)
        )
        self._engine_by_work_id[work.id] = engine

    def record_first_token(
        self, work_id: str, waited_s: float, slowdown: float, now: float
    ) -> None:
        """Notes the first token of work, ``waited_s`` after it was sent."""
        engine = self._engine_by_work_id.get(work_id)
        held = engine.assigned_by_id.get(work_id) if engine else None
        if held is None:
            return
        engine.last_response_at = now
        engine.load.record_outcome(False, now)
        engine.load.slowdown = max(1.0, slowdown)
        if held.prefilled_alone and slowdown <= 1.1:
            self.speed.add_sample(held.uncached_tokens, waited_s)
        held.has_first_token = True
        if all(other.has_first_token for other in engine.assigned_by_id.values()):
            engine.prefill_schedule.truncate(now)

    def finish(self, work_id: str, outcome: str, now: float, longest_gap_s: float = 0.0) -> None:
        """Notes that work has left its engine: ``ok``, ``failed``, ``unreachable``, ``refused``."""
        self.waiting_by_id.pop(work_id, None)
        engine = self._engine_by_work_id.pop(work_id, None)
        if engine is None:
            return
        held = engine.assigned_by_id.pop(work_id, None)
        if held and held.has_first_token and engine.prefill_activity(now) > MIN_PREFILL_ACTIVITY:
            share = self.short_stream_share if held.is_short else self.long_stream_share
            share.record_stream(longest_gap_s > held.work.gap_target_s)
        if outcome == "ok":
            engine.last_response_at = now
        elif outcome == "failed":
            engine.load.record_outcome(True, now)
        elif outcome == "unreachable":
            engine.load.record_unreachable(now)

    def remove_vm(self, vm: str) -> None:
        """Forgets all work of a VM that is gone."""
        for work_id, waiting in list(self.waiting_by_id.items()):
            if waiting.vm == vm:
                del self.waiting_by_id[work_id]
        for work_id, engine in list(self._engine_by_work_id.items()):
            if engine.assigned_by_id[work_id].vm == vm:
                del engine.assigned_by_id[work_id], self._engine_by_work_id[work_id]

    def expire(self, now: float) -> None:
        """Forgets work that must be over, in case its end was never told."""
        for work_id, engine in list(self._engine_by_work_id.items()):
            if now > engine.assigned_by_id[work_id].work.expires_at + EXPIRY_GRACE_S:
                del engine.assigned_by_id[work_id], self._engine_by_work_id[work_id]
