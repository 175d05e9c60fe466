"""Runs the slot brokers of the pools that this VM owns in its zone; lends and borrows quotas."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.constants import LOAN_REQUEST_INTERVAL_S, MAX_MEMBER_LABELS, PEER_DEAD_AFTER_S
from bluebellpitch.decisions.class_scheduling import SchedulingPolicy
from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.member_quotas import (
    EpochHistory,
    QuotaBorrower,
    QuotaLender,
    compute_zone_quota,
    usable_limit,
)
from bluebellpitch.decisions.rows import MemberRow, Table
from bluebellpitch.decisions.slot_broker import SlotBroker
from bluebellpitch.decisions.slot_grants import (
    ActiveGrant,
    FinishedGrant,
    GrantSlot,
    PreemptGrant,
    QueuedRequest,
    RefuseRequest,
    SlotBrokerCommand,
)
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import (
    ForwardedMessage,
    HeldGrant,
    HeldGrantsReport,
    LatencyReport,
    LimitReport,
    LoanGranted,
    LoanRequest,
    LoanReturned,
    SlotGranted,
    SlotPreempted,
    SlotRefused,
    SlotReleased,
    SlotRequest,
    SlotRequestCancelled,
)
from bluebellpitch.view import ViewHolder

TICK_INTERVAL_S = 0.05
REBUILD_TIMEOUT_S = 1.0
GRANT_TAG_LENGTH = 8


class SlotBrokerService:
    """Owns the slot brokers of this VM. Incoming messages are passed to ``handle_message``."""

    def __init__(
        self,
        view_holder: ViewHolder,
        bus: PeerBus,
        history: EpochHistory,
        event_ring: EventRing,
        metrics: Metrics,
        now: Callable[[], float],
        policy: SchedulingPolicy,
        report_held_slots: Callable[[str, str], None],
    ):
        self._view_holder = view_holder
        self._bus = bus
        self._history = history
        self._event_ring = event_ring
        self._metrics = metrics
        self._now = now
        self._policy = policy
        self._report_held_slots = report_held_slots
        self._own_key = view_holder.current.own.identity.key
        self._zone = view_holder.current.own.zone
        self.brokers_by_pool: dict[str, SlotBroker] = {}
        self._borrowers_by_pool: dict[str, QuotaBorrower] = {}
        self._reporters_by_pool: dict[str, set[str]] = {}
        self._started_at_by_pool: dict[str, float] = {}
        self._lender = QuotaLender()
        self._loans_requested_at = 0.0
        self._swept_at = 0.0

    def handle_message(self, sender: str, message) -> None:
        """Handles one message from a requesting VM or from another broker."""
        match message:
            case LoanRequest():
                self._lend(sender, message)
            case LoanGranted(pool, epoch, asked_at):
                self._borrower(pool).record_loan(sender, epoch, asked_at)
                self._reporters_by_pool.setdefault(pool, set()).add(sender)
            case LoanReturned(pool):
                self._lender.release(pool, sender)
            case ForwardedMessage(origin, inner):
                if broker := self._owned_broker(inner.pool):
                    self._handle_request(broker, origin, inner)
            case _ if broker := self._owned_broker(message.pool):
                self._handle_request(broker, sender, message)
            case _:
                self._forward(sender, message)

    def _forward(self, sender: str, message) -> None:
        """Forwards a message to the VM that brokers the pool now."""
        broker_vm = self._view_holder.current.broker_vm(message.pool, self._zone)
        if broker_vm is not None:
            self._bus.send(broker_vm, ForwardedMessage(sender, message))

    def _handle_request(self, broker: SlotBroker, requester: str, message) -> None:
        now = self._now()
        match message:
            case SlotRequest():
                self._execute(broker, broker.submit(to_broker_clock(message, requester, now), now))
            case SlotRequestCancelled(request):
                self._execute(broker, broker.cancel(request, now))
            case SlotReleased(grant, _, _, outcome, first_token_s, inter_token_s):
                finished = FinishedGrant(grant, outcome, first_token_s, inter_token_s)
                self._execute(broker, broker.finish(finished, now))
            case LatencyReport(grant, _, measure, seconds):
                broker.record_latency(grant, measure, seconds, now)
            case LimitReport(_, endpoint, limit_per_s):
                if broker.selector.record_limit(endpoint, limit_per_s, now):
                    log("INFO", "broker_limit", endpoint=endpoint, limit_per_s=limit_per_s)
            case HeldGrantsReport(_, grants):
                self._reconcile_held_grants(broker, requester, grants)

    def _owned_broker(self, pool: str) -> SlotBroker | None:
        """Returns the broker of a pool, starting it if needed; None if another VM owns the pool."""
        if self._view_holder.current.broker_vm(pool, self._zone) != self._own_key:
            return None
        if pool not in self.brokers_by_pool:
            self._start_broker(pool)
        return self.brokers_by_pool[pool]

    def _start_broker(self, pool: str) -> None:
        # The tag includes the start time: a broker that lost the pool and took it back must not
        # reuse ids of grants that are still held.
        tag = digest_text(self._own_key, pool, repr(self._now()))[:GRANT_TAG_LENGTH]
        broker = SlotBroker(pool, self._zone, self._make_limit_rule(pool), self._policy, tag)
        view = self._view_holder.current
        broker.set_table(view.table, view.leaving_endpoints)
        broker.paused = True
        self.brokers_by_pool[pool] = broker
        self._started_at_by_pool[pool] = self._now()
        self._reporters_by_pool[pool] = set()
        self._event_ring.record(EventKind.ROLE_TAKEN, detail=f"broker={self._zone}/{pool}")
        self._request_loans(pool)

    def _make_limit_rule(self, pool: str) -> Callable[[MemberRow, float], int]:
        """Returns the member limit rule of a pool, which caches limits until an input changes."""
        limits_by_member: dict[str, int] = {}
        cached_inputs: tuple = ()

        def limit_of(member: MemberRow, now: float) -> int:
            nonlocal cached_inputs
            table = self._view_holder.current.table
            lenders = self._borrower(pool).active_lenders(self._history.current_number, now)
            inputs = (
                table.offset,
                self._history.oldest_number,
                self._history.current_number,
                lenders,
            )
            if inputs != cached_inputs:
                limits_by_member.clear()
                cached_inputs = inputs
            if member.name not in limits_by_member:
                limits_by_member[member.name] = self._compute_limit(table, pool, member, lenders)
            return limits_by_member[member.name]

        return limit_of

    def _compute_limit(self, table: Table, pool: str, member: MemberRow, lenders) -> int:
        slots_by_zone = table.slots_by_zone(pool)
        zone_quota = compute_zone_quota(member.limit, member.name, pool, self._zone, slots_by_zone)
        return usable_limit(self._history, lenders, zone_quota, f"{member.name}/{pool}")

    def _borrower(self, pool: str) -> QuotaBorrower:
        return self._borrowers_by_pool.setdefault(pool, QuotaBorrower())

    def _reconcile_held_grants(
        self, broker: SlotBroker, sender: str, grants: tuple[HeldGrant, ...]
    ) -> None:
        now = self._now()
        for held in grants:
            if not broker.confirm_grant(held.grant, now) and (details := held.details) is not None:
                request = to_broker_clock(details.slot_request, sender, now)
                granted_at = now - details.held_s
                broker.adopt_grant(
                    ActiveGrant(held.grant, request, details.endpoint, granted_at, now)
                )
            if held.between_s is not None:
                broker.record_latency(held.grant, "between", held.between_s, now)

    def _execute(self, broker: SlotBroker, commands: Iterable[SlotBrokerCommand]) -> None:
        for command in commands:
            match command:
                case GrantSlot():
                    self._send_grant(command)
                case RefuseRequest(request, reason, retry_after_s):
                    refused = SlotRefused(
                        request.request_id, request.attempt, broker.pool, reason, retry_after_s
                    )
                    self._bus.send(request.requesting_vm, refused)
                case PreemptGrant(active_grant, reason):
                    preempted = SlotPreempted(
                        active_grant.grant_id, active_grant.request.request_id, reason
                    )
                    self._bus.send(active_grant.request.requesting_vm, preempted)

    def _send_grant(self, command: GrantSlot) -> None:
        active_grant = command.grant
        endpoint = self._view_holder.current.table.endpoints_by_name.get(active_grant.endpoint)
        if endpoint is None:
            return
        request = active_grant.request
        granted = SlotGranted(
            active_grant.grant_id,
            request.request_id,
            request.attempt,
            endpoint.name,
            endpoint.address,
            command.expected_first_token_s,
            command.expected_inter_token_s,
            command.limit_per_s,
        )
        self._bus.send(request.requesting_vm, granted)

    async def run(self) -> None:
        """Runs ``tick`` periodically until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Runs whatever is due: pool ownership, loans, scheduling and sweeps of stale grants."""
        now = self._now()
        self._drop_lost_pools()
        if now - self._loans_requested_at >= LOAN_REQUEST_INTERVAL_S:
            self._loans_requested_at = now
            for pool in self._pools_of_zone():
                self._owned_broker(pool)
            for pool in self.brokers_by_pool:
                self._request_loans(pool)
        sweep_due = now - self._swept_at >= PEER_DEAD_AFTER_S / 4
        for broker in tuple(self.brokers_by_pool.values()):
            self._tick_broker(broker, sweep_due, now)
        if sweep_due:
            self._swept_at = now

    def _tick_broker(self, broker: SlotBroker, sweep_due: bool, now: float) -> None:
        view = self._view_holder.current
        if broker.table is not view.table or broker.leaving_endpoints != view.leaving_endpoints:
            broker.set_table(view.table, view.leaving_endpoints)
        broker.paused = broker.paused and not self._is_rebuilt(broker.pool, now)
        self._execute(broker, broker.tick(now))
        if sweep_due:
            self._execute(broker, broker.expire_unconfirmed(now))
            self._export_limits(broker)

    def _is_rebuilt(self, pool: str, now: float) -> bool:
        """Returns whether all live VMs of the zone reported their slots, or the wait timed out."""
        timed_out = now - self._started_at_by_pool[pool] >= REBUILD_TIMEOUT_S
        vms = self._view_holder.current.eligible_vms(self._zone)
        return timed_out or vms <= self._reporters_by_pool[pool]

    def _export_limits(self, broker: SlotBroker) -> None:
        for member, count in tuple(broker.used_slots_by_member.items())[:MAX_MEMBER_LABELS]:
            self._metrics.limit_in_use.labels(broker.pool, member).set(count)

    def _pools_of_zone(self) -> list[str]:
        zones_by_pool = self._view_holder.current.table.zones_by_pool
        return [p for p, zones in zones_by_pool.items() if self._zone in dict(zones)]

    def _drop_lost_pools(self) -> None:
        view = self._view_holder.current
        lost = [p for p in self.brokers_by_pool if view.broker_vm(p, self._zone) != self._own_key]
        for pool in lost:
            del self.brokers_by_pool[pool]
            self._borrower(pool).clear()
            self._event_ring.record(EventKind.ROLE_GIVEN_UP, detail=f"broker={self._zone}/{pool}")
            for vm in view.live_by_key:
                self._bus.send(vm, LoanReturned(pool))

    def _request_loans(self, pool: str) -> None:
        epoch = self._history.current
        if epoch is None:
            return
        request = LoanRequest(pool, epoch.number, self._now())
        for vm in epoch.vms:
            self._bus.send(vm.key, request)

    def _lend(self, sender: str, request: LoanRequest) -> None:
        """Lends this VM's quotas, unless it is in another epoch or another broker holds them.

        Only a VM of the epoch may borrow: an epoch can settle before other VMs have left it.
        The held slots are reported before the loan, so that the broker counts them first.
        """
        epoch = self._history.current
        if epoch is None or epoch.number != request.epoch or not self._history.contains_vm(sender):
            return
        if self._lender.lend(request.pool, sender, self._now()):
            self._report_held_slots(sender, request.pool)
            self._bus.send(sender, LoanGranted(request.pool, request.epoch, request.asked_at))


def to_broker_clock(slot_request: SlotRequest, requester: str, now: float) -> QueuedRequest:
    """Returns a request with its times converted to the broker's clock."""
    return QueuedRequest(
        request_id=slot_request.request,
        attempt=slot_request.attempt,
        requesting_vm=requester,
        member=slot_request.member,
        class_name=slot_request.class_name,
        arrived_at=now - slot_request.age_s,
        expires_at=now + slot_request.patience_s,
        prefix=slot_request.prefix,
        excluded_endpoints=frozenset(slot_request.avoid),
        isolation_level=slot_request.suspicion,
        resumable=slot_request.resumable,
        resumed=slot_request.resumed,
        remote=slot_request.remote,
        preemptions=slot_request.preemptions,
        last_requested_at=now,
    )
