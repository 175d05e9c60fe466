"""Replays the load of several zones, with spillover between them, in virtual time."""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count

from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.platform_messages import WorkRequest, ZoneLoad
from bluebellpitch.roles.work_items import work_from_request
from bluebellpitch.roles.zone_spillover import ZoneSpillover
from tests.generation_load import (
    TICK_S,
    LoadReplay,
    Outcome,
    PromptLoad,
    draw_arrivals,
    make_broker,
)

SAME_REGION_S, OTHER_REGION_S = 0.001, 0.03
LOAD_INTERVAL_S = 0.1
Arrival = tuple[WorkItem, PromptLoad, str]


def arrivals_of(
    zone: str, load: PromptLoad, share_at: Callable[[float], float], duration_s: float, seed: int
) -> Iterator[Arrival]:
    """Yields a zone's arrivals, of which a share is kept that changes with time."""
    keep = random.Random(seed)
    for work, drawn in draw_arrivals((load,), duration_s, seed):
        if keep.random() < share_at(work.arrived_at):
            yield _rename(work, f"{zone}-{work.id}"), drawn, zone


def _rename(work: WorkItem, name: str) -> WorkItem:
    return WorkItem(name, *(getattr(work, field) for field in WorkItem.__slots__[1:]))


class Zone(LoadReplay):
    """One zone: its broker, its engines and what it tells the other zones."""

    def __init__(self, name: str, regions: dict[str, str], engines: int, send: Callable):
        super().__init__(make_broker(engines))
        self.name = name
        self._requests: dict[str, WorkRequest] = {}
        self.spillover = ZoneSpillover(name, name, regions, lambda zone: [zone], send, Metrics())

    def start(self, request: WorkRequest, now: float) -> None:
        """Spills work over or gives it to the broker of this zone."""
        work = work_from_request(request, now)
        self._requests[work.id] = request
        self.spillover.count_received(request)
        if not self.spillover.spill_over(self.broker, work, request, now):
            self._apply(self.broker.submit(work, "vm", frozenset(), now), None, now)

    def _start(self, work_id: str, engine: tuple[str, int], uncached: int, now: float) -> None:
        self.spillover.record_session(self.broker, self._requests[work_id])
        super()._start(work_id, engine, uncached, now)

    def tick(self, now: float) -> None:
        """Lets engines and the queue go on; spills the newest work over that waits."""
        self._advance(now)
        waiting = max(
            self.broker.waiting_by_id.values(), key=lambda w: w.work.arrived_at, default=None
        )
        if waiting and self.spillover.spill_over(
            self.broker, waiting.work, self._requests[waiting.work.id], now
        ):
            self.broker.finish(waiting.work.id, "withdrawn", now)


class ZonesReplay:
    """Zones in regions. ``sent`` counts the tokens of prompts by pair; ``log`` holds each move."""

    def __init__(self, regions: dict[str, str], engines: int = 3):
        self._regions, self._numbers = regions, count()
        self._messages: list[tuple[float, int, str, object]] = []
        self.sent: Counter = Counter()
        self.log: list[tuple[float, str, str]] = []
        self.now = 0.0
        self.cut_off: set[str] = set()
        self.zones = {
            name: Zone(
                name, regions, engines, lambda to, message, name=name: self._send(name, to, message)
            )
            for name in regions
        }

    def one_way_s(self, a: str, b: str) -> float:
        return SAME_REGION_S if self._regions[a] == self._regions[b] else OTHER_REGION_S

    def _send(self, sender: str, to: str, message) -> None:
        if to not in self.zones or {sender, to} & self.cut_off:
            return
        if isinstance(message, WorkRequest):
            assert message.must_stay and sender == self._home(message.work_id)
            self.sent[sender, to] += message.tokens_in
            self.log.append((self.now, sender, to))
            work, load = self.zones[sender]._arrivals_by_id[message.work_id]
            self.zones[to]._arrivals_by_id[message.work_id] = work, load
        at = self.now + self.one_way_s(sender, to)
        heapq.heappush(self._messages, (at, next(self._numbers), to, message))

    def _home(self, work_id: str) -> str:
        return work_id.partition("-")[0]

    def run(self, arrivals: list[Arrival], until: float) -> dict[str, list[Outcome]]:
        """Replays arrivals; returns the outcomes by the zone of the caller."""
        arrivals, next_load = iter(sorted(arrivals, key=lambda a: a[0].arrived_at)), 0.0
        arrival = next(arrivals, None)
        while self.now < until:
            self.now += TICK_S
            while self._messages and self._messages[0][0] <= self.now:
                _, _, to, message = heapq.heappop(self._messages)
                self._deliver(self.zones[to], message)
            while arrival and arrival[0].arrived_at <= self.now:
                self._arrive(*arrival)
                arrival = next(arrivals, None)
            for zone in self.zones.values():
                zone.tick(self.now)
            if self.now >= next_load:
                next_load += LOAD_INTERVAL_S
                for zone in self.zones.values():
                    zone.spillover.publish_load([zone.broker], self.now)
        return self._outcomes()

    def _deliver(self, zone: Zone, message) -> None:
        match message:
            case ZoneLoad():
                zone.spillover.record_load(message, self.now)
            case WorkRequest():
                zone.start(message, self.now)

    def _arrive(self, work: WorkItem, load: PromptLoad, zone: str) -> None:
        request = WorkRequest(
            work.id, work.pool, work.rank, work.tokens_in, work.tokens_out, work.parts,
            work.target_s, work.gap_target_s, self.now - work.arrived_at,
            work.expires_at - self.now, (), "vm", zone,
        )  # fmt: skip
        self.zones[zone]._arrivals_by_id[work.id] = work, load
        self.zones[zone].start(request, self.now)

    def _outcomes(self) -> dict[str, list[Outcome]]:
        by_home: dict[str, list[Outcome]] = {name: [] for name in self.zones}
        for zone in self.zones.values():
            for work_id, outcome in zone.outcomes_by_id.items():
                home = self._home(work_id)
                extra_s = 3 * self.one_way_s(home, zone.name) if home != zone.name else 0.0
                first = outcome.first_token_s
                by_home[home].append(
                    Outcome(outcome.load, outcome.arrived_at, first and first + extra_s)
                )
        return by_home
