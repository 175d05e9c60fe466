"""An entry VM run by ``serve``: its components, their tasks and the dispatch of peer messages."""

import asyncio
import signal
from collections.abc import Coroutine
from uuid import uuid4

from bluebellpitch.callers.server import CallerServer
from bluebellpitch.clock import HybridClock
from bluebellpitch.constants import EVENT_RING_SIZE
from bluebellpitch.context import NodeContext
from bluebellpitch.decisions.buffer_budget import BufferBudget, buffer_capacity
from bluebellpitch.decisions.class_scheduling import SchedulingPolicy
from bluebellpitch.decisions.control import VmIdentity
from bluebellpitch.decisions.hedge_budget import HedgeBudget
from bluebellpitch.decisions.shutdown import ANSWER_TIME_S, last_messages_s
from bluebellpitch.decisions.slot_broker import SlotBroker
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.decisions.strikes import StrikeTracker
from bluebellpitch.draining import last_requests_s
from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.environment import Environment
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.http1 import parse_address
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.operators.admin_server import AdminServer
from bluebellpitch.operators.status import (
    BrokerStatus,
    ClassStatus,
    EndpointStatus,
    UnresolvedStatus,
    VmStatus,
)
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import (
    ControlRecords,
    ForwardedMessage,
    Heartbeat,
    HeldGrantsReport,
    LatencyReport,
    LeavingReport,
    LimitReport,
    LoanGranted,
    LoanRequest,
    LoanReturned,
    Message,
    SlotGranted,
    SlotPreempted,
    SlotRefused,
    SlotReleased,
    SlotRequest,
    SlotRequestCancelled,
    SnapshotTransfer,
    StrikeConfirmation,
    StrikeReport,
    StrikesCleared,
)
from bluebellpitch.platform.appender import Appender
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.platform.topic_reader import TopicReader
from bluebellpitch.platform.topics import CLAIMS_TOPIC, CONTROL_TOPIC
from bluebellpitch.roles.claim_coordinator import ClaimCoordinator
from bluebellpitch.roles.cluster_membership import ClusterMembership
from bluebellpitch.roles.control_log_replica import ControlLogReplica
from bluebellpitch.roles.slot_broker_service import SlotBrokerService
from bluebellpitch.roles.slot_client import SlotClient
from bluebellpitch.roles.strike_replicator import StrikeReplicator
from bluebellpitch.settings import Settings
from bluebellpitch.tasks import start_tasks, stop_tasks
from bluebellpitch.view import ClusterView, ViewHolder, VmState

DRAIN_POLL_S = 0.05


class Node:
    """One entry VM run by ``serve``; unlike EntryVm, it takes endpoints from the operators' table.

    Builds and connects its components.
    """

    def __init__(self, settings: Settings, environment: Environment, policy: SchedulingPolicy):
        now, wall = environment.now, environment.wall
        self.settings = settings
        self.now = now
        incarnation = settings.incarnation or f"{int(wall() * 1000):013x}{uuid4().hex[:4]}"
        identity = VmIdentity(settings.vm, incarnation, settings.bus, settings.admin)
        own = VmState(identity, settings.zone, settings.region, False, -1, 0)
        self.key = identity.key
        self._store_clients: list[StoreClient] = []
        self.store_era = StoreEra()
        self._was_ready = False
        self.view_holder = ViewHolder(ClusterView(own))
        self.clock = HybridClock(wall)
        self.event_ring = EventRing(settings.vm, self.clock, EVENT_RING_SIZE)
        self.metrics = Metrics()
        self.strikes = StrikeReplicator(StrikeTracker(), self._peer_keys, self._send_strike, now)
        self.bus = PeerBus(self.key, self.clock, self.metrics, self.handle_message)
        self.control_reader = TopicReader(
            self._create_store_client(), CONTROL_TOPIC, self.metrics, now
        )
        claims_reader = TopicReader(self._create_store_client(), CLAIMS_TOPIC, self.metrics, now)
        self.control_appender = Appender(self._create_store_client(), CONTROL_TOPIC, self.metrics)
        self.claims_appender = Appender(self._create_store_client(), CLAIMS_TOPIC, self.metrics)
        self.control_log_replica = ControlLogReplica(
            self.view_holder,
            self.control_reader,
            self._create_store_client(),
            self.control_appender,
            self.event_ring,
            self.metrics,
            self.store_era,
            now,
        )
        self.membership = ClusterMembership(
            self.view_holder,
            self.bus,
            self.control_appender,
            self.event_ring,
            now,
            settings.peers,
            self._create_store_client(),
            self.store_era,
        )
        self.slot_client = SlotClient(self.view_holder, self.bus, self.metrics, now)
        self.slot_broker_service = SlotBrokerService(
            self.view_holder,
            self.bus,
            self.membership.history,
            self.event_ring,
            self.metrics,
            now,
            policy,
            lambda broker, pool: self.slot_client.report_held_slots(broker, pool, settings.zone),
        )
        self.claim_coordinator = ClaimCoordinator(
            self.view_holder,
            claims_reader,
            self.claims_appender,
            self.event_ring,
            self.metrics,
            now,
            wall,
            settings.horizon_s,
            self.store_era,
        )
        self.buffers = BufferBudget(buffer_capacity(settings.memory_mb))
        self.metrics.show_buffers(self.buffers)
        self.connection_pool = ConnectionPool(now, self.buffers)
        self.context = NodeContext(
            settings=settings,
            view_holder=self.view_holder,
            slot_client=self.slot_client,
            claim_coordinator=self.claim_coordinator,
            connection_pool=self.connection_pool,
            strikes=self.strikes,
            hedge_budget=HedgeBudget(),
            event_ring=self.event_ring,
            metrics=self.metrics,
            now=now,
            wall=wall,
            mark_leaving=self.membership.mark_leaving,
        )
        self.callers = CallerServer(self.context)
        self.admin = AdminServer(self.event_ring, self.metrics, self.build_status, self.is_ready)
        self.draining = asyncio.Event()

    def _create_store_client(self) -> StoreClient:
        """Returns a client for one task; calls of one client must not overlap."""
        client = StoreClient(self.settings.store_address, self._observe_era)
        self._store_clients.append(client)
        return client

    def _observe_era(self, era: int) -> None:
        """Counts the first era seen as new too: this VM cannot tell how long it has lasted."""
        was, now = self.store_era.number, self.now()
        if was is None and era > 0:
            self.store_era.observe_rise(era, now, now)
        elif self.store_era.observe(era, now):
            log("WARNING", "store_era", era=era, was=was)

    def handle_message(self, sender: str, message: Message) -> None:
        """Dispatches a message to the component that handles it."""
        match message:
            case Heartbeat():
                self._handle_heartbeat(sender, message)
            case SlotGranted() | SlotRefused() | SlotPreempted():
                self.slot_client.handle_message(sender, message)
            case (
                SlotRequest()
                | SlotRequestCancelled()
                | SlotReleased()
                | HeldGrantsReport()
                | LatencyReport()
                | LimitReport()
                | ForwardedMessage()
            ):
                self.slot_broker_service.handle_message(sender, message)
            case LoanRequest() | LoanGranted() | LoanReturned():
                self.slot_broker_service.handle_message(sender, message)
            case StrikeReport() | StrikesCleared() | StrikeConfirmation():
                if (confirmation := self.strikes.handle_message(message)) is not None:
                    self.bus.send(sender, confirmation)
            case LeavingReport(_, endpoint):
                self.membership.mark_leaving(endpoint)
            case ControlRecords():
                self.control_log_replica.apply_records(message)
            case SnapshotTransfer():
                self.control_log_replica.install_transfer(message)

    def _handle_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        self.membership.handle_heartbeat(heartbeat)
        if (catch_up := self.control_log_replica.catch_up_message(sender, heartbeat)) is not None:
            self.bus.send(sender, catch_up)

    def _peer_keys(self) -> frozenset[str]:
        return frozenset(self.view_holder.current.live_by_key.keys() - {self.key})

    def _send_strike(self, peer: str, message: StrikeReport | StrikesCleared) -> None:
        self.bus.send(peer, message)

    def is_ready(self) -> bool:
        """Tells the load balancer whether this VM accepts callers.

        A VM that starts after the store came back from a copy gives others time to write again.
        """
        has_table = bool(self.view_holder.current.table.members_by_name)
        is_complete = self._was_ready or self.store_era.is_rewritten(self.now())
        self._was_ready |= has_table and is_complete
        return self._was_ready and not self.draining.is_set()

    async def run(self) -> None:
        """Serves until a signal starts the drain, then drains and stops."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.draining.set)
        loop.add_signal_handler(signal.SIGINT, self.draining.set)
        self.bus.bind(self.settings.bus_bind)
        await self.admin.http.listen(*parse_address(self.settings.admin))
        await self.callers.http.listen(*parse_address(self.settings.listen))
        tasks = start_tasks(self._background_tasks(), self.draining)
        log("INFO", "started", vm=self.key, zone=self.settings.zone, listen=self.settings.listen)
        await self.draining.wait()
        await self._drain()
        await stop_tasks(tasks)
        self.connection_pool.close()
        for client in self._store_clients:
            client.close()
        self.bus.close(last_messages_s(self.settings.grace_s))
        log("INFO", "stopped", vm=self.key)

    def _background_tasks(self) -> tuple[Coroutine, ...]:
        return (
            self.bus.run(),
            self.control_log_replica.follow_log(),
            self.control_log_replica.publish_snapshots(self.settings.snapshot_every_s, self.now),
            self.control_appender.run(),
            self.claim_coordinator.follow_log(),
            self.claim_coordinator.expire(),
            self.claims_appender.run(),
            self.membership.run(),
            self.membership.follow_vm_list(),
            self.slot_broker_service.run(),
            self.slot_client.run(),
            self.strikes.run_expiry(),
        )

    async def _drain(self) -> None:
        """Hands roles over, lets the load balancer notice, and finishes all requests in flight."""
        self.event_ring.record(EventKind.DRAINING)
        log("INFO", "draining", in_flight=self.callers.http.in_flight)
        shutdown = self.context.shutdown
        schedule = shutdown.schedule
        schedule.begin(self.settings.grace_s, self.now())
        self.membership.start_draining()
        await asyncio.sleep(self.settings.drain_notice_s)
        self.callers.http.stop_listening()
        await asyncio.sleep(last_requests_s(self.settings.grace_s))
        await self.callers.http.close_idle()
        while self._has_open_work() and schedule.time_left_s(self.now()) > 0:
            await asyncio.sleep(DRAIN_POLL_S)
        shutdown.must_answer.set()
        while self._has_open_work() and schedule.time_left_s(self.now()) > -ANSWER_TIME_S:
            await asyncio.sleep(DRAIN_POLL_S)
        log("INFO", "drained", unanswered=self.callers.http.in_flight)
        await self.membership.unregister(max(0.0, schedule.last_calls_at - self.now()))

    def _has_open_work(self) -> bool:
        busy, appends = (
            self.callers.http.busy_connections,
            self.claim_coordinator.unfinished_appends,
        )
        return bool(busy or appends())

    def build_status(self) -> VmStatus:
        """Returns this VM's status."""
        view = self.view_holder.current
        unresolved = (
            UnresolvedStatus(claim.key, claim.vm, claim.made_at)
            for claim in self.claim_coordinator.unresolved()
        )
        return VmStatus(
            vm=self.key,
            zone=self.settings.zone,
            region=self.settings.region,
            draining=self.draining.is_set(),
            control_offset=self.control_log_replica.state_machine.offset,
            epoch=view.own.epoch,
            in_flight=self.callers.http.in_flight,
            store_silence_s=self.now() - self.control_reader.last_read_at,
            backlog=self.claim_coordinator.unfinished_appends(),
            live=tuple(sorted(view.live_by_key)),
            brokers=tuple(
                build_broker_status(b) for b in self.slot_broker_service.brokers_by_pool.values()
            ),
            unresolved=tuple(unresolved),
        )


def build_broker_status(broker: SlotBroker) -> BrokerStatus:
    """Returns the status of one pool's broker."""
    classes = tuple(
        ClassStatus(name, broker.queues.count(name), len(broker.grants_by_class.get(name, ())))
        for name in sorted(broker.scheduler.stats_by_class)
    )
    endpoints = tuple(
        EndpointStatus(
            row.name,
            broker.selector.used_slots(row.name),
            row.slots,
            broker.health.is_slow(row.name),
            row.state != "live",
        )
        for row in broker.table.pool_endpoints(broker.pool, broker.zone)
    )
    return BrokerStatus(broker.pool, broker.zone, classes, endpoints)
