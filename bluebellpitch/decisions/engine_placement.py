"""Where a prompt would start soonest, and what that costs the other streams of a zone's engines.

Short prompts prefer engines with little prefill; long ones go where their prefill delays few
streams, paced by the share of time that an engine may spend on prefill.
"""

from collections.abc import Iterable

from bluebellpitch.decisions.engine_speeds import usual_slowdown
from bluebellpitch.decisions.engine_state import AssignedWork, EngineState
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.named_limits import NamedLimits
from bluebellpitch.decisions.prefill import (
    DEFAULT_PREFILL_SHARE,
    MAX_PREFILL_SHARE,
    MIN_EVENT_S,
    PrefillShare,
    PrefillSpeed,
)

# A prompt is short, and its prefill not paced, if it takes at most this share of the gap target.
SHORT_PREFILL_SHARE = 0.12
# Used for pools without a configured gap target.
DEFAULT_POOL_GAP_TARGET_S = 0.4
# Initial share of a gap target that prefill may take at engines without short streams.
INITIAL_LONG_STREAM_SHARE = 0.9
# Prefill backlog at which an engine that is not paced still gets another prompt.
UNPACED_BACKLOG_S = 0.1
# Work whose wait for an engine is at most this long starts there at once.
START_TOLERANCE_S = 0.001
# Engines with a slowdown above this do not count for the speed of the pool.
MAX_USUAL_SLOWDOWN = 1.5
# Nor do samples of engines whose responses name a slowdown above this.
MAX_NAMED_SLOWDOWN = 1.1
# Placement costs, in seconds of time to first token (or per second of prefill, without _S).
# Of each request that runs on the engine.
RUNNING_REQUEST_COST_S = 0.003
# For a short prompt: of an engine that spends all its time on prefill.
BUSY_PREFILL_COST_S = 0.4
# For a short prompt: of a turn at an engine that names a limit, which a long one could use.
LIMITED_TURN_COST_S = 0.3
# For a long prompt: of each short stream that its prefill delays, per second of prefill.
DELAYED_STREAM_COST = 0.3
# For a long prompt: per second of prefill for shared parts that another engine may have cached.
CACHE_MISS_COST = 2.0
# Of a failure rate of 1.
FAILURE_COST_S = 1.0


class EnginePlacement:
    """The engines of one pool in one zone. Callers pass the current time as ``now``."""

    def __init__(self):
        self.speed = PrefillSpeed()
        self.gap_target_s = DEFAULT_POOL_GAP_TARGET_S
        self.engines_by_key: dict[tuple[str, int], EngineState] = {}
        self.limits = NamedLimits()
        self._usual_slowdown = 1.0
        self.short_stream_share = PrefillShare()
        self.long_stream_share = PrefillShare(INITIAL_LONG_STREAM_SHARE)

    def has_usable_engine(self, now: float) -> bool:
        """Returns whether any engine accepts new work, regardless of free capacity."""
        return any(engine.is_usable(now) for engine in self.engines_by_key.values())

    def cache_miss_cost_s(self, work: WorkItem) -> float:
        """Returns the cost of prefilling the shared parts of a prompt without a cache hit."""
        shared = work.tokens_in - self.unshared_tokens(work)
        return shared * self.speed.s_per_token * CACHE_MISS_COST

    def unshared_tokens(self, work: WorkItem) -> int:
        """Returns the number of prompt tokens that no engine can have cached."""
        return work.parts[-1][1] if work.parts else work.tokens_in

    def short_prompt_cost_s(self, now: float) -> float:
        """Returns the lowest cost of a short prompt in this zone."""
        work = WorkItem("", "", 0, 1, 1, (), 1.0, self.gap_target_s, now, now + 1.0)
        engines = self.candidates(work, frozenset(), now)
        return min((self.cost_s(engine, work, now) for engine in engines), default=float("inf"))

    def is_short_prompt(self, work: WorkItem) -> bool:
        """Returns whether the prefill is so fast that it need not be paced."""
        return self.is_short_length(work.tokens_in)

    def is_short_length(self, tokens: int) -> bool:
        """Does the same for a number of prompt tokens."""
        return tokens * self.speed.s_per_token <= self.short_prefill_s()

    def candidates(self, work: WorkItem, avoid: frozenset[str], now: float) -> list[EngineState]:
        """Returns the engines that could take the work."""
        return [
            engine
            for engine in self.engines_by_key.values()
            if engine.entry.id not in avoid and engine.is_usable(now) and engine.has_capacity(work)
        ]

    def prefill_s(self, engine: EngineState, work: WorkItem, now: float) -> float:
        """Returns how long the engine takes to prefill the prompt."""
        s_per_token = self.speed.s_per_token * self.slowdown(engine, now)
        return engine.uncached_tokens(work) * s_per_token

    def slowdown(self, engine: EngineState, now: float) -> float:
        """Returns how many times longer prefill takes here than at the pool's usual engine."""
        named = engine.load.slowdown(now)
        return engine.speed.slowdown(self._usual_slowdown, named, now)

    def record_prefill(
        self, engine: EngineState, assigned: AssignedWork, since_sent_s: float, now: float
    ) -> None:
        """Records the first token of a prompt, for the speeds of the engine and of the pool."""
        if not assigned.is_short:
            s_per_token = self.speed.s_per_token * engine.load.slowdown(now)
            expected_s = assigned.uncached_tokens * s_per_token
            engine.speed.record_first_token(
                expected_s, since_sent_s, self.speed.fixed_s, now - assigned.report_delay_s
            )
            self._compare_engines()
        if (
            assigned.prefilled_alone
            and not assigned.work.spillover_delay_s
            and self._has_usual_speed(engine, now)
        ):
            self._add_speed_sample(assigned.uncached_tokens, since_sent_s)

    def _add_speed_sample(self, tokens: int, seconds: float) -> None:
        """Corrects the speed of the pool, and by it what was expected of all engines so far."""
        before = self.speed.s_per_token
        self.speed.add_sample(tokens, seconds)
        for engine in self.engines_by_key.values():
            engine.speed.correct_expected(self.speed.s_per_token / before)
        self._compare_engines()

    def _compare_engines(self) -> None:
        speeds = [engine.speed for engine in self.engines_by_key.values()]
        self._usual_slowdown = usual_slowdown(speeds)

    def _has_usual_speed(self, engine: EngineState, now: float) -> bool:
        is_named_slow = engine.load.slowdown(now) > MAX_NAMED_SLOWDOWN
        return not is_named_slow and self.slowdown(engine, now) <= MAX_USUAL_SLOWDOWN

    def start_wait_s(self, engine: EngineState, work: WorkItem, now: float) -> float:
        """Returns how long the work has to wait before it may be sent to the engine."""
        return self._prefill_wait_s(engine, self.prefill_s(engine, work, now), now)

    def _prefill_wait_s(self, engine: EngineState, prefill_s: float, now: float) -> float:
        limit_wait_s = self.limits.wait_s(engine.key, now)
        if prefill_s <= self.short_prefill_s():
            return limit_wait_s
        return max(limit_wait_s, self._pacing_wait_s(engine, prefill_s, now))

    def has_opening(self, engine: EngineState, now: float) -> bool:
        """Returns whether the shortest prompt that is paced could start on the engine now."""
        if not self.has_turn(engine, now):
            return False
        return self._pacing_wait_s(engine, self.short_prefill_s(), now) <= START_TOLERANCE_S

    def has_turn(self, engine: EngineState, now: float) -> bool:
        """Returns whether a prompt that is not paced could start on the engine now."""
        if not engine.is_usable(now) or len(engine.assigned_by_id) >= engine.slots:
            return False
        return self.limits.wait_s(engine.key, now) <= START_TOLERANCE_S

    def short_prefill_s(self) -> float:
        """Returns the longest prefill that is not paced."""
        return SHORT_PREFILL_SHARE * self.gap_target_s

    def _pacing_wait_s(self, engine: EngineState, prefill_s: float, now: float) -> float:
        gap_target_s = engine.min_gap_target_s()
        share = self.prefill_share(engine).value
        if gap_target_s is None or share >= MAX_PREFILL_SHARE:
            return max(0.0, engine.prefill_backlog_s(now) - UNPACED_BACKLOG_S)
        if overdue_s := engine.prefill_overdue_s(now):
            return max(overdue_s, MIN_EVENT_S)
        return engine.prefill_schedule.start_wait_s(
            prefill_s, gap_target_s, share, now, self.event_s()
        )

    def event_s(self) -> float:
        """Returns how long the engines need for an event of each stream.

        That is about the time to the first event of an empty prompt.
        """
        return max(MIN_EVENT_S, self.speed.fixed_s)

    def limited_queue_wait_s(
        self, engines: list[EngineState], requests_ahead: int, now: float
    ) -> float:
        """Returns how long queued requests take to be sent if all engines name a limit, else 0."""
        limits = [self.limits.find(engine.key, now) for engine in engines]
        if any(limit is None for limit in limits):
            return 0.0
        return requests_ahead / sum(1 / limit.interval_s for limit in limits)

    def prefill_share(self, engine: EngineState) -> PrefillShare:
        """Returns the share of its time that the engine may spend on prefill."""
        return self.stream_share(engine.short_streams() > 0)

    def stream_share(self, is_short: bool) -> PrefillShare:
        """Returns the share of prefill that streams of short or of long prompts allow."""
        return self.short_stream_share if is_short else self.long_stream_share

    def cost_s(self, engine: EngineState, work: WorkItem, now: float) -> float:
        """Returns the cost of the work at an engine, in seconds of time to first token."""
        prefill_s = self.prefill_s(engine, work, now)
        start_wait_s = self._prefill_wait_s(engine, prefill_s, now)
        wait_s = max(start_wait_s, engine.prefill_backlog_s(now))
        running_s = len(engine.assigned_by_id) * RUNNING_REQUEST_COST_S
        failure_s = engine.load.recent_failure_rate(now) * FAILURE_COST_S
        if self.is_short_prompt(work):
            penalty_s = engine.prefill_activity(now) * BUSY_PREFILL_COST_S
            if self.limits.find(engine.key, now) is not None:
                penalty_s += LIMITED_TURN_COST_S
        else:
            penalty_s = prefill_s * engine.short_streams() * DELAYED_STREAM_COST
            penalty_s += engine.uncached_shared(work) * self.speed.s_per_token * CACHE_MISS_COST
        return wait_s + prefill_s + running_s + failure_s + penalty_s

    def queue_s_per_token(
        self, engines: Iterable[EngineState], mean_tokens: float, now: float
    ) -> float:
        """Returns the time that these engines together need per token of queued prompts.

        Each spends the default share of its time on prefill, and no more than its limit admits of
        prompts of ``mean_tokens``.
        """
        s_per_token = self.speed.s_per_token / DEFAULT_PREFILL_SHARE
        tokens_per_s = sum(
            min(
                1 / (s_per_token * self.slowdown(engine, now)),
                self._limited_tokens_per_s(engine, mean_tokens, now),
            )
            for engine in engines
        )
        return 1 / tokens_per_s if tokens_per_s else s_per_token

    def _limited_tokens_per_s(self, engine: EngineState, mean_tokens: float, now: float) -> float:
        limit = self.limits.find(engine.key, now)
        return float("inf") if limit is None else max(1.0, mean_tokens) / limit.interval_s
