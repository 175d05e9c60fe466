"""An entry VM run by ``route`` on the prepared platform: its components, tasks and shutdown."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from uuid import uuid4

from bluebellpitch.callers.admission import build_http_limits
from bluebellpitch.callers.routed_requests import RoutedRequestHandler
from bluebellpitch.callers.routed_response import refuse_malformed_request
from bluebellpitch.callers.routing_context import RoutingContext
from bluebellpitch.clock import HybridClock
from bluebellpitch.decisions.buffer_budget import BufferBudget, buffer_capacity
from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.decisions.shutdown import GRACE_SHARE, DurationEstimates, last_messages_s
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.decisions.strikes import StrikeTracker
from bluebellpitch.draining import Shutdown, drain
from bluebellpitch.endpoints.endpoint_connections import EndpointConnectionPool
from bluebellpitch.http1 import HttpLimits, HttpServer, parse_address
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.platform.configuration import CONFIGURATION_KEY, CONFIGURATION_TOPIC
from bluebellpitch.platform.endpoint_entries import ENDPOINTS_TOPIC
from bluebellpitch.platform.settings_file import VmSettings
from bluebellpitch.platform.vm_records import VmRecord
from bluebellpitch.roles.crash_reporter import CrashReporter
from bluebellpitch.roles.crash_tracker import CrashTracker
from bluebellpitch.roles.duties.autoscaler import ScalingSources
from bluebellpitch.roles.duties.duties import Duties
from bluebellpitch.roles.duties.duty_context import DutyContext
from bluebellpitch.roles.endpoint_allocator import EndpointAllocator
from bluebellpitch.roles.endpoint_check import EndpointCheck
from bluebellpitch.roles.generation_coordinator import GenerationCoordinator
from bluebellpitch.roles.message_dispatcher import MessageDispatcher
from bluebellpitch.roles.peer_discovery import PeerDiscovery
from bluebellpitch.roles.peer_sync import PeerSync
from bluebellpitch.roles.shared_retry_budget import create_retry_budget
from bluebellpitch.roles.status_servers import StatusServers
from bluebellpitch.roles.store_clients import StoreClients
from bluebellpitch.roles.store_watchers import (
    CONFIGURATION_LONG_POLL_S,
    ENDPOINTS_LONG_POLL_S,
    ConfigurationWatcher,
    EndpointWatcher,
)
from bluebellpitch.roles.strike_replicator import StrikeReplicator
from bluebellpitch.roles.topic_follower import TopicFollower, reader_role
from bluebellpitch.tasks import start_tasks, stop_tasks

CLEANUP_INTERVAL_S = 1.0
ROUTED_STRIKE_TTL_S = 120.0


class EntryVm:
    """One entry VM run by ``route``; unlike Node, it takes endpoints from their store entries.

    Builds and connects its components. ``now`` returns seconds of a clock that also runs
    while the VM is suspended.
    """

    def __init__(
        self,
        settings: VmSettings,
        load_settings: Callable[[], VmSettings],
        now: Callable[[], float],
        metrics_port: int = 0,
    ):
        self.settings = settings
        self._load_settings = load_settings
        self._now = now
        self.directory = EndpointDirectory()
        self.draining = asyncio.Event()
        self.shutdown = Shutdown()
        self.store_era = StoreEra()
        self._store_clients = StoreClients(settings.store_address, self.store_era, now)
        self.key = f"{settings.vm_name}/{uuid4().hex[:8]}"
        self.liveness = Liveness(self.key, settings.zone)
        self.metrics = Metrics()
        self.buffers = BufferBudget(buffer_capacity(settings.memory_mb))
        self.metrics.show_buffers(self.buffers)
        self._metrics_port = metrics_port
        self.strikes = StrikeReplicator(
            StrikeTracker(ROUTED_STRIKE_TTL_S),
            peers=lambda: self.peer_discovery.addresses(),
            send=lambda address, message: self.bus.send_to_address(address, message),
            now=now,
        )
        self.crash_tracker = CrashTracker(
            address=settings.bus_address,
            peers=lambda: self.peer_discovery.addresses(),
            near_peers=lambda: [peer.address for peer in self.liveness.live_peers(now())],
            introduce=lambda address: self.peer_discovery.introduce(address),
            send=lambda address, message: self.bus.send_to_address(address, message),
            metrics=self.metrics,
            now=now,
        )
        self.crash_reporter = CrashReporter(
            self.strikes, self.crash_tracker, self.directory.has_left
        )
        self.bus = PeerBus(
            self.key,
            HybridClock(now),
            self.metrics,
            self._handle_message,
            is_near=lambda address: self.peer_discovery.is_near(address),
        )
        freshness = Freshness(settings.key_revocation_s, settings.config_apply_s)
        self.configuration = ConfigurationWatcher(
            self._create_follower(CONFIGURATION_TOPIC, CONFIGURATION_LONG_POLL_S),
            freshness,
            self.store_era,
        )
        self.endpoints = EndpointWatcher(
            self._create_follower(ENDPOINTS_TOPIC, ENDPOINTS_LONG_POLL_S),
            self.directory,
            now,
            2 * settings.endpoint_heartbeat_s,
        )
        self.peer_discovery = PeerDiscovery(
            vm=settings.vm_name,
            own_record=VmRecord(settings.bus_address, settings.zone),
            client=self._store_clients.create(),
            bus=self.bus,
            liveness=self.liveness,
            now=now,
            configuration_version=self.configuration.version,
            is_draining=self.draining.is_set,
            store_era=self.store_era,
            on_vm_lost=lambda vm: self.generations.remove_vm(vm),
            on_vm_heard=self.crash_tracker.tell,
            roles=self._roles,
        )
        self.peer_sync = PeerSync(
            address=settings.bus_address,
            bus=self.bus,
            liveness=self.liveness,
            configuration=self.configuration,
            endpoints=self.endpoints,
            all_addresses=self.peer_discovery.listed_addresses,
            has_vm_list=lambda: self.peer_discovery.has_list,
            zone_reader=lambda topic: self._role_holder(reader_role(topic)),
            now=now,
        )
        self.generations = GenerationCoordinator(
            vm_key=self.key,
            address=settings.bus_address,
            zone=settings.zone,
            bus=self.bus,
            liveness=self.liveness,
            directory=self.directory,
            catalogue=lambda: self.configuration.catalogue,
            addresses_in_zone=self.peer_discovery.addresses_in_zone,
            named_limits=lambda pool, zone: self.endpoint_allocator.named_limits(pool, zone),
            regions_by_zone=settings.regions_by_zone,
            metrics=self.metrics,
            now=now,
            is_draining=self.draining.is_set,
        )
        self.endpoint_allocator = EndpointAllocator(
            self.directory,
            self.generations.broker_client,
            settings.zone,
            settings.regions_by_zone,
            self.peer_discovery.possible_vm_count,
            now,
        )
        self.connection_pool = EndpointConnectionPool(now, self.buffers)
        self.retries = create_retry_budget(
            settings, self.bus, self.peer_discovery, self.draining.is_set, self.metrics, now
        )
        self.context = RoutingContext(
            catalogue=lambda: self.configuration.catalogue,
            freshness=freshness,
            endpoint_allocator=self.endpoint_allocator,
            endpoint_check=EndpointCheck(
                self.directory, self.endpoints.follower, settings.drain_s, now
            ),
            connection_pool=self.connection_pool,
            retries=self.retries,
            is_draining=self.draining.is_set,
            shutdown=self.shutdown,
            durations=DurationEstimates(),
            strikes=self.strikes,
            crash_reporter=self.crash_reporter,
            crash_tracker=self.crash_tracker,
            metrics=self.metrics,
            now=now,
            record_run=lambda member, at: self.duties.record_run(member, at),
        )
        self.http = HttpServer(
            self._serve, refuse_malformed_request, HttpLimits(idle_timeout_s=16.0), self.buffers
        )
        self.status_servers = StatusServers(self.is_ready, self._render_metrics)
        self.duties = self._create_duties()
        self._dispatcher = MessageDispatcher(
            peer_discovery=self.peer_discovery,
            peer_sync=self.peer_sync,
            strikes=self.strikes,
            crash_tracker=self.crash_tracker,
            duties=self.duties,
            generations=self.generations,
            retries=self.retries,
        )

    def _create_duties(self) -> Duties:
        context = DutyContext(
            vm_key=self.key,
            address=self.settings.bus_address,
            zone=self.settings.zone,
            zones=tuple(self.settings.regions_by_zone),
            bus=self.bus,
            liveness=self.liveness,
            store_era=self.store_era,
            peer_addresses=self.peer_discovery.addresses,
            has_vm_list=lambda: self.peer_discovery.has_list,
            is_draining=self.draining.is_set,
            metrics=self.metrics,
            now=self._now,
        )
        sources = ScalingSources(
            directory=self.directory,
            catalogue=lambda: self.configuration.catalogue,
            regions_by_zone=self.settings.regions_by_zone,
            sample_demand=self.generations.sample_demand,
        )
        return Duties(self.settings.duties, self._store_clients.create, context, sources)

    def _create_follower(self, topic: str, long_poll_s: float) -> TopicFollower:
        return TopicFollower(
            client=self._store_clients.create(),
            topic=topic,
            long_poll_s=long_poll_s,
            now=self._now,
            is_zone_reader=lambda: self._holds_role(reader_role(topic)),
            publish=lambda update: self.peer_sync.publish_to_zone(update),
            metrics=self.metrics,
            store_era=self.store_era,
            only_key=CONFIGURATION_KEY if topic == CONFIGURATION_TOPIC else None,
        )

    def _role_holder(self, role: str) -> str:
        return self.liveness.role_holder(role, self._now(), self.draining.is_set())

    def _holds_role(self, role: str) -> bool:
        return self._role_holder(role) == self.key

    def _roles(self) -> list[str]:
        topics = (CONFIGURATION_TOPIC, ENDPOINTS_TOPIC)
        return [*map(reader_role, topics), *self.generations.engine_pools(), *self.duties.roles()]

    def _handle_message(self, sender: str, message) -> None:
        self._dispatcher.handle_message(sender, message)

    async def _serve(self, connection, request) -> None:
        await RoutedRequestHandler(self.context, connection).serve(request)

    def _render_metrics(self) -> bytes:
        self.context.set_gauges(len(self.liveness.live_peers(self._now())), self.http.in_flight)
        self.generations.show_shortage()
        return self.metrics.render()

    def is_ready(self) -> bool:
        """Returns whether the VM should receive new connections."""
        configuration = self.configuration
        is_loaded = configuration.catalogue is not None and self.endpoints.is_loaded
        return is_loaded and configuration.is_checked and not self.draining.is_set()

    async def run(self) -> None:
        """Serves until a signal requests shutdown, then completes the requests in progress."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.draining.set)
        loop.add_signal_handler(signal.SIGINT, self.draining.set)
        loop.add_signal_handler(signal.SIGHUP, self._compare_settings)
        try:
            await self.serve()
        finally:
            self.close()
        log("INFO", "stopped", vm=self.settings.vm_name)

    async def serve(self) -> None:
        """Serves until ``draining`` is set, then completes the requests in progress."""
        self.bus.bind(self.settings.bus_address)
        host, port = parse_address(self.settings.listen_address)
        readiness_address = self.settings.readiness_address
        await self.status_servers.listen(readiness_address, host, self._metrics_port)
        await self.http.listen(host, port)
        tasks = start_tasks(self._background_tasks(), self.draining)
        log("INFO", "started", vm=self.settings.vm_name, zone=self.settings.zone)
        try:
            await self.draining.wait()
            await asyncio.gather(
                self.peer_discovery.unregister(self.settings.grace_s * GRACE_SHARE),
                self.duties.release(self.settings.grace_s),
                drain(self.http, self.shutdown, self.settings.grace_s, self._now),
            )
        finally:
            await self.crash_reporter.close()
            await stop_tasks(tasks)

    def close(self) -> None:
        """Closes all sockets."""
        self.http.stop_listening()
        self.status_servers.close()
        self._store_clients.close()
        self.connection_pool.close()
        self.duties.close()
        self.bus.close(last_messages_s(self.settings.grace_s))

    def _background_tasks(self) -> tuple[Coroutine, ...]:
        return (
            self.configuration.run(),
            self.endpoints.run(),
            self.endpoints.run_expiry(),
            self.bus.run(),
            self.peer_discovery.register(),
            self.peer_discovery.send_heartbeats(),
            self.peer_sync.run(),
            self.generations.run(),
            self.strikes.run_expiry(),
            self.crash_tracker.run(),
            self._apply_limits(),
            self._clean_up(),
            *self.duties.background_tasks(),
        )

    def _compare_settings(self) -> None:
        """Reads the settings file again and logs whether it differs; changes need a restart."""
        changed = self._load_settings() != self.settings
        log("INFO", "settings_read_again", changed=changed)

    async def _apply_limits(self) -> None:
        """Applies the limits on callers whenever the configuration changes."""
        while True:
            await self.configuration.changed.wait()
            self.configuration.changed.clear()
            self.http.limits = build_http_limits(self.configuration.catalogue.limits)

    async def _clean_up(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self.connection_pool.close_expired()
            self.endpoint_allocator.loads.prune(self.directory.entries_by_id.values())
