"""Which request runs next, and where: the broker of one pool in one zone.

Order: tiers strictly, for shedding and preemption; inside a tier the class with least slack over
weight; inside a class the member with least in use over weight; inside a member the oldest request
that can still be in time. Every waiting class also earns a small guaranteed share of slot time by
weight: the share delays higher work, it never sheds or cancels it.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from bluebellpitch.constants import (
    ASK_UNREPEATED_S,
    GRANT_UNCONFIRMED_S,
    GUARANTEED_SHARE,
    LATE_PATIENCE_SHARE,
    PREEMPT_AFTER_SHARE,
    PREEMPTIONS_PER_REQUEST,
    SHARE_CREDIT_CAP_S,
    SHED_HOLD_S,
)
from bluebellpitch.decisions.health import HealthView, Observation
from bluebellpitch.decisions.placing import EndpointChooser
from bluebellpitch.decisions.queues import WaitingQueues, first_in_time
from bluebellpitch.decisions.rows import ClassRow, EndpointRow, MemberRow, Table
from bluebellpitch.decisions.work import (
    ClassLoad,
    Command,
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


@dataclass(frozen=True, slots=True)
class Policy:
    """What may be switched off, for measurement against baselines."""

    guaranteed_share: float = GUARANTEED_SHARE
    preempt: bool = True
    strict_tiers: bool = True
    prefer_in_time: bool = True
    judge_health: bool = True


@dataclass(frozen=True, slots=True)
class Finished:
    """How a grant ended, as its holder tells. Times in seconds; None where unknown."""

    grant: str
    outcome: str
    first_s: float | None = None
    between_s: float | None = None


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
        self.running_by_grant: dict[str, Running] = {}
        self.grants_by_request: dict[str, str] = {}
        self.in_use_by_member: dict[str, int] = {}
        self.running_by_class: dict[str, list[Running]] = {}
        self.loads_by_class: dict[str, ClassLoad] = {}
        self.health = HealthView()
        self.chooser = EndpointChooser(self.health)
        self.table = Table({})
        self.leaving: frozenset[str] = frozenset()
        self._highest_tier = 0
        self.paused = False
        self._next_grant = 0
        self._credited_at = 0.0
        self._waited: tuple[str, ...] = ()
        self._shed_by_tier: dict[int, float] = {}

    def set_table(self, table: Table, leaving: frozenset[str] = frozenset()) -> None:
        """Takes a newer table; endpoints that are ``leaving`` get no new work either."""
        self.table = table
        self.leaving = leaving
        tiers = (row.tier for row in table.classes_by_name.values())
        self._highest_tier = min(tiers, default=0)
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
            return self._shed(work, "higher_tier_shed", SHED_HOLD_S, now)
        return None

    def _shed(self, work: Waiting, reason: str, retry_after_s: float, now: float) -> Refuse:
        self._shed_by_tier[self._tier(work.class_name)] = now
        return Refuse(work, reason, min(60.0, max(0.1, retry_after_s)))

    def _is_shedding_above(self, work: Waiting, now: float) -> bool:
        """While a higher tier was shed just now, no lower one may be taken in."""
        tier = self._tier(work.class_name)
        shed = (at for other, at in self._shed_by_tier.items() if other < tier)
        return any(now - at < SHED_HOLD_S for at in shed)

    def _expected_wait(self, work: Waiting) -> float:
        """Returns seconds until a slot, from the work that goes first."""
        slots = self.chooser.total_slots
        if not slots:
            return 0.0
        tier = self._tier(work.class_name)
        ahead = (name for name in self.queues.classes() if self._tier(name) <= tier)
        ahead_s = sum(self.queues.count(name) * self._load(name).slot_s.value for name in ahead)
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
        load = self._load(work.class_name)
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
            load = self._load(running.work.class_name)
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
        for stale in (r for r in running if now - r.confirmed_at > GRANT_UNCONFIRMED_S):
            self._drop(stale)
        waiting = tuple(self.queues.by_request.values())
        for work in (w for w in waiting if now - w.asked_at > ASK_UNREPEATED_S):
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
        self._earn_credit(now)
        if self.paused or not self.queues.by_request:
            return
        while (choice := self._choose(now)) is not None:
            work, endpoint, from_share = choice
            yield self._grant(work, endpoint.name, from_share, now)
        if self.policy.preempt:
            yield from self._preempt(now)

    def _choose(self, now: float) -> tuple[Waiting, EndpointRow, bool] | None:
        """Returns (work, endpoint, from_share) for the next grant, or None."""
        lowest_tier = max(map(self._tier, self.queues.classes()), default=0)
        for class_name, from_share in self._class_order(now):
            if self.chooser.is_full() and not self.queues.has_suspects():
                return None
            lowest = self._tier(class_name) == lowest_tier
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

    def _class_order(self, now: float) -> list[tuple[str, bool]]:
        """Returns waiting classes, those with a due share first, then by tier and slack."""
        names = self.queues.classes()
        if not self.policy.strict_tiers:
            return [(name, False) for name in sorted(names, key=self._oldest)]
        due = [name for name in names if self._is_share_due(name)] if self._is_contended() else []
        due.sort(key=lambda name: -self._load(name).share_credit_s)
        ranked = sorted(names, key=lambda name: self._class_rank(name, now))
        return [(name, True) for name in due] + [(name, False) for name in ranked]

    def _class_rank(self, class_name: str, now: float) -> tuple[bool, int, float]:
        """Ranks a class: by tier, then slack. A class that can only be late goes last for a while.

        Late work is only delayed: it is back in its tier's place before its patience runs out.
        """
        late = self._is_late(class_name, now)
        return late, self._tier(class_name), self._slack(class_name, now)

    def _is_late(self, class_name: str, now: float) -> bool:
        if not self.policy.prefer_in_time:
            return False
        late_before = self._late_before(class_name, now)
        queues = (queue for _, queue in self.queues.members(class_name))
        return all(is_late(queue, late_before, now) for queue in queues)

    def _is_contended(self) -> bool:
        """While there is a slot for everybody, nobody needs its guaranteed share."""
        free = self.chooser.total_slots - len(self.running_by_grant)
        return len(self.queues.by_request) > free

    def _oldest(self, class_name: str) -> float:
        return min(queue[0].arrived_at for _, queue in self.queues.members(class_name))

    def _slack(self, class_name: str, now: float) -> float:
        """Returns time left to the target of the oldest work, over weight; late work goes last."""
        row = self._class(class_name)
        left_s = self._oldest(class_name) + row.first_token_ms / 1000 - now
        return left_s / row.weight if left_s > 0 else math.inf

    def _is_share_due(self, class_name: str) -> bool:
        load = self._load(class_name)
        needed_s = min(load.slot_s.value or SHARE_CREDIT_CAP_S, SHARE_CREDIT_CAP_S)
        return load.share_credit_s >= needed_s

    def _earn_credit(self, now: float) -> None:
        """Gives each class that has waited its guaranteed share of the slot time since."""
        waiting, self._waited = self._waited, self.queues.classes()
        last, self._credited_at = self._credited_at, now
        if not waiting:
            return
        passed_s = (now - last) * self.chooser.total_slots * self.policy.guaranteed_share
        weights = sum(self._class(name).weight for name in waiting)
        for name in waiting:
            load = self._load(name)
            earned_s = passed_s * self._class(name).weight / weights
            load.share_credit_s = min(SHARE_CREDIT_CAP_S, load.share_credit_s + earned_s)

    def _pick(self, class_name: str, now: float, skip_suspects=False) -> Waiting | None:
        late_before = self._late_before(class_name, now)
        return self.queues.pick(
            class_name, lambda m: self._member_order(m, now), late_before, skip_suspects
        )

    def _late_before(self, class_name: str, now: float) -> float:
        """Returns when work must have arrived to be in time yet."""
        if not self.policy.prefer_in_time:
            return -math.inf
        target_s = self._class(class_name).first_token_ms / 1000
        return now - target_s + self._load(class_name).first_s.value

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
        load = self._load(work.class_name)
        if from_share:
            load.share_credit_s -= max(load.slot_s.value, 0.01)
        return self._describe(running)

    def _describe(self, running: Running) -> Grant:
        load = self._load(running.work.class_name)
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
        for class_name in sorted(self.queues.classes(), key=self._tier):
            if self._is_late(class_name, now):
                continue
            while (work := self._pick(class_name, now, skip_suspects=True)) is not None:
                victim = self._victim(work, now) if self._is_urgent(work, now) else None
                if victim is None:
                    break
                yield self._take_back(victim, "higher_tier_waits")
                yield self._grant(work, victim.endpoint, False, now)

    def _is_urgent(self, work: Waiting, now: float) -> bool:
        """Tells whether work may preempt: at once in the highest tier, else after a short wait."""
        row = self._class(work.class_name)
        if work.resumed or row.tier <= self._highest_tier:
            return True
        return now - work.arrived_at >= PREEMPT_AFTER_SHARE * row.first_token_ms / 1000

    def _victim(self, work: Waiting, now: float) -> Running | None:
        """Returns the grant to end for ``work``: the youngest request of the lowest tier."""
        tier = self._tier(work.class_name)
        for class_name in sorted(self.running_by_class, key=self._tier, reverse=True):
            if self._tier(class_name) <= tier:
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
        return running.work.preemptions < PREEMPTIONS_PER_REQUEST

    def _load(self, class_name: str) -> ClassLoad:
        if class_name not in self.loads_by_class:
            self.loads_by_class[class_name] = ClassLoad()
        return self.loads_by_class[class_name]

    def _class(self, name: str) -> ClassRow:
        unknown = ClassRow(name, 1 << 20, 1.0, 1000.0, 1000.0, 1000.0)
        return self.table.classes_by_name.get(name, unknown)

    def _tier(self, class_name: str) -> int:
        return self._class(class_name).tier


def is_late(queue: list[Waiting], late_before: float, now: float) -> bool:
    """Tells whether a member's work is all late, and none has used up its part of patience."""
    if first_in_time(queue, late_before) is not None:
        return False
    oldest = queue[0]
    patience_s = oldest.expires_at - oldest.arrived_at
    return now - oldest.arrived_at < LATE_PATIENCE_SHARE * patience_s
