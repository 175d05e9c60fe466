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
    ASK_UNREPEATED_S,
    GRANT_UNCONFIRMED_S,
    PREEMPT_AFTER_SHARE,
    PREEMPTIONS_PER_REQUEST,
    SHED_HOLD_S,
)
from bluebellpitch.decisions.class_scheduling import ClassScheduler, SchedulingPolicy
from bluebellpitch.decisions.endpoint_health import EndpointHealth, LatencySample
from bluebellpitch.decisions.endpoint_selection import EndpointSelector
from bluebellpitch.decisions.request_queues import RequestQueues
from bluebellpitch.decisions.rows import EndpointRow, MemberRow, Table
from bluebellpitch.decisions.slot_grants import (
    ActiveGrant,
    BrokerCommand,
    FinishedGrant,
    GrantSlot,
    PreemptGrant,
    QueuedRequest,
    RefuseRequest,
)

MemberLimit = Callable[[MemberRow, float], int]


def arrival_key(grant: ActiveGrant) -> tuple[float, str]:
    """Sorts grants by when their caller's request came in."""
    return grant.request.arrived_at, grant.grant_id


class Broker:
    """State of one pool in one zone. Soft: rebuilt from what the VMs hold.

    ``limit_of`` tells how many requests of a member may run here now.
    """

    def __init__(
        self,
        pool: str,
        zone: str,
        member_limit: MemberLimit,
        policy=SchedulingPolicy(),
        grant_id_prefix="",
    ):
        self.pool = pool
        self.zone = zone
        self.member_limit = member_limit
        self.policy = policy
        self.grant_id_prefix = grant_id_prefix
        self.queues = RequestQueues()
        self.scheduler = ClassScheduler(self.queues, policy)
        self.grants_by_id: dict[str, ActiveGrant] = {}
        self.grant_id_by_request: dict[str, str] = {}
        self.used_slots_by_member: dict[str, int] = {}
        self.grants_by_class: dict[str, list[ActiveGrant]] = {}
        self.health = EndpointHealth()
        self.selector = EndpointSelector(self.health)
        self.table = Table({})
        self.leaving_endpoints: frozenset[str] = frozenset()
        self.paused = False
        self._last_grant_number = 0
        self._last_shed_by_tier: dict[int, float] = {}

    def set_table(self, table: Table, leaving_endpoints: frozenset[str] = frozenset()) -> None:
        """Takes a newer table; endpoints that are ``leaving`` get no new work either."""
        self.table = table
        self.leaving_endpoints = leaving_endpoints
        self.scheduler.set_classes(table.classes_by_name)
        rows = table.endpoints_of(self.pool, self.zone)
        self.selector.set_endpoints(tuple(row for row in rows if row.name not in leaving_endpoints))

    def submit(self, request: QueuedRequest, now: float) -> Iterator[BrokerCommand]:
        """Takes a request in. Repeating an ask is harmless."""
        if (granted := self._find_grant(request)) is not None:
            yield self._grant_command(granted)
            return
        known = self.queues.requests_by_id.get(request.request_id)
        if known is None:
            if (refusal := self._check_admission(request, now)) is not None:
                yield refusal
                return
        else:
            request = replace(request, arrived_at=known.arrived_at)
        self.queues.add(request)
        yield from self.schedule(now)

    def _find_grant(self, work: QueuedRequest) -> ActiveGrant | None:
        running = self.grants_by_id.get(self.grant_id_by_request.get(work.request_id, ""))
        if running is None or running.request.attempt != work.attempt:
            return None
        return running

    def _check_admission(self, work: QueuedRequest, now: float) -> RefuseRequest | None:
        """Refuses new work that would only wait out its patience; what ran before is let in."""
        if work.attempt > 1:
            return None
        expected_s = self._expected_wait_s(work)
        patience_s = work.expires_at - now
        if expected_s > patience_s:
            return self._shed(work, "overloaded", expected_s - patience_s, now)
        if self._is_higher_tier_shed(work, now):
            return self._shed(work, "higher_tier_shed", SHED_HOLD_S, now)
        return None

    def _shed(
        self, work: QueuedRequest, reason: str, retry_after_s: float, now: float
    ) -> RefuseRequest:
        self._last_shed_by_tier[self.scheduler.tier(work.class_name)] = now
        return RefuseRequest(work, reason, min(60.0, max(0.1, retry_after_s)))

    def _is_higher_tier_shed(self, work: QueuedRequest, now: float) -> bool:
        """While a higher tier was shed just now, no lower one may be taken in."""
        tier = self.scheduler.tier(work.class_name)
        shed = (at for other, at in self._last_shed_by_tier.items() if other < tier)
        return any(now - at < SHED_HOLD_S for at in shed)

    def _expected_wait_s(self, work: QueuedRequest) -> float:
        """Returns seconds until a slot, from the work that goes first."""
        slots = self.selector.total_slots
        if not slots:
            return 0.0
        tier = self.scheduler.tier(work.class_name)
        ahead = (
            name for name in self.queues.waiting_classes() if self.scheduler.tier(name) <= tier
        )
        ahead_s = sum(
            self.queues.count(name) * self.scheduler.stats(name).slot_time_s.value for name in ahead
        )
        return ahead_s / slots

    def cancel(self, request_id: str, now: float) -> Iterator[BrokerCommand]:
        """Forgets a request whose asker gave up; its grant must be returned apart."""
        self.queues.remove(request_id)
        yield from self.schedule(now)

    def finish(self, result: FinishedGrant, now: float) -> Iterator[BrokerCommand]:
        """Takes a slot back."""
        running = self.grants_by_id.get(result.grant_id)
        if running is None:
            return
        self._remove_grant(running)
        self._record_result(running, result, now)
        yield from self.schedule(now)

    def _remove_grant(self, running: ActiveGrant) -> None:
        del self.grants_by_id[running.grant_id]
        if self.grant_id_by_request.get(running.request.request_id) == running.grant_id:
            del self.grant_id_by_request[running.request.request_id]
        self.used_slots_by_member[running.request.member] -= 1
        peers = self.grants_by_class[running.request.class_name]
        place = bisect_left(peers, arrival_key(running), key=arrival_key)
        del peers[place]
        self.selector.remove(running)

    def _record_result(self, running: ActiveGrant, finished: FinishedGrant, now: float) -> None:
        work = running.request
        load = self.scheduler.stats(work.class_name)
        if finished.outcome in ("completed", "preempted"):
            load.slot_time_s.add(now - running.granted_at)
        if finished.outcome in ("crashed", "unreachable"):
            self.health.mark_down(running.endpoint, now)
        if finished.first_token_s is not None and not running.first_token_seen:
            self.record_latency(running.grant_id, "first", finished.first_token_s, now, running)
        if finished.between_tokens_s is not None:
            self.record_latency(
                running.grant_id, "between", finished.between_tokens_s, now, running
            )

    def record_latency(
        self, grant_id: str, measure: str, seconds: float, now: float, grant=None
    ) -> None:
        """Takes in a time that a holder saw: to the first token, or between tokens."""
        grant = grant or self.grants_by_id.get(grant_id)
        if grant is None:
            return
        grant.first_token_seen |= measure == "first"
        if not self.health.is_slow(grant.endpoint):
            load = self.scheduler.stats(grant.request.class_name)
            (load.first_token_s if measure == "first" else load.between_tokens_s).add(seconds)
        seen = LatencySample(now, grant.request.class_name, measure, seconds)
        self.health.add_sample(grant.endpoint, seen)

    def confirm_grant(self, grant_id: str, now: float) -> bool:
        """Notes that a holder names a grant; False when it is not known here."""
        known = self.grants_by_id.get(grant_id)
        if known is None:
            return False
        known.confirmed_at = now
        return True

    def adopt_grant(self, grant: ActiveGrant) -> None:
        """Takes over a grant of a former broker."""
        self.queues.remove(grant.request.request_id)
        self._add_grant(grant)

    def expire_unconfirmed(self, now: float) -> Iterator[BrokerCommand]:
        """Takes back slots, and forgets requests, that their VM has not named for a while."""
        running = tuple(self.grants_by_id.values())
        for stale in (r for r in running if now - r.confirmed_at > GRANT_UNCONFIRMED_S):
            self._remove_grant(stale)
        waiting = tuple(self.queues.requests_by_id.values())
        for work in (w for w in waiting if now - w.last_asked_at > ASK_UNREPEATED_S):
            self.queues.remove(work.request_id)
        yield from self.schedule(now)

    def tick(self, now: float) -> Iterator[BrokerCommand]:
        """Does what time alone brings: expires impatient work and judges endpoints."""
        for work in self.queues.expired(now):
            self.queues.remove(work.request_id)
            yield self._shed(work, "waited_too_long", 1.0, now)
        if self.policy.detect_slow_endpoints:
            yield from self._preempt_on_slow_endpoints(now)
        yield from self.schedule(now)

    def _preempt_on_slow_endpoints(self, now: float) -> Iterator[PreemptGrant]:
        slowed = [name for name, slow in self.health.update_slow_endpoints(now) if slow]
        for running in tuple(self.grants_by_id.values()) if slowed else ():
            if running.endpoint in slowed and self._is_preemptible(running):
                yield self._start_preemption(running, "slow_endpoint")

    def _start_preemption(self, running: ActiveGrant, reason: str) -> PreemptGrant:
        running.preempting = True
        self.selector.mark_preempting(running)
        return PreemptGrant(running, reason)

    def schedule(self, now: float) -> Iterator[BrokerCommand]:
        """Gives out free slots and preempts for higher tiers.

        A broker that is still learning what runs is ``paused`` and gives nothing out.
        """
        self.scheduler.accrue_share_credit(self.selector.total_slots, now)
        if self.paused or not self.queues.requests_by_id:
            return
        while (choice := self._next_placement(now)) is not None:
            work, endpoint, from_share = choice
            yield self._issue_grant(work, endpoint.name, from_share, now)
        if self.policy.allow_preemption:
            yield from self._preempt_for_higher_tiers(now)

    def _next_placement(self, now: float) -> tuple[QueuedRequest, EndpointRow, bool] | None:
        """Returns (work, endpoint, from_share) for the next grant, or None."""
        lowest_tier = self.scheduler.lowest_waiting_tier()
        for class_name, from_share in self.scheduler.rank_classes(now, self._is_contended()):
            if self.selector.is_full() and not self.queues.has_isolated():
                return None
            lowest = self.scheduler.tier(class_name) == lowest_tier
            for work in self._candidates(class_name, now):
                endpoint = self.selector.select(work, lowest, now)
                if endpoint is not None:
                    return work, endpoint, from_share
        return None

    def _candidates(self, class_name: str, now: float) -> Iterator[QueuedRequest]:
        """Yields the next request, and after a suspect that must wait the next innocent one."""
        work = self._next_request(class_name, now)
        if work is None:
            return
        yield work
        if work.isolation_level:
            innocent = self._next_request(class_name, now, skip_isolated=True)
            if innocent is not None:
                yield innocent

    def _is_contended(self) -> bool:
        """While there is a slot for everybody, nobody needs its guaranteed share."""
        free = self.selector.total_slots - len(self.grants_by_id)
        return len(self.queues.requests_by_id) > free

    def _next_request(
        self, class_name: str, now: float, skip_isolated=False
    ) -> QueuedRequest | None:
        late_before = self.scheduler.on_time_since(class_name, now)
        return self.queues.next_request(
            class_name, lambda m: self._member_priority(m, now), late_before, skip_isolated
        )

    def _member_priority(self, member: str, now: float) -> float:
        """Returns what a member has in use over its weight; infinity at its limit."""
        in_use = self.used_slots_by_member.get(member, 0)
        row = self.table.members_by_name.get(member)
        if row is None:
            return float(in_use)
        if row.limit and in_use >= self.member_limit(row, now):
            return math.inf
        return in_use / row.weight

    def _issue_grant(
        self, work: QueuedRequest, endpoint: str, from_share: bool, now: float
    ) -> GrantSlot:
        self.queues.remove(work.request_id)
        self._last_grant_number += 1
        grant = f"{self.grant_id_prefix}{self._last_grant_number:x}"
        running = ActiveGrant(grant, work, endpoint, now, now, from_share)
        self._add_grant(running)
        if from_share:
            self.scheduler.spend_share_credit(work.class_name)
        return self._grant_command(running)

    def _grant_command(self, running: ActiveGrant) -> GrantSlot:
        load = self.scheduler.stats(running.request.class_name)
        return GrantSlot(running, load.first_token_s.value, load.between_tokens_s.value)

    def _add_grant(self, running: ActiveGrant) -> None:
        self.grants_by_id[running.grant_id] = running
        self.grant_id_by_request[running.request.request_id] = running.grant_id
        member = running.request.member
        self.used_slots_by_member[member] = self.used_slots_by_member.get(member, 0) + 1
        peers = self.grants_by_class.setdefault(running.request.class_name, [])
        insort(peers, running, key=arrival_key)
        self.selector.add(running)

    def _preempt_for_higher_tiers(self, now: float) -> Iterator[BrokerCommand]:
        """Puts higher tiers in the place of lower ones, the lowest tier and youngest request first.

        The place is granted together with the preemption: the engine runs by priority, so the
        newcomer starts as soon as the victim's connection closes.
        """
        for class_name in sorted(self.queues.waiting_classes(), key=self.scheduler.tier):
            if self.scheduler.is_deferred(class_name, now):
                continue
            while (work := self._next_request(class_name, now, skip_isolated=True)) is not None:
                victim = (
                    self._select_victim(work, now)
                    if self._may_cause_preemption(work, now)
                    else None
                )
                if victim is None:
                    break
                yield self._start_preemption(victim, "higher_tier_waits")
                yield self._issue_grant(work, victim.endpoint, False, now)

    def _may_cause_preemption(self, work: QueuedRequest, now: float) -> bool:
        """Tells whether work may preempt: at once in the highest tier, else after a short wait."""
        row = self.scheduler.class_row(work.class_name)
        if work.resumed or row.tier <= self.scheduler.highest_tier:
            return True
        return now - work.arrived_at >= PREEMPT_AFTER_SHARE * row.first_token_ms / 1000

    def _select_victim(self, work: QueuedRequest, now: float) -> ActiveGrant | None:
        """Returns the grant to end for ``work``: the youngest request of the lowest tier."""
        tier = self.scheduler.tier(work.class_name)
        for class_name in sorted(self.grants_by_class, key=self.scheduler.tier, reverse=True):
            if self.scheduler.tier(class_name) <= tier:
                return None
            for running in reversed(self.grants_by_class[class_name]):
                if self._can_replace(running, work, now):
                    return running
        return None

    def _can_replace(self, running: ActiveGrant, work: QueuedRequest, now: float) -> bool:
        if running.from_guaranteed_share or not self._is_preemptible(running):
            return False
        return self.selector.can_replace_on(running.endpoint, work, now)

    def _is_preemptible(self, running: ActiveGrant) -> bool:
        if running.preempting or not running.request.resumable:
            return False
        return running.request.preemptions < PREEMPTIONS_PER_REQUEST
