"""Which endpoint gets a request: free slots, suspects, prefix cache and slowness."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from bluebellpitch.constants import KEEP_FREE_S, PREFIX_MEMORY, SLOW_ENDPOINT_SLOTS
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
    """What runs on each endpoint, and where prefixes were seen last."""

    def __init__(self, health: HealthView):
        self._health = health
        self._running_by_endpoint: dict[str, dict[str, Running]] = {}
        self._prefixes: OrderedDict[str, str] = OrderedDict()
        self._kept_free: KeptFree | None = None

    def add(self, running: Running) -> None:
        """Notes a grant."""
        self._running_by_endpoint.setdefault(running.endpoint, {})[running.grant] = running
        if running.work.prefix:
            self._remember_prefix(running.work.prefix, running.endpoint)

    def remove(self, running: Running) -> None:
        """Notes that a grant ended."""
        self._running_by_endpoint[running.endpoint].pop(running.grant, None)

    def _remember_prefix(self, prefix: str, endpoint: str) -> None:
        self._prefixes[prefix] = endpoint
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > PREFIX_MEMORY:
            self._prefixes.popitem(last=False)

    def forget_prefix(self, prefix: str, endpoint: str) -> None:
        """Notes that an endpoint's cache dropped a prefix."""
        if self._prefixes.get(prefix) == endpoint:
            del self._prefixes[prefix]

    def running_on(self, endpoint: str) -> int:
        """Returns how many grants an endpoint holds."""
        return len(self._running_by_endpoint.get(endpoint, {}))

    def choose(
        self,
        work: Waiting,
        endpoints: tuple[EndpointRow, ...],
        reserve: int,
        lowest: bool,
        now: float,
    ) -> EndpointRow | None:
        """Returns the endpoint for ``work``, or None while none may take it.

        ``reserve`` slots stay free in the pool; only the ``lowest`` waiting class probes a slow
        endpoint.
        """
        usable = [row for row in endpoints if self._is_usable(row, work, now)]
        if work.suspicion < Suspicion.ALONE and sum(self._free(row) for row in usable) <= reserve:
            return None
        open_rows = list(self._with_room(usable, work, lowest))
        if open_rows:
            return min(open_rows, key=lambda row: self._rank(row, work))
        if usable and work.suspicion >= Suspicion.ALONE:
            self._keep_free(usable, work, now)
        return None

    def _keep_free(self, usable: list[EndpointRow], work: Waiting, now: float) -> None:
        """Lets the emptiest endpoint run dry for a request that must run alone."""
        kept = self._kept_free
        if kept is None or kept.request != work.request or now >= kept.until:
            name = min(usable, key=lambda row: self.running_on(row.name)).name
        else:
            name = kept.endpoint
        self._kept_free = KeptFree(name, work.request, now + KEEP_FREE_S)

    def _is_usable(self, row: EndpointRow, work: Waiting, now: float) -> bool:
        if row.state != "live" or row.name in work.avoid:
            return False
        kept = self._kept_free
        if kept and kept.endpoint == row.name and kept.request != work.request and now < kept.until:
            return False
        return not self._health.is_down(row.name, now)

    def _slots(self, row: EndpointRow) -> int:
        return SLOW_ENDPOINT_SLOTS if self._health.is_slow(row.name) else row.slots

    def _free(self, row: EndpointRow) -> int:
        return max(0, self._slots(row) - self.running_on(row.name))

    def _with_room(self, rows, work: Waiting, lowest: bool) -> Iterator[EndpointRow]:
        others_ok = any(not self._health.is_slow(row.name) for row in rows)
        for row in rows:
            if not self._free(row) or not self._fits_suspicion(row, work):
                continue
            if self._health.is_slow(row.name) and others_ok and not lowest:
                continue
            yield row

    def _fits_suspicion(self, row: EndpointRow, work: Waiting) -> bool:
        there = self._running_by_endpoint.get(row.name, {}).values()
        if any(running.work.suspicion >= Suspicion.ALONE for running in there):
            return False
        if work.suspicion >= Suspicion.ALONE:
            return not there
        if work.suspicion == Suspicion.APART:
            return not any(running.work.suspicion for running in there)
        return True

    def _rank(self, row: EndpointRow, work: Waiting) -> tuple[bool, float, str]:
        load = self.running_on(row.name) / row.slots
        cached = bool(work.prefix) and self._prefixes.get(work.prefix) == row.name
        return self._health.is_slow(row.name), load - 0.25 * cached, row.name
