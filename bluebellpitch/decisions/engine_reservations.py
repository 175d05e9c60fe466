"""Which engine each queued prompt waits for, so that the others stay open to those behind it.

Load pattern: a queue of long prompts while pacing or the cache makes the first of them wait for a
certain engine and other engines are idle.
"""

from collections.abc import Iterable, Iterator

from bluebellpitch.decisions.engine_placement import START_TOLERANCE_S, EnginePlacement
from bluebellpitch.decisions.engine_state import EngineState
from bluebellpitch.decisions.generation_decisions import WaitingWork
from bluebellpitch.decisions.loads import WorkItem

# A pass ends for long prompts once so many of them have to wait.
MAX_WAITING_PROMPTS = 4


class EngineReservations:
    """One pass over a queue, in its order, at the time ``now``.

    A long prompt that has to wait reserves the engine where it costs least. Later ones add its
    prefill to their cost there, and do not start on that engine before it. Short prompts, which
    are not paced, ignore reservations.

    Only the first long prompt is placed while no engine has an opening, and no short one while none
    has a free turn. Neither comes back within a pass, so that a pass over a long queue costs
    little when nothing can start.
    """

    def __init__(self, placement: EnginePlacement, now: float):
        self._placement = placement
        self._now = now
        self._reserved_s_by_engine: dict[tuple[str, int], float] = {}
        self._waiting_count = 0
        self._has_openings = True
        self._has_turns = True

    def worth_trying(self, queue: Iterable[WaitingWork]) -> Iterator[WaitingWork]:
        """Yields the work of a queue that may start, as far as the pass has seen until then."""
        s_per_token = self._placement.speed.s_per_token
        short_prefill_s = self._placement.short_prefill_s()
        for waiting in queue:
            is_short = waiting.work.tokens_in * s_per_token <= short_prefill_s
            if self._has_turns if is_short else self._has_openings:
                yield waiting

    def pick_engine(self, waiting: WaitingWork) -> EngineState | None:
        """Returns the engine on which the next work of the queue can start now, if any."""
        if self._placement.is_short_prompt(waiting.work):
            return self._pick_for_short_prompt(waiting)
        if self._waiting_count and not self._may_look_further():
            return None
        engine = self._pick_for_long_prompt(waiting)
        self._waiting_count += engine is None
        return engine

    def _may_look_further(self) -> bool:
        self._has_openings = self._waiting_count < MAX_WAITING_PROMPTS and any(
            engine.key not in self._reserved_s_by_engine
            and self._placement.has_opening(engine, self._now)
            for engine in self._placement.engines_by_key.values()
        )
        return self._has_openings

    def _pick_for_short_prompt(self, waiting: WaitingWork) -> EngineState | None:
        work, now = waiting.work, self._now
        engines = self._placement.candidates(work, waiting.avoid, now)
        engine = min(engines, key=lambda e: self._placement.cost_s(e, work, now), default=None)
        if engine is not None and self._can_start(engine, work):
            return engine
        engines = self._placement.engines_by_key.values()
        self._has_turns = any(self._placement.has_turn(engine, now) for engine in engines)
        return None

    def _pick_for_long_prompt(self, waiting: WaitingWork) -> EngineState | None:
        work = waiting.work
        engines = self._placement.candidates(work, waiting.avoid, self._now)
        if not engines:
            self._reserve_full_engines(waiting)
            return None
        engine = min(engines, key=lambda engine: self._cost_s(engine, work))
        if engine.key not in self._reserved_s_by_engine and self._can_start(engine, work):
            return engine
        self._reserve(engine, work)
        return None

    def _cost_s(self, engine: EngineState, work: WorkItem) -> float:
        reserved_s = self._reserved_s_by_engine.get(engine.key, 0.0)
        return reserved_s + self._placement.cost_s(engine, work, self._now)

    def _can_start(self, engine: EngineState, work: WorkItem) -> bool:
        return self._placement.start_wait_s(engine, work, self._now) <= START_TOLERANCE_S

    def _reserve(self, engine: EngineState, work: WorkItem) -> None:
        reserved_s = self._reserved_s_by_engine.get(engine.key, 0.0)
        prefill_s = self._placement.prefill_s(engine, work, self._now)
        self._reserved_s_by_engine[engine.key] = reserved_s + prefill_s

    def _reserve_full_engines(self, waiting: WaitingWork) -> None:
        """Keeps the next free slot or memory of any engine for work that has no room now."""
        for engine in self._placement.engines_by_key.values():
            if engine.entry.id not in waiting.avoid:
                self._reserve(engine, waiting.work)
