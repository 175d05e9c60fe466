"""Shares the configuration, its freshness and store records between entry VMs.

Only the clock of the requesting VM is used. A peer that responds with ``age_s`` confirmed its
version that long before the response; the requesting VM counts ``age_s`` back from the earlier
time of its request, so the configuration never seems fresher than it is.
"""

import asyncio
import random
from collections.abc import Callable

from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.platform_messages import (
    ConfigurationUpdate,
    FreshnessReply,
    FreshnessRequest,
    RecordsRequest,
    RecordsUpdate,
)
from bluebellpitch.roles.store_watchers import ConfigurationWatcher, EndpointWatcher

# Requests go to the zone's reader when this VM's configuration was last confirmed longer ago than
# the first limit, and to all VMs of the zone after the second.
READER_REQUEST_AFTER_S = 0.9
ZONE_REQUEST_AFTER_S = 1.5
PEER_REQUEST_INTERVAL_S = 0.3
# After a third limit they go to so many other VMs as well, in case the whole zone is out of date.
MAX_OTHER_PEERS = 2
OTHER_PEERS_REQUEST_AFTER_S = 2.0


class PeerSync:
    """Requests the configuration and records from peers and responds to their requests."""

    def __init__(
        self,
        address: str,
        bus: PeerBus,
        liveness: Liveness,
        configuration: ConfigurationWatcher,
        endpoints: EndpointWatcher,
        all_addresses: Callable[[], list[str]],
        zone_reader: Callable[[], str],
        now: Callable[[], float],
    ):
        self._address = address
        self._bus = bus
        self._liveness = liveness
        self._configuration = configuration
        self._endpoints = endpoints
        self._all_addresses = all_addresses
        self._zone_reader = zone_reader
        self._now = now
        self._keys_usable = False

    def publish_to_zone(self, update: RecordsUpdate) -> None:
        """Sends records read from the store to the VMs of this zone."""
        for peer in self._liveness.live_peers(self._now()):
            self._bus.send_to_address(peer.address, update)

    def handle_message(self, sender: str, message) -> None:
        """Handles a message about the configuration or the endpoints."""
        match message:
            case RecordsUpdate(topic) if topic == self._configuration.follower.topic:
                records = self._configuration.follower.accept_peer_records(message)
                self._configuration.apply_records(records, sender)
            case RecordsUpdate():
                for record in self._endpoints.follower.accept_peer_records(message):
                    self._endpoints.apply(record)
            case RecordsRequest(topic, start, reply_to):
                self._send_records(topic, start, reply_to)
            case ConfigurationUpdate(data):
                self._configuration.apply(data, sender)
            case FreshnessRequest(asked_at, version, reply_to):
                self._send_freshness(asked_at, version, reply_to)
            case FreshnessReply(asked_at, version, age_s):
                self._apply_freshness(asked_at, version, age_s)

    def _apply_freshness(self, asked_at: float, version: int, age_s: float) -> None:
        if version == self._configuration.version():
            self._configuration.freshness.confirm(asked_at - age_s)

    def _send_records(self, topic: str, start: int, reply_to: str) -> None:
        if topic != self._endpoints.follower.topic:
            return
        if (update := self._endpoints.follower.recent_records_from(start)) is not None:
            self._bus.send_to_address(reply_to, update)

    def _send_freshness(self, asked_at: float, version: int, reply_to: str) -> None:
        own_version = self._configuration.version()
        if own_version < 0:
            return
        if version < own_version:
            self._bus.send_to_address(reply_to, ConfigurationUpdate(self._configuration.encoded))
        age_s = self._configuration.freshness.age_s(self._now())
        self._bus.send_to_address(reply_to, FreshnessReply(asked_at, own_version, age_s))

    async def run(self) -> None:
        """Sends requests to peers while this VM is out of date, until cancelled."""
        while True:
            now = self._now()
            age_s = self._configuration.freshness.age_s(now)
            if age_s > READER_REQUEST_AFTER_S:
                request = FreshnessRequest(now, self._configuration.version(), self._address)
                for address in self._request_targets(age_s):
                    self._bus.send_to_address(address, request)
            start = self._endpoints.follower.offset_to_request()
            if start is not None:
                request = RecordsRequest(self._endpoints.follower.topic, start, self._address)
                for address in self._request_targets(OTHER_PEERS_REQUEST_AFTER_S):
                    self._bus.send_to_address(address, request)
            self._log_keys_usable_change(now)
            await asyncio.sleep(PEER_REQUEST_INTERVAL_S)

    def _request_targets(self, age_s: float) -> set[str]:
        zone_peers = {peer.address for peer in self._liveness.live_peers(self._now())}
        reader = self._liveness.peers_by_key.get(self._zone_reader())
        if age_s < ZONE_REQUEST_AFTER_S:
            return {reader.address} if reader else set()
        if age_s < OTHER_PEERS_REQUEST_AFTER_S:
            return zone_peers
        others = [a for a in self._all_addresses() if a != self._address and a not in zone_peers]
        return zone_peers | set(random.sample(others, min(MAX_OTHER_PEERS, len(others))))

    def _log_keys_usable_change(self, now: float) -> None:
        freshness = self._configuration.freshness
        usable = freshness.may_accept_keys(now)
        if usable != self._keys_usable:
            log(
                "INFO" if usable else "WARNING",
                "keys_usable" if usable else "keys_not_usable",
                age_s=f"{freshness.age_s(now):.2f}",
                version=self._configuration.version(),
            )
        self._keys_usable = usable
