"""Selects the endpoint for a request by free slots, isolation, prefix cache and slowness.

Endpoints are kept sorted by utilization, so that a usual selection looks at one or two of them.
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
from bluebellpitch.decisions.endpoint_health import EndpointHealth
from bluebellpitch.decisions.named_limits import NamedLimits
from bluebellpitch.decisions.rows import EndpointRow
from bluebellpitch.decisions.slot_grants import ActiveGrant, QueuedRequest
from bluebellpitch.decisions.strikes import IsolationLevel


@dataclass(frozen=True, slots=True)
class EndpointReservation:
    """An endpoint that accepts no other request until one that must run alone gets it."""

    endpoint: str
    request_id: str
    expires_at: float


class EndpointSelector:
    """Tracks the grants of each endpoint and the endpoint that last ran each prompt prefix.

    A grant that is being preempted uses no slot, but still counts for isolation.
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
        self._limits = NamedLimits()

    def set_endpoints(self, rows: tuple[EndpointRow, ...]) -> None:
        """Replaces the endpoints of the pool. Only those in state ``live`` get requests."""
        self._rows_by_name = {row.name: row for row in rows if row.state == "live"}
        self._by_utilization = sorted(
            (self._utilization(name), name) for name in self._rows_by_name
        )
        self._free_slots = sum(self._free_slots_on(name) for name in self._rows_by_name)
        self._total_slots = sum(row.slots for row in self._rows_by_name.values())

    @property
    def total_slots(self) -> int:
        """Number of slots of all live endpoints."""
        return self._total_slots

    def add(self, grant: ActiveGrant) -> None:
        """Adds a new grant, which counts against a limit that its endpoint named."""
        self._limits.take_turn((grant.endpoint, 0), grant.granted_at)
        self._grants_by_endpoint.setdefault(grant.endpoint, {})[grant.grant_id] = grant
        self._change_used_slots(grant.endpoint, 1)
        if grant.request.prefix:
            self._record_prefix(grant.request.prefix, grant.endpoint)

    def record_limit(self, endpoint: str, limit_per_s: float | None, now: float) -> bool:
        """Records what an endpoint named, None for no limit; returns whether that is a change.

        The broker of its zone grants all that it takes, so the whole limit is its share.
        """
        return self._limits.record((endpoint, 0), limit_per_s, 1.0, now)

    def limit_per_s(self, endpoint: str, now: float) -> float | None:
        """Returns the limit in force of an endpoint, or None."""
        limit = self._limits.find((endpoint, 0), now)
        return limit and limit.rate_per_s

    def mark_preempting(self, grant: ActiveGrant) -> None:
        """Frees the slot of a grant that is being preempted."""
        self._change_used_slots(grant.endpoint, -1)

    def remove(self, grant: ActiveGrant) -> None:
        """Removes a grant that ended."""
        del self._grants_by_endpoint[grant.endpoint][grant.grant_id]
        if not grant.preempting:
            self._change_used_slots(grant.endpoint, -1)

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
        if len(self._endpoint_by_prefix) > MAX_REMEMBERED_PREFIXES:
            self._endpoint_by_prefix.popitem(last=False)

    def used_slots(self, endpoint: str) -> int:
        """Returns the number of slots in use on an endpoint."""
        return self._used_slots_by_endpoint.get(endpoint, 0)

    def is_full(self) -> bool:
        """Returns whether no slot is free."""
        return self._free_slots <= 0

    def select(
        self, request: QueuedRequest, in_lowest_tier: bool, now: float
    ) -> EndpointRow | None:
        """Returns the endpoint for a request, or None while no endpoint may accept it.

        Only requests of the lowest waiting tier probe a slow endpoint.
        """
        if request.isolation_level >= IsolationLevel.EXCLUSIVE:
            return self._select_exclusive(request, now)
        if self.is_full():
            return None
        if (cached := self._select_cached(request, now)) is not None:
            return cached
        return next(self._available_endpoints(request, in_lowest_tier, now), None)

    def _select_cached(self, request: QueuedRequest, now: float) -> EndpointRow | None:
        """Returns the endpoint that last ran the prefix, unless its utilization is much higher."""
        name = self._endpoint_by_prefix.get(request.prefix, "") if request.prefix else ""
        if name not in self._rows_by_name or self._health.is_slow(name):
            return None
        excess = self._utilization(name) - self._by_utilization[0][0]
        if excess > PREFIX_AFFINITY_LOAD_MARGIN or not self._can_accept(name, request, now):
            return None
        return self._rows_by_name[name]

    def _available_endpoints(
        self, request: QueuedRequest, in_lowest_tier: bool, now: float
    ) -> Iterator[EndpointRow]:
        """Yields endpoints that may take the request, the least utilized first, slow ones last."""
        names = [name for utilization, name in self._by_utilization if utilization < 1.0]
        fast = (name for name in names if not self._health.is_slow(name))
        for name in fast:
            if self._can_accept(name, request, now):
                yield self._rows_by_name[name]
        if not in_lowest_tier and not all(
            self._health.is_slow(name) for name in self._rows_by_name
        ):
            return
        for name in names:
            may_probe = self.used_slots(name) < SLOW_ENDPOINT_SLOTS
            if self._health.is_slow(name) and may_probe and self._can_accept(name, request, now):
                yield self._rows_by_name[name]

    def _can_accept(self, name: str, request: QueuedRequest, now: float) -> bool:
        return (
            self._free_slots_on(name) > 0
            and self._is_usable(name, request, now)
            and self._satisfies_isolation(name, request)
        )

    def _is_usable(self, name: str, request: QueuedRequest, now: float) -> bool:
        if name in request.excluded_endpoints or self._health.is_down(name, now):
            return False
        if self._limits.wait_s((name, 0), now) > 0:
            return False
        reservation = self._reservation
        return not (
            reservation
            and reservation.endpoint == name
            and reservation.request_id != request.request_id
            and now < reservation.expires_at
        )

    def _satisfies_isolation(self, name: str, request: QueuedRequest) -> bool:
        grants = self._grants_by_endpoint.get(name, {}).values()
        if any(grant.request.isolation_level >= IsolationLevel.EXCLUSIVE for grant in grants):
            return False
        if request.isolation_level == IsolationLevel.NONE:
            return True
        return not any(grant.request.isolation_level for grant in grants)

    def _select_exclusive(self, request: QueuedRequest, now: float) -> EndpointRow | None:
        """Returns an idle endpoint; if there is none, reserves one so that it drains."""
        usable = [name for name in self._rows_by_name if self._is_usable(name, request, now)]
        if not usable:
            return None
        idle = next((name for name in usable if not self._grants_by_endpoint.get(name)), None)
        if idle is not None:
            return self._rows_by_name[idle]
        reservation = self._reservation
        name = min(usable, key=self.used_slots)
        if (
            reservation is not None
            and reservation.request_id == request.request_id
            and now < reservation.expires_at
        ):
            name = reservation.endpoint
        self._reservation = EndpointReservation(
            name, request.request_id, now + ENDPOINT_RESERVATION_S
        )
        return None

    def can_replace_on(self, name: str, request: QueuedRequest, now: float) -> bool:
        """Returns whether a request may take the slot of a running one on an endpoint."""
        if name not in self._rows_by_name or self._health.is_slow(name) or request.isolation_level:
            return False
        grants = self._grants_by_endpoint.get(name, {}).values()
        return self._is_usable(name, request, now) and not any(
            g.request.isolation_level for g in grants
        )
