"""An event loop in virtual time, with entry VMs that share endpoint entries without sockets."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field

import msgspec

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.errors import ConnectionLostError
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.configuration import CONFIGURATION_TOPIC
from bluebellpitch.platform.endpoint_entries import ENDPOINTS_TOPIC
from bluebellpitch.platform.records import KeyedRecord, Page, encode_keyed_record
from bluebellpitch.platform.store import NewestRecords, Truncated
from bluebellpitch.roles.peer_sync import PeerSync
from bluebellpitch.roles.store_watchers import (
    ENDPOINTS_LONG_POLL_S,
    ConfigurationWatcher,
    EndpointWatcher,
)
from bluebellpitch.roles.topic_follower import TopicFollower

STORE_DELAY_S = 0.004
PEER_DELAY_S = 0.001
STORE_POLL_S = 0.01
FOREVER_S = 1e9
OUTAGE_WINDOW_S = 2.4


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when nothing else is left to do."""

    def __init__(self):
        super().__init__()
        self._virtual_now = 0.0

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_now

    def advance(self, seconds: float) -> None:
        """Lets time pass without running anything, as when the process is suspended."""
        self._virtual_now += seconds

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._virtual_now = max(self._virtual_now, self._scheduled[0]._when)
        super()._run_once()


def run_in_virtual_time(body: Coroutine):
    """Runs a coroutine on a new loop in virtual time; returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(body)


@dataclass
class VirtualStore:
    """One keyed topic with its records. ``is_down`` makes all calls fail.

    ``copy`` remembers the records, and ``restore`` goes back to them in a new era.
    """

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    is_down: bool = False
    newest_by_key: dict[str, bytes] = field(default_factory=dict)
    era: int = 1
    _copied: tuple = ()

    def copy(self) -> None:
        """Makes the copy to which ``restore`` goes back."""
        self._copied = (list(self.records), self.first_offset, dict(self.newest_by_key))

    def restore(self) -> None:
        """Loses what was written since ``copy``."""
        records, self.first_offset, newest_by_key = self._copied
        self.records, self.newest_by_key = list(records), dict(newest_by_key)
        self.era += 1

    def put(
        self, key: str, state: str, pool: str = "app", born: int = 1, seq: int | None = None
    ) -> None:
        """Appends the entry of an endpoint; ``seq`` counts its entries."""
        value = msgspec.json.encode(
            {
                "service": pool,
                "address": "127.0.0.1:80",
                "zone": "z",
                "version": "v1",
                "slots": 4,
                "state": state,
                "cold_left_ms": 0,
                "born": born,
                "seq": self.end_offset + 1 if seq is None else seq,
            }
        )
        self.write(key, value)

    def write(self, key: str, value: bytes) -> None:
        """Appends a record with a value."""
        self._append(key, value)
        self.newest_by_key[key] = value

    def remove(self, key: str) -> None:
        """Removes the entry of an endpoint."""
        self._append(key, b"")
        self.newest_by_key.pop(key, None)

    def _append(self, key: str, value: bytes) -> None:
        self.records.append(encode_keyed_record(key, value)[4:])

    @property
    def end_offset(self) -> int:
        """Offset after the last record."""
        return self.first_offset + len(self.records)

    def drop_history(self) -> None:
        """Deletes all records; the newest value of each key remains."""
        self.first_offset = self.end_offset
        self.records = []


class VirtualStoreClient:
    """A VM's client of the store.

    ``is_refused`` makes the calls of this VM alone fail; ``late_s`` delays the pages that it reads.
    """

    def __init__(self, store: VirtualStore, store_era: StoreEra):
        self._store = store
        self._store_era = store_era
        self.is_refused = False
        self.late_s = 0.0
        self.read_count = 0

    async def _answer(self) -> None:
        self.read_count += 1
        await asyncio.sleep(STORE_DELAY_S)
        self._check_reachable()

    def _observe_era(self) -> None:
        self._store_era.observe(self._store.era, asyncio.get_running_loop().time())

    def _check_reachable(self) -> None:
        if self.is_refused or self._store.is_down:
            raise ConnectionLostError("no answer from the store")

    async def read(self, topic: str, start_offset: int, wait_ms: int) -> Page | Truncated:
        """Reads records as StoreClient does."""
        await self._answer()
        store, loop = self._store, asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        era = store.era
        while start_offset == store.end_offset and loop.time() < deadline:
            await asyncio.sleep(STORE_POLL_S)
            self._check_reachable()
            if store.era != era:
                raise ConnectionLostError("the store went away during the read")
        self._observe_era()
        if not store.first_offset <= start_offset <= store.end_offset:
            return Truncated(store.first_offset, store.era)
        records = tuple(store.records[start_offset - store.first_offset :])
        page = Page(start_offset, store.end_offset, store.first_offset, records, store.era)
        await asyncio.sleep(self.late_s)
        return page

    async def read_newest(self, topic: str) -> NewestRecords:
        """Reads the newest records as StoreClient does."""
        await self._answer()
        self._observe_era()
        records = tuple(KeyedRecord(k, v) for k, v in self._store.newest_by_key.items())
        return NewestRecords(records, self._store.end_offset, self._store.era)


class VirtualBus:
    """Delivers messages between VMs by address."""

    def __init__(self, vms_by_address: dict[str, "VirtualVm"], sender: str):
        self._vms_by_address = vms_by_address
        self._sender = sender

    def send_to_addresses(self, addresses, message) -> None:
        """Delivers the message to each of several VMs."""
        for address in addresses:
            self.send_to_address(address, message)

    def send_to_address(self, address: str, message) -> None:
        """Delivers the message a little later."""
        receiver = self._vms_by_address[address].peer_sync
        loop = asyncio.get_running_loop()
        loop.call_later(PEER_DELAY_S, receiver.handle_message, self._sender, message)


class VirtualVm:
    """The part of an entry VM that follows the endpoint entries."""

    def __init__(self, name: str, zone: str, store: VirtualStore, vms_by_address: dict):
        self.name, self.zone = name, zone
        self._now = asyncio.get_running_loop().time
        self.directory = EndpointDirectory()
        self.liveness = Liveness(name, zone)
        self.store_era = StoreEra()
        self.client = VirtualStoreClient(store, self.store_era)
        self.follower = TopicFollower(
            client=self.client,
            topic=ENDPOINTS_TOPIC,
            long_poll_s=ENDPOINTS_LONG_POLL_S,
            now=self._now,
            is_zone_reader=lambda: self._role_holder() == name,
            publish=lambda update: self.peer_sync.publish_to_zone(update),
            metrics=Metrics(),
            store_era=self.store_era,
        )
        self.endpoints = EndpointWatcher(self.follower, self.directory, self._now, OUTAGE_WINDOW_S)
        configuration = ConfigurationWatcher(
            TopicFollower(
                VirtualStoreClient(store, self.store_era),
                CONFIGURATION_TOPIC,
                1.0,
                self._now,
                lambda: False,
                lambda update: None,
                Metrics(),
                self.store_era,
            ),
            Freshness(5.0, 3.0),
            self.store_era,
        )
        configuration.freshness.confirm(FOREVER_S)
        configuration.mark_checked()
        self.peer_sync = PeerSync(
            address=name,
            bus=VirtualBus(vms_by_address, name),
            liveness=self.liveness,
            configuration=configuration,
            endpoints=self.endpoints,
            all_addresses=lambda: list(vms_by_address),
            has_vm_list=lambda: True,
            zone_reader=self._role_holder,
            now=self._now,
        )
        vms_by_address[name] = self

    def _role_holder(self, topic: str = "") -> str:
        return self.liveness.role_holder("reads", self._now(), own_draining=False)

    def hear(self, other: "VirtualVm") -> None:
        """Records a heartbeat of another VM of the zone that never lapses."""
        peer = Peer(other.name, other.zone, other.name, False, 1, 0.0, FOREVER_S)
        self.liveness.record_heartbeat(peer)

    def usable_ids(self) -> set[str]:
        """Returns the ids of the endpoints that this VM would use."""
        return {entry.id for entry in self.directory.usable_endpoints("app")}


async def start_vms(store: VirtualStore, zones: int, vms_per_zone: int) -> list[VirtualVm]:
    """Starts the tasks of entry VMs; those of a zone hear each other."""
    vms_by_address: dict[str, VirtualVm] = {}
    for zone in range(zones):
        vms = [
            VirtualVm(f"vm-{zone}-{n}", f"z{zone}", store, vms_by_address)
            for n in range(vms_per_zone)
        ]
        for vm in vms:
            for other in vms:
                if other is not vm:
                    vm.hear(other)
    loop = asyncio.get_running_loop()
    for index, vm in enumerate(vms_by_address.values()):
        for task in (vm.endpoints.run(), vm.endpoints.run_expiry(), vm.peer_sync.run()):
            loop.call_later(0.07 * index, asyncio.ensure_future, task)
    await asyncio.sleep(3.0)
    return list(vms_by_address.values())
