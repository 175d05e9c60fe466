"""The broker of one pool of engines in one zone: which generation goes where, and when.

Short prompts go at once, to engines that read little; long ones go where few streams would be held
up, and wait until an engine may read them. Waiting work is served by rank, then in time before
late, then by age. Work that cannot start within its patience is refused as soon as that is clear.
"""

from collections.abc import Iterable, Iterator

from bluebellpitch.decisions.broker_answers import (
    Decision,
    Granted,
    LongOffer,
    Queued,
    Refused,
    WaitingWork,
)
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.engine_state import EngineState, HeldWork
from bluebellpitch.decisions.loads import Work
from bluebellpitch.decisions.reading import (
    READING_SHARE,
    WHOLE_SHARE,
    ReadingShare,
    ReadingSpeed,
)

# A prompt that takes at most this part of a gap to read is not paced.
SHORT_SHARE = 0.12
# Where no gap is declared, this stands in for it.
DEFAULT_GAP_S = 0.4
# Reading that may be planned at an engine where no stream runs.
UNSEEN_READING_S = 0.1
# Costs, as seconds of waiting for the first token: of one running request; for a short prompt, of
# an engine that reads all the time; for each second of reading, of each stream that it holds up; of
# each second in which parts are read that another engine may keep.
CROWDING_S = 0.003
DISTURBED_S = 0.4
DISTURBING_S = 0.3
READ_AGAIN_S = 2.0
FAILING_S = 1.0
HELD_TOO_LONG_S = 2.0
# Gaps count against reading at engines that read for this part of the recent time.
READING_NOTED = 0.15
RETRY_SHORTEST_S = 0.3
TYPICAL_WEIGHT = 0.1
NO_ENGINE = "no_engine_here"
RETRY_LONGEST_S = 3.0


class GenerationBroker:
    """Decides for one pool in one zone. The caller gives the present time."""

    def __init__(self, pool: str):
        self.pool = pool
        self.speed = ReadingSpeed()
        self.gap_s = DEFAULT_GAP_S
        self.waiting_by_id: dict[str, WaitingWork] = {}
        self._engines: dict[tuple[str, int], EngineState] = {}
        self._engine_by_work: dict[str, EngineState] = {}
        self._typical_tokens = 0.0
        self.share_beside_short = ReadingShare()
        self.share_beside_long = ReadingShare(WHOLE_SHARE)

    def set_engines(
        self, entries: Iterable[EndpointEntry], slots: int, memory_tokens: int, gap_s: float | None
    ) -> None:
        """Takes the engines that there are."""
        self.gap_s = gap_s or DEFAULT_GAP_S
        engines = {}
        for entry in entries:
            key = (entry.id, entry.started_ms)
            state = self._engines.get(key) or EngineState(entry, slots, memory_tokens)
            state.entry, state.slots, state.memory_tokens = entry, slots, memory_tokens
            engines[key] = state
        self._engines = engines

    def has_usable(self, now: float) -> bool:
        """Tells whether any engine here may get work, now or later."""
        return any(engine.is_usable(now) for engine in self._engines.values())

    def read_again_s(self, work: Work) -> float:
        """Returns the cost of reading the shared parts of a prompt again."""
        shared = work.tokens_in - self.unkept_tokens(work)
        return shared * self.speed.s_per_token * READ_AGAIN_S

    def unkept_tokens(self, work: Work) -> int:
        """Returns the part of a prompt that no engine can have kept."""
        return work.parts[-1][1] if work.parts else work.tokens_in

    def long_cost_s(self, work: Work, avoid: frozenset[str], now: float) -> float:
        """Returns the cost of a long prompt here, behind what waits already."""
        engines = self._usable(work, avoid, now)
        if not engines:
            return float("inf")
        best = min(self._cost(engine, work, now) for engine in engines)
        return best + self._queue_s(work, len(engines))

    def offer_long(self, now: float) -> LongOffer:
        """Returns what a long prompt that no engine keeps would cost here."""
        tokens = max(1, int(self._typical_tokens))
        typical = Work("", self.pool, 1 << 20, tokens, 1, (), 1.0, self.gap_s, now, now + 1.0)
        engines = self._usable(typical, frozenset(), now)
        if not engines:
            return LongOffer(float("inf"), 0.0)
        engine = min(engines, key=lambda engine: self._cost(engine, typical, now))
        s_per_token = self.speed.s_per_token * (1 + engine.streams() * DISTURBING_S)
        cost_s = self._cost(engine, typical, now) - tokens * s_per_token
        return LongOffer(cost_s + self._queue_s(typical, len(engines)), s_per_token)

    def s_per_token(self) -> float:
        """Returns the reading time of a token when all engines here read as much as they may."""
        return self.speed.s_per_token / (READING_SHARE * max(1, len(self._engines)))

    def ask(self, work: Work, vm: str, avoid: frozenset[str], now: float) -> list[Decision]:
        """Takes new work in; returns what is decided by that."""
        if work.id in self._engine_by_work:
            self.done(work.id, "withdrawn", now)
        waiting = WaitingWork(work, vm, avoid)
        if not self.is_short(work):
            self._typical_tokens += TYPICAL_WEIGHT * (work.tokens_in - self._typical_tokens)
        expected = now + self.expected_wait_s(work, avoid, now)
        if expected == float("inf") and not self.has_usable(now):
            inputs = self._describe_refusal(work, expected - now)
            return [Refused(work.id, vm, NO_ENGINE, RETRY_SHORTEST_S, inputs)]
        if expected > waiting.gives_up_at():
            retry_s = self._retry_after(expected - now)
            inputs = self._describe_refusal(work, expected - now)
            return [Refused(work.id, vm, "no_capacity_in_time", retry_s, inputs)]
        self.waiting_by_id[work.id] = waiting
        decisions = list(self.serve(now))
        if work.id in self.waiting_by_id:
            decisions.append(Queued(work.id, vm))
        return decisions

    def _retry_after(self, wait_s: float) -> float:
        return min(RETRY_LONGEST_S, max(RETRY_SHORTEST_S, wait_s / 2))

    def expected_wait_s(self, work: Work, avoid: frozenset[str], now: float) -> float:
        """Returns how long work would wait for an engine, behind what waits already."""
        engines = self._usable(work, avoid, now)
        if not engines:
            return float("inf")
        best = min(self._wait_s(engine, work, now) for engine in engines)
        return best if self.is_short(work) else best + self._queue_s(work, len(engines))

    def _queue_s(self, work: Work, engines: int) -> float:
        """Returns how long what waits before this work takes."""
        ahead = sum(
            waiting.work.tokens_in
            for waiting in self.waiting_by_id.values()
            if waiting.work.rank <= work.rank
        )
        return ahead * self.speed.s_per_token / (READING_SHARE * engines)

    def serve(self, now: float) -> Iterator[Decision]:
        """Yields grants and refusals that are due.

        What follows from a decision may serve the queue again before the next one is asked for.
        """
        paced_waits = False
        for waiting in sorted(self.waiting_by_id.values(), key=lambda w: self._order(w, now)):
            work = waiting.work
            if self.waiting_by_id.get(work.id) is not waiting:
                continue
            is_short_prompt = self.is_short(work)
            if paced_waits and not is_short_prompt:
                continue
            engine = self._pick(waiting, now)
            if engine is not None:
                del self.waiting_by_id[work.id]
                inputs = self._describe(engine, work, now)
                self._hold(engine, waiting, now)
                yield Granted(work.id, waiting.vm, engine.entry, inputs)
                continue
            paced_waits = paced_waits or not is_short_prompt
        yield from self._refuse_hopeless(now)

    def _describe(self, engine: EngineState, work: Work, now: float) -> dict[str, str]:
        """Returns what decided a grant, for the log."""
        return {
            "rank": str(work.rank),
            "waited_ms": f"{(now - work.arrived_at) * 1000:.0f}",
            "tokens": str(work.tokens_in),
            "unread": str(engine.unread(work)),
            "reading_left_ms": f"{engine.reading_left_s(now) * 1000:.0f}",
            "held": str(len(engine.held_by_id)),
            "tokens_per_ms": f"{0.001 / self.speed.s_per_token:.1f}",
            "fixed_ms": f"{self.speed.fixed_s * 1000:.0f}",
            "reading_share": f"{self._share_beside(engine).value:.2f}",
        }

    def _describe_refusal(self, work: Work, wait_s: float) -> dict[str, str]:
        """Returns what decided a refusal, for the log."""
        return {
            "rank": str(work.rank),
            "tokens": str(work.tokens_in),
            "expected_wait_s": f"{wait_s:.2f}",
            "waiting": str(len(self.waiting_by_id)),
            "engines": str(len(self._engines)),
        }

    def _refuse_hopeless(self, now: float) -> Iterator[Refused]:
        for waiting in list(self.waiting_by_id.values()):
            work = waiting.work
            if self.waiting_by_id.get(work.id) is waiting and now >= waiting.gives_up_at():
                del self.waiting_by_id[work.id]
                inputs = self._describe_refusal(work, now - work.arrived_at)
                yield Refused(work.id, waiting.vm, "waited_too_long", RETRY_SHORTEST_S, inputs)

    def _order(self, waiting: WaitingWork, now: float) -> tuple[int, bool, float]:
        work = waiting.work
        first_at = now + self.speed.fixed_s + work.tokens_in * self.speed.s_per_token
        return work.rank, first_at > work.arrived_at + work.target_s, work.arrived_at

    def is_short(self, work: Work) -> bool:
        """Tells whether a prompt is read so fast that it need not be paced."""
        return self.is_short_size(work.tokens_in)

    def is_short_size(self, tokens: int) -> bool:
        """Tells the same of a number of prompt tokens."""
        return tokens * self.speed.s_per_token <= SHORT_SHARE * self.gap_s

    def _usable(self, work: Work, avoid: frozenset[str], now: float) -> list[EngineState]:
        return [
            engine
            for engine in self._engines.values()
            if engine.entry.id not in avoid and engine.is_usable(now) and engine.has_room(work)
        ]

    def _reading_s(self, engine: EngineState, work: Work) -> float:
        return engine.unread(work) * self.speed.s_per_token * engine.load.slowdown

    def _wait_s(self, engine: EngineState, work: Work, now: float) -> float:
        seconds = self._reading_s(engine, work)
        if seconds <= SHORT_SHARE * self.gap_s:
            return 0.0
        gap_s = engine.smallest_gap_s()
        share = self._share_beside(engine).value
        if gap_s is None or share >= WHOLE_SHARE:
            return max(0.0, engine.reading_left_s(now) - UNSEEN_READING_S)
        return engine.pace.wait_s(seconds, gap_s, share, now)

    def _share_beside(self, engine: EngineState) -> ReadingShare:
        return self.share_beside_short if engine.streams() else self.share_beside_long

    def _pick(self, waiting: WaitingWork, now: float) -> EngineState | None:
        """Returns the engine with the least cost if the work may start there now."""
        work = waiting.work
        engines = self._usable(work, waiting.avoid, now)
        if not engines:
            return None
        costs = [(self._cost(engine, work, now), index) for index, engine in enumerate(engines)]
        engine = engines[min(costs)[1]]
        return engine if self._wait_s(engine, work, now) <= 0.001 else None

    def _cost(self, engine: EngineState, work: Work, now: float) -> float:
        wait_s = max(self._wait_s(engine, work, now), engine.reading_left_s(now))
        reading_s = self._reading_s(engine, work)
        crowding_s = len(engine.held_by_id) * CROWDING_S
        failing_s = engine.load.failing(now) * FAILING_S
        if self.is_short(work):
            pauses_s = engine.recent_reading(now) * DISTURBED_S
        else:
            pauses_s = reading_s * engine.streams() * DISTURBING_S
            pauses_s += engine.unread_shared(work) * self.speed.s_per_token * READ_AGAIN_S
        return wait_s + reading_s + crowding_s + failing_s + pauses_s

    def short_cost_s(self, now: float) -> float:
        """Returns the least cost of a usual short prompt here."""
        work = Work("", self.pool, 0, 1, 1, (), 1.0, self.gap_s, now, now + 1.0)
        engines = self._usable(work, frozenset(), now)
        return min((self._cost(engine, work, now) for engine in engines), default=float("inf"))

    def _hold(self, engine: EngineState, waiting: WaitingWork, now: float) -> None:
        work = waiting.work
        unread = engine.unread(work)
        seconds = self._reading_s(engine, work)
        read_alone = engine.reading_left_s(now) <= 0
        engine.note_reading(seconds, now)
        read_at = engine.pace.free_at(now) + self.speed.fixed_s
        engine.keep(work)
        engine.held_by_id[work.id] = HeldWork(
            work, waiting.vm, unread, read_at, read_alone, self.is_short(work)
        )
        self._engine_by_work[work.id] = engine

    def note_read(self, work_id: str, waited_s: float, slowdown: float, now: float) -> None:
        """Notes the first token of work, ``waited_s`` after it was sent."""
        engine = self._engine_by_work.get(work_id)
        held = engine.held_by_id.get(work_id) if engine else None
        if held is None:
            return
        engine.heard_at = now
        engine.load.note_outcome(False, now)
        engine.load.slowdown = max(1.0, slowdown)
        if held.read_alone and slowdown <= 1.1:
            self.speed.note(held.unread, waited_s)
        held.is_read = True
        if all(other.is_read for other in engine.held_by_id.values()):
            engine.pace.finish_early(now)

    def done(self, work_id: str, outcome: str, now: float, longest_gap_s: float = 0.0) -> None:
        """Notes that work has left its engine: ``ok``, ``failed``, ``unreachable``, ``refused``."""
        self.waiting_by_id.pop(work_id, None)
        engine = self._engine_by_work.pop(work_id, None)
        if engine is None:
            return
        held = engine.held_by_id.pop(work_id, None)
        if held and held.is_read and engine.recent_reading(now) > READING_NOTED:
            share = self.share_beside_short if held.is_short else self.share_beside_long
            share.note(longest_gap_s > held.work.gap_s)
        if outcome == "ok":
            engine.heard_at = now
        elif outcome == "failed":
            engine.load.note_outcome(True, now)
        elif outcome == "unreachable":
            engine.load.note_unreachable(now)

    def forget_vm(self, vm: str) -> None:
        """Forgets all work of a VM that is gone."""
        for work_id, waiting in list(self.waiting_by_id.items()):
            if waiting.vm == vm:
                del self.waiting_by_id[work_id]
        for work_id, engine in list(self._engine_by_work.items()):
            if engine.held_by_id[work_id].vm == vm:
                del engine.held_by_id[work_id], self._engine_by_work[work_id]

    def expire(self, now: float) -> None:
        """Forgets work that must be over, in case its end was never told."""
        for work_id, engine in list(self._engine_by_work.items()):
            if now > engine.held_by_id[work_id].work.expires_at + HELD_TOO_LONG_S:
                del engine.held_by_id[work_id], self._engine_by_work[work_id]
