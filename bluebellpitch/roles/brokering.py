"""Brokers the pools of this zone that fall to this VM, and lends and borrows limit floors."""

import asyncio
from collections.abc import Callable, Iterable

from bluebellpitch.constants import LOAN_INTERVAL_S, MEMBERS_WITH_OWN_LABEL, PEER_DEAD_AFTER_S
from bluebellpitch.decisions.broker import Broker
from bluebellpitch.decisions.floors import Borrower, EpochHistory, Lender, usable_limit, zone_share
from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.order import Policy
from bluebellpitch.decisions.rows import MemberRow, Table
from bluebellpitch.decisions.work import Command, Finished, Grant, Preempt, Refuse, Running, Waiting
from bluebellpitch.events import Kind, Ring
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import (
    Ask,
    Cancel,
    Forwarded,
    Granted,
    Held,
    HeldGrant,
    LoanGiven,
    LoanRequest,
    LoanReturned,
    Preempted,
    Refused,
    Returned,
    Seen,
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
        ring: Ring,
        metrics: Metrics,
        now: Callable[[], float],
        policy: Policy,
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
        self._borrowers_by_pool: dict[str, Borrower] = {}
        self._heard_by_pool: dict[str, set[str]] = {}
        self._started_by_pool: dict[str, float] = {}
        self._lender = Lender()
        self._loans_asked_at = 0.0
        self._swept_at = 0.0

    def handle_message(self, sender: str, message) -> None:
        """Handles one message from an asker or another broker."""
        match message:
            case LoanRequest():
                self._lend(sender, message)
            case LoanGiven(pool, epoch, asked_at):
                self._borrower(pool).record(sender, epoch, asked_at)
                self._heard_by_pool.setdefault(pool, set()).add(sender)
            case LoanReturned(pool):
                self._lender.release(pool, sender)
            case Forwarded(origin, inner):
                if broker := self._mine(inner.pool):
                    self._take_asker(broker, origin, inner)
            case _ if broker := self._mine(message.pool):
                self._take_asker(broker, sender, message)
            case _:
                self._pass_on(sender, message)

    def _pass_on(self, sender: str, message) -> None:
        """Sends a message to the VM that brokers the pool now."""
        owner = self._holder.current.broker_vm(message.pool, self._zone)
        if owner is not None:
            self._bus.send(owner, Forwarded(sender, message))

    def _take_asker(self, broker: Broker, asker: str, message) -> None:
        now = self._now()
        match message:
            case Ask():
                self._obey(broker, broker.ask(to_waiting(message, asker, now), now))
            case Cancel(request):
                self._obey(broker, broker.cancel(request, now))
            case Returned(grant, _, _, outcome, first_s, between_s):
                finished = Finished(grant, outcome, first_s, between_s)
                self._obey(broker, broker.finish(finished, now))
            case Seen(grant, _, measure, seconds):
                broker.observe(grant, measure, seconds, now)
            case Held(_, grants):
                self._take_held(broker, asker, grants)

    def _mine(self, pool: str) -> Broker | None:
        """Returns the broker of a pool while it falls to this VM."""
        if self._holder.current.broker_vm(pool, self._zone) != self._own:
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
        self._ring.record(Kind.ROLE_TAKEN, detail=f"broker={self._zone}/{pool}")
        self._ask_loans(pool)

    def _limit_of(self, pool: str) -> Callable[[MemberRow, float], int]:
        """Returns the limit rule of a pool; the answers hold while nothing under them changes."""
        answers: dict[str, int] = {}
        basis: tuple = ()

        def limit_of(member: MemberRow, now: float) -> int:
            nonlocal basis
            table = self._holder.current.table
            lenders = self._borrower(pool).lenders(self._history.number, now)
            current = (table.offset, self._history.settled, self._history.number, lenders)
            if current != basis:
                answers.clear()
                basis = current
            if member.name not in answers:
                answers[member.name] = self._work_out_limit(table, pool, member, lenders)
            return answers[member.name]

        return limit_of

    def _work_out_limit(self, table: Table, pool: str, member: MemberRow, lenders) -> int:
        slots_by_zone = table.slots_by_zone(pool)
        share = zone_share(member.limit, member.name, pool, self._zone, slots_by_zone)
        return usable_limit(self._history, lenders, share, f"{member.name}/{pool}")

    def _borrower(self, pool: str) -> Borrower:
        return self._borrowers_by_pool.setdefault(pool, Borrower())

    def _take_held(self, broker: Broker, sender: str, grants: tuple[HeldGrant, ...]) -> None:
        now = self._now()
        for held in grants:
            if not broker.confirm(held.grant, now) and (details := held.details) is not None:
                work = to_waiting(details.ask, sender, now)
                since = now - details.held_s
                broker.adopt(Running(held.grant, work, details.endpoint, since, now))
            if held.between_s is not None:
                broker.observe(held.grant, "between", held.between_s, now)

    def _obey(self, broker: Broker, commands: Iterable[Command]) -> None:
        for command in commands:
            match command:
                case Grant():
                    self._send_grant(command)
                case Refuse(work, reason, retry_after_s):
                    refused = Refused(
                        work.request, work.attempt, broker.pool, reason, retry_after_s
                    )
                    self._bus.send(work.asker, refused)
                case Preempt(running, reason):
                    preempted = Preempted(running.grant, running.work.request, reason)
                    self._bus.send(running.work.asker, preempted)

    def _send_grant(self, grant: Grant) -> None:
        running = grant.running
        row = self._holder.current.table.endpoints_by_name.get(running.endpoint)
        if row is None:
            return
        work = running.work
        granted = Granted(
            running.grant,
            work.request,
            work.attempt,
            row.name,
            row.address,
            grant.expected_first_s,
            grant.expected_between_s,
        )
        self._bus.send(work.asker, granted)

    async def run(self) -> None:
        """Drives time: schedules, sweeps, borrows and follows ownership."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Does what is due now."""
        now = self._now()
        self._give_up_lost_pools()
        if now - self._loans_asked_at >= LOAN_INTERVAL_S:
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
        if broker.table is not view.table or broker.leaving != view.leaving_endpoints:
            broker.set_table(view.table, view.leaving_endpoints)
        broker.paused = broker.paused and not self._is_rebuilt(broker.pool, now)
        self._obey(broker, broker.tick(now))
        if sweep:
            self._obey(broker, broker.drop_unconfirmed(now))
            self._export_limits(broker)

    def _is_rebuilt(self, pool: str, now: float) -> bool:
        """Tells whether all live VMs of the zone have told what they hold, or had the time."""
        waited = now - self._started_by_pool[pool] >= REBUILD_S
        vms = self._holder.current.eligible_vms(self._zone)
        return waited or vms <= self._heard_by_pool[pool]

    def _export_limits(self, broker: Broker) -> None:
        for member, count in tuple(broker.in_use_by_member.items())[:MEMBERS_WITH_OWN_LABEL]:
            self._metrics.limit_in_use.labels(broker.pool, member).set(count)

    def _pools_of_zone(self) -> list[str]:
        zones_by_pool = self._holder.current.table.zones_by_pool
        return [p for p, zones in zones_by_pool.items() if self._zone in dict(zones)]

    def _give_up_lost_pools(self) -> None:
        view = self._holder.current
        lost = [p for p in self.brokers_by_pool if view.broker_vm(p, self._zone) != self._own]
        for pool in lost:
            del self.brokers_by_pool[pool]
            self._borrower(pool).clear()
            self._ring.record(Kind.ROLE_GIVEN_UP, detail=f"broker={self._zone}/{pool}")
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
        if epoch is None or epoch.number != request.epoch or not self._history.holds(sender):
            return
        if self._lender.lend(request.pool, sender, self._now()):
            self._report_held(sender, request.pool)
            self._bus.send(sender, LoanGiven(request.pool, request.epoch, request.asked_at))


def to_waiting(ask: Ask, asker: str, now: float) -> Waiting:
    """Returns an ask on the broker's own clock."""
    return Waiting(
        request=ask.request,
        attempt=ask.attempt,
        asker=asker,
        member=ask.member,
        class_name=ask.class_name,
        arrived_at=now - ask.age_s,
        expires_at=now + ask.patience_s,
        prefix=ask.prefix,
        avoid=frozenset(ask.avoid),
        suspicion=ask.suspicion,
        resumable=ask.resumable,
        resumed=ask.resumed,
        remote=ask.remote,
        preemptions=ask.preemptions,
        asked_at=now,
    )
