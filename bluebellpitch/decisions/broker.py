"""Which request runs next, and where: the broker of one pool in one zone.

Order: tiers strictly, for shedding and preemption; inside a tier the class with least slack over
weight; inside a class the member with least in use over weight; inside a member the oldest request
that can still be in time. Every waiting class also earns a small guaranteed share of slot time by
weight: the share delays higher work, it never sheds or cancels it.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import replace

from bluebellpitch.constants import (
    ASK_TIMEOUT_S,
    GRANT_TIMEOUT_S,
    MAX_PREEMPTIONS_PER_REQUEST,
    PREEMPT_AFTER_TARGET_SHARE,
    SHEDDING_HOLD_S,
)
from bluebellpitch.decisions.health import HealthView, Observation
from bluebellpitch.decisions.order import Policy, ServiceOrder
from bluebellpitch.decisions.placing import EndpointChooser
from bluebellpitch.decisions.queues import WaitingQueues
from bluebellpitch.decisions.rows import EndpointRow, MemberRow, Table
from bluebellpitch.decisions.work import (
    Command,
    Finished,
    Grant,
    Preempt,
    Refuse,
    Running,
    Waiting,
)

LimitOf = Callable[[MemberRow, float], int]


def by_arrival(running: Running) -> tuple[float, str]:
    """Sorts grants by when their caller's request came in."""
    return running.work.arrived_at, running.grant


class Broker:
    """State of one pool in one zone. Soft: rebuilt from what the VMs hold.

    ``limit_of`` tells how many requests of a member may run here now.
    """

    def __init__(self, pool: str, zone: str, limit_of: LimitOf, policy=Policy(), tag=""):
        self.pool = pool
        self.zone = zone
        self.limit_of = limit_of
        self.policy = policy
        self.tag = tag
        self.queues = WaitingQueues()
        self.order = ServiceOrder(self.queues, policy)
        self.running_by_grant: dict[str, Running] = {}
        self.grants_by_request: dict[str, str] = {}
        self.in_use_by_member: dict[str, int] = {}
        self.running_by_class: dict[str, list[Running]] = {}
        self.health = HealthView()
        self.chooser = EndpointChooser(self.health)
        self.table = Table({})
        self.leaving: frozenset[str] = frozenset()
        self.paused = False
        self._next_grant = 0
        self._shed_by_tier: dict[int, float] = {}

    def set_table(self, table: Table, leaving: frozenset[str] = frozenset()) -> None:
        """Takes a newer table; endpoints that are ``leaving`` get no new work either."""
        self.table = table
        self.leaving = leaving
        self.order.set_classes(table.classes_by_name)
        rows = table.endpoints_of(self.pool, self.zone)
        self.chooser.set_endpoints(tuple(row for row in rows if row.name not in leaving))

    def ask(self, work: Waiting, now: float) -> Iterator[Command]:
        """Takes a request in. Repeating an ask is harmless."""
        if (granted := self._granted(work)) is not None:
            yield self._describe(granted)
            return
        known = self.queues.by_request.get(work.request)
        if known is None:
            if (refusal := self._refuse_early(work, now)) is not None:
                yield refusal
                return
        else:
            work = replace(work, arrived_at=known.arrived_at)
        self.queues.add(work)
        yield from self.schedule(now)

    def _granted(self, work: Waiting) -> Running | None:
        running = self.running_by_grant.get(self.grants_by_request.get(work.request, ""))
        if running is None or running.work.attempt != work.attempt:
            return None
        return running

    def _refuse_early(self, work: Waiting, now: float) -> Refuse | None:
        """Refuses new work that would only wait out its patience; what ran before is let in."""
        if work.attempt > 1:
            return None
        expected_s = self._expected_wait(work)
        patience_s = work.expires_at - now
        if expected_s > patience_s:
            return self._shed(work, "overloaded", expected_s - patience_s, now)
        if self._is_shedding_above(work, now):
            return self._shed(work, "higher_tier_shed", SHEDDING_HOLD_S, now)
        return None

    def _shed(self, work: Waiting, reason: str, retry_after_s: float, now: float) -> Refuse:
        self._shed_by_tier[self.order.tier(work.class_name)] = now
        return Refuse(work, reason, min(60.0, max(0.1, retry_after_s)))

    def _is_shedding_above(self, work: Waiting, now: float) -> bool:
        """While a higher tier was shed just now, no lower one may be taken in."""
        tier = self.order.tier(work.class_name)
        shed = (at for other, at in self._shed_by_tier.items() if other < tier)
        return any(now - at < SHEDDING_HOLD_S for at in shed)

    def _expected_wait(self, work: Waiting) -> float:
        """Returns seconds until a slot, from the work that goes first."""
        slots = self.chooser.total_slots
        if not slots:
            return 0.0
        tier = self.order.tier(work.class_name)
        ahead = (name for name in self.queues.classes() if self.order.tier(name) <= tier)
        ahead_s = sum(
            self.queues.count(name) * self.order.load(name).slot_s.value for name in ahead
        )
        return ahead_s / slots

    def cancel(self, request: str, now: float) -> Iterator[Command]:
        """Forgets a request whose asker gave up; its grant must be returned apart."""
        self.queues.remove(request)
        yield from self.schedule(now)

    def finish(self, finished: Finished, now: float) -> Iterator[Command]:
        """Takes a slot back."""
        running = self.running_by_grant.get(finished.grant)
        if running is None:
            return
        self._drop(running)
        self._learn(running, finished, now)
        yield from self.schedule(now)

    def _drop(self, running: Running) -> None:
        del self.running_by_grant[running.grant]
        if self.grants_by_request.get(running.work.request) == running.grant:
            del self.grants_by_request[running.work.request]
        self.in_use_by_member[running.work.member] -= 1
        peers = self.running_by_class[running.work.class_name]
        place = bisect_left(peers, by_arrival(running), key=by_arrival)
        del peers[place]
        self.chooser.remove(running)

    def _learn(self, running: Running, finished: Finished, now: float) -> None:
        work = running.work
        load = self.order.load(work.class_name)
        if finished.outcome in ("completed", "preempted"):
            load.slot_s.add(now - running.granted_at)
        if finished.outcome in ("crashed", "unreachable"):
            self.health.mark_down(running.endpoint, now)
        if finished.first_s is not None and not running.first_token_seen:
            self.observe(running.grant, "first", finished.first_s, now, running)
        if finished.between_s is not None:
            self.observe(running.grant, "between", finished.between_s, now, running)

    def observe(self, grant: str, measure: str, seconds: float, now: float, running=None) -> None:
        """Takes in a time that a holder saw: to the first token, or between tokens."""
        running = running or self.running_by_grant.get(grant)
        if running is None:
            return
        running.first_token_seen |= measure == "first"
        if not self.health.is_slow(running.endpoint):
            load = self.order.load(running.work.class_name)
            (load.first_s if measure == "first" else load.between_s).add(seconds)
        seen = Observation(now, running.work.class_name, measure, seconds)
        self.health.observe(running.endpoint, seen)

    def confirm(self, grant: str, now: float) -> bool:
        """Notes that a holder names a grant; False when it is not known here."""
        known = self.running_by_grant.get(grant)
        if known is None:
            return False
        known.confirmed_at = now
        return True

    def adopt(self, running: Running) -> None:
        """Takes over a grant of a former broker."""
        self.queues.remove(running.work.request)
        self._hold(running)

    def drop_unconfirmed(self, now: float) -> Iterator[Command]:
        """Takes back slots, and forgets requests, that their VM has not named for a while."""
        running = tuple(self.running_by_grant.values())
        for stale in (r for r in running if now - r.confirmed_at > GRANT_TIMEOUT_S):
            self._drop(stale)
        waiting = tuple(self.queues.by_request.values())
        for work in (w for w in waiting if now - w.asked_at > ASK_TIMEOUT_S):
            self.queues.remove(work.request)
        yield from self.schedule(now)

    def tick(self, now: float) -> Iterator[Command]:
        """Does what time alone brings: expires impatient work and judges endpoints."""
        for work in self.queues.expired(now):
            self.queues.remove(work.request)
            yield self._shed(work, "waited_too_long", 1.0, now)
        if self.policy.judge_health:
            yield from self._judge_health(now)
        yield from self.schedule(now)

    def _judge_health(self, now: float) -> Iterator[Preempt]:
        slowed = [name for name, slow in self.health.judge(now) if slow]
        for running in tuple(self.running_by_grant.values()) if slowed else ():
            if running.endpoint in slowed and self._may_preempt(running):
                yield self._take_back(running, "slow_endpoint")

    def _take_back(self, running: Running, reason: str) -> Preempt:
        running.preempting = True
        self.chooser.release(running)
        return Preempt(running, reason)

    def schedule(self, now: float) -> Iterator[Command]:
        """Gives out free slots and preempts for higher tiers.

        A broker that is still learning what runs is ``paused`` and gives nothing out.
        """
        self.order.earn_shares(self.chooser.total_slots, now)
        if self.paused or not self.queues.by_request:
            return
        while (choice := self._choose(now)) is not None:
            work, endpoint, from_share = choice
            yield self._grant(work, endpoint.name, from_share, now)
        if self.policy.preempt:
            yield from self._preempt(now)

    def _choose(self, now: float) -> tuple[Waiting, EndpointRow, bool] | None:
        """Returns (work, endpoint, from_share) for the next grant, or None."""
        lowest_tier = self.order.lowest_waiting_tier()
        for class_name, from_share in self.order.rank_classes(now, self._is_contended()):
            if self.chooser.is_full() and not self.queues.has_suspects():
                return None
            lowest = self.order.tier(class_name) == lowest_tier
            for work in self._candidates(class_name, now):
                endpoint = self.chooser.choose(work, lowest, now)
                if endpoint is not None:
                    return work, endpoint, from_share
        return None

    def _candidates(self, class_name: str, now: float) -> Iterator[Waiting]:
        """Yields the next request, and after a suspect that must wait the next innocent one."""
        work = self._pick(class_name, now)
        if work is None:
            return
        yield work
        if work.suspicion:
            innocent = self._pick(class_name, now, skip_suspects=True)
            if innocent is not None:
                yield innocent

    def _is_contended(self) -> bool:
        """While there is a slot for everybody, nobody needs its guaranteed share."""
        free = self.chooser.total_slots - len(self.running_by_grant)
        return len(self.queues.by_request) > free

    def _pick(self, class_name: str, now: float, skip_suspects=False) -> Waiting | None:
        late_before = self.order.late_before(class_name, now)
        return self.queues.pick(
            class_name, lambda m: self._member_order(m, now), late_before, skip_suspects
        )

    def _member_order(self, name: str, now: float) -> float:
        """Returns what a member has in use over its weight; infinity at its limit."""
        in_use = self.in_use_by_member.get(name, 0)
        row = self.table.members_by_name.get(name)
        if row is None:
            return float(in_use)
        if row.limit and in_use >= self.limit_of(row, now):
            return math.inf
        return in_use / row.weight

    def _grant(self, work: Waiting, endpoint: str, from_share: bool, now: float) -> Grant:
        self.queues.remove(work.request)
        self._next_grant += 1
        grant = f"{self.tag}{self._next_grant:x}"
        running = Running(grant, work, endpoint, now, now, from_share)
        self._hold(running)
        if from_share:
            self.order.spend_share(work.class_name)
        return self._describe(running)

    def _describe(self, running: Running) -> Grant:
        load = self.order.load(running.work.class_name)
        return Grant(running, load.first_s.value, load.between_s.value)

    def _hold(self, running: Running) -> None:
        self.running_by_grant[running.grant] = running
        self.grants_by_request[running.work.request] = running.grant
        member = running.work.member
        self.in_use_by_member[member] = self.in_use_by_member.get(member, 0) + 1
        peers = self.running_by_class.setdefault(running.work.class_name, [])
        insort(peers, running, key=by_arrival)
        self.chooser.add(running)

    def _preempt(self, now: float) -> Iterator[Command]:
        """Puts higher tiers in the place of lower ones, the lowest tier and youngest request first.

        The place is granted together with the preemption: the engine runs by priority, so the
        newcomer starts as soon as the victim's connection closes.
        """
        for class_name in sorted(self.queues.classes(), key=self.order.tier):
            if self.order.is_late(class_name, now):
                continue
            while (work := self._pick(class_name, now, skip_suspects=True)) is not None:
                victim = self._victim(work, now) if self._is_urgent(work, now) else None
                if victim is None:
                    break
                yield self._take_back(victim, "higher_tier_waits")
                yield self._grant(work, victim.endpoint, False, now)

    def _is_urgent(self, work: Waiting, now: float) -> bool:
        """Tells whether work may preempt: at once in the highest tier, else after a short wait."""
        row = self.order.row(work.class_name)
        if work.resumed or row.tier <= self.order.highest_tier:
            return True
        return now - work.arrived_at >= PREEMPT_AFTER_TARGET_SHARE * row.first_token_ms / 1000

    def _victim(self, work: Waiting, now: float) -> Running | None:
        """Returns the grant to end for ``work``: the youngest request of the lowest tier."""
        tier = self.order.tier(work.class_name)
        for class_name in sorted(self.running_by_class, key=self.order.tier, reverse=True):
            if self.order.tier(class_name) <= tier:
                return None
            for running in reversed(self.running_by_class[class_name]):
                if self._may_replace(running, work, now):
                    return running
        return None

    def _may_replace(self, running: Running, work: Waiting, now: float) -> bool:
        if running.from_share or not self._may_preempt(running):
            return False
        return self.chooser.may_replace(running.endpoint, work, now)

    def _may_preempt(self, running: Running) -> bool:
        if running.preempting or not running.work.resumable:
            return False
        return running.work.preemptions < MAX_PREEMPTIONS_PER_REQUEST
