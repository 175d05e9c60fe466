"""Entry VMs of one zone that follow the configuration over thin links, in virtual time."""

import asyncio
from dataclasses import dataclass, field

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.messages import Envelope, encode_envelope
from bluebellpitch.platform.configuration import CONFIGURATION_KEY, CONFIGURATION_TOPIC
from bluebellpitch.platform.endpoint_entries import ENDPOINTS_TOPIC
from bluebellpitch.platform.records import Page
from bluebellpitch.platform.store import NewestRecords, Truncated
from bluebellpitch.roles.peer_sync import PeerSync
from bluebellpitch.roles.store_watchers import ConfigurationWatcher, EndpointWatcher
from bluebellpitch.roles.topic_follower import TopicFollower
from tests.virtual_time import FOREVER_S, PEER_DELAY_S, VirtualStore, VirtualStoreClient

LINK_BYTES_PER_S = 5e6 / 8


@dataclass
class VirtualLink:
    """One direction of a VM's link: bytes pass one after the other."""

    bytes_per_s: float = LINK_BYTES_PER_S
    _free_at: float = 0.0
    longest_wait_s: float = 0.0

    def reserve(self, size: int, now: float) -> float:
        """Returns when the last of so many bytes has passed."""
        self.longest_wait_s = max(self.longest_wait_s, self._free_at - now)
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        return self._free_at


class LinkedStoreClient(VirtualStoreClient):
    """A client of the store whose answers pass the VM's link."""

    def __init__(self, store: VirtualStore, store_era: StoreEra, inbound: VirtualLink):
        super().__init__(store, store_era)
        self._inbound = inbound

    async def _pass_link(self, size: int) -> None:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self._inbound.reserve(size, now) - now)

    async def read(self, topic: str, start_offset: int, wait_ms: int) -> Page | Truncated:
        """Reads records as StoreClient does."""
        page = await super().read(topic, start_offset, wait_ms)
        if isinstance(page, Page):
            await self._pass_link(sum(map(len, page.records)))
        return page

    async def read_newest(self, topic: str) -> NewestRecords:
        """Reads the newest records as StoreClient does."""
        newest = await super().read_newest(topic)
        await self._pass_link(sum(len(record.value) for record in newest.records))
        return newest


class LinkedBus:
    """Delivers messages through the links of sender and receiver."""

    def __init__(self, zone: "LinkedZone", sender: "LinkedVm"):
        self._zone = zone
        self._sender = sender

    def send_to_addresses(self, addresses, message) -> None:
        """Delivers the message to each of several VMs."""
        for address in addresses:
            self.send_to_address(address, message)

    def send_to_address(self, address: str, message) -> None:
        """Delivers the message once both links have passed it."""
        size = len(encode_envelope(Envelope(self._sender.name, 0, message)))
        loop = asyncio.get_running_loop()
        left_at = self._sender.outbound.reserve(size, loop.time())
        loop.call_at(left_at + self._zone.peer_delay_s, self._arrive, address, size, message)

    def _arrive(self, address: str, size: int, message) -> None:
        loop = asyncio.get_running_loop()
        receiver = self._zone.vms_by_address[address]
        if receiver.is_deaf:
            return
        self._zone.received_bytes += size
        here_at = receiver.inbound.reserve(size, loop.time())
        sync = receiver.peer_sync
        loop.call_at(here_at, sync.handle_message, self._sender.name, message)


class LinkedVm:
    """The part of an entry VM that follows the configuration."""

    def __init__(self, name: str, zone: "LinkedZone"):
        self.name = name
        self.is_deaf = False
        self._now = asyncio.get_running_loop().time
        self.inbound, self.outbound = VirtualLink(), VirtualLink()
        self.liveness = Liveness(name, "z")
        self.store_era = StoreEra()
        self.client = LinkedStoreClient(zone.store, self.store_era, self.inbound)
        self.freshness = Freshness(5.0, 4.0)
        self.configuration = ConfigurationWatcher(
            self._create_follower(CONFIGURATION_TOPIC, self.client), self.freshness, self.store_era
        )
        follower = self._create_follower(
            ENDPOINTS_TOPIC, VirtualStoreClient(zone.endpoints, self.store_era)
        )
        follower.confirm_by_peer(FOREVER_S)
        self.peer_sync = PeerSync(
            address=name,
            bus=LinkedBus(zone, self),
            liveness=self.liveness,
            configuration=self.configuration,
            endpoints=EndpointWatcher(follower, EndpointDirectory(), self._now, 1.0),
            all_addresses=lambda: list(zone.vms_by_address),
            has_vm_list=lambda: True,
            zone_reader=self._role_holder,
            now=self._now,
        )
        zone.vms_by_address[name] = self

    def _create_follower(self, topic: str, client) -> TopicFollower:
        return TopicFollower(
            client=client,
            topic=topic,
            long_poll_s=1.0,
            now=self._now,
            is_zone_reader=lambda: self._role_holder() == self.name,
            publish=lambda update: self.peer_sync.publish_to_zone(update),
            metrics=Metrics(),
            store_era=self.store_era,
            only_key=CONFIGURATION_KEY if topic == CONFIGURATION_TOPIC else None,
        )

    def _role_holder(self, topic: str = "") -> str:
        return self.liveness.role_holder("reads", self._now(), own_draining=False)


def create_peer(vm: LinkedVm) -> Peer:
    """Returns a VM as others hear it, with a heartbeat that never lapses."""
    return Peer(vm.name, "z", vm.name, False, 1, 0.0, FOREVER_S)


@dataclass
class LinkedZone:
    """A zone of VMs with thin links, and the store's two topics."""

    store: VirtualStore = field(default_factory=VirtualStore)
    endpoints: VirtualStore = field(default_factory=VirtualStore)
    vms_by_address: dict[str, LinkedVm] = field(default_factory=dict)
    peer_delay_s: float = PEER_DELAY_S
    received_bytes: int = 0

    async def start(self, vm_count: int) -> list[LinkedVm]:
        """Starts the VMs, which hear each other, and waits until they follow the store."""
        vms = [LinkedVm(f"vm-{number}", self) for number in range(vm_count)]
        for index, vm in enumerate(vms):
            self.run_vm(vm, 0.07 * index)
        await asyncio.sleep(5.0)
        return vms

    def run_vm(self, vm: LinkedVm, delay_s: float = 0.0) -> None:
        """Starts the tasks of a VM, which hears the others from the beginning."""
        loop = asyncio.get_running_loop()
        for other in self.vms_by_address.values():
            if other is not vm:
                other.liveness.record_heartbeat(create_peer(vm))
                vm.liveness.record_heartbeat(create_peer(other))
        for task in (vm.configuration.run(), vm.peer_sync.run()):
            loop.call_later(delay_s, asyncio.ensure_future, task)

    def configure(self, data: bytes) -> None:
        """Writes a configuration to the store."""
        self.store.write(CONFIGURATION_KEY, data)

    def longest_wait_s(self) -> float:
        """Returns the longest time that a message waited for others on a link."""
        links = (link for vm in self.vms_by_address.values() for link in (vm.inbound, vm.outbound))
        return max(link.longest_wait_s for link in links)
