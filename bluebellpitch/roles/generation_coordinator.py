"""Schedules generations on the engines of this zone and requests engines for this VM."""

import asyncio
from collections.abc import Callable, Mapping

from bluebellpitch.decisions import generation_decisions
from bluebellpitch.decisions.catalogue import Catalogue
from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.decisions.scaling.demand import DemandMeters, DemandSample
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.platform_messages import (
    EndpointLeaving,
    EndpointLimit,
    FirstTokenReport,
    HeldWorkReport,
    HeldWorkRequest,
    WorkEnded,
    WorkGranted,
    WorkQueued,
    WorkRefused,
    WorkRequest,
    ZoneLoad,
)
from bluebellpitch.roles.broker_takeover import BrokerTakeover, adopt_report
from bluebellpitch.roles.engine_speed_monitor import EngineSpeedMonitor
from bluebellpitch.roles.generation_broker_client import GenerationBrokerClient
from bluebellpitch.roles.shortage_metrics import ShortageMetrics
from bluebellpitch.roles.work_items import (
    entry_from_leaving,
    message_from_grant,
    work_from_request,
)
from bluebellpitch.roles.zone_spillover import ZoneSpillover

QUEUE_TICK_S = 0.01
LOAD_PUBLISH_INTERVAL_S = 0.1
IDLE_WAKE_INTERVAL_S = 0.5
WORK_EXPIRY_INTERVAL_S = 1.0
# A VM whose work waits here for another zone takes it back after some of these without a word.
CONFIRMATION_INTERVAL_S = 0.3


class GenerationCoordinator:
    """Owns the generation brokers of this VM and their queues."""

    def __init__(
        self,
        vm_key: str,
        address: str,
        zone: str,
        bus: PeerBus,
        liveness: Liveness,
        directory: EndpointDirectory,
        catalogue: Callable[[], Catalogue | None],
        addresses_in_zone: Callable[[str], list[str]],
        named_limits: Callable[[str, str], dict[tuple[str, int], float]],
        regions_by_zone: Mapping[str, str],
        metrics: Metrics,
        now: Callable[[], float],
        is_draining: Callable[[], bool],
    ):
        self._vm_key = vm_key
        self._address = address
        self._zone = zone
        self._bus = bus
        self._liveness = liveness
        self._directory = directory
        self._catalogue = catalogue
        self._now = now
        self._is_draining = is_draining
        self._brokers_by_pool: dict[str, GenerationBroker] = {}
        self._requests_by_work: dict[str, WorkRequest] = {}
        self.broker_client = GenerationBrokerClient(
            vm_key=vm_key,
            address=address,
            liveness=liveness,
            find_broker_vm=self._broker_vm,
            named_limits=named_limits,
            send=self._send,
            send_to_address=self._send_to_address,
            now=now,
        )
        self._takeover = BrokerTakeover(
            address,
            zone,
            lambda pool: self._broker_vm(pool) == vm_key,
            lambda: addresses_in_zone(zone),
            self._send_to_address,
        )
        self._spillover = ZoneSpillover(
            address, zone, regions_by_zone, addresses_in_zone, self._send_to_address, metrics
        )
        self._demand = DemandMeters()
        self._shortage = ShortageMetrics(zone, metrics)
        self._speed_monitor = EngineSpeedMonitor(metrics)
        self._work_waiting = asyncio.Event()

    def _broker_vm(self, pool: str) -> str:
        return self._liveness.role_holder(pool, self._now(), self._is_draining())

    def engine_pools(self) -> list[str]:
        """Returns the pools of engines; each zone has a broker for each of them."""
        catalogue = self._catalogue()
        rows = catalogue.pools_by_name.items() if catalogue else ()
        return [pool for pool, row in rows if row.engine]

    def is_broker(self) -> bool:
        """Returns whether this VM is the broker of any pool of engines."""
        return any(self._broker_vm(pool) == self._vm_key for pool in self.engine_pools())

    def _own_brokers(self) -> list[GenerationBroker]:
        """Returns the brokers of the pools that this VM is the broker of."""
        pools = (pool for pool in self.engine_pools() if self._broker_vm(pool) == self._vm_key)
        return [self._get_broker(pool) for pool in pools]

    def _send(self, vm: str, message) -> None:
        if vm == self._vm_key:
            self.handle_message(vm, message)
        else:
            self._bus.send(vm, message)

    def _send_to_address(self, address: str, message) -> None:
        if address == self._address:
            self.handle_message(self._vm_key, message)
        else:
            self._bus.send_to_address(address, message)

    def handle_message(self, sender: str, message) -> None:
        """Handles a message from a requesting VM or from a broker."""
        match message:
            case WorkQueued() | WorkGranted() | WorkRefused():
                self.broker_client.handle_response(message)
            case WorkRequest():
                self._handle_work_request(message)
            case FirstTokenReport() | WorkEnded():
                self._record_progress(message)
            case HeldWorkRequest():
                self.broker_client.report_held_work(message)
            case EndpointLimit():
                self._record_limit(message)
            case EndpointLeaving():
                self._mark_leaving(message)
            case HeldWorkReport():
                adopt_report(self._get_broker(message.pool), message, self._now())
            case ZoneLoad():
                self._spillover.record_load(message, self._now())
                self._takeover.collect_for_remote(message, self._now())
                self._relay_load(sender, message)

    def _record_progress(self, report: FirstTokenReport | WorkEnded) -> None:
        broker, now = self._get_broker(report.pool), self._now()
        match report:
            case FirstTokenReport(work_id, _, waited_s, slowdown):
                broker.record_first_token(work_id, waited_s, slowdown, now)
            case WorkEnded(work_id, _, outcome, longest_gap_s):
                broker.finish(work_id, outcome, now, longest_gap_s)
        self._serve_queue(broker)

    def _record_limit(self, limit: EndpointLimit) -> None:
        broker = self._get_broker(limit.pool)
        key = (limit.endpoint_id, limit.started_ms)
        if broker.record_limit(key, limit.limit_per_s, self._now()):
            named = {"endpoint": limit.endpoint_id, "limit_per_s": limit.limit_per_s}
            log("INFO", "broker_limit", **named)
        self._serve_queue(broker)

    def _mark_leaving(self, leaving: EndpointLeaving) -> None:
        entry = entry_from_leaving(leaving)
        if self._directory.mark_leaving(entry):
            log("INFO", "endpoint_leaving", endpoint=entry.id, source="peer")

    def _get_broker(self, pool: str) -> GenerationBroker:
        if pool not in self._brokers_by_pool:
            self._brokers_by_pool[pool] = GenerationBroker(pool)
        broker = self._brokers_by_pool[pool]
        self._refresh_engines(broker)
        return broker

    def _refresh_engines(self, broker: GenerationBroker) -> None:
        catalogue = self._catalogue()
        row = catalogue.pools_by_name.get(broker.pool) if catalogue else None
        if row is None or row.engine is None:
            return
        entries = (e for e in self._directory.usable_endpoints(broker.pool) if e.zone == self._zone)
        gap_target_s = catalogue.gap_targets_by_pool.get(broker.pool)
        broker.set_engines(entries, row.engine.slots, row.engine.kv_capacity_tokens, gap_target_s)

    def _handle_work_request(self, request: WorkRequest) -> None:
        now = self._now()
        broker = self._get_broker(request.pool)
        self._takeover.collect_if_due(broker, now)
        work = work_from_request(request, now, self._spillover.delay_s(request))
        if not request.must_stay:
            self._demand.by_pool[work.pool].record_arrival(work.tokens_in, now)
        if self._spillover.spill_over(broker, work, request, now):
            return
        self._spillover.count_received(request)
        self._requests_by_work[work.id] = request
        self._send_decisions(broker.submit(work, request.vm, frozenset(request.avoid), now))
        if broker.waiting_by_id:
            self._work_waiting.set()

    def _serve_queue(self, broker: GenerationBroker) -> None:
        if broker.waiting_by_id:
            self._send_decisions(broker.schedule(self._now()))

    def _send_decisions(self, decisions) -> None:
        for decision in decisions:
            request = self._requests_by_work.get(decision.work_id)
            address = request.reply_to if request else ""
            match decision:
                case generation_decisions.Granted(work_id, _, entry):
                    if request:
                        self._spillover.record_session(self._brokers_by_pool[request.pool], request)
                    log("INFO", "granted", request=work_id, endpoint=entry.id, **decision.inputs)
                    response = message_from_grant(decision, request, self._address)
                case generation_decisions.Refused(work_id, _, reason, retry_after_s):
                    shares = self._record_refusal(request, reason) if request else {}
                    named = {"request": work_id, "reason": reason}
                    log("INFO", "refused", **named, **decision.inputs, **shares)
                    response = WorkRefused(work_id, reason, retry_after_s, self._address)
                case generation_decisions.Queued(work_id):
                    spillover_to = self._address if request and request.home_zone else ""
                    response = WorkQueued(work_id, 0.0, spillover_to)
            if not isinstance(decision, generation_decisions.Queued):
                self._requests_by_work.pop(decision.work_id, None)
            if address:
                self._send_to_address(address, response)

    def _record_refusal(self, request: WorkRequest, reason: str) -> dict[str, str]:
        """Counts a refusal; returns the shares of its member, for the log."""
        broker, now = self._brokers_by_pool[request.pool], self._now()
        self._demand.by_pool[request.pool].record_refusal(now)
        self._shortage.record_refusal(broker, request, reason, now)
        return self._shortage.describe_share(broker, request.member, now)

    def show_shortage(self) -> None:
        """Sets the gauges of the queues of which this VM is the broker."""
        self._shortage.show(self._own_brokers(), self._now())

    def sample_demand(self, pool: str) -> DemandSample | None:
        """Returns the demand of a pool in this zone, None if another VM brokers it."""
        if self._broker_vm(pool) != self._vm_key:
            return None
        broker = self._get_broker(pool)
        return self._demand.by_pool[pool].sample(broker, self._now())

    def remove_vm(self, vm: str) -> None:
        """Drops all work of a VM that has failed or left."""
        for broker in self._brokers_by_pool.values():
            broker.remove_vm(vm)

    async def run(self) -> None:
        """Serves the queues, publishes the load of this zone and expires old state periodically."""
        next_load = next_expiry = next_confirmation = self._now()
        while True:
            await self._wait_for_tick()
            now = self._now()
            for broker in self._brokers_by_pool.values():
                if broker.waiting_by_id:
                    self._refresh_engines(broker)
                    self._serve_queue(broker)
                    self._spill_over_newest_waiting(broker, now)
            self._takeover.forget_lost_roles(list(self._brokers_by_pool))
            if now >= next_load:
                next_load = now + LOAD_PUBLISH_INTERVAL_S
                self._spillover.publish_load(self._own_brokers(), now)
            if now >= next_confirmation:
                next_confirmation = now + CONFIRMATION_INTERVAL_S
                self._confirm_queued()
            if now >= next_expiry:
                next_expiry = now + WORK_EXPIRY_INTERVAL_S
                self._expire(now)

    def _spill_over_newest_waiting(self, broker: GenerationBroker, now: float) -> None:
        """Sends the most recent work in the queue away if another zone has a lower cost for it."""
        waiting = max(broker.waiting_by_id.values(), key=lambda w: w.work.arrived_at, default=None)
        request = waiting and self._requests_by_work.get(waiting.work.id)
        if request and self._spillover.spill_over(broker, waiting.work, request, now):
            broker.finish(waiting.work.id, "withdrawn", now)
            del self._requests_by_work[waiting.work.id]

    def _confirm_queued(self) -> None:
        """Tells the VMs of other zones that their work still waits here."""
        for broker in self._brokers_by_pool.values():
            requests = (self._requests_by_work.get(work_id) for work_id in broker.waiting_by_id)
            for request in [request for request in requests if request and request.home_zone]:
                queued = WorkQueued(request.work_id, 0.0, self._address)
                self._send_to_address(request.reply_to, queued)

    async def _wait_for_tick(self) -> None:
        """Waits for the next tick or, while the queues are empty, until work arrives."""
        if any(broker.waiting_by_id for broker in self._brokers_by_pool.values()):
            await asyncio.sleep(QUEUE_TICK_S)
            return
        self._work_waiting.clear()
        try:
            async with asyncio.timeout(
                LOAD_PUBLISH_INTERVAL_S if self.is_broker() else IDLE_WAKE_INTERVAL_S
            ):
                await self._work_waiting.wait()
        except TimeoutError:
            return

    def _expire(self, now: float) -> None:
        for broker in self._brokers_by_pool.values():
            broker.expire(now)
        self._spillover.expire(now)
        self._speed_monitor.update(self._own_brokers(), now)
        queued = set().union(*(broker.waiting_by_id for broker in self._brokers_by_pool.values()))
        for work_id in self._requests_by_work.keys() - queued:
            del self._requests_by_work[work_id]

    def _relay_load(self, sender: str, load: ZoneLoad) -> None:
        """Relays the load of another zone to the broker in this zone, if that is another VM."""
        broker_vm = self._broker_vm(load.pool)
        if broker_vm not in (self._vm_key, sender):
            self._bus.send(broker_vm, load)
