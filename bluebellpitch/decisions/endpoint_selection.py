"""Which endpoint gets a request: free slots, suspects, prefix cache and slowness.

Endpoints stand in order of load, so that the common choice looks at one or two of them.
"""

from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from bluebellpitch.constants import (
    KEEP_FREE_S,
    PREFIX_LOAD_ALLOWANCE,
    PREFIX_MEMORY,
    SLOW_ENDPOINT_SLOTS,
)
from bluebellpitch.decisions.endpoint_health import EndpointHealth
from bluebellpitch.decisions.rows import EndpointRow
from bluebellpitch.decisions.slot_grants import ActiveGrant, QueuedRequest
from bluebellpitch.decisions.strikes import IsolationLevel


@dataclass(frozen=True, slots=True)
class EndpointReservation:
    """An endpoint that gets no other work until a request that must run alone has it."""

    endpoint: str
    request_id: str
    expires_at: float


class EndpointSelector:
    """What runs on each endpoint, and where prefixes were seen last.

    A request that is being preempted no longer counts as load, but is still there for suspicions.
    """

    def __init__(self, health: EndpointHealth):
        self._health = health
        self._rows_by_name: dict[str, EndpointRow] = {}
        self._grants_by_endpoint: dict[str, dict[str, ActiveGrant]] = {}
        self._used_slots_by_endpoint: dict[str, int] = {}
        self._by_utilization: list[tuple[float, str]] = []
        self._free_slots = 0
        self._total_slots = 0
        self._endpoint_by_prefix: OrderedDict[str, str] = OrderedDict()
        self._reservation: EndpointReservation | None = None

    def set_endpoints(self, rows: tuple[EndpointRow, ...]) -> None:
        """Takes the pool's present endpoints; those that are leaving get no work."""
        self._rows_by_name = {row.name: row for row in rows if row.state == "live"}
        self._by_utilization = sorted(
            (self._utilization(name), name) for name in self._rows_by_name
        )
        self._free_slots = sum(self._free_slots_on(name) for name in self._rows_by_name)
        self._total_slots = sum(row.slots for row in self._rows_by_name.values())

    @property
    def total_slots(self) -> int:
        """Slots of all live endpoints."""
        return self._total_slots

    def add(self, running: ActiveGrant) -> None:
        """Notes a grant."""
        self._grants_by_endpoint.setdefault(running.endpoint, {})[running.grant_id] = running
        self._change_used_slots(running.endpoint, 1)
        if running.request.prefix:
            self._record_prefix(running.request.prefix, running.endpoint)

    def mark_preempting(self, running: ActiveGrant) -> None:
        """Notes that a grant is being preempted: its slot is free for another."""
        self._change_used_slots(running.endpoint, -1)

    def remove(self, running: ActiveGrant) -> None:
        """Notes that a grant ended."""
        del self._grants_by_endpoint[running.endpoint][running.grant_id]
        if not running.preempting:
            self._change_used_slots(running.endpoint, -1)

    def _change_used_slots(self, name: str, change: int) -> None:
        if name in self._rows_by_name:
            del self._by_utilization[
                bisect_left(self._by_utilization, (self._utilization(name), name))
            ]
            self._free_slots -= self._free_slots_on(name)
        self._used_slots_by_endpoint[name] = self._used_slots_by_endpoint.get(name, 0) + change
        if name in self._rows_by_name:
            insort(self._by_utilization, (self._utilization(name), name))
            self._free_slots += self._free_slots_on(name)

    def _utilization(self, name: str) -> float:
        return self._used_slots_by_endpoint.get(name, 0) / self._rows_by_name[name].slots

    def _free_slots_on(self, name: str) -> int:
        return max(0, self._rows_by_name[name].slots - self._used_slots_by_endpoint.get(name, 0))

    def _record_prefix(self, prefix: str, endpoint: str) -> None:
        self._endpoint_by_prefix[prefix] = endpoint
        self._endpoint_by_prefix.move_to_end(prefix)
        if len(self._endpoint_by_prefix) > PREFIX_MEMORY:
            self._endpoint_by_prefix.popitem(last=False)

    def used_slots(self, endpoint: str) -> int:
        """Returns the load of an endpoint."""
        return self._used_slots_by_endpoint.get(endpoint, 0)

    def is_full(self) -> bool:
        """Tells whether no slot is free."""
        return self._free_slots <= 0

    def select(self, work: QueuedRequest, in_lowest_tier: bool, now: float) -> EndpointRow | None:
        """Returns the endpoint for ``work``, or None while none may take it.

        Only the ``lowest`` waiting tier probes a slow endpoint.
        """
        if work.isolation_level >= IsolationLevel.EXCLUSIVE:
            return self._select_exclusive(work, now)
        if self.is_full():
            return None
        if (cached := self._select_cached(work, now)) is not None:
            return cached
        return next(self._available_endpoints(work, in_lowest_tier, now), None)

    def _select_cached(self, work: QueuedRequest, now: float) -> EndpointRow | None:
        """Returns the endpoint that ran the prefix last, unless it is much the busier one."""
        name = self._endpoint_by_prefix.get(work.prefix, "") if work.prefix else ""
        if name not in self._rows_by_name or self._health.is_slow(name):
            return None
        busier = self._utilization(name) - self._by_utilization[0][0]
        if busier > PREFIX_LOAD_ALLOWANCE or not self._can_accept(name, work, now):
            return None
        return self._rows_by_name[name]

    def _available_endpoints(
        self, work: QueuedRequest, lowest: bool, now: float
    ) -> Iterator[EndpointRow]:
        """Yields endpoints that may take the work, the least loaded first, slow ones last."""
        names = [name for rank, name in self._by_utilization if rank < 1.0]
        sound = (name for name in names if not self._health.is_slow(name))
        for name in sound:
            if self._can_accept(name, work, now):
                yield self._rows_by_name[name]
        if not lowest and not all(self._health.is_slow(name) for name in self._rows_by_name):
            return
        for name in names:
            trickle = self.used_slots(name) < SLOW_ENDPOINT_SLOTS
            if self._health.is_slow(name) and trickle and self._can_accept(name, work, now):
                yield self._rows_by_name[name]

    def _can_accept(self, name: str, work: QueuedRequest, now: float) -> bool:
        return (
            self._free_slots_on(name) > 0
            and self._is_usable(name, work, now)
            and self._satisfies_isolation(name, work)
        )

    def _is_usable(self, name: str, work: QueuedRequest, now: float) -> bool:
        if name in work.excluded_endpoints or self._health.is_down(name, now):
            return False
        kept = self._reservation
        return not (
            kept
            and kept.endpoint == name
            and kept.request_id != work.request_id
            and now < kept.expires_at
        )

    def _satisfies_isolation(self, name: str, work: QueuedRequest) -> bool:
        there = self._grants_by_endpoint.get(name, {}).values()
        if any(running.request.isolation_level >= IsolationLevel.EXCLUSIVE for running in there):
            return False
        if work.isolation_level == IsolationLevel.NONE:
            return True
        return not any(running.request.isolation_level for running in there)

    def _select_exclusive(self, work: QueuedRequest, now: float) -> EndpointRow | None:
        """Returns an empty endpoint; while there is none, lets the emptiest run dry."""
        usable = [name for name in self._rows_by_name if self._is_usable(name, work, now)]
        if not usable:
            return None
        empty = next((name for name in usable if not self._grants_by_endpoint.get(name)), None)
        if empty is not None:
            return self._rows_by_name[empty]
        kept = self._reservation
        name = min(usable, key=self.used_slots)
        if kept is not None and kept.request_id == work.request_id and now < kept.expires_at:
            name = kept.endpoint
        self._reservation = EndpointReservation(name, work.request_id, now + KEEP_FREE_S)
        return None

    def can_replace_on(self, name: str, work: QueuedRequest, now: float) -> bool:
        """Tells whether ``work`` may take the place of a running request on an endpoint."""
        if name not in self._rows_by_name or self._health.is_slow(name) or work.isolation_level:
            return False
        there = self._grants_by_endpoint.get(name, {}).values()
        return self._is_usable(name, work, now) and not any(
            r.request.isolation_level for r in there
        )
