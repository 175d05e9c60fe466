"""Orders endpoints for all pools that allow it, while this VM holds the duty."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bluebellpitch.decisions.catalogue import Catalogue
from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.duties.held_lease import HeldLease
from bluebellpitch.decisions.scaling.demand import DemandSample
from bluebellpitch.decisions.scaling.orders import EndpointOrder, OrderPlanner
from bluebellpitch.decisions.scaling.supply import EndpointGroup, PlacedOrder, Unavailable
from bluebellpitch.logs import log
from bluebellpitch.peers.platform_messages import ZoneDemand
from bluebellpitch.platform.duty_api import (
    CallAccepted,
    CallFailed,
    CallFenced,
    CallRejected,
    DutyApi,
)
from bluebellpitch.platform.order_records import decode_orders, encode_orders
from bluebellpitch.platform.settings_file import DutySettings
from bluebellpitch.roles.duties.demand_reporter import sample_from_message, scaled_pools
from bluebellpitch.roles.duties.duty_context import DutyContext
from bluebellpitch.roles.duties.duty_holder import DutyHolder

DECISION_INTERVAL_S = 0.5
# Part of the calls per second that orders may take; other duties share the API.
CALL_SHARE = 0.5
MIN_CALLS_PER_S = 0.1
# Pause after a failed call, doubled with each further one up to a limit.
FIRST_RETRY_S = 0.3
MAX_RETRY_S = 3.0
# The duty goes to another VM after calls have failed for so long.
MAX_FAILING_S = 6.0


@dataclass(frozen=True, slots=True)
class ScalingSources:
    """What decides on orders, as this VM knows it.

    ``sample_demand`` returns the demand of a pool in this zone, None if another VM brokers it.
    """

    directory: EndpointDirectory
    catalogue: Callable[[], Catalogue | None]
    regions_by_zone: Mapping[str, str]
    sample_demand: Callable[[str], DemandSample | None]


class Autoscaler:
    """Plans and sends orders, one call at a time."""

    def __init__(
        self,
        holder: DutyHolder,
        settings: DutySettings,
        context: DutyContext,
        sources: ScalingSources,
    ):
        self._holder = holder
        self._api = DutyApi(settings.api_address, context.vm_name, context.now)
        self._call_interval_s = 1 / max(MIN_CALLS_PER_S, CALL_SHARE * settings.calls_per_s)
        self._directory = sources.directory
        self._catalogue = sources.catalogue
        self._regions_by_zone = sources.regions_by_zone
        self._metrics = context.metrics
        self._now = context.now
        self._token: int | None = None
        self._planners_by_pool: dict[str, OrderPlanner] = {}
        self._placed_by_pool: dict[str, dict[EndpointGroup, PlacedOrder]] = {}
        self._retry_s = FIRST_RETRY_S
        self._failing_since: float | None = None

    def handle_demand(self, message: ZoneDemand) -> None:
        """Records the demand of a zone, if this VM plans orders for the pool."""
        planner = self._planners_by_pool.get(message.pool)
        if planner is not None:
            planner.observe_demand(message.zone, sample_from_message(message), self._now())

    def close(self) -> None:
        """Closes the connection to the platform's API."""
        self._api.close()

    async def run(self) -> None:
        """Decides and sends the most urgent order, again and again, until cancelled."""
        while True:
            await asyncio.sleep(await self._decide_and_send())

    async def _decide_and_send(self) -> float:
        """Returns how long to wait before the next decision, in seconds."""
        lease = self._holder.lease()
        if lease is None:
            return DECISION_INTERVAL_S
        self._follow_lease(lease)
        self._follow_catalogue()
        order = self._next_order()
        self._keep_orders(lease.token)
        if order is None:
            return DECISION_INTERVAL_S
        return await self._send(order)

    def _follow_lease(self, lease: HeldLease) -> None:
        """Begins anew under a new token, with what earlier holders are known to have ordered."""
        if lease.token != self._token:
            self._token = lease.token
            self._planners_by_pool.clear()
            self._placed_by_pool = decode_orders(self._holder.values_by_key)
            self._retry_s, self._failing_since = FIRST_RETRY_S, None

    def _follow_catalogue(self) -> None:
        pools_by_name = {pool.name: pool for pool in scaled_pools(self._catalogue())}
        for name in self._planners_by_pool.keys() - pools_by_name.keys():
            del self._planners_by_pool[name]
            self._placed_by_pool.pop(name, None)
        for name, pool in pools_by_name.items():
            planner = self._planners_by_pool.get(name)
            if planner is None:
                self._planners_by_pool[name] = OrderPlanner(
                    pool=name,
                    config=pool.scaling,
                    engine_slots=pool.engine.slots,
                    regions_by_zone=self._regions_by_zone,
                    started_at=self._now(),
                    placed_by_group=self._placed_by_pool.get(name, {}),
                )
            else:
                planner.config, planner.engine_slots = pool.scaling, pool.engine.slots

    def _next_order(self) -> EndpointOrder | None:
        now = self._now()
        entries = list(self._directory.entries_by_id.values())
        for pool, planner in self._planners_by_pool.items():
            own_entries = [entry for entry in entries if entry.pool == pool]
            for unavailable in planner.observe_entries(own_entries, now):
                self._log_unavailable(pool, unavailable)
            self._update_metrics(pool, planner)
            if (order := planner.next_order(now)) is not None:
                return order
        return None

    def _keep_orders(self, token: int) -> None:
        """Has the orders kept beside the lease, for the next holder, if they have changed."""
        planners = self._planners_by_pool.items()
        record = encode_orders({pool: plan.supply.placed_orders() for pool, plan in planners})
        if record.value != self._holder.values_by_key.get(record.key):
            self._holder.append_later(token, (record,))

    async def _send(self, order: EndpointOrder) -> float:
        lease = self._holder.lease()
        if lease is None or lease.token != self._token:
            return DECISION_INTERVAL_S
        log_decision(order, self._planners_by_pool[order.pool])
        group = order.group
        result = await self._api.order_endpoints(
            lease, order.pool, group.zone, order.count, group.is_spot
        )
        planner = self._planners_by_pool[order.pool]
        match result:
            case CallAccepted():
                planner.record_accepted(order, self._now())
                self._keep_orders(lease.token)
                pause_s, outcome = self._record_answer(), "accepted"
            case CallRejected(status):
                self._log_unavailable(order.pool, planner.record_rejected(order, self._now()))
                pause_s, outcome = self._record_answer(), f"rejected_{status}"
            case CallFenced():
                await self._holder.give_back("fenced")
                pause_s, outcome = self._record_answer(), "fenced"
            case CallFailed(reason):
                pause_s, outcome = await self._record_failure(reason), f"failed: {reason}"
        log("INFO", "scaling_order", **describe_order(order), token=lease.token, outcome=outcome)
        return pause_s

    def _record_answer(self) -> float:
        self._retry_s, self._failing_since = FIRST_RETRY_S, None
        return self._call_interval_s

    async def _record_failure(self, reason: str) -> float:
        now, pause_s = self._now(), self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
        if self._failing_since is None:
            self._failing_since = now
        elif now - self._failing_since > MAX_FAILING_S:
            await self._holder.give_back(f"api_{reason}")
            self._failing_since = None
        return max(pause_s, self._call_interval_s)

    def _update_metrics(self, pool: str, planner: OrderPlanner) -> None:
        for group, supply in planner.supply.by_group.items():
            labels = (pool, group.zone, name_capacity_type(group))
            self._metrics.endpoints_ordered.labels(*labels).set(supply.ordered)
            self._metrics.endpoints_booting.labels(*labels).set(supply.booting)
            self._metrics.endpoints_present.labels(*labels).set(supply.ready)

    def _log_unavailable(self, pool: str, unavailable: Unavailable) -> None:
        self._metrics.endpoints_unavailable.labels(pool, unavailable.reason).inc(
            unavailable.missing
        )
        log(
            "WARNING",
            "scaling_unavailable",
            pool=pool,
            zone=unavailable.group.zone,
            capacity_type=name_capacity_type(unavailable.group),
            reason=unavailable.reason,
            missing=unavailable.missing,
            again_in_s=unavailable.backoff_s,
        )


def name_capacity_type(group: EndpointGroup) -> str:
    """Returns the label of a group of endpoints."""
    return "spot" if group.is_spot else "on_demand"


def describe_order(order: EndpointOrder) -> dict[str, object]:
    """Returns what identifies an order in log lines."""
    group = order.group
    return {
        "pool": order.pool,
        "zone": group.zone,
        "capacity_type": name_capacity_type(group),
        "count": order.count,
        "was": order.was,
    }


def log_decision(order: EndpointOrder, planner: OrderPlanner) -> None:
    """Logs why an order is due, with what the decision saw."""
    need, supply = order.need, planner.supply.by_group[order.group]
    log(
        "INFO",
        "scaling_decision",
        zone=order.group.zone,
        capacity_type=name_capacity_type(order.group),
        wanted=order.count,
        present=supply.ready,
        booting=supply.booting,
        why=order.why,
        now=f"{need.now:.1f}",
        must=f"{need.must:.1f}",
        want=f"{need.want:.1f}",
    )
