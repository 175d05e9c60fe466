"""Grants the slots of the endpoints of one pool in one zone to requests.

Tiers have strict priority for shedding and preemption. Within a tier, the class with the least
weighted slack goes first; within a class, the member with the fewest used slots per weight; within
a member, the oldest request that can still meet its target. Each waiting class also earns a small
guaranteed share of slot time by weight, which delays higher tiers but never sheds or preempts them.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from bluebellpitch.constants import (
    GRANT_TIMEOUT_S,
    SHEDDING_HOLD_S,
    SLOT_REQUEST_TIMEOUT_S,
)
from bluebellpitch.decisions.class_scheduling import ClassScheduler, SchedulingPolicy
from bluebellpitch.decisions.endpoint_health import EndpointHealth, LatencySample
from bluebellpitch.decisions.endpoint_selection import EndpointSelector
from bluebellpitch.decisions.preemption import is_preemptible, may_preempt
from bluebellpitch.decisions.request_queues import RequestQueues
from bluebellpitch.decisions.rows import EndpointRow, MemberRow, Table
from bluebellpitch.decisions.slot_grants import (
    ISOLATED,
    UNRESTRICTED,
    ActiveGrant,
    FinishedGrant,
    GrantSlot,
    PreemptGrant,
    QueuedRequest,
    RefuseRequest,
    Restriction,
    SlotBrokerCommand,
    arrival_key,
)

MemberLimit = Callable[[MemberRow, float], int]  # how many requests of a member may run now


class SlotBroker:
    """Schedules one pool in one zone. A new broker rebuilds its state from VMs' reported grants."""

    def __init__(
        self, pool: str, zone: str, limit_fn: MemberLimit, policy=SchedulingPolicy(), id_prefix=""
    ):
        self.pool = pool
        self.zone = zone
        self.member_limit = limit_fn
        self.policy = policy
        self.grant_id_prefix = id_prefix
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
        """Installs a newer table. Endpoints in ``leaving_endpoints`` get no new requests."""
        self.table = table
        self.leaving_endpoints = leaving_endpoints
        self.scheduler.set_classes(table.classes_by_name)
        rows = table.pool_endpoints(self.pool, self.zone)
        self.selector.set_endpoints(tuple(row for row in rows if row.name not in leaving_endpoints))

    def submit(self, request: QueuedRequest, now: float) -> Iterator[SlotBrokerCommand]:
        """Queues a request. Idempotent: a VM may submit the same request again."""
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

    def _find_grant(self, request: QueuedRequest) -> ActiveGrant | None:
        grant = self.grants_by_id.get(self.grant_id_by_request.get(request.request_id, ""))
        if grant is None or grant.request.attempt != request.attempt:
            return None
        return grant

    def _check_admission(self, request: QueuedRequest, now: float) -> RefuseRequest | None:
        """Refuses a first attempt that would time out in the queue; later attempts are admitted."""
        if request.attempt > 1:
            return None
        expected_s = self._expected_wait_s(request)
        max_wait_s = request.expires_at - now
        if expected_s > max_wait_s:
            return self._shed(request, "overloaded", expected_s - max_wait_s, now)
        if self._is_higher_tier_shed(request, now):
            return self._shed(request, "higher_tier_shed", SHEDDING_HOLD_S, now)
        return None

    def _shed(
        self, request: QueuedRequest, reason: str, retry_after_s: float, now: float
    ) -> RefuseRequest:
        self._last_shed_by_tier[self.scheduler.tier(request.class_name)] = now
        return RefuseRequest(request, reason, min(60.0, max(0.1, retry_after_s)))

    def _is_higher_tier_shed(self, request: QueuedRequest, now: float) -> bool:
        """Returns whether a higher tier was shed recently, which bars lower tiers."""
        tier = self.scheduler.tier(request.class_name)
        shed = (at for other, at in self._last_shed_by_tier.items() if other < tier)
        return any(now - at < SHEDDING_HOLD_S for at in shed)

    def _expected_wait_s(self, request: QueuedRequest) -> float:
        """Estimates the seconds until a slot from the queued requests of this and higher tiers."""
        slots = self.selector.total_slots
        if not slots:
            return 0.0
        tier = self.scheduler.tier(request.class_name)
        ahead = (
            name for name in self.queues.waiting_classes() if self.scheduler.tier(name) <= tier
        )
        ahead_s = sum(
            self.queues.count(name) * self.scheduler.stats(name).slot_time_s.value for name in ahead
        )
        return ahead_s / slots

    def cancel(self, request_id: str, now: float) -> Iterator[SlotBrokerCommand]:
        """Removes a queued request that its VM cancelled. A grant is returned with ``finish``."""
        self.queues.remove(request_id)
        yield from self.schedule(now)

    def finish(self, result: FinishedGrant, now: float) -> Iterator[SlotBrokerCommand]:
        """Releases the slot of a finished grant."""
        grant = self.grants_by_id.get(result.grant_id)
        if grant is None:
            return
        self._remove_grant(grant)
        self._record_result(grant, result, now)
        yield from self.schedule(now)

    def _remove_grant(self, grant: ActiveGrant) -> None:
        del self.grants_by_id[grant.grant_id]
        if self.grant_id_by_request.get(grant.request.request_id) == grant.grant_id:
            del self.grant_id_by_request[grant.request.request_id]
        self.used_slots_by_member[grant.request.member] -= 1
        grants = self.grants_by_class[grant.request.class_name]
        index = bisect_left(grants, arrival_key(grant), key=arrival_key)
        del grants[index]
        self.selector.remove(grant)

    def _record_result(self, grant: ActiveGrant, result: FinishedGrant, now: float) -> None:
        request = grant.request
        stats = self.scheduler.stats(request.class_name)
        if result.outcome in ("completed", "preempted"):
            stats.slot_time_s.add(now - grant.granted_at)
        if result.outcome in ("crashed", "unreachable"):
            self.health.mark_down(grant.endpoint, now)
        if result.first_token_s is not None and not grant.first_token_seen:
            self.record_latency(grant.grant_id, "first", result.first_token_s, now, grant)
        if result.inter_token_s is not None:
            self.record_latency(grant.grant_id, "between", result.inter_token_s, now, grant)

    def record_latency(
        self, grant_id: str, measure: str, seconds: float, now: float, grant=None
    ) -> None:
        """Records a time reported by the VM that holds a grant: first token or between tokens."""
        grant = grant or self.grants_by_id.get(grant_id)
        if grant is None:
            return
        grant.first_token_seen |= measure == "first"
        if not self.health.is_slow(grant.endpoint):
            stats = self.scheduler.stats(grant.request.class_name)
            (stats.first_token_s if measure == "first" else stats.inter_token_s).add(seconds)
        sample = LatencySample(now, grant.request.class_name, measure, seconds)
        self.health.add_sample(grant.endpoint, sample)

    def confirm_grant(self, grant_id: str, now: float) -> bool:
        """Records that a VM still holds a grant; returns False if the grant is unknown."""
        known = self.grants_by_id.get(grant_id)
        if known is None:
            return False
        known.confirmed_at = now
        return True

    def adopt_grant(self, grant: ActiveGrant) -> None:
        """Registers a grant that a previous broker issued."""
        self.queues.remove(grant.request.request_id)
        self._add_grant(grant)

    def expire_unconfirmed(self, now: float) -> Iterator[SlotBrokerCommand]:
        """Drops grants and queued requests that their VM stopped reporting."""
        grants = tuple(self.grants_by_id.values())
        for stale in (g for g in grants if now - g.confirmed_at > GRANT_TIMEOUT_S):
            self._remove_grant(stale)
        waiting = tuple(self.queues.requests_by_id.values())
        for request in (r for r in waiting if now - r.last_requested_at > SLOT_REQUEST_TIMEOUT_S):
            self.queues.remove(request.request_id)
        yield from self.schedule(now)

    def tick(self, now: float) -> Iterator[SlotBrokerCommand]:
        """Refuses expired requests, detects slow endpoints and schedules."""
        for request in self.queues.expired(now):
            self.queues.remove(request.request_id)
            yield self._shed(request, "waited_too_long", 1.0, now)
        if self.policy.detect_slow_endpoints:
            yield from self._preempt_on_slow_endpoints(now)
        yield from self.schedule(now)

    def _preempt_on_slow_endpoints(self, now: float) -> Iterator[PreemptGrant]:
        slow = [name for name, is_slow in self.health.update_slow_endpoints(now) if is_slow]
        for grant in tuple(self.grants_by_id.values()) if slow else ():
            if grant.endpoint in slow and is_preemptible(grant):
                yield self._start_preemption(grant, "slow_endpoint")

    def _start_preemption(self, grant: ActiveGrant, reason: str) -> PreemptGrant:
        grant.preempting = True
        self.selector.mark_preempting(grant)
        return PreemptGrant(grant, reason)

    def schedule(self, now: float) -> Iterator[SlotBrokerCommand]:
        """Grants free slots and preempts, unless ``paused`` while running grants are collected."""
        self.scheduler.accrue_share_credit(self.selector.total_slots, now)
        if self.paused or not self.queues.requests_by_id:
            return
        while (placement := self._next_placement(now)) is not None:
            request, endpoint, from_share = placement
            yield self._issue_grant(request, endpoint.name, from_share, now)
        if self.policy.allow_preemption:
            yield from self._preempt_for_higher_tiers(now)

    def _next_placement(self, now: float) -> tuple[QueuedRequest, EndpointRow, bool] | None:
        """Returns (request, endpoint, from_share) for the next grant, or None."""
        lowest_tier = self.scheduler.lowest_waiting_tier()
        for class_name, from_share in self.scheduler.rank_classes(now, self._is_contended()):
            if self.selector.is_full() and not self.queues.has_isolated():
                return None
            in_lowest_tier = self.scheduler.tier(class_name) == lowest_tier
            for request in self._candidates(class_name, now):
                endpoint = self.selector.select(request, in_lowest_tier, now)
                if endpoint is not None:
                    return request, endpoint, from_share
        return None

    def _candidates(
        self, class_name: str, now: float, skipped: Iterable[Restriction] = ()
    ) -> Iterator[QueuedRequest]:
        """Yields the next request; while that is restricted, also the next with other limits."""
        skipped = set(skipped)
        on_time_since = self.scheduler.on_time_since(class_name, now)
        for request in self.queues.in_order(
            class_name, lambda member: self._member_priority(member, now), on_time_since
        ):
            if request.restriction in skipped:
                continue
            yield request
            if request.restriction == UNRESTRICTED:
                return
            skipped.add(request.restriction)

    def _is_contended(self) -> bool:
        """Guaranteed shares apply only when more requests wait than slots are free."""
        free = self.selector.total_slots - len(self.grants_by_id)
        return len(self.queues.requests_by_id) > free

    def _member_priority(self, member: str, now: float) -> float:
        """Returns used slots over weight, lowest first; infinity at the member's limit."""
        in_use = self.used_slots_by_member.get(member, 0)
        row = self.table.members_by_name.get(member)
        if row is None:
            return float(in_use)
        if row.limit and in_use >= self.member_limit(row, now):
            return math.inf
        return in_use / row.weight

    def _issue_grant(
        self, request: QueuedRequest, endpoint: str, from_share: bool, now: float
    ) -> GrantSlot:
        self.queues.remove(request.request_id)
        self._last_grant_number += 1
        grant_id = f"{self.grant_id_prefix}{self._last_grant_number:x}"
        grant = ActiveGrant(grant_id, request, endpoint, now, now, from_share)
        self._add_grant(grant)
        if from_share:
            self.scheduler.spend_share_credit(request.class_name)
        return self._grant_command(grant)

    def _grant_command(self, grant: ActiveGrant) -> GrantSlot:
        stats = self.scheduler.stats(grant.request.class_name)
        limit_per_s = self.selector.limit_per_s(grant.endpoint, grant.granted_at)
        return GrantSlot(grant, stats.first_token_s.value, stats.inter_token_s.value, limit_per_s)

    def _add_grant(self, grant: ActiveGrant) -> None:
        self.grants_by_id[grant.grant_id] = grant
        self.grant_id_by_request[grant.request.request_id] = grant.grant_id
        member = grant.request.member
        self.used_slots_by_member[member] = self.used_slots_by_member.get(member, 0) + 1
        grants = self.grants_by_class.setdefault(grant.request.class_name, [])
        insort(grants, grant, key=arrival_key)
        self.selector.add(grant)

    def _preempt_for_higher_tiers(self, now: float) -> Iterator[SlotBrokerCommand]:
        """Preempts lower tiers for higher ones: first the lowest tier, there the latest arrival."""
        # The slot is granted at once: the engine runs requests by priority, so the new one starts
        # as soon as the connection of the preempted one closes.
        for class_name in sorted(self.queues.waiting_classes(), key=self.scheduler.tier):
            if self.scheduler.is_deferred(class_name, now):
                continue
            while (preemption := self._next_preemption(class_name, now)) is not None:
                victim, request = preemption
                yield self._start_preemption(victim, "higher_tier_waits")
                yield self._issue_grant(request, victim.endpoint, False, now)

    def _next_preemption(
        self, class_name: str, now: float
    ) -> tuple[ActiveGrant, QueuedRequest] | None:
        """Returns a grant to preempt and the request that takes its slot, or None."""
        for request in self._candidates(class_name, now, {ISOLATED}):
            row = self.scheduler.class_row(class_name)
            if not may_preempt(request, row, self.scheduler.highest_tier, now):
                continue
            if (victim := self._victim_for(request, now)) is not None:
                return victim, request
        return None

    def _victim_for(self, request: QueuedRequest, now: float) -> ActiveGrant | None:
        """Returns the grant to preempt: the latest arrival in the lowest tier, or None."""
        tier = self.scheduler.tier(request.class_name)
        for class_name in sorted(self.grants_by_class, key=self.scheduler.tier, reverse=True):
            if self.scheduler.tier(class_name) <= tier:
                return None
            for grant in reversed(self.grants_by_class[class_name]):
                if self._can_replace(grant, request, now):
                    return grant
        return None

    def _can_replace(self, grant: ActiveGrant, request: QueuedRequest, now: float) -> bool:
        if grant.from_guaranteed_share or not is_preemptible(grant):
            return False
        return self.selector.can_replace_on(grant.endpoint, request, now)
