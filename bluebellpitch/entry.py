"""An entry VM on the prepared platform: wires its parts together and stops them in order."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from uuid import uuid4

from bluebellpitch.callers.routed import RoutedExchange, RoutingContext, refuse_malformed
from bluebellpitch.clock import HybridClock
from bluebellpitch.decisions.directory import Directory
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.decisions.repeats import RepeatBudget
from bluebellpitch.decisions.strikes import StrikeBook
from bluebellpitch.endpoints.endpoint_connections import EndpointConnectionPool
from bluebellpitch.http1 import HttpLimits, HttpServer, parse_address
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.entry_messages import (
    ConfigurationTold,
    FreshnessAsked,
    FreshnessTold,
    RecordsAsked,
    RecordsTold,
    VmBeat,
)
from bluebellpitch.peers.messages import StrikeNoted, StrikesCleared
from bluebellpitch.platform.configuration import CONFIGURATION_TOPIC
from bluebellpitch.platform.entries import ENDPOINTS_TOPIC
from bluebellpitch.platform.members import MemberRecord
from bluebellpitch.platform.settings_file import VmSettings
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.roles.following import (
    CONFIGURATION_WAIT_S,
    ENDPOINTS_WAIT_S,
    ConfigurationRole,
    EndpointsRole,
    TopicFollower,
)
from bluebellpitch.roles.generation import GenerationRole
from bluebellpitch.roles.neighbours import NeighboursRole
from bluebellpitch.roles.placing import PlacingRole
from bluebellpitch.roles.sharing import SharingRole
from bluebellpitch.roles.striking import StrikeRole
from bluebellpitch.tasks import start_tasks, stop_tasks

DRAIN_POLL_S = 0.05
# New connections come until the platform has noticed that the VM is not ready.
STILL_CHOSEN_S = 2.6
# Idle connections are kept a little longer, for requests that are on their way.
LAST_REQUESTS_S = 3.2
GRACE_SHARE = 0.94
LINKS_CHECKED_S = 1.0
RECEIVE_BODY_S = 10.0
STRIKES_KEPT_S = 120.0


class EntryVm:
    """One entry VM. ``now`` counts seconds, also while the VM is suspended."""

    def __init__(
        self,
        settings: VmSettings,
        reload: Callable[[], VmSettings],
        now: Callable[[], float],
        metrics_port: int = 0,
    ):
        self.settings = settings
        self._reload = reload
        self._now = now
        self.directory = Directory()
        self.draining = asyncio.Event()
        self._closing = False
        self.key = f"{settings.vm}/{uuid4().hex[:8]}"
        self.liveness = Liveness(self.key, settings.zone)
        self.metrics = Metrics()
        self._metrics_port = metrics_port
        self.strikes = StrikeRole(
            StrikeBook(STRIKES_KEPT_S),
            peers=lambda: [a for a in self._all_addresses() if a != settings.bus],
            tell=lambda address, message: self.bus.send_to_address(address, message),
            now=now,
        )
        self.bus = PeerBus(self.key, HybridClock(now), self.metrics, self._take)
        freshness = Freshness(settings.revoke_s, settings.apply_s)
        self.configuration = ConfigurationRole(
            self._follow(CONFIGURATION_TOPIC, CONFIGURATION_WAIT_S), freshness
        )
        self.endpoints = EndpointsRole(
            self._follow(ENDPOINTS_TOPIC, ENDPOINTS_WAIT_S),
            self.directory,
            now,
            2 * settings.endpoint_heartbeat_s,
        )
        self.neighbours = NeighboursRole(
            vm=settings.vm,
            own=MemberRecord(settings.bus, settings.zone),
            store=settings.store,
            bus=self.bus,
            liveness=self.liveness,
            now=now,
            version=self.configuration.version,
            is_draining=self.draining.is_set,
            vm_lost=lambda vm: self.generations.forget_vm(vm),
            has_duty=self._has_duty,
        )
        self.sharing = SharingRole(
            address=settings.bus,
            bus=self.bus,
            liveness=self.liveness,
            configuration=self.configuration,
            endpoints=self.endpoints,
            all_addresses=self._all_addresses,
            reader=lambda: self._holder(reads(CONFIGURATION_TOPIC)),
            now=now,
        )
        self.generations = GenerationRole(
            key=self.key,
            address=settings.bus,
            zone=settings.zone,
            bus=self.bus,
            liveness=self.liveness,
            directory=self.directory,
            catalogue=lambda: self.configuration.catalogue,
            elsewhere=self.neighbours.addresses_elsewhere,
            zones=settings.regions_by_zone,
            now=now,
            is_draining=self.draining.is_set,
        )
        self.placing = PlacingRole(
            self.directory, self.generations.seeker, settings.zone, settings.regions_by_zone, now
        )
        self.links = EndpointConnectionPool(now)
        self.context = RoutingContext(
            catalogue=lambda: self.configuration.catalogue,
            freshness=freshness,
            placing=self.placing,
            links=self.links,
            repeats=RepeatBudget(
                settings.repeat_share, settings.repeat_burst, settings.repeat_window_s
            ),
            live_vms=self.neighbours.count,
            is_draining=self.draining.is_set,
            is_closing=lambda: self._closing,
            strikes=self.strikes,
            metrics=self.metrics,
            now=now,
        )
        self.metrics_http = HttpServer(self._answer_metrics, refuse_malformed, HttpLimits())
        self.http = HttpServer(self._serve, refuse_malformed, HttpLimits(idle_timeout_s=16.0))
        self.ready_http = HttpServer(self._answer_ready, refuse_malformed, HttpLimits())

    def _follow(self, topic: str, wait_s: float) -> TopicFollower:
        return TopicFollower(
            client=StoreClient(self.settings.store),
            topic=topic,
            wait_s=wait_s,
            now=self._now,
            is_reader=lambda: self._holds(reads(topic)),
            tell=lambda told: self.sharing.tell_zone(told),
            metrics=self.metrics,
        )

    def _holder(self, duty: str) -> str:
        return self.liveness.holder(duty, self._now(), self.draining.is_set())

    def _holds(self, duty: str) -> bool:
        return self._holder(duty) == self.key

    def _has_duty(self) -> bool:
        topics = (CONFIGURATION_TOPIC, ENDPOINTS_TOPIC)
        return any(self._holds(reads(topic)) for topic in topics) or self.generations.is_broker()

    def _take(self, sender: str, message) -> None:
        """Gives a peer's message to the role that it is for."""
        match message:
            case VmBeat():
                self.neighbours.take(sender, message)
            case RecordsTold() | RecordsAsked() | ConfigurationTold():
                self.sharing.take(sender, message)
            case FreshnessAsked() | FreshnessTold():
                self.sharing.take(sender, message)
            case StrikeNoted() | StrikesCleared():
                self.strikes.take(message)
            case _:
                self.generations.take(sender, message)

    def _all_addresses(self) -> list[str]:
        return [record.bus for record in self.neighbours.records_by_vm.values()]

    async def _serve(self, connection, request) -> None:
        await RoutedExchange(self.context, connection).serve(request)

    async def _answer_ready(self, connection, request) -> None:
        status = 200 if self.is_ready() else 503
        await connection.respond(status, [("Content-Type", "text/plain")], b"")

    async def _answer_metrics(self, connection, request) -> None:
        now = self._now()
        metrics, context = self.metrics, self.context
        metrics.configuration_version.set(self.configuration.version())
        metrics.freshness_age.set(context.freshness.age_s(now))
        metrics.peers_heard.set(len(self.liveness.live(now)))
        metrics.in_flight.set(self.http.in_flight)
        catalogue = self.configuration.catalogue
        for pool in catalogue.pools_by_name if catalogue else ():
            left = context.repeats.left(pool, self.neighbours.count(), now)
            metrics.repeats_left.labels(pool).set(left)
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        await connection.respond(200, headers, metrics.render())

    def is_ready(self) -> bool:
        """Tells whether new connections should come here."""
        knows = self.configuration.catalogue is not None and self.endpoints.known
        return knows and not self.draining.is_set()

    async def run(self) -> None:
        """Serves until a signal says to stop, then finishes what it holds."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.draining.set)
        loop.add_signal_handler(signal.SIGINT, self.draining.set)
        loop.add_signal_handler(signal.SIGHUP, self._take_settings)
        try:
            await self.serve()
        finally:
            self.close()
        log("INFO", "stopped", vm=self.settings.vm)

    async def serve(self) -> None:
        """Serves until ``draining`` is set, then finishes what it holds."""
        self.bus.bind(self.settings.bus)
        await self.ready_http.listen(*parse_address(self.settings.ready))
        if self._metrics_port:
            host, _ = parse_address(self.settings.listen)
            await self.metrics_http.listen(host, self._metrics_port)
        await self.http.listen(*parse_address(self.settings.listen))
        tasks = start_tasks(self._jobs(), self.draining)
        log("INFO", "started", vm=self.settings.vm, zone=self.settings.zone)
        try:
            await self.draining.wait()
            await asyncio.gather(self.neighbours.unregister(), self._drain())
        finally:
            await stop_tasks(tasks)

    def close(self) -> None:
        """Closes all sockets."""
        for server in (self.http, self.ready_http, self.metrics_http):
            server.stop_listening()
        self.bus.close()

    def _jobs(self) -> tuple[Coroutine, ...]:
        return (
            self.configuration.run(),
            self.endpoints.run(),
            self.endpoints.expire(),
            self.bus.run(),
            self.neighbours.register(),
            self.neighbours.beat(),
            self.sharing.run(),
            self.generations.run(),
            self.strikes.expire(),
            self._apply_limits(),
            self._tidy(),
        )

    def _take_settings(self) -> None:
        """Reads the settings file again; what cannot change while running is only reported."""
        changed = self._reload() != self.settings
        log("INFO", "settings_read_again", changed=changed)

    async def _apply_limits(self) -> None:
        """Puts the limits on callers into force whenever the configuration changes."""
        while True:
            await self.configuration.changed.wait()
            self.configuration.changed.clear()
            limits = self.configuration.catalogue.limits
            self.http.limits = HttpLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                receive_s=max(limits.header_s, RECEIVE_BODY_S),
                idle_timeout_s=limits.idle_s,
            )

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(LINKS_CHECKED_S)
            self.links.close_expired()
            self.placing.loads.forget_others(self.directory.entries_by_id.values())

    async def _drain(self) -> None:
        """Stops taking requests once the platform sends none, and finishes those it has."""
        begun = self._now()
        log("INFO", "draining", in_flight=self.http.in_flight)
        await asyncio.sleep(STILL_CHOSEN_S)
        self._closing = True
        await asyncio.sleep(LAST_REQUESTS_S - STILL_CHOSEN_S)
        self.http.stop_listening()
        while self.http.in_flight and self._now() - begun < self.settings.grace_s * GRACE_SHARE:
            await asyncio.sleep(DRAIN_POLL_S)


def reads(topic: str) -> str:
    """Returns the duty to read a topic for the zone."""
    return f"reads {topic}"
