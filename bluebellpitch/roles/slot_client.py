"""Client side of slot allocation: requests slots from slot brokers and tracks granted ones."""

import asyncio
from collections.abc import Callable

import msgspec

from bluebellpitch.constants import (
    FAR_OVERFLOW_FACTOR,
    HELD_REPORT_INTERVAL_S,
    OVERFLOW_TARGET_SHARE,
    SLOT_REQUEST_RESEND_INTERVAL_S,
    SLOW_RATIO,
    TOKEN_GAP_CHECK_INTERVAL_S,
    TOKEN_GAP_REPORT_INTERVAL_S,
)
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import (
    HeldGrant,
    HeldGrantDetails,
    HeldGrantsReport,
    LatencyReport,
    LeavingReport,
    LimitReport,
    SlotGranted,
    SlotPreempted,
    SlotRefused,
    SlotReleased,
    SlotRequest,
    SlotRequestCancelled,
)
from bluebellpitch.roles.slots import PendingRequest, Slot
from bluebellpitch.verdicts import DidNotRun
from bluebellpitch.view import ViewHolder

DISCONNECT_CHECK_INTERVAL_S = 0.25


class SlotClient:
    """Owns the pending slot requests and the held slots of this VM."""

    def __init__(
        self, view_holder: ViewHolder, bus: PeerBus, metrics: Metrics, now: Callable[[], float]
    ):
        self._view_holder = view_holder
        self._bus = bus
        self._metrics = metrics
        self._now = now
        self._pending_by_request: dict[str, PendingRequest] = {}
        self._slots_by_grant: dict[str, Slot] = {}

    def handle_message(self, sender: str, message) -> None:
        """Handles one message from a broker."""
        match message:
            case SlotGranted():
                self._handle_granted(sender, message)
            case SlotRefused(request) if pending := self._pending_by_request.get(request):
                pending.inbox.put_nowait((sender, message))
            case SlotPreempted(grant, request, reason):
                self._handle_preempted(grant, request, reason)

    def _handle_preempted(self, grant: str, request: str, reason: str) -> None:
        """Preempts a slot. If its grant is still in the inbox, it is preempted once accepted."""
        if slot := self._slots_by_grant.get(grant):
            slot.preempt(reason)
        elif pending := self._pending_by_request.get(request):
            pending.preempt_reasons_by_grant[grant] = reason

    def _handle_granted(self, sender: str, granted: SlotGranted) -> None:
        if granted.grant in self._slots_by_grant:
            return
        pending = self._pending_by_request.get(granted.request)
        if pending is not None and pending.slot_request.attempt == granted.attempt:
            pending.inbox.put_nowait((sender, granted))
            return
        row = self._view_holder.current.table.endpoints_by_name.get(granted.endpoint)
        if row is not None:
            unused = SlotReleased(granted.grant, granted.request, row.pool, "unused")
            self._bus.send(sender, unused)

    async def acquire(
        self,
        slot_request: SlotRequest,
        arrived_at: float,
        expires_at: float,
        is_disconnected: Callable[[], bool],
    ) -> Slot | DidNotRun:
        """Waits for a slot; after a share of the first-token target, also in more distant zones."""
        zones = self._view_holder.current.zones_by_distance(slot_request.pool, slot_request.request)
        row = self._view_holder.current.table.classes_by_name.get(slot_request.class_name)
        overflow_after_s = OVERFLOW_TARGET_SHARE * (row.first_token_ms / 1000 if row else 1.0)
        pending = PendingRequest(slot_request, arrived_at, expires_at, overflow_after_s, zones)
        self._pending_by_request[slot_request.request] = pending
        try:
            return await self._wait_for_slot(pending, is_disconnected)
        finally:
            del self._pending_by_request[slot_request.request]
            self._return_unused_grants(pending)

    async def _wait_for_slot(
        self, pending: PendingRequest, is_disconnected: Callable[[], bool]
    ) -> Slot | DidNotRun:
        started_at = self._now()
        sent_at = float("-inf")
        while True:
            now = self._now()
            if now >= pending.expires_at:
                return self._give_up(pending, DidNotRun("waited_too_long", 503, 1.0))
            if is_disconnected():
                return self._give_up(pending, DidNotRun("caller_gone", 499))
            zones = self._zones_to_request(pending, now - started_at)
            if now - sent_at >= SLOT_REQUEST_RESEND_INTERVAL_S or zones != pending.requested_zones:
                pending.requested_zones, sent_at = zones, now
                self._send_slot_requests(pending, now)
            reply = await self._next_reply(
                pending, min(DISCONNECT_CHECK_INTERVAL_S, pending.overflow_after_s)
            )
            if isinstance(reply, Slot):
                self._cancel_others(pending, reply.zone)
                return reply
            if reply is not None and len(pending.refusals_by_zone) >= len(pending.requested_zones):
                return self._give_up(pending, reply)

    def _zones_to_request(self, pending: PendingRequest, waited_s: float) -> list[str]:
        """Returns the zones to send to by then: nearest first, then own region, then others."""
        view = self._view_holder.current
        regions_by_zone = dict(view.table.zones_by_pool.get(pending.slot_request.pool, ()))
        selected = []
        for zone in pending.zones:
            cross_region = view.is_cross_region(regions_by_zone.get(zone, ""))
            after_s = pending.overflow_after_s * (FAR_OVERFLOW_FACTOR if cross_region else 1.0)
            if not selected or waited_s >= after_s:
                selected.append(zone)
        return selected

    def _send_slot_requests(self, pending: PendingRequest, now: float) -> None:
        view = self._view_holder.current
        for zone in pending.requested_zones:
            broker_vm = view.broker_vm(pending.slot_request.pool, zone)
            if broker_vm is None or zone in pending.refusals_by_zone:
                continue
            slot_request = msgspec.structs.replace(
                pending.slot_request,
                age_s=now - pending.arrived_at,
                patience_s=pending.expires_at - now,
                remote=zone != view.own.zone,
            )
            self._bus.send(broker_vm, slot_request)

    async def _next_reply(self, pending: PendingRequest, wait_s: float) -> Slot | DidNotRun | None:
        try:
            async with asyncio.timeout(wait_s):
                sender, message = await pending.inbox.get()
        except TimeoutError:
            return None
        match message:
            case SlotGranted():
                return self._accept_grant(pending, sender, message)
            case SlotRefused(attempt=attempt) if attempt == pending.slot_request.attempt:
                pending.refusals_by_zone[self._zone_of_vm(sender)] = message
                return DidNotRun(message.reason, 503, message.retry_after_s)
        return None

    def _accept_grant(
        self, pending: PendingRequest, sender: str, granted: SlotGranted
    ) -> Slot | None:
        row = self._view_holder.current.table.endpoints_by_name.get(granted.endpoint)
        if row is None:
            return None
        slot = Slot(granted, pending.slot_request, row.zone, row.region, self._now())
        slot.brokers_with_details.add(sender)
        slot.preempt_reason = pending.preempt_reasons_by_grant.get(granted.grant, "")
        self._slots_by_grant[granted.grant] = slot
        return slot

    def _zone_of_vm(self, vm: str) -> str:
        live_vm = self._view_holder.current.live_by_key.get(vm)
        if live_vm:
            return live_vm.zone
        epochs = self._view_holder.current.epochs_by_zone.items()
        return next((zone for zone, epoch in epochs if vm in {v.key for v in epoch.vms}), "")

    def _give_up(self, pending: PendingRequest, verdict: DidNotRun) -> DidNotRun:
        self._cancel_others(pending, "")
        return verdict

    def _cancel_others(self, pending: PendingRequest, granted_zone: str) -> None:
        for zone in pending.requested_zones:
            broker_vm = self._view_holder.current.broker_vm(pending.slot_request.pool, zone)
            if zone != granted_zone and broker_vm is not None:
                self._bus.send(
                    broker_vm,
                    SlotRequestCancelled(pending.slot_request.request, pending.slot_request.pool),
                )

    def _return_unused_grants(self, pending: PendingRequest) -> None:
        """Returns grants that another zone made at the same time."""
        while not pending.inbox.empty():
            sender, message = pending.inbox.get_nowait()
            if isinstance(message, SlotGranted) and message.grant not in self._slots_by_grant:
                unused = SlotReleased(
                    message.grant, message.request, pending.slot_request.pool, "unused"
                )
                self._bus.send(sender, unused)

    def release(
        self,
        slot: Slot,
        outcome: str,
        first_token_s: float | None = None,
        inter_token_s: float | None = None,
    ) -> None:
        """Returns a slot to its broker, with the outcome and the measured times."""
        del self._slots_by_grant[slot.granted.grant]
        self._metrics.attempts.labels(outcome).inc()
        broker_vm = self._view_holder.current.broker_vm(slot.slot_request.pool, slot.zone)
        if broker_vm is not None:
            request = slot.granted.request
            returned = SlotReleased(
                slot.granted.grant,
                request,
                slot.slot_request.pool,
                outcome,
                first_token_s,
                inter_token_s,
            )
            self._bus.send(broker_vm, returned)

    def report_first_token(self, slot: Slot, seconds: float) -> None:
        """Reports a time to first token to the broker."""
        self._send_measurement(slot, "first", seconds)

    def report_limit(self, slot: Slot, limit_per_s: float | None) -> None:
        """Tells the broker what an endpoint named; nothing if neither side knows of a limit."""
        pool, granted = slot.slot_request.pool, slot.granted
        broker_vm = self._view_holder.current.broker_vm(pool, slot.zone)
        is_known = limit_per_s is not None or granted.limit_per_s is not None
        if is_known and broker_vm is not None:
            self._bus.send(broker_vm, LimitReport(pool, granted.endpoint, limit_per_s))

    def report_leaving(self, slot: Slot) -> None:
        """Tells the broker that an endpoint said that it leaves."""
        pool, endpoint = slot.slot_request.pool, slot.granted.endpoint
        broker_vm = self._view_holder.current.broker_vm(pool, slot.zone)
        if broker_vm is not None:
            self._bus.send(broker_vm, LeavingReport(pool, endpoint))

    def _send_measurement(self, slot: Slot, measure: str, seconds: float) -> None:
        broker_vm = self._view_holder.current.broker_vm(slot.slot_request.pool, slot.zone)
        if broker_vm is not None:
            self._bus.send(
                broker_vm,
                LatencyReport(slot.granted.grant, slot.slot_request.pool, measure, seconds),
            )

    async def run(self) -> None:
        """Reports held slots periodically, and stalled token streams at once, until cancelled."""
        reported_at = self._now()
        while True:
            await asyncio.sleep(TOKEN_GAP_CHECK_INTERVAL_S)
            self._report_token_gaps()
            if self._now() - reported_at >= HELD_REPORT_INTERVAL_S:
                reported_at = self._now()
                self._report_all_held_slots()

    def _report_token_gaps(self) -> None:
        now = self._now()
        for slot in self._slots_by_grant.values():
            expected_s = slot.granted.expected_between_s
            if slot.last_token_at is None or not expected_s:
                continue
            gap_s = now - slot.last_token_at
            if (
                gap_s >= SLOW_RATIO * expected_s
                and now - slot.gap_reported_at >= TOKEN_GAP_REPORT_INTERVAL_S
            ):
                slot.gap_reported_at = now
                self._send_measurement(slot, "between", gap_s)

    def _report_all_held_slots(self) -> None:
        pools = {(slot.slot_request.pool, slot.zone) for slot in self._slots_by_grant.values()}
        for pool, zone in pools:
            broker_vm = self._view_holder.current.broker_vm(pool, zone)
            if broker_vm is not None:
                self.report_held_slots(broker_vm, pool, zone)

    def report_held_slots(self, broker_vm: str, pool: str, zone: str) -> None:
        """Sends a broker all slots of its pool and zone that this VM holds."""
        now = self._now()
        grants = tuple(
            self._describe_held_slot(slot, broker_vm, now)
            for slot in self._slots_by_grant.values()
            if slot.slot_request.pool == pool and slot.zone == zone
        )
        self._bus.send(broker_vm, HeldGrantsReport(pool, grants))

    def _describe_held_slot(self, slot: Slot, broker_vm: str, now: float) -> HeldGrant:
        details = None
        if broker_vm not in slot.brokers_with_details:
            slot.brokers_with_details.add(broker_vm)
            slot_request = self._slot_request_with_current_age(slot, now)
            details = HeldGrantDetails(slot_request, slot.granted.endpoint, now - slot.held_since)
        return HeldGrant(slot.granted.grant, slot.inter_token_s(), details)

    def _slot_request_with_current_age(self, slot: Slot, now: float) -> SlotRequest:
        return msgspec.structs.replace(
            slot.slot_request, age_s=slot.slot_request.age_s + now - slot.held_since
        )

    def held_count(self) -> int:
        """Returns how many slots this VM holds."""
        return len(self._slots_by_grant)
