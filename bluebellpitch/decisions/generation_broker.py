"""Schedules generation requests on the engines of one pool in one zone.

Short prompts are dispatched at once, preferably to engines with little prefill. Long prompts go
where their prefill delays few streams, and are queued until the pacing of an engine admits them.
A long prompt that waits for one engine leaves the others to those behind it.
The order of the queue is in ``shortage.queue_order``. A request that cannot start before its start
deadline is refused as soon as that is known.
"""

from collections.abc import Iterable, Iterator, Mapping

from bluebellpitch.decisions.decision_inputs import describe_grant, describe_refusal
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.engine_placement import (
    DEFAULT_POOL_GAP_TARGET_S,
    DELAYED_STREAM_COST,
    EnginePlacement,
)
from bluebellpitch.decisions.engine_reservations import EngineReservations
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
from bluebellpitch.decisions.return_schedule import (
    MIN_RETRY_AFTER_S,
    PlannedReturn,
    ReturnSchedule,
)
from bluebellpitch.decisions.shortage.fair_shares import FairShares
from bluebellpitch.decisions.shortage.queue_order import QueueOrder
from bluebellpitch.decisions.shortage.waiting_queue import WaitingQueue

# Work whose end was never reported is dropped this long after its deadline.
EXPIRY_GRACE_S = 2.0
# A stream adjusts the prefill share only if its engine was this busy with prefill recently.
MIN_PREFILL_ACTIVITY = 0.15
LONG_EWMA_WEIGHT = 0.1
NO_ENGINE = "no_engine_here"
NO_ENGINE_RETURN = PlannedReturn(MIN_RETRY_AFTER_S, False)


class GenerationBroker:
    """Schedules one pool in one zone. Callers pass the current time as ``now``."""

    def __init__(self, pool: str):
        self.pool = pool
        self.placement = EnginePlacement()
        self._queue = WaitingQueue()
        self._engine_by_work_id: dict[str, EngineState] = {}
        self._mean_long_tokens = 0.0
        self._uncached_share = 1.0
        self._paused_until = float("-inf")
        self._returns = ReturnSchedule()
        self.shares = FairShares()

    @property
    def waiting_by_id(self) -> Mapping[str, WaitingWork]:
        """The queued work."""
        return self._queue.by_id

    def set_engines(
        self,
        entries: Iterable[EndpointEntry],
        slots: int,
        kv_capacity_tokens: int,
        gap_target_s: float | None,
    ) -> None:
        """Replaces the engines; incarnations that stay keep their state."""
        placement = self.placement
        placement.gap_target_s = gap_target_s or DEFAULT_POOL_GAP_TARGET_S
        engines = {}
        for entry in entries:
            key = (entry.id, entry.started_ms)
            state = placement.engines_by_key.get(key)
            state = state or EngineState(entry, slots, kv_capacity_tokens)
            state.entry, state.slots, state.kv_capacity_tokens = entry, slots, kv_capacity_tokens
            engines[key] = state
        placement.engines_by_key = engines

    def long_prompt_cost_s(self, work: WorkItem, avoid: frozenset[str], now: float) -> float:
        """Returns the cost of a long prompt in this zone, including the wait in the queue."""
        engines = self.placement.candidates(work, avoid, now)
        if not engines:
            return float("inf")
        best = min(self.placement.cost_s(engine, work, now) for engine in engines)
        order = self._queue_order(now, work.member)
        return best + self._queue_wait_s(WaitingWork(work, "", avoid), order, engines, now)

    def estimate_long_prompt_cost(self, now: float) -> LongPromptCost:
        """Returns the cost of a long prompt without cached parts, as reported to other zones."""
        tokens = max(1, int(self._mean_long_tokens))
        work = WorkItem(
            "", self.pool, 1 << 20, tokens, 1, (), 1.0, self.placement.gap_target_s, now, now + 1.0
        )
        engines = self.placement.candidates(work, frozenset(), now)
        if not engines:
            return LongPromptCost(float("inf"), 0.0)
        engine = min(engines, key=lambda engine: self.placement.cost_s(engine, work, now))
        s_per_token = self.placement.speed.s_per_token * self.placement.slowdown(engine, now)
        s_per_token *= 1 + engine.short_streams() * DELAYED_STREAM_COST
        cost_s = self.placement.cost_s(engine, work, now) - tokens * s_per_token
        waiting, order = WaitingWork(work, "", frozenset()), self._queue_order(now)
        queue_wait_s = self._queue_wait_s(waiting, order, engines, now)
        return LongPromptCost(cost_s + queue_wait_s, s_per_token)

    def submit(self, work: WorkItem, vm: str, avoid: frozenset[str], now: float) -> list[Decision]:
        """Queues an item, after freeing any engine held under its id; returns the decisions."""
        if work.id in self._engine_by_work_id:
            self.finish(work.id, "withdrawn", now)
        kept = self._returns.take_room(work, now)
        waiting = WaitingWork(work, vm, avoid, kept and kept.asked_at)
        if kept is None:
            self.shares.record_asked(work, now)
        if not self.placement.is_short_prompt(work):
            self._mean_long_tokens += LONG_EWMA_WEIGHT * (work.tokens_in - self._mean_long_tokens)
        order = self._queue_order(now, work.member)
        wait_s = self._expected_wait_s(waiting, order, now)
        if now + wait_s > waiting.start_deadline():
            if not self.placement.has_usable_engine(now):
                return [self._refuse(waiting, NO_ENGINE, wait_s, NO_ENGINE_RETURN, order)]
            planned = self._plan_return(waiting, now + wait_s - waiting.start_deadline(), order)
            return [self._refuse(waiting, "no_capacity_in_time", wait_s, planned, order)]
        self._queue.add(waiting, order)
        decisions = list(self.schedule(now))
        return [*decisions, Queued(work.id, vm)] if work.id in self.waiting_by_id else decisions

    def _refuse(
        self,
        waiting: WaitingWork,
        reason: str,
        wait_s: float,
        planned: PlannedReturn,
        order: QueueOrder,
    ) -> Refused:
        work = waiting.work
        inputs = describe_refusal(
            work,
            wait_s,
            len(self.waiting_by_id),
            len(self.placement.engines_by_key),
            order.is_over_share(waiting),
            planned,
        )
        return Refused(work.id, waiting.vm, reason, planned.retry_after_s, inputs)

    def _plan_return(self, waiting: WaitingWork, busy_s: float, order: QueueOrder) -> PlannedReturn:
        """Plans the return of a refused caller; room is kept only within its member's share."""
        work, now = waiting.work, order.now
        if order.is_over_share(waiting):
            busy_s = float("inf")
        prompt_s = work.tokens_in * self._uncached_share * self.pool_s_per_token(now)
        return self._returns.plan(work, waiting.asked_at, busy_s, prompt_s, now)

    def _queue_order(self, now: float, *members: str) -> QueueOrder:
        over_share = self.shares.members_over_share(self._queue.members() | set(members), now)
        return QueueOrder(self.placement.speed, over_share, now)

    def expected_wait_s(self, work: WorkItem, avoid: frozenset[str], now: float) -> float:
        """Returns the expected wait for an engine, including the wait in the queue."""
        order = self._queue_order(now, work.member)
        return self._expected_wait_s(WaitingWork(work, "", avoid), order, now)

    def _expected_wait_s(self, waiting: WaitingWork, order: QueueOrder, now: float) -> float:
        work, avoid = waiting.work, waiting.avoid
        engines = self.placement.candidates(work, avoid, now)
        if not engines:
            return float("inf")
        best = min(self.placement.start_wait_s(engine, work, now) for engine in engines)
        best += self._limited_queue_wait_s(work, engines, now)
        return (
            best
            if self.placement.is_short_prompt(work)
            else best + self._queue_wait_s(waiting, order, engines, now)
        )

    def _limited_queue_wait_s(
        self, work: WorkItem, engines: list[EngineState], now: float
    ) -> float:
        s_per_request = self.placement.limited_queue_wait_s(engines, 1, now)
        ahead = s_per_request and sum(
            other.work.rank <= work.rank for other in self.waiting_by_id.values()
        )
        return s_per_request * ahead

    def _queue_wait_s(
        self, waiting: WaitingWork, order: QueueOrder, engines: list[EngineState], now: float
    ) -> float:
        """Returns how long the prefill of queued items that go first takes."""
        tokens_ahead = self._queue.tokens_ahead(waiting, order) * self._uncached_share
        s_per_token = self.placement.queue_s_per_token(engines, self._mean_long_tokens, now)
        return tokens_ahead * s_per_token

    def pool_s_per_token(self, now: float) -> float:
        """Returns the time that all engines together need per token of queued prompts."""
        engines = self.placement.engines_by_key.values()
        return self.placement.queue_s_per_token(engines, self._mean_long_tokens, now)

    def pause(self, until: float) -> None:
        """Grants nothing until then, while VMs report the work that engines already have."""
        self._paused_until = until

    def adopt(
        self, engine_key: tuple[str, int], work: WorkItem, vm: str, started: bool, now: float
    ):
        """Counts work that another broker granted; ``started`` is set once it has a first token.

        Its VM has an engine and waits here no more: a second grant would hide the first.
        """
        engine = self.placement.engines_by_key.get(engine_key)
        if engine is None or work.id in self._engine_by_work_id:
            return
        self._queue.remove(work.id)
        self.shares.record_asked(work, now)
        self.shares.record_granted(work, now)
        if not started:
            engine.record_prefill(self.placement.prefill_s(engine, work, now), now)
        engine.cache_prompt(work)
        first_token_at = engine.prefill_schedule.free_at(now) + self.placement.speed.fixed_s
        engine.assigned_by_id[work.id] = AssignedWork(
            work,
            vm,
            work.tokens_in,
            first_token_at,
            False,
            self.placement.is_short_prompt(work),
            started,
        )
        self._engine_by_work_id[work.id] = engine

    def schedule(self, now: float) -> Iterator[Decision]:
        """Yields the grants and refusals that are due.

        The consumer of a decision may call this again before it takes the next one, so each item
        is checked to be still queued.
        """
        if now < self._paused_until:
            return
        reserved = EngineReservations(self.placement, now)
        order, queued_by_id = self._queue_order(now), self._queue.by_id
        for waiting in reserved.worth_trying(self._queue.in_order(order)):
            if queued_by_id.get(waiting.work.id) is not waiting:
                continue
            if (engine := reserved.pick_engine(waiting)) is not None:
                yield self._grant(engine, waiting, now)
        yield from self._refuse_expired(order, now)

    def _refuse_expired(self, order: QueueOrder, now: float) -> Iterator[Refused]:
        for waiting in self._queue.overdue(now):
            work = waiting.work
            if self.waiting_by_id.get(work.id) is waiting:
                self._queue.remove(work.id)
                planned = self._plan_return(waiting, 0.0, order)
                yield self._refuse(
                    waiting, "waited_too_long", now - work.arrived_at, planned, order
                )

    def _grant(self, engine: EngineState, waiting: WaitingWork, now: float) -> Granted:
        work = waiting.work
        self._queue.remove(work.id)
        inputs = describe_grant(engine, work, self.placement, now)
        self._assign(engine, waiting, now)
        limit = self.placement.limits.find(engine.key, now)
        return Granted(work.id, waiting.vm, engine.entry, inputs, limit and limit.rate_per_s)

    def _assign(self, engine: EngineState, waiting: WaitingWork, now: float) -> None:
        work = waiting.work
        uncached = engine.uncached_tokens(work)
        is_short = self.placement.is_short_prompt(work)
        if not is_short:
            share = uncached / work.tokens_in
            self._uncached_share += LONG_EWMA_WEIGHT * (share - self._uncached_share)
        prefill_s = self.placement.prefill_s(engine, work, now)
        alone = engine.prefill_backlog_s(now) <= 0
        self.placement.limits.take_turn(engine.key, now)
        self.shares.record_granted(work, now)
        engine.record_prefill(prefill_s, now)
        first_token_at = engine.prefill_schedule.free_at(now) + self.placement.speed.fixed_s
        first_token_at += work.spillover_delay_s
        engine.cache_prompt(work)
        engine.assigned_by_id[work.id] = AssignedWork(
            work, waiting.vm, uncached, first_token_at, alone, is_short
        )
        self._engine_by_work_id[work.id] = engine

    def record_first_token(self, work_id: str, ttft_s: float, slowdown: float, now: float) -> None:
        """Records the first token of a work item, ``ttft_s`` after it was sent."""
        engine = self._engine_by_work_id.get(work_id)
        assigned = engine.assigned_by_id.get(work_id) if engine else None
        if assigned is None:
            return
        engine.last_response_at = now
        engine.load.record_outcome(False, now)
        engine.load.record_slowdown(slowdown, now)
        self.placement.record_prefill(engine, assigned, ttft_s, now)
        engine.record_first_token(assigned, self.placement.speed.fixed_s, now)

    def finish(self, work_id: str, outcome: str, now: float, longest_gap_s: float = 0.0) -> None:
        """Removes an ended item; ``ok``, ``failed`` or ``unreachable`` count for its engine."""
        self._queue.remove(work_id)
        engine = self._engine_by_work_id.pop(work_id, None)
        if engine is None:
            return
        assigned = engine.assigned_by_id.pop(work_id, None)
        if (
            assigned
            and assigned.has_first_token
            and engine.prefill_activity(now) > MIN_PREFILL_ACTIVITY
        ):
            share = self.placement.stream_share(assigned.is_short)
            share.record_stream(longest_gap_s > assigned.work.gap_target_s)
        if outcome == "ok":
            engine.last_response_at = now
        elif outcome == "failed":
            engine.load.record_outcome(True, now)
        elif outcome == "unreachable":
            engine.load.record_unreachable(now)

    def record_limit(
        self, engine_key: tuple[str, int], limit_per_s: float | None, now: float
    ) -> bool:
        """Records what an engine named, None for no limit; returns whether that is a change.

        The broker of its zone grants all that the engine takes, so the whole limit is its share.
        """
        return self.placement.limits.record(engine_key, limit_per_s, 1.0, now)

    def remove_vm(self, vm: str) -> None:
        """Removes all work of a lost VM."""
        for work_id, waiting in list(self.waiting_by_id.items()):
            if waiting.vm == vm:
                self._queue.remove(work_id)
        for work_id, engine in list(self._engine_by_work_id.items()):
            if engine.assigned_by_id[work_id].vm == vm:
                del engine.assigned_by_id[work_id], self._engine_by_work_id[work_id]

    def expire(self, now: float) -> None:
        """Removes work past its deadline whose end was never reported, and what is outdated."""
        self.shares.expire(now)
        self._returns.expire(now)
        for work_id, engine in list(self._engine_by_work_id.items()):
            if now > engine.assigned_by_id[work_id].work.expires_at + EXPIRY_GRACE_S:
                del engine.assigned_by_id[work_id], self._engine_by_work_id[work_id]
