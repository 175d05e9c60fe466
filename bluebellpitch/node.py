"""One entry VM: its tasks, and which of them gets each message."""

import asyncio
import signal
from collections.abc import Coroutine
from uuid import uuid4

from bluebellpitch.callers.server import CallerServer
from bluebellpitch.clock import HybridClock
from bluebellpitch.constants import RING_EVENTS
from bluebellpitch.context import NodeContext
from bluebellpitch.decisions.broker import Broker
from bluebellpitch.decisions.class_scheduling import SchedulingPolicy
from bluebellpitch.decisions.control import VmIdentity
from bluebellpitch.decisions.hedge_budget import HedgeBudget
from bluebellpitch.decisions.strikes import StrikeTracker
from bluebellpitch.endpoints.connections import EndpointConnections
from bluebellpitch.environment import Environment
from bluebellpitch.events import Kind, Ring
from bluebellpitch.http1 import parse_address
from bluebellpitch.jobs import start_jobs, stop_jobs
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
    StrikeAck,
    StrikeReport,
    StrikesCleared,
)
from bluebellpitch.platform.appender import Appender
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.platform.topic_reader import TopicReader
from bluebellpitch.platform.topics import CLAIMS_TOPIC, CONTROL_TOPIC
from bluebellpitch.roles.brokering import BrokerRole
from bluebellpitch.roles.claiming import ClaimRole
from bluebellpitch.roles.control import ControlRole
from bluebellpitch.roles.membership import Membership
from bluebellpitch.roles.seeking import SlotRole
from bluebellpitch.roles.strike_replicator import StrikeReplicator
from bluebellpitch.settings import Settings
from bluebellpitch.view import ClusterView, KnownVm, ViewHolder

DRAIN_POLL_S = 0.1


class Node:
    """Wires the parts of one VM together."""

    def __init__(self, settings: Settings, environment: Environment, policy: SchedulingPolicy):
        now, wall = environment.now, environment.wall
        self.settings = settings
        self.now = now
        incarnation = settings.incarnation or f"{int(wall() * 1000):013x}{uuid4().hex[:4]}"
        identity = VmIdentity(settings.vm, incarnation, settings.bus, settings.admin)
        own = KnownVm(identity, settings.zone, settings.region, False, -1, 0)
        self.key = identity.key
        self.holder = ViewHolder(ClusterView(own))
        self.clock = HybridClock(wall)
        self.ring = Ring(settings.vm, self.clock, RING_EVENTS)
        self.metrics = Metrics()
        self.strikes = StrikeReplicator(StrikeTracker(), self._peers, self._send_strike, now)
        self.bus = PeerBus(self.key, self.clock, self.metrics, self.take)
        self.control_tail = TopicReader(self._open_store(), CONTROL_TOPIC, self.metrics, now)
        claims_tail = TopicReader(self._open_store(), CLAIMS_TOPIC, self.metrics, now)
        self.control_appender = Appender(self._open_store(), CONTROL_TOPIC, self.metrics)
        self.claims_appender = Appender(self._open_store(), CLAIMS_TOPIC, self.metrics)
        self.control = ControlRole(
            self.holder, self.control_tail, self._open_store(), self.ring, self.metrics
        )
        self.membership = Membership(
            self.holder,
            self.bus,
            self.control_appender,
            self.ring,
            now,
            settings.peers,
            self._open_store(),
        )
        self.slots = SlotRole(self.holder, self.bus, self.metrics, now)
        self.brokers = BrokerRole(
            self.holder,
            self.bus,
            self.membership.history,
            self.ring,
            self.metrics,
            now,
            policy,
            lambda broker, pool: self.slots.report_held(broker, pool, settings.zone),
        )
        self.claims = ClaimRole(
            self.holder,
            claims_tail,
            self.claims_appender,
            self.ring,
            self.metrics,
            now,
            wall,
            settings.horizon_s,
        )
        self.connections = EndpointConnections(now)
        self.context = NodeContext(
            settings=settings,
            holder=self.holder,
            slots=self.slots,
            claims=self.claims,
            connections=self.connections,
            strikes=self.strikes,
            hedges=HedgeBudget(),
            ring=self.ring,
            metrics=self.metrics,
            now=now,
            wall=wall,
        )
        self.callers = CallerServer(self.context)
        self.admin = AdminServer(self.ring, self.metrics, self.describe, self.is_ready)
        self.draining = asyncio.Event()

    def _open_store(self) -> StoreClient:
        """Returns a client for one task: its calls do not overlap."""
        return StoreClient(self.settings.store_address)

    def take(self, sender: str, message: Message) -> None:
        """Gives a message to the role that it is for."""
        match message:
            case Heartbeat():
                self._take_heartbeat(sender, message)
            case SlotGranted() | SlotRefused() | SlotPreempted():
                self.slots.take(sender, message)
            case (
                SlotRequest()
                | SlotRequestCancelled()
                | SlotReleased()
                | HeldGrantsReport()
                | LatencyReport()
                | ForwardedMessage()
            ):
                self.brokers.take(sender, message)
            case LoanRequest() | LoanGranted() | LoanReturned():
                self.brokers.take(sender, message)
            case StrikeReport() | StrikesCleared() | StrikeAck():
                if (confirmation := self.strikes.handle_message(message)) is not None:
                    self.bus.send(sender, confirmation)
            case ControlRecords(entries):
                self.control.take_entries(entries)
            case SnapshotTransfer():
                self.control.take_transfer(message)

    def _take_heartbeat(self, sender: str, beat: Heartbeat) -> None:
        self.membership.take_heartbeat(beat)
        if (help_message := self.control.help_peer(sender, beat)) is not None:
            self.bus.send(sender, help_message)

    def _peers(self) -> frozenset[str]:
        return frozenset(self.holder.current.live_by_key.keys() - {self.key})

    def _send_strike(self, peer: str, message: StrikeReport | StrikesCleared) -> None:
        self.bus.send(peer, message)

    def is_ready(self) -> bool:
        """Tells the balancer whether to send callers here."""
        return bool(self.holder.current.table.members_by_name) and not self.draining.is_set()

    async def run(self) -> None:
        """Serves until told to drain, then drains."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.draining.set)
        loop.add_signal_handler(signal.SIGINT, self.draining.set)
        self.bus.bind(self.settings.bus_bind)
        await self.admin.http.listen(*parse_address(self.settings.admin))
        await self.callers.http.listen(*parse_address(self.settings.listen))
        tasks = start_jobs(self._jobs(), self.draining)
        log("INFO", "started", vm=self.key, zone=self.settings.zone, listen=self.settings.listen)
        await self.draining.wait()
        await self._drain()
        await stop_jobs(tasks)
        self.connections.close()
        self.bus.close()
        log("INFO", "stopped", vm=self.key)

    def _jobs(self) -> tuple[Coroutine, ...]:
        return (
            self.bus.run(),
            self.control.follow_log(),
            self.control.publish_snapshots(self.settings.snapshot_every_s, self.now),
            self.control_appender.run(),
            self.claims.follow_log(),
            self.claims.expire(),
            self.claims_appender.run(),
            self.membership.run(),
            self.membership.follow_list(),
            self.brokers.run(),
            self.slots.run(),
            self.strikes.run_expiry(),
        )

    async def _drain(self) -> None:
        """Waits for the balancer, hands roles over, and finishes all that it serves."""
        self.ring.record(Kind.DRAINING)
        log("INFO", "draining", in_flight=self.callers.http.busy)
        self.membership.set_draining()
        await asyncio.sleep(self.settings.drain_notice_s)
        self.callers.http.stop_listening()
        while self.callers.http.busy or self.claims.backlog():
            await asyncio.sleep(DRAIN_POLL_S)
        await self.membership.unregister()

    def describe(self) -> VmStatus:
        """Returns this VM's status."""
        view = self.holder.current
        unresolved = (
            UnresolvedStatus(claim.key, claim.vm, claim.made_at)
            for claim in self.claims.unresolved()
        )
        return VmStatus(
            vm=self.key,
            zone=self.settings.zone,
            region=self.settings.region,
            draining=self.draining.is_set(),
            control_offset=self.control.fold.offset,
            epoch=view.own.epoch,
            in_flight=self.callers.http.busy,
            store_silence_s=self.now() - self.control_tail.last_read_at,
            backlog=self.claims.backlog(),
            live=tuple(sorted(view.live_by_key)),
            brokers=tuple(describe_broker(b) for b in self.brokers.brokers_by_pool.values()),
            unresolved=tuple(unresolved),
        )


def describe_broker(broker: Broker) -> BrokerStatus:
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
