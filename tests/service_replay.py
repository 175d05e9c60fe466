"""Replays calls of a plain service with one endpoint in each zone, in virtual time."""

import heapq
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import count
from types import SimpleNamespace

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.zones.distances import ZoneDistances
from bluebellpitch.roles.endpoint_allocator import EndpointAllocator, Placement

POOL, SLOTS, WORK_S = "booking", 6, 0.08
TARGET_S, TIMEOUT_S = 0.4, 1.2
REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
# What an endpoint does with a request at a time: a slowdown, or None if it never answers.
Behaviour = Callable[[float], float | None]


@dataclass(frozen=True, slots=True)
class Call:
    """One call: where it came from, where it ran, and when it was answered, None if never."""

    zone: str
    arrived_at: float
    endpoint_zone: str
    answered_at: float | None

    @property
    def is_on_time(self) -> bool:
        return self.answered_at is not None and self.answered_at <= self.arrived_at + TARGET_S


@dataclass(slots=True)
class Server:
    """An endpoint with slots, each free from some time on."""

    behaviour: Behaviour
    free_at: list[float] = field(default_factory=lambda: [0.0] * SLOTS)
    ends: list[float] = field(default_factory=list)

    def finish_at(self, work_s: float, now: float) -> float | None:
        """Returns when a request that arrives now is answered."""
        if (slowdown := self.behaviour(now)) is None:
            return None
        end = max(now, heapq.heappop(self.free_at)) + work_s * slowdown
        heapq.heappush(self.free_at, end)
        heapq.heappush(self.ends, end)
        return end

    def load(self, now: float) -> SimpleNamespace:
        """Returns the load that a response reports."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        running = min(SLOTS, len(self.ends))
        slowdown = self.behaviour(now) or 1.0
        return SimpleNamespace(running=running, waiting=len(self.ends) - running, slowdown=slowdown)


class ServiceReplay:
    """VMs of six zones that call six endpoints; each VM knows only what it saw itself."""

    def __init__(
        self,
        behaviours: Mapping[str, Behaviour],
        vms_a_zone: int,
        seed: int,
        taken_away: frozenset[str] = frozenset(),
    ):
        self.now = 0.0
        self.calls: list[Call] = []
        self._servers = {z: Server(behaviours.get(z, lambda now: 1.0)) for z in REGIONS}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers, self._random = count(), random.Random(seed)
        directory = EndpointDirectory()
        for zone in sorted(REGIONS.keys() - taken_away):
            directory.update(EndpointEntry(f"i-{zone}", POOL, zone, zone, SLOTS, False, 1))
        self._vms = [
            (zone, EndpointAllocator(directory, None, zone, REGIONS, lambda: 1, lambda: self.now))
            for zone in REGIONS
            for _ in range(vms_a_zone)
        ]

    def run(self, rate_per_vm: float, duration_s: float) -> list[Call]:
        """Replays exponential arrivals at all VMs; returns the calls in the order of their end."""
        for zone, allocator in self._vms:
            now = 0.0
            while (now := now + self._random.expovariate(rate_per_vm)) < duration_s:
                self._at(now, lambda z=zone, a=allocator: self._arrive(z, a))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.calls

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _arrive(self, zone: str, allocator: EndpointAllocator) -> None:
        name, now = f"w{next(self._numbers)}", self.now
        work = WorkItem(name, POOL, 1, 0, 0, (), TARGET_S, 60.0, now, now + TIMEOUT_S)
        place = allocator._allocate_locally(work, False, frozenset())
        allocator.count_sent(place)
        self._at(now + one_way_s(zone, place), lambda: self._serve(zone, allocator, place))

    def _serve(self, zone: str, allocator: EndpointAllocator, place: Placement) -> None:
        server, work = self._servers[place.entry.zone], place.work
        done_at = server.finish_at(self._random.expovariate(1 / WORK_S), self.now)
        answered_at = done_at and done_at + one_way_s(zone, place)
        if answered_at is None or answered_at > work.expires_at:
            self._at(work.expires_at, lambda: self._end(zone, allocator, place, None))
        else:
            self._at(answered_at, lambda: self._end(zone, allocator, place, server))

    def _end(self, zone: str, allocator: EndpointAllocator, place: Placement, server) -> None:
        if server is not None:
            load = server.load(self.now)
            head = SimpleNamespace(is_wrong_instance=False, limit_per_s=None, load=load)
            allocator.record_load_report(place, head)
        allocator.release(place, "withdrawn" if server is None else "ok")
        answered_at = None if server is None else self.now
        self.calls.append(Call(zone, place.work.arrived_at, place.entry.zone, answered_at))


def one_way_s(zone: str, place: Placement) -> float:
    return ZoneDistances(zone, REGIONS).one_way_s(place.entry.zone)
