"""VMs that gather and report usage in virtual time, over a fake lease, API and bus."""

import asyncio
from dataclasses import dataclass, field

from bluebellpitch.decisions.duties.held_lease import HeldLease
from bluebellpitch.decisions.duties.usage_windows import UsageWindows
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.duty_api import CallAccepted
from bluebellpitch.roles.duties.usage_gatherer import Recipient, UsageGatherer
from bluebellpitch.roles.duties.usage_reporter import UsageReporter
from tests.virtual_time import PEER_DELAY_S

WINDOWS = UsageWindows(window_s=5.0, due_s=10.0)
WALL_AT_START = 1_000_000.0
FIRST_WINDOW = 200_000


@dataclass
class UsageFleet:
    """What the VMs share: the duty's values in the store, its holder, and the platform's API."""

    vms: dict[str, "UsageVm"] = field(default_factory=dict)
    values_by_key: dict[str, bytes] = field(default_factory=dict)
    holder: str = ""
    collector: str = ""
    token: int = 0
    era: int = 1
    api_outcome: object = CallAccepted()
    # The API takes calls although its answers are lost.
    takes_failed_calls: bool = False
    is_append_answer_lost: bool = False
    delays_s: tuple[float, ...] = (PEER_DELAY_S,)
    reports: list[tuple[str, int, dict]] = field(default_factory=list)
    given_back: list[str] = field(default_factory=list)

    def add(self, name: str, wall_ahead_s: float = 0.0, process: int = 1) -> "UsageVm":
        """Starts a VM; the first one collects and holds the duty."""
        vm = self.vms[name] = UsageVm(name, self, wall_ahead_s, process)
        self.collector = self.collector or name
        if not self.holder:
            self.hand_over(name)
        return vm

    def hand_over(self, name: str) -> None:
        """Lets a VM acquire the lease."""
        self.holder, self.token = name, self.token + 1
        holder = self.vms[name].holder
        holder.values_by_key = dict(self.values_by_key)
        holder.on_acquired(holder.lease())

    def collecting_process(self) -> Recipient:
        """Returns the process that collects counts; one that died is known a while longer."""
        vm = self.vms.get(self.collector)
        return Recipient(vm.key if vm else "", self.collector)

    def send(self, address: str, update) -> None:
        """Delivers a message once for each delay, to a VM that is still there."""
        loop = asyncio.get_running_loop()
        for delay_s in self.delays_s:
            loop.call_later(delay_s, self._deliver, address, update)

    def _deliver(self, address: str, update) -> None:
        if address in self.vms:
            self.vms[address].gatherer.handle_update(update)

    def reported(self, window: int) -> list[dict]:
        """Returns the counts of all accepted reports of a window, counted from the first one."""
        return [counts for _, of, counts in self.reports if of == FIRST_WINDOW + window]


class VirtualHolder:
    """A VM's part in the duty, as DutyHolder has it."""

    def __init__(self, name: str, fleet: UsageFleet):
        self._name, self._fleet = name, fleet
        self.values_by_key: dict[str, bytes] = {}
        self.on_acquired = None

    def lease(self) -> HeldLease | None:
        fleet = self._fleet
        return HeldLease("usage", fleet.token, 1e9) if fleet.holder == self._name else None

    async def give_back(self, reason: str) -> None:
        self._fleet.given_back.append(reason)
        self._fleet.holder = "nobody"

    async def append(self, token: int, records) -> bool:
        self._fleet.values_by_key |= {record.key: record.value for record in records}
        if self._fleet.is_append_answer_lost:
            self._fleet.holder = "nobody"
            return False
        return True

    async def report_usage(self, lease, window, counts_by_member):
        """Takes a call as DutyApi does."""
        fleet = self._fleet
        if fleet.takes_failed_calls or isinstance(fleet.api_outcome, CallAccepted):
            fleet.reports.append((self._name, window, dict(counts_by_member)))
        return fleet.api_outcome


class UsageVm:
    """A VM that counts, gathers and reports."""

    def __init__(self, name: str, fleet: UsageFleet, wall_ahead_s: float, process: int):
        now = asyncio.get_running_loop().time
        self.name, self.fleet, self.wall_ahead_s = name, fleet, wall_ahead_s
        self.key = f"{name}/{process}"
        self.era, self.metrics = StoreEra(), Metrics()
        self.era.observe(fleet.era, now())
        self.holder = VirtualHolder(name, fleet)
        self.gatherer = UsageGatherer(
            vm_key=self.key,
            address=name,
            windows=WINDOWS,
            collector=fleet.collecting_process,
            holder_address=lambda: fleet.holder if fleet.holder in fleet.vms else None,
            send=fleet.send,
            now=now,
            wall=lambda: WALL_AT_START + now() + self.wall_ahead_s,
        )
        self.reporter = UsageReporter(
            self.gatherer, self.holder, self.holder, self.era, self.metrics, 0.1, now
        )
        parts = (self.gatherer, self.reporter)
        self._tasks = [asyncio.create_task(part.run()) for part in parts]

    def begin_runs(self, count: int, member: str = "a") -> None:
        """Counts requests that begin to run now."""
        for _ in range(count):
            self.gatherer.record_run(member, asyncio.get_running_loop().time())

    def die(self) -> None:
        """Ends the VM without notice."""
        del self.fleet.vms[self.name]
        for task in self._tasks:
            task.cancel()
