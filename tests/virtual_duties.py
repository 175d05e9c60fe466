"""Entry VMs that compete for one duty over a store and a bus in virtual time."""

import asyncio
import copy
from dataclasses import dataclass, field

from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.errors import ConnectionLostError
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.records import KeyedRecord
from bluebellpitch.platform.store import Appended, EndMoved, NewestRecords
from bluebellpitch.roles.duties.duty_context import DutyContext
from bluebellpitch.roles.duties.duty_holder import DutyHolder
from bluebellpitch.verdicts import MayHaveRun
from tests.virtual_time import FOREVER_S, PEER_DELAY_S, STORE_DELAY_S

DUTY = "metering"
CHECK_INTERVAL_S = 0.01


@dataclass
class DutyTopic:
    """The topic of a duty; ``copy`` and ``restore`` as the store does it, in a new era."""

    newest_by_key: dict[str, bytes] = field(default_factory=dict)
    end: int = 0
    era: int | None = 1
    calls: list[float] = field(default_factory=list)
    _copied: tuple = ()

    def copy(self) -> None:
        """Makes the copy to which ``restore`` goes back."""
        self._copied = copy.deepcopy((self.newest_by_key, self.end))

    def restore(self) -> None:
        """Loses what was appended since ``copy``."""
        self.newest_by_key, self.end = copy.deepcopy(self._copied)
        self.era += 1

    def append(self, records: tuple[KeyedRecord, ...], at: int) -> int | None:
        """Appends if the topic ends at ``at``; returns the offset, None if it does not."""
        if at != self.end:
            return None
        self.newest_by_key |= {record.key: record.value for record in records}
        self.end += len(records)
        return at


class DutyClient:
    """A VM's client of the store.

    ``is_cut`` makes calls fail. While ``gate`` is closed, answers wait for it. ``lose_answers`` is
    how many of the next appends get no answer, ``late_s`` how much later these take effect.
    """

    def __init__(self, topic: DutyTopic, store_era: StoreEra):
        self._topic = topic
        self._store_era = store_era
        self.is_cut = False
        self.gate = asyncio.Event()
        self.gate.set()
        self.lose_answers = 0
        self.late_s = 0.0

    async def _begin(self) -> float:
        now = asyncio.get_running_loop().time()
        self._topic.calls.append(now)
        await asyncio.sleep(STORE_DELAY_S)
        if self.is_cut:
            raise ConnectionLostError("no answer from the store")
        return now

    async def _end(self) -> None:
        era = self._topic.era
        await self.gate.wait()
        if era is not None:
            self._store_era.observe(era, asyncio.get_running_loop().time())

    async def read_newest(self, topic: str) -> NewestRecords:
        """Reads the newest records as StoreClient does."""
        await self._begin()
        items = self._topic.newest_by_key.items()
        records = tuple(KeyedRecord(key, value) for key, value in items)
        newest = NewestRecords(records, self._topic.end, self._topic.era)
        await self._end()
        return newest

    async def append_at(self, topic: str, records: tuple[KeyedRecord, ...], at: int):
        """Appends on condition as StoreClient does."""
        try:
            await self._begin()
        except ConnectionLostError as error:
            return MayHaveRun(str(error))
        if self.lose_answers:
            self.lose_answers -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._topic.append, records, at)
            return MayHaveRun("the answer was lost")
        offset, end, era = self._topic.append(records, at), self._topic.end, self._topic.era
        await self._end()
        return EndMoved(end, era) if offset is None else Appended(offset, era)


class DutyVm:
    """The part of an entry VM that competes for the duty; ``name`` is its machine's."""

    def __init__(self, fleet: "DutyFleet", name: str, zone: str, process: int = 1):
        self.name, self.fleet = name, fleet
        self.key = f"{name}/{process}"
        self.store_era = StoreEra()
        self.client = DutyClient(fleet.topic, self.store_era)
        self.is_deaf = self.is_draining = False
        self.liveness = Liveness(self.key, zone)
        context = DutyContext(
            vm_key=self.key,
            address=self.key,
            zone=zone,
            zones=("z0", "z1", "z2"),
            bus=self,
            liveness=self.liveness,
            store_era=self.store_era,
            peer_addresses=lambda: list(fleet.vms_by_key),
            has_vm_list=lambda: True,
            is_draining=lambda: self.is_draining,
            metrics=Metrics(),
            now=asyncio.get_running_loop().time,
        )
        self.holder = DutyHolder(DUTY, 3.0, self.client, context)
        self.tokens: list[int] = []
        self.holder.on_acquired = lambda lease: self.tokens.append(lease.token)
        self._task = asyncio.ensure_future(self.holder.run())

    def send_to_addresses(self, addresses, message) -> None:
        """Delivers a message to VMs a little later."""
        loop = asyncio.get_running_loop()
        self.fleet.announcements.append(message)
        for address in addresses:
            vm = self.fleet.vms_by_key[address]
            if not vm.is_deaf and not self.is_deaf:
                loop.call_later(PEER_DELAY_S, vm.holder.handle_announcement, message)

    def hear(self, other: "DutyVm") -> None:
        """Records a heartbeat that never lapses."""
        zone, draining = other.liveness.zone, other.is_draining
        self.liveness.record_heartbeat(Peer(other.key, zone, "", draining, 1, 0.0, FOREVER_S))

    def suspend(self) -> None:
        """Stops the VM at its next call; it hears nothing, and the answer waits for the gate."""
        self.client.gate.clear()
        self.is_deaf = True

    def kill(self) -> None:
        """Ends the process."""
        self._task.cancel()
        self.is_deaf = True
        self.holder.lease = lambda: None


@dataclass
class DutyFleet:
    """VMs of three zones. ``acts`` are the tenures that were seen: when, which VM, which token."""

    topic: DutyTopic = field(default_factory=DutyTopic)
    vms_by_key: dict[str, DutyVm] = field(default_factory=dict)
    announcements: list = field(default_factory=list)
    acts: list[tuple[float, str, int]] = field(default_factory=list)

    def start_vm(self, name: str, zone: str, process: int = 1, hears: bool = True) -> DutyVm:
        """Starts a VM, which hears all others and is heard, or none of it."""
        vm = DutyVm(self, name, zone, process)
        for other in self.vms_by_key.values() if hears else ():
            vm.hear(other)
            other.hear(vm)
        self.vms_by_key[vm.key] = vm
        return vm

    async def run(self, seconds: float) -> None:
        """Lets time pass, and notes which VM could call the platform's API at each moment."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(CHECK_INTERVAL_S)
            leases = [
                (vm.name, lease) for vm in self.vms_by_key.values() if (lease := vm.holder.lease())
            ]
            assert len(leases) <= 1, leases
            for name, lease in leases:
                self.acts.append((loop.time(), name, lease.token))

    def holder(self) -> DutyVm | None:
        """Returns the VM that may call now."""
        return next((vm for vm in self.vms_by_key.values() if vm.holder.lease()), None)

    def tokens(self) -> list[int]:
        """Returns the tokens in the order in which they were used."""
        tokens = [token for _, _, token in self.acts]
        return [t for t, before in zip(tokens, [None, *tokens], strict=False) if t != before]

    def shortest_return_s(self) -> float:
        """Returns the shortest time between acts of a VM with an act of another in between."""
        shortest, last_at_by_vm, previous = FOREVER_S, {}, None
        for at, name, _ in self.acts:
            if name != previous and name in last_at_by_vm:
                shortest = min(shortest, at - last_at_by_vm[name])
            last_at_by_vm[name], previous = at, name
        return shortest


async def start_fleet(vms_per_zone: int = 1) -> DutyFleet:
    """Starts VMs in three zones and waits until one holds the duty."""
    fleet = DutyFleet()
    for zone in ("z0", "z1", "z2"):
        for number in range(vms_per_zone):
            fleet.start_vm(f"{zone}-vm{number}", zone)
    await fleet.run(9.0)
    assert fleet.holder() is not None
    return fleet
