"""Passes the configuration and its freshness on between entry VMs.

The asker's clock alone is used: what a peer knew ``age_s`` ago when it answered was true at the
latest ``age_s`` before the question was asked.
"""

import asyncio
import random
from collections.abc import Callable

from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.entry_messages import (
    ConfigurationTold,
    FreshnessAsked,
    FreshnessTold,
    RecordsAsked,
    RecordsTold,
)
from bluebellpitch.roles.following import ConfigurationRole, EndpointsRole

# The zone's reader is asked when the own knowledge is older than this, and all VMs of the zone
# when it is older still.
ASK_AFTER_S = 0.9
ASK_ALL_AFTER_S = 1.5
ASK_INTERVAL_S = 0.3
# Beside the VMs of the zone, so many others are asked when the zone's knowledge is old.
ASKED_ELSEWHERE = 2
ASK_ELSEWHERE_AFTER_S = 2.0


class SharingRole:
    """Asks and answers questions about the configuration."""

    def __init__(
        self,
        address: str,
        bus: PeerBus,
        liveness: Liveness,
        configuration: ConfigurationRole,
        endpoints: EndpointsRole,
        all_addresses: Callable[[], list[str]],
        reader: Callable[[], str],
        now: Callable[[], float],
    ):
        self._address = address
        self._bus = bus
        self._liveness = liveness
        self._configuration = configuration
        self._endpoints = endpoints
        self._all_addresses = all_addresses
        self._reader = reader
        self._now = now
        self._may_use_keys = False

    def tell_zone(self, told: RecordsTold) -> None:
        """Tells the VMs of this zone what was read from the store."""
        for peer in self._liveness.live_peers(self._now()):
            self._bus.send_to_address(peer.address, told)

    def take(self, sender: str, message) -> None:
        """Takes a message about the configuration or the endpoints."""
        match message:
            case RecordsTold(topic) if topic == self._configuration.follower.topic:
                records = self._configuration.follower.take_told(message)
                self._configuration.take_records(records, sender)
            case RecordsTold():
                for record in self._endpoints.follower.take_told(message):
                    self._endpoints.take(record)
            case RecordsAsked(topic, start, reply_to):
                self._answer_records(topic, start, reply_to)
            case ConfigurationTold(data):
                self._configuration.take(data, sender)
            case FreshnessAsked(asked_at, version, reply_to):
                self._answer(asked_at, version, reply_to)
            case FreshnessTold(asked_at, version, age_s):
                self._take_freshness(asked_at, version, age_s)

    def _take_freshness(self, asked_at: float, version: int, age_s: float) -> None:
        if version == self._configuration.version():
            self._configuration.freshness.confirm(asked_at - age_s)

    def _answer_records(self, topic: str, start: int, reply_to: str) -> None:
        if topic != self._endpoints.follower.topic:
            return
        if (told := self._endpoints.follower.tell_from(start)) is not None:
            self._bus.send_to_address(reply_to, told)

    def _answer(self, asked_at: float, version: int, reply_to: str) -> None:
        own = self._configuration.version()
        if own < 0:
            return
        if version < own:
            self._bus.send_to_address(reply_to, ConfigurationTold(self._configuration.raw))
        age_s = self._configuration.freshness.age_s(self._now())
        self._bus.send_to_address(reply_to, FreshnessTold(asked_at, own, age_s))

    async def run(self) -> None:
        """Asks peers whenever the own knowledge grows old."""
        while True:
            now = self._now()
            age_s = self._configuration.freshness.age_s(now)
            if age_s > ASK_AFTER_S:
                ask = FreshnessAsked(now, self._configuration.version(), self._address)
                for address in self._asked(age_s):
                    self._bus.send_to_address(address, ask)
            start = self._endpoints.follower.asks_from()
            if start is not None:
                ask = RecordsAsked(self._endpoints.follower.topic, start, self._address)
                for address in self._asked(ASK_ELSEWHERE_AFTER_S):
                    self._bus.send_to_address(address, ask)
            self._note_lapse(now)
            await asyncio.sleep(ASK_INTERVAL_S)

    def _asked(self, age_s: float) -> set[str]:
        near = {peer.address for peer in self._liveness.live_peers(self._now())}
        reader = self._liveness.peers_by_key.get(self._reader())
        if age_s < ASK_ALL_AFTER_S:
            return {reader.address} if reader else set()
        if age_s < ASK_ELSEWHERE_AFTER_S:
            return near
        others = [a for a in self._all_addresses() if a != self._address and a not in near]
        return near | set(random.sample(others, min(ASKED_ELSEWHERE, len(others))))

    def _note_lapse(self, now: float) -> None:
        freshness = self._configuration.freshness
        allows = freshness.may_accept_keys(now)
        if allows != self._may_use_keys:
            log(
                "INFO" if allows else "WARNING",
                "keys_usable" if allows else "keys_not_usable",
                age_s=f"{freshness.age_s(now):.2f}",
                version=self._configuration.version(),
            )
        self._may_use_keys = allows
