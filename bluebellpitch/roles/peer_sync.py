"""Shares the configuration, store records and the age of both between entry VMs.

Only the clock of the requesting VM is used. A peer that responds with ``age_s`` confirmed its
version or records that long before the response; the requesting VM counts ``age_s`` back from the
earlier time of its request, so they never seem fresher than they are.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.platform_messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    FreshnessReply,
    FreshnessRequest,
    RecordsRequest,
    RecordsUpdate,
)
from bluebellpitch.roles.store_watchers import ConfigurationWatcher, EndpointWatcher
from bluebellpitch.roles.topic_follower import TopicFollower

# Requests go to the zone's reader when what this VM holds was last confirmed longer ago than the
# first limit, and to all VMs of the zone after the second.
READER_REQUEST_AFTER_S = 0.9
ZONE_REQUEST_AFTER_S = 1.5
PEER_REQUEST_INTERVAL_S = 0.3
# After a third limit they go to so many other VMs as well, in case the whole zone is out of date.
MAX_OTHER_PEERS = 2
OTHER_PEERS_REQUEST_AFTER_S = 2.0
# A configuration is requested from one peer at a time; from another one after this time.
CONFIGURATION_RESPONSE_TIMEOUT_S = 0.6
# A VM that has just started asks so many VMs for a newer configuration, and waits so long.
MAX_START_CHECK_PEERS = 8
START_CHECK_TIMEOUT_S = 0.6
START_CHECK_INTERVAL_S = 0.1


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
        has_vm_list: Callable[[], bool],
        zone_reader: Callable[[str], str],
        now: Callable[[], float],
    ):
        self._address = address
        self._bus = bus
        self._liveness = liveness
        self._configuration = configuration
        self._endpoints = endpoints
        self._all_addresses = all_addresses
        self._has_vm_list = has_vm_list
        self._zone_reader = zone_reader
        self._now = now
        self._keys_usable = False
        self._requested_configuration_at = float("-inf")

    def publish_to_zone(self, update: RecordsUpdate) -> None:
        """Sends records read from the store to the VMs of this zone."""
        peers = self._liveness.live_peers(self._now())
        self._bus.send_to_addresses((peer.address for peer in peers), update)

    def handle_message(self, sender: str, message) -> None:
        """Handles a message about the configuration or the endpoints."""
        match message:
            case RecordsUpdate(topic) if topic == self._configuration.follower.topic:
                records = self._configuration.follower.accept_peer_records(message)
                self._configuration.apply_records(records, sender)
            case RecordsUpdate():
                for record in self._endpoints.follower.accept_peer_records(message):
                    self._endpoints.apply(record)
            case RecordsRequest():
                self._send_records(message)
            case ConfigurationUpdate(data):
                self._configuration.apply(data, sender)
            case FreshnessRequest(asked_at, _, reply_to):
                self._send_freshness(asked_at, reply_to)
            case FreshnessReply():
                self._apply_freshness(message)
            case ConfigurationRequest(version, reply_to):
                self._send_configuration(version, reply_to)

    def _apply_freshness(self, reply: FreshnessReply) -> None:
        if reply.era is not None:
            now = self._now()
            risen_at = now - reply.era_age_s
            self._configuration.store_era.observe_rise(reply.era, risen_at, now)
        if not self._configuration.is_checked and 0 <= reply.version <= (
            self._configuration.version()
        ):
            self._configuration.mark_checked()
        if reply.version == self._configuration.version():
            self._configuration.confirm_by_peer(reply.asked_at - reply.age_s)
        elif reply.version > self._configuration.version() and reply.reply_to:
            self._request_configuration(reply.reply_to)

    def _request_configuration(self, address: str) -> None:
        """Requests the newer configuration of a peer, unless another one is about to send it."""
        now = self._now()
        if now - self._requested_configuration_at < CONFIGURATION_RESPONSE_TIMEOUT_S:
            return
        self._requested_configuration_at = now
        log("INFO", "configuration_asked", peer=address, version=self._configuration.version())
        request = ConfigurationRequest(self._configuration.version(), self._address)
        self._bus.send_to_address(address, request)

    def _send_configuration(self, version: int, reply_to: str) -> None:
        if version < self._configuration.version():
            self._bus.send_to_address(reply_to, ConfigurationUpdate(self._configuration.encoded))

    def _send_records(self, request: RecordsRequest) -> None:
        if request.topic != self._endpoints.follower.topic:
            return
        if (update := self._endpoints.follower.reply_to_peer(request)) is not None:
            self._bus.send_to_address(request.reply_to, update)

    def _send_freshness(self, asked_at: float, reply_to: str) -> None:
        own_version = self._configuration.version()
        if own_version < 0:
            return
        now, store_era = self._now(), self._configuration.store_era
        age_s = self._configuration.freshness.age_s(now)
        reply = FreshnessReply(
            asked_at, own_version, age_s, self._address, store_era.number, now - store_era.risen_at
        )
        self._bus.send_to_address(reply_to, reply)

    async def run(self) -> None:
        """Sends requests to peers while this VM is out of date, until cancelled."""
        while True:
            now = self._now()
            self._request_freshness(now)
            self._request_records(now)
            self._log_keys_usable_change(now)
            if not self._configuration.is_checked:
                await self._check_at_start()
            await asyncio.sleep(PEER_REQUEST_INTERVAL_S)

    async def _check_at_start(self) -> None:
        """Asks peers whether the configuration that the store returned first is the newest."""
        began_at: float | None = None
        while not self._configuration.is_checked:
            now = self._now()
            if self._configuration.version() >= 0 and self._has_vm_list():
                began_at = now if began_at is None else began_at
                others = self._pick_others(set(), MAX_START_CHECK_PEERS)
                if not others or now - began_at > START_CHECK_TIMEOUT_S:
                    log("INFO", "configuration_unchecked", peers=len(others))
                    self._configuration.mark_checked()
                    return
                request = FreshnessRequest(now, self._configuration.version(), self._address)
                self._bus.send_to_addresses(others, request)
            await asyncio.sleep(START_CHECK_INTERVAL_S)

    def _request_freshness(self, now: float) -> None:
        age_s = self._configuration.freshness.age_s(now)
        request = FreshnessRequest(now, self._configuration.version(), self._address)
        for address in self._request_targets(self._configuration.follower, age_s):
            self._bus.send_to_address(address, request)

    def _request_records(self, now: float) -> None:
        follower = self._endpoints.follower
        request = follower.request_to_peers(self._address)
        for address in self._request_targets(follower, follower.age_s(now)):
            self._bus.send_to_address(address, request)
        if follower.is_cut_off():
            request = msgspec.structs.replace(request, needs_all=True)
            for address in self._pick_others(excluded=set()):
                self._bus.send_to_address(address, request)

    def _request_targets(self, follower: TopicFollower, age_s: float) -> set[str]:
        """Returns whom to ask about a topic that was confirmed ``age_s`` ago.

        A VM that reads the store in place of the reader asks the reader all the while.
        """
        is_current = age_s <= READER_REQUEST_AFTER_S and not follower.has_gap
        if is_current and follower.is_updated_by_peers():
            return set()
        zone_peers = {peer.address for peer in self._liveness.live_peers(self._now())}
        reader = self._liveness.peers_by_key.get(self._zone_reader(follower.topic))
        if age_s < ZONE_REQUEST_AFTER_S:
            return {reader.address} if reader else set()
        if age_s < OTHER_PEERS_REQUEST_AFTER_S:
            return zone_peers
        return zone_peers | self._pick_others(excluded=zone_peers)

    def _pick_others(self, excluded: set[str], most: int = MAX_OTHER_PEERS) -> set[str]:
        """Returns a few other VMs at random, whether they are alive or not."""
        others = [a for a in self._all_addresses() if a != self._address and a not in excluded]
        return set(random.sample(others, min(most, len(others))))

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
