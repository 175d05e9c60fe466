"""Which endpoint gets a request: free slots, suspects, prefix cache and slowness.

Endpoints stand in order of load, so that the common choice looks at one or two of them.
"""

from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from bluebellpitch.constants import (
    ENDPOINT_RESERVATION_S,
    MAX_REMEMBERED_PREFIXES,
    PREFIX_AFFINITY_LOAD_MARGIN,
    SLOW_ENDPOINT_SLOTS,
)
from bluebellpitch.decisions.health import HealthView
from bluebellpitch.decisions.rows import EndpointRow
from bluebellpitch.decisions.strikes import Suspicion
from bluebellpitch.decisions.work import Running, Waiting


@dataclass(frozen=True, slots=True)
class KeptFree:
    """An endpoint that gets no other work until a request that must run alone has it."""

    endpoint: str
    request: str
    until: float


class EndpointChooser:
    """What runs on each endpoint, and where prefixes were seen last.

    A request that is being preempted no longer counts as load, but is still there for suspicions.
    """

    def __init__(self, health: HealthView):
        self._health = health
        self._rows_by_name: dict[str, EndpointRow] = {}
        self._there_by_endpoint: dict[str, dict[str, Running]] = {}
        self._load_by_endpoint: dict[str, int] = {}
        self._ranked: list[tuple[float, str]] = []
        self._free_slots = 0
        self._total_slots = 0
        self._prefixes: OrderedDict[str, str] = OrderedDict()
        self._kept_free: KeptFree | None = None

    def set_endpoints(self, rows: tuple[EndpointRow, ...]) -> None:
        """Takes the pool's present endpoints; those that are leaving get no work."""
        self._rows_by_name = {row.name: row for row in rows if row.state == "live"}
        self._ranked = sorted((self._rank(name), name) for name in self._rows_by_name)
        self._free_slots = sum(self._free(name) for name in self._rows_by_name)
        self._total_slots = sum(row.slots for row in self._rows_by_name.values())

    @property
    def total_slots(self) -> int:
        """Slots of all live endpoints."""
        return self._total_slots

    def add(self, running: Running) -> None:
        """Notes a grant."""
        self._there_by_endpoint.setdefault(running.endpoint, {})[running.grant] = running
        self._change_load(running.endpoint, 1)
        if running.work.prefix:
            self._remember_prefix(running.work.prefix, running.endpoint)

    def release(self, running: Running) -> None:
        """Notes that a grant is being preempted: its slot is free for another."""
        self._change_load(running.endpoint, -1)

    def remove(self, running: Running) -> None:
        """Notes that a grant ended."""
        del self._there_by_endpoint[running.endpoint][running.grant]
        if not running.preempting:
            self._change_load(running.endpoint, -1)

    def _change_load(self, name: str, change: int) -> None:
        if name in self._rows_by_name:
            del self._ranked[bisect_left(self._ranked, (self._rank(name), name))]
            self._free_slots -= self._free(name)
        self._load_by_endpoint[name] = self._load_by_endpoint.get(name, 0) + change
        if name in self._rows_by_name:
            insort(self._ranked, (self._rank(name), name))
            self._free_slots += self._free(name)

    def _rank(self, name: str) -> float:
        return self._load_by_endpoint.get(name, 0) / self._rows_by_name[name].slots

    def _free(self, name: str) -> int:
        return max(0, self._rows_by_name[name].slots - self._load_by_endpoint.get(name, 0))

    def _remember_prefix(self, prefix: str, endpoint: str) -> None:
        self._prefixes[prefix] = endpoint
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_REMEMBERED_PREFIXES:
            self._prefixes.popitem(last=False)

    def running_on(self, endpoint: str) -> int:
        """Returns the load of an endpoint."""
        return self._load_by_endpoint.get(endpoint, 0)

    def is_full(self) -> bool:
        """Tells whether no slot is free."""
        return self._free_slots <= 0

    def choose(self, work: Waiting, lowest: bool, now: float) -> EndpointRow | None:
        """Returns the endpoint for ``work``, or None while none may take it.

        Only the ``lowest`` waiting tier probes a slow endpoint.
        """
        if work.suspicion >= Suspicion.ALONE:
            return self._choose_alone(work, now)
        if self.is_full():
            return None
        if (cached := self._choose_cached(work, now)) is not None:
            return cached
        return next(self._open_rows(work, lowest, now), None)

    def _choose_cached(self, work: Waiting, now: float) -> EndpointRow | None:
        """Returns the endpoint that ran the prefix last, unless it is much the busier one."""
        name = self._prefixes.get(work.prefix, "") if work.prefix else ""
        if name not in self._rows_by_name or self._health.is_slow(name):
            return None
        busier = self._rank(name) - self._ranked[0][0]
        if busier > PREFIX_AFFINITY_LOAD_MARGIN or not self._has_room(name, work, now):
            return None
        return self._rows_by_name[name]

    def _open_rows(self, work: Waiting, lowest: bool, now: float) -> Iterator[EndpointRow]:
        """Yields endpoints that may take the work, the least loaded first, slow ones last."""
        names = [name for rank, name in self._ranked if rank < 1.0]
        sound = (name for name in names if not self._health.is_slow(name))
        for name in sound:
            if self._has_room(name, work, now):
                yield self._rows_by_name[name]
        if not lowest and not all(self._health.is_slow(name) for name in self._rows_by_name):
            return
        for name in names:
            trickle = self.running_on(name) < SLOW_ENDPOINT_SLOTS
            if self._health.is_slow(name) and trickle and self._has_room(name, work, now):
                yield self._rows_by_name[name]

    def _has_room(self, name: str, work: Waiting, now: float) -> bool:
        return (
            self._free(name) > 0
            and self._is_usable(name, work, now)
            and self._fits_suspicion(name, work)
        )

    def _is_usable(self, name: str, work: Waiting, now: float) -> bool:
        if name in work.avoid or self._health.is_down(name, now):
            return False
        kept = self._kept_free
        return not (
            kept and kept.endpoint == name and kept.request != work.request and now < kept.until
        )

    def _fits_suspicion(self, name: str, work: Waiting) -> bool:
        there = self._there_by_endpoint.get(name, {}).values()
        if any(running.work.suspicion >= Suspicion.ALONE for running in there):
            return False
        if work.suspicion == Suspicion.NONE:
            return True
        return not any(running.work.suspicion for running in there)

    def _choose_alone(self, work: Waiting, now: float) -> EndpointRow | None:
        """Returns an empty endpoint; while there is none, lets the emptiest run dry."""
        usable = [name for name in self._rows_by_name if self._is_usable(name, work, now)]
        if not usable:
            return None
        empty = next((name for name in usable if not self._there_by_endpoint.get(name)), None)
        if empty is not None:
            return self._rows_by_name[empty]
        kept = self._kept_free
        name = min(usable, key=self.running_on)
        if kept is not None and kept.request == work.request and now < kept.until:
            name = kept.endpoint
        self._kept_free = KeptFree(name, work.request, now + ENDPOINT_RESERVATION_S)
        return None

    def may_replace(self, name: str, work: Waiting, now: float) -> bool:
        """Tells whether ``work`` may take the place of a running request on an endpoint."""
        if name not in self._rows_by_name or self._health.is_slow(name) or work.suspicion:
            return False
        there = self._there_by_endpoint.get(name, {}).values()
        return self._is_usable(name, work, now) and not any(r.work.suspicion for r in there)
