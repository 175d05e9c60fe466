"""Brokers the pools of this zone that fall to this VM, and lends and borrows limit floors."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.constants import LOAN_REQUEST_INTERVAL_S, MAX_MEMBER_LABELS, PEER_DEAD_AFTER_S
from bluebellpitch.decisions.broker import Broker
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
from bluebellpitch.decisions.slot_grants import (
    ActiveGrant,
    BrokerCommand,
    FinishedGrant,
    GrantSlot,
    PreemptGrant,
    QueuedRequest,
    RefuseRequest,
)
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import (
    ForwardedMessage,
    HeldGrant,
    HeldGrantsReport,
    LatencyReport,
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

TICK_S = 0.05
REBUILD_S = 1.0
GRANT_TAG_CHARACTERS = 8


class BrokerRole:
    """Owns the brokers of this VM. Messages come through ``take``."""

    def __init__(
        self,
        holder: ViewHolder,
        bus: PeerBus,
        history: EpochHistory,
        ring: EventRing,
        metrics: Metrics,
        now: Callable[[], float],
        policy: SchedulingPolicy,
        report_held: Callable[[str, str], None],
    ):
        self._holder = holder
        self._bus = bus
        self._history = history
        self._ring = ring
        self._metrics = metrics
        self._now = now
        self._policy = policy
        self._report_held = report_held
        self._own = holder.current.own.identity.key
        self._zone = holder.current.own.zone
        self.brokers_by_pool: dict[str, Broker] = {}
        self._borrowers_by_pool: dict[str, QuotaBorrower] = {}
        self._heard_by_pool: dict[str, set[str]] = {}
        self._started_by_pool: dict[str, float] = {}
        self._lender = QuotaLender()
        self._loans_asked_at = 0.0
        self._swept_at = 0.0

    def take(self, sender: str, message) -> None:
        """Handles one message from an asker or another broker."""
        match message:
            case LoanRequest():
                self._lend(sender, message)
            case LoanGranted(pool, epoch, asked_at):
                self._borrower(pool).record_loan(sender, epoch, asked_at)
                self._heard_by_pool.setdefault(pool, set()).add(sender)
            case LoanReturned(pool):
                self._lender.release(pool, sender)
            case ForwardedMessage(origin, inner):
                if broker := self._mine(inner.pool):
                    self._take_asker(broker, origin, inner)
            case _ if broker := self._mine(message.pool):
                self._take_asker(broker, sender, message)
            case _:
                self._pass_on(sender, message)

    def _pass_on(self, sender: str, message) -> None:
        """Sends a message to the VM that brokers the pool now."""
        owner = self._holder.current.broker(message.pool, self._zone)
        if owner is not None:
            self._bus.send(owner, ForwardedMessage(sender, message))

    def _take_asker(self, broker: Broker, asker: str, message) -> None:
        now = self._now()
        match message:
            case SlotRequest():
                self._obey(broker, broker.submit(to_waiting(message, asker, now), now))
            case SlotRequestCancelled(request):
                self._obey(broker, broker.cancel(request, now))
            case SlotReleased(grant, _, _, outcome, first_s, between_s):
                finished = FinishedGrant(grant, outcome, first_s, between_s)
                self._obey(broker, broker.finish(finished, now))
            case LatencyReport(grant, _, measure, seconds):
                broker.record_latency(grant, measure, seconds, now)
            case HeldGrantsReport(_, grants):
                self._take_held(broker, asker, grants)

    def _mine(self, pool: str) -> Broker | None:
        """Returns the broker of a pool while it falls to this VM."""
        if self._holder.current.broker(pool, self._zone) != self._own:
            return None
        if pool not in self.brokers_by_pool:
            self._start_broker(pool)
        return self.brokers_by_pool[pool]

    def _start_broker(self, pool: str) -> None:
        # Started anew after a loss, the broker must not repeat grant ids that are still held.
        tag = digest_text(self._own, pool, repr(self._now()))[:GRANT_TAG_CHARACTERS]
        broker = Broker(pool, self._zone, self._limit_of(pool), self._policy, tag)
        view = self._holder.current
        broker.set_table(view.table, view.leaving_endpoints)
        broker.paused = True
        self.brokers_by_pool[pool] = broker
        self._started_by_pool[pool] = self._now()
        self._heard_by_pool[pool] = set()
        self._ring.record(EventKind.ROLE_TAKEN, detail=f"broker={self._zone}/{pool}")
        self._ask_loans(pool)

    def _limit_of(self, pool: str) -> Callable[[MemberRow, float], int]:
        """Returns the limit rule of a pool; the answers hold while nothing under them changes."""
        answers: dict[str, int] = {}
        basis: tuple = ()

        def limit_of(member: MemberRow, now: float) -> int:
            nonlocal basis
            table = self._holder.current.table
            lenders = self._borrower(pool).active_lenders(self._history.current_number, now)
            current = (
                table.offset,
                self._history.oldest_number,
                self._history.current_number,
                lenders,
            )
            if current != basis:
                answers.clear()
                basis = current
            if member.name not in answers:
                answers[member.name] = self._work_out_limit(table, pool, member, lenders)
            return answers[member.name]

        return limit_of

    def _work_out_limit(self, table: Table, pool: str, member: MemberRow, lenders) -> int:
        slots_by_zone = table.slots_by_zone(pool)
        share = compute_zone_quota(member.limit, member.name, pool, self._zone, slots_by_zone)
        return usable_limit(self._history, lenders, share, f"{member.name}/{pool}")

    def _borrower(self, pool: str) -> QuotaBorrower:
        return self._borrowers_by_pool.setdefault(pool, QuotaBorrower())

    def _take_held(self, broker: Broker, sender: str, grants: tuple[HeldGrant, ...]) -> None:
        now = self._now()
        for held in grants:
            if not broker.confirm_grant(held.grant, now) and (details := held.details) is not None:
                work = to_waiting(details.slot_request, sender, now)
                since = now - details.held_s
                broker.adopt_grant(ActiveGrant(held.grant, work, details.endpoint, since, now))
            if held.between_s is not None:
                broker.record_latency(held.grant, "between", held.between_s, now)

    def _obey(self, broker: Broker, commands: Iterable[BrokerCommand]) -> None:
        for command in commands:
            match command:
                case GrantSlot():
                    self._send_grant(command)
                case RefuseRequest(work, reason, retry_after_s):
                    refused = SlotRefused(
                        work.request_id, work.attempt, broker.pool, reason, retry_after_s
                    )
                    self._bus.send(work.requesting_vm, refused)
                case PreemptGrant(running, reason):
                    preempted = SlotPreempted(running.grant_id, running.request.request_id, reason)
                    self._bus.send(running.request.requesting_vm, preempted)

    def _send_grant(self, grant: GrantSlot) -> None:
        running = grant.grant
        row = self._holder.current.table.endpoints_by_name.get(running.endpoint)
        if row is None:
            return
        work = running.request
        granted = SlotGranted(
            running.grant_id,
            work.request_id,
            work.attempt,
            row.name,
            row.address,
            grant.expected_first_token_s,
            grant.expected_between_tokens_s,
        )
        self._bus.send(work.requesting_vm, granted)

    async def run(self) -> None:
        """Drives time: schedules, sweeps, borrows and follows ownership."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Does what is due now."""
        now = self._now()
        self._give_up_lost_pools()
        if now - self._loans_asked_at >= LOAN_REQUEST_INTERVAL_S:
            self._loans_asked_at = now
            for pool in self._pools_of_zone():
                self._mine(pool)
            for pool in self.brokers_by_pool:
                self._ask_loans(pool)
        sweep = now - self._swept_at >= PEER_DEAD_AFTER_S / 4
        for broker in tuple(self.brokers_by_pool.values()):
            self._tick_broker(broker, sweep, now)
        if sweep:
            self._swept_at = now

    def _tick_broker(self, broker: Broker, sweep: bool, now: float) -> None:
        view = self._holder.current
        if broker.table is not view.table or broker.leaving_endpoints != view.leaving_endpoints:
            broker.set_table(view.table, view.leaving_endpoints)
        broker.paused = broker.paused and not self._is_rebuilt(broker.pool, now)
        self._obey(broker, broker.tick(now))
        if sweep:
            self._obey(broker, broker.expire_unconfirmed(now))
            self._export_limits(broker)

    def _is_rebuilt(self, pool: str, now: float) -> bool:
        """Tells whether all live VMs of the zone have told what they hold, or had the time."""
        waited = now - self._started_by_pool[pool] >= REBUILD_S
        vms = self._holder.current.vms_of(self._zone)
        return waited or vms <= self._heard_by_pool[pool]

    def _export_limits(self, broker: Broker) -> None:
        for member, count in tuple(broker.used_slots_by_member.items())[:MAX_MEMBER_LABELS]:
            self._metrics.limit_in_use.labels(broker.pool, member).set(count)

    def _pools_of_zone(self) -> list[str]:
        zones_by_pool = self._holder.current.table.zones_by_pool
        return [p for p, zones in zones_by_pool.items() if self._zone in dict(zones)]

    def _give_up_lost_pools(self) -> None:
        view = self._holder.current
        lost = [p for p in self.brokers_by_pool if view.broker(p, self._zone) != self._own]
        for pool in lost:
            del self.brokers_by_pool[pool]
            self._borrower(pool).clear()
            self._ring.record(EventKind.ROLE_GIVEN_UP, detail=f"broker={self._zone}/{pool}")
            for vm in view.live_by_key:
                self._bus.send(vm, LoanReturned(pool))

    def _ask_loans(self, pool: str) -> None:
        epoch = self._history.current
        if epoch is None:
            return
        request = LoanRequest(pool, epoch.number, self._now())
        for vm in epoch.vms:
            self._bus.send(vm.key, request)

    def _lend(self, sender: str, request: LoanRequest) -> None:
        """Lends this VM's floors, unless it knows another epoch or another broker has them.

        Only a VM of the epoch may borrow: others need not have left an epoch for it to be settled.
        What this VM holds goes ahead of the loan, so that the broker counts it first.
        """
        epoch = self._history.current
        if epoch is None or epoch.number != request.epoch or not self._history.contains_vm(sender):
            return
        if self._lender.lend(request.pool, sender, self._now()):
            self._report_held(sender, request.pool)
            self._bus.send(sender, LoanGranted(request.pool, request.epoch, request.asked_at))


def to_waiting(ask: SlotRequest, asker: str, now: float) -> QueuedRequest:
    """Returns an ask on the broker's own clock."""
    return QueuedRequest(
        request_id=ask.request,
        attempt=ask.attempt,
        requesting_vm=asker,
        member=ask.member,
        class_name=ask.class_name,
        arrived_at=now - ask.age_s,
        expires_at=now + ask.patience_s,
        prefix=ask.prefix,
        excluded_endpoints=frozenset(ask.avoid),
        isolation_level=ask.suspicion,
        resumable=ask.resumable,
        resumed=ask.resumed,
        remote=ask.remote,
        preemptions=ask.preemptions,
        last_asked_at=now,
    )
