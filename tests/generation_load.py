"""Replays arrivals of generations at a broker in virtual time, on engines of a given speed."""

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import count

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.generation_decisions import Granted, Refused
from bluebellpitch.decisions.loads import WorkItem

TICK_S = 0.01
FIXED_S = 0.045
TOKENS_PER_S = 60_000
DECODE_S = 0.25
# Ends the ids of requests of callers that were refused and came back.
RETURNED = "-again"


@dataclass(frozen=True, slots=True)
class PromptLoad:
    """Prompts of one kind: a rate per second, and sessions whose parts engines can cache."""

    name: str
    rate_per_s: float
    rank: int
    shared_tokens: int
    own_tokens: int
    sessions: int
    target_s: float
    gap_target_s: float
    time_left_s: float
    decode_s: float = DECODE_S
    member: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one generation; ``first_token_s`` counts from its arrival, None if refused."""

    load: PromptLoad
    arrived_at: float
    first_token_s: float | None
    retry_after_s: float = 0.0
    work_id: str = ""

    @property
    def is_on_time(self) -> bool:
        return self.first_token_s is not None and self.first_token_s <= self.load.target_s


def make_broker(engine_count: int, slots: int = 24, gap_target_s: float = 0.25):
    broker = GenerationBroker("pool")
    entries = [
        EndpointEntry(f"i-{n}", "pool", f"10.0.0.{n}:80", "z", slots, False, 1)
        for n in range(engine_count)
    ]
    broker.set_engines(entries, slots, 500_000, gap_target_s)
    return broker


def draw_arrivals(
    loads: tuple[PromptLoad, ...], duration_s: float, seed: int
) -> Iterator[tuple[WorkItem, PromptLoad]]:
    """Yields the generations of all loads in order of arrival; gaps are exponential."""
    generator, numbers = random.Random(seed), count()
    total = sum(load.rate_per_s for load in loads)
    now = 0.0
    while (now := now + generator.expovariate(total)) < duration_s:
        (load,) = generator.choices(loads, weights=[load.rate_per_s for load in loads])
        name = f"{load.name}-{next(numbers)}"
        session = f"{load.name}-session-{generator.randrange(load.sessions)}"
        parts = ((session, load.shared_tokens), (name, load.own_tokens))
        tokens = load.shared_tokens + load.own_tokens
        yield WorkItem(
            name,
            "pool",
            load.rank,
            tokens,
            54,
            parts,
            load.target_s,
            load.gap_target_s,
            now,
            now + load.time_left_s,
            load.member,
        ), load


class LoadReplay:
    """Runs a broker against engines that read one prompt after the other."""

    def __init__(self, broker: GenerationBroker):
        self.broker = broker
        self.outcomes_by_id: dict[str, Outcome] = {}
        self.slowdown_by_engine: dict[str, float] = {}
        self._events: list[tuple[float, int, str, tuple]] = []
        self._numbers = count()
        self._free_at_by_engine: dict[tuple[str, int], float] = {}
        self._arrivals_by_id: dict[str, tuple[WorkItem, PromptLoad]] = {}

    def run(self, arrivals: Iterator[tuple[WorkItem, PromptLoad]]) -> list[Outcome]:
        """Replays all arrivals to their end; returns the outcomes in the order of decision."""
        for work, load in arrivals:
            self._advance(work.arrived_at)
            self._arrivals_by_id[work.id] = (work, load)
            uncached = self._uncached_by_engine(work)
            decisions = self.broker.submit(work, "vm", frozenset(), work.arrived_at)
            self._apply(decisions, uncached, work.arrived_at)
        while self._events or self.broker.waiting_by_id:
            self._advance(self._now + TICK_S)
        return self.outcomes

    @property
    def outcomes(self) -> list[Outcome]:
        """The outcomes in the order of decision."""
        return list(self.outcomes_by_id.values())

    _now = 0.0

    def _uncached_by_engine(self, work: WorkItem) -> dict[tuple[str, int], int]:
        engines = self.broker.placement.engines_by_key.values()
        return {engine.key: engine.uncached_tokens(work) for engine in engines}

    def _advance(self, until: float) -> None:
        while self._now < until:
            self._now = min(until, self._now + TICK_S)
            while self._events and self._events[0][0] <= self._now:
                at, _, kind, values = heapq.heappop(self._events)
                self._handle_event(at, kind, values)
            if self.broker.waiting_by_id:
                self._apply(self.broker.schedule(self._now), None, self._now)

    def _handle_event(self, at: float, kind: str, values: tuple) -> None:
        getattr(self.broker, kind)(*values, at)

    def _apply(self, decisions, uncached_by_engine, now: float) -> None:
        for decision in decisions:
            match decision:
                case Granted(work_id, _, entry, inputs):
                    self._start(work_id, entry.incarnation, int(inputs["unread"]), now)
                case Refused():
                    self._refuse(decision, now)

    def _refuse(self, refused: Refused, now: float) -> None:
        work, load = self._arrivals_by_id[refused.work_id]
        retry_after_s = refused.retry_after_s
        self.outcomes_by_id[work.id] = Outcome(load, work.arrived_at, None, retry_after_s, work.id)

    def _start(self, work_id: str, engine: tuple[str, int], uncached: int, now: float) -> None:
        work, load = self._arrivals_by_id[work_id]
        start = max(now, self._free_at_by_engine.get(engine, 0.0))
        slowdown = self.slowdown_by_engine.get(engine[0], 1.0)
        self._free_at_by_engine[engine] = start + uncached / TOKENS_PER_S * slowdown
        first_token_at = self._free_at_by_engine[engine] + FIXED_S
        self._schedule(first_token_at, "record_first_token", work_id, first_token_at - now, 1.0)
        self._schedule(first_token_at + load.decode_s, "finish", work_id, "ok")
        self._record(work_id, first_token_at)

    def _record(self, work_id: str, first_token_at: float) -> None:
        work, load = self._arrivals_by_id[work_id]
        waited_s = first_token_at - work.arrived_at
        self.outcomes_by_id[work_id] = Outcome(load, work.arrived_at, waited_s, work_id=work_id)

    def _schedule(self, at: float, kind: str, *values) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, values))


class ReturningCallersReplay(LoadReplay):
    """Callers return once, as told, but wait at most a third of the time that they have left.

    ``returns_by_id`` holds, by the id of the first request, how long after their refusal they do;
    ``returns_with_room`` lists those for whom room is kept. Outcomes count from the first request.
    """

    def __init__(self, broker: GenerationBroker):
        super().__init__(broker)
        self.returns_by_id: dict[str, float] = {}
        self.returns_with_room: list[str] = []

    def _refuse(self, refused: Refused, now: float) -> None:
        work, load = self._arrivals_by_id[refused.work_id]
        if work.id.endswith(RETURNED):
            super()._refuse(refused, now)
            return
        if refused.inputs["room_on_return"] == "True":
            self.returns_with_room.append(work.id)
        wait_s = min(refused.retry_after_s, (work.expires_at - now) / 3)
        self.returns_by_id[work.id] = wait_s
        again = replace(work, id=work.id + RETURNED, arrived_at=now + wait_s)
        self._arrivals_by_id[again.id] = (replace(again, arrived_at=work.arrived_at), load)
        self._schedule(now + wait_s, RETURNED, again)

    def _handle_event(self, at: float, kind: str, values: tuple) -> None:
        if kind != RETURNED:
            super()._handle_event(at, kind, values)
            return
        (work,) = values
        self._apply(self.broker.submit(work, "vm", frozenset(), at), None, at)
