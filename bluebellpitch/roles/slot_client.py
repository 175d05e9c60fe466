"""Seeks slots for the requests of this VM, and holds those that brokers granted."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bluebellpitch.constants import (
    ASK_REPEAT_S,
    FAR_OVERFLOW_FACTOR,
    GAP_CHECK_S,
    GAP_REPEAT_S,
    HELD_REPORT_INTERVAL_S,
    OVERFLOW_TARGET_SHARE,
    SLOW_RATIO,
)
from bluebellpitch.decisions.work import Mean
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import (
    Ask,
    Cancel,
    Granted,
    Held,
    HeldDetails,
    HeldGrant,
    Preempted,
    Refused,
    Returned,
    Seen,
)
from bluebellpitch.verdicts import DidNotRun
from bluebellpitch.view import ViewHolder

GONE_CHECK_S = 0.25


@dataclass(slots=True)
class Slot:
    """A granted slot of this VM. ``preempt`` is called when the broker wants it back."""

    granted: Granted
    ask: Ask
    zone: str
    region: str
    held_since: float
    on_preempt: Callable[[str], None] | None = None
    preempt_reason: str = ""
    tokens: int = 0
    last_token_at: float | None = None
    gap_reported_at: float = 0.0
    inter_token_mean: Mean = field(default_factory=Mean)
    brokers_with_details: set[str] = field(default_factory=set)

    def record_tokens(self, count: int, now: float) -> None:
        """Notes that tokens came."""
        if self.last_token_at is not None and count:
            self.inter_token_mean.add((now - self.last_token_at) / count)
        self.tokens += count
        self.last_token_at = now

    def inter_token_s(self) -> float | None:
        """Returns the present time between tokens; None before the second."""
        return self.inter_token_mean.value if self.inter_token_mean.count else None

    def preempt(self, reason: str) -> None:
        """Tells the holder to stop its attempt."""
        self.preempt_reason = reason
        if self.on_preempt:
            self.on_preempt(reason)


@dataclass(slots=True)
class PendingAcquire:
    """One request that waits for a slot: where it asked, and what came back."""

    ask: Ask
    arrived_at: float
    expires_at: float
    overflow_after_s: float
    zones: list[str]
    asked_zones: list[str] = field(default_factory=list)
    refusals_by_zone: dict[str, Refused] = field(default_factory=dict)
    preempt_reasons_by_grant: dict[str, str] = field(default_factory=dict)
    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)


class SlotClient:
    """Owns the seeks and slots of this VM."""

    def __init__(
        self,
        holder: ViewHolder,
        bus: PeerBus,
        metrics: Metrics,
        now: Callable[[], float],
    ):
        self._holder = holder
        self._bus = bus
        self._metrics = metrics
        self._now = now
        self._seeks_by_request: dict[str, PendingAcquire] = {}
        self._slots_by_grant: dict[str, Slot] = {}

    def handle_message(self, sender: str, message) -> None:
        """Handles one message from a broker."""
        match message:
            case Granted():
                self._take_granted(sender, message)
            case Refused(request) if seek := self._seeks_by_request.get(request):
                seek.inbox.put_nowait((sender, message))
            case Preempted(grant, request, reason):
                self._take_preempted(grant, request, reason)

    def _take_preempted(self, grant: str, request: str, reason: str) -> None:
        """Takes a slot back; one whose grant is still in the inbox is taken back on arrival."""
        if slot := self._slots_by_grant.get(grant):
            slot.preempt(reason)
        elif seek := self._seeks_by_request.get(request):
            seek.preempt_reasons_by_grant[grant] = reason

    def _take_granted(self, sender: str, granted: Granted) -> None:
        if granted.grant in self._slots_by_grant:
            return
        seek = self._seeks_by_request.get(granted.request)
        if seek is not None and seek.ask.attempt == granted.attempt:
            seek.inbox.put_nowait((sender, granted))
            return
        row = self._holder.current.table.endpoints_by_name.get(granted.endpoint)
        if row is not None:
            unused = Returned(granted.grant, granted.request, row.pool, "unused")
            self._bus.send(sender, unused)

    async def acquire(
        self, ask: Ask, arrived_at: float, expires_at: float, is_disconnected: Callable[[], bool]
    ) -> Slot | DidNotRun:
        """Waits for a slot; asks farther zones once it has waited for a part of its target."""
        zones = self._holder.current.zones_by_proximity(ask.pool, ask.request)
        row = self._holder.current.table.classes_by_name.get(ask.class_name)
        overflow_s = OVERFLOW_TARGET_SHARE * (row.first_token_ms / 1000 if row else 1.0)
        seek = PendingAcquire(ask, arrived_at, expires_at, overflow_s, zones)
        self._seeks_by_request[ask.request] = seek
        try:
            return await self._wait(seek, is_disconnected)
        finally:
            del self._seeks_by_request[ask.request]
            self._return_surplus(seek)

    async def _wait(self, seek: PendingAcquire, is_gone: Callable[[], bool]) -> Slot | DidNotRun:
        started = self._now()
        asked_at = float("-inf")
        while True:
            now = self._now()
            if now >= seek.expires_at:
                return self._give_up(seek, DidNotRun("waited_too_long", 503, 1.0))
            if is_gone():
                return self._give_up(seek, DidNotRun("caller_gone", 499))
            due = self._zones_due(seek, now - started)
            if now - asked_at >= ASK_REPEAT_S or due != seek.asked_zones:
                seek.asked_zones, asked_at = due, now
                self._send_asks(seek, now)
            answer = await self._next_answer(seek, min(GONE_CHECK_S, seek.overflow_after_s))
            if isinstance(answer, Slot):
                self._cancel_others(seek, answer.zone)
                return answer
            if answer is not None and len(seek.refusals_by_zone) >= len(seek.asked_zones):
                return self._give_up(seek, answer)

    def _zones_due(self, seek: PendingAcquire, waited_s: float) -> list[str]:
        """Returns the zones to ask by now: the nearest, then the region, then far ones."""
        view = self._holder.current
        regions_by_zone = dict(view.table.zones_by_pool.get(seek.ask.pool, ()))
        due = []
        for zone in seek.zones:
            far = view.is_cross_region(regions_by_zone.get(zone, ""))
            after_s = seek.overflow_after_s * (FAR_OVERFLOW_FACTOR if far else 1.0)
            if not due or waited_s >= after_s:
                due.append(zone)
        return due

    def _send_asks(self, seek: PendingAcquire, now: float) -> None:
        view = self._holder.current
        for zone in seek.asked_zones:
            broker = view.broker_vm(seek.ask.pool, zone)
            if broker is None or zone in seek.refusals_by_zone:
                continue
            ask = msgspec.structs.replace(
                seek.ask,
                age_s=now - seek.arrived_at,
                patience_s=seek.expires_at - now,
                remote=zone != view.own.zone,
            )
            self._bus.send(broker, ask)

    async def _next_answer(self, seek: PendingAcquire, wait_s: float) -> Slot | DidNotRun | None:
        try:
            async with asyncio.timeout(wait_s):
                sender, message = await seek.inbox.get()
        except TimeoutError:
            return None
        match message:
            case Granted():
                return self._hold(seek, sender, message)
            case Refused(attempt=attempt) if attempt == seek.ask.attempt:
                seek.refusals_by_zone[self._zone_of(sender)] = message
                return DidNotRun(message.reason, 503, message.retry_after_s)
        return None

    def _hold(self, seek: PendingAcquire, sender: str, granted: Granted) -> Slot | None:
        row = self._holder.current.table.endpoints_by_name.get(granted.endpoint)
        if row is None:
            return None
        slot = Slot(granted, seek.ask, row.zone, row.region, self._now())
        slot.brokers_with_details.add(sender)
        slot.preempt_reason = seek.preempt_reasons_by_grant.get(granted.grant, "")
        self._slots_by_grant[granted.grant] = slot
        return slot

    def _zone_of(self, vm: str) -> str:
        known = self._holder.current.live_by_key.get(vm)
        if known:
            return known.zone
        epochs = self._holder.current.epochs_by_zone.items()
        return next((zone for zone, e in epochs if vm in {v.key for v in e.vms}), "")

    def _give_up(self, seek: PendingAcquire, verdict: DidNotRun) -> DidNotRun:
        self._cancel_others(seek, "")
        return verdict

    def _cancel_others(self, seek: PendingAcquire, granted_zone: str) -> None:
        for zone in seek.asked_zones:
            broker = self._holder.current.broker_vm(seek.ask.pool, zone)
            if zone != granted_zone and broker is not None:
                self._bus.send(broker, Cancel(seek.ask.request, seek.ask.pool))

    def _return_surplus(self, seek: PendingAcquire) -> None:
        """Gives back grants that came from a second zone at the same time."""
        while not seek.inbox.empty():
            sender, message = seek.inbox.get_nowait()
            if isinstance(message, Granted) and message.grant not in self._slots_by_grant:
                unused = Returned(message.grant, message.request, seek.ask.pool, "unused")
                self._bus.send(sender, unused)

    def release(
        self,
        slot: Slot,
        outcome: str,
        first_token_s: float | None = None,
        inter_token_s: float | None = None,
    ) -> None:
        """Returns a slot to its broker."""
        del self._slots_by_grant[slot.granted.grant]
        self._metrics.attempts.labels(outcome).inc()
        broker = self._holder.current.broker_vm(slot.ask.pool, slot.zone)
        if broker is not None:
            request = slot.granted.request
            returned = Returned(
                slot.granted.grant, request, slot.ask.pool, outcome, first_token_s, inter_token_s
            )
            self._bus.send(broker, returned)

    def report_first_token(self, slot: Slot, seconds: float) -> None:
        """Tells the broker a time to first token."""
        self._tell_seen(slot, "first", seconds)

    def _tell_seen(self, slot: Slot, measure: str, seconds: float) -> None:
        broker = self._holder.current.broker_vm(slot.ask.pool, slot.zone)
        if broker is not None:
            self._bus.send(broker, Seen(slot.granted.grant, slot.ask.pool, measure, seconds))

    async def run(self) -> None:
        """Reports held slots, and at once those whose tokens stay away, until cancelled."""
        reported_at = self._now()
        while True:
            await asyncio.sleep(GAP_CHECK_S)
            self._report_gaps()
            if self._now() - reported_at >= HELD_REPORT_INTERVAL_S:
                reported_at = self._now()
                self._report_all()

    def _report_gaps(self) -> None:
        now = self._now()
        for slot in self._slots_by_grant.values():
            expected_s = slot.granted.expected_between_s
            if slot.last_token_at is None or not expected_s:
                continue
            gap_s = now - slot.last_token_at
            if gap_s >= SLOW_RATIO * expected_s and now - slot.gap_reported_at >= GAP_REPEAT_S:
                slot.gap_reported_at = now
                self._tell_seen(slot, "between", gap_s)

    def _report_all(self) -> None:
        pools = {(slot.ask.pool, slot.zone) for slot in self._slots_by_grant.values()}
        for pool, zone in pools:
            broker = self._holder.current.broker_vm(pool, zone)
            if broker is not None:
                self.report_held_slots(broker, pool, zone)

    def report_held_slots(self, broker: str, pool: str, zone: str) -> None:
        """Tells a broker all slots of its pool and zone that this VM holds."""
        now = self._now()
        grants = tuple(
            self._describe(slot, broker, now)
            for slot in self._slots_by_grant.values()
            if slot.ask.pool == pool and slot.zone == zone
        )
        self._bus.send(broker, Held(pool, grants))

    def _describe(self, slot: Slot, broker: str, now: float) -> HeldGrant:
        details = None
        if broker not in slot.brokers_with_details:
            slot.brokers_with_details.add(broker)
            ask = self._ask_now(slot, now)
            details = HeldDetails(ask, slot.granted.endpoint, now - slot.held_since)
        return HeldGrant(slot.granted.grant, slot.inter_token_s(), details)

    def _ask_now(self, slot: Slot, now: float) -> Ask:
        return msgspec.structs.replace(slot.ask, age_s=slot.ask.age_s + now - slot.held_since)

    def held_count(self) -> int:
        """Returns how many slots this VM holds."""
        return len(self._slots_by_grant)
