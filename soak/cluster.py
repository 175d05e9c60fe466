"""The processes and stand-ins of one run. It ends only processes that it started itself."""

import asyncio
import itertools
import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.http1 import fetch
from fakes.link import FakeLink
from fakes.ports import free_address, free_port
from fakes.prepared import configuration, settings_text
from fakes.prepared_endpoint import FakeEndpoint
from fakes.prepared_store import FakeStore
from soak.history import EVENTS, Arrival, Record, Stop

ROOT = Path(__file__).resolve().parent.parent
POOLS = ("app", "app", "app", "engines", "engines", "engines")
ZONES = ("east", "west")
OLD_ENTRY_S = 3.6
READY_PATIENCE_S = 60.0
# Some requests take long, so that stops and cuts meet requests under way.
SLOW_SHARE = 0.1
SLOW_S = 1.5
SLOW_STREAM_S = 4.0
STREAM_TIMEOUT_MS = 6_000
GRACE_S = 8
WATCH_INTERVAL_S = 0.3


class SoakEndpoint(FakeEndpoint):
    """An endpoint that records what reaches it. ``pool`` and ``link`` stay over restarts."""

    def __init__(self, name: str, pool: str, record: Record):
        super().__init__(name, EVENTS)
        self.pool = pool
        self.record = record
        self.link: FakeLink
        self.address = ""
        self.zone = ""
        self.pause_s = 0.03
        self._draw = random.Random(name)

    async def serve(self, connection, request) -> None:
        """Records the request, then answers it."""
        name, ran_before = self.name, len(self.ran)
        at = time.monotonic()
        try:
            if self._draw.random() < SLOW_SHARE:
                is_stream = bool(request.header("token-usage"))
                await self._sleep(connection, SLOW_STREAM_S if is_stream else SLOW_S)
            await super().serve(connection, request)
        finally:
            id = request.header("request-id")
            ran = id in self.ran[ran_before:]
            self.record.arrivals.append(Arrival(at, id, self.pool, name, ran))


@dataclass
class EntryProcess:
    """One entry VM: a real process, with links to the store and from its callers."""

    name: str
    settings: Path
    ready: str
    metrics_port: int
    callers: FakeLink
    store: FakeLink
    popen: subprocess.Popen | None = None
    starts: int = 0
    # Counts faults that may cut requests, to tell whether one fell into a planned stop.
    harmed: int = 0
    stopping: bool = False

    @property
    def key(self) -> str:
        """Names this process among all that ran as this VM."""
        return f"{self.name}#{self.starts}"

    def send(self, number: int) -> None:
        """Sends a signal to this process alone."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)


@dataclass
class Scene:
    """All that runs. Use as an asynchronous context."""

    folder: Path
    vm_count: int
    record: Record = field(default_factory=Record)
    store: FakeStore = field(default_factory=FakeStore)
    vms: list[EntryProcess] = field(default_factory=list)
    endpoints: list[SoakEndpoint] = field(default_factory=list)
    keys: list[str] = field(default_factory=lambda: ["key-0"])
    version: int = 0
    # Faults of endpoints that have begun so far, and that last now.
    harmed: int = 0
    troubled: int = 0
    _names: itertools.count = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def __aenter__(self) -> "Scene":
        self.store_port = await self.store.start("127.0.0.1", 0)
        self.configure()
        for number, pool in enumerate(POOLS):
            await self._add_endpoint(pool, ZONES[number % len(ZONES)])
        for number in range(self.vm_count):
            await self._add_vm(f"vm-{number}", ZONES[number % len(ZONES)])
        for vm in self.vms:
            self.start(vm)
        self.spawn(self._watch())
        await self.wait_ready()
        return self

    async def __aexit__(self, *_) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self.vms:
            vm.send(signal.SIGCONT)
            vm.send(signal.SIGKILL)
            if vm.popen is not None:
                vm.popen.wait()

    def spawn(self, job) -> None:
        """Runs a job beside the others until the scene ends."""
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def configure(self) -> None:
        """Writes a new version with the keys in force."""
        self.version += 3
        fields = configuration(self.version, keys=tuple(self.keys))
        for route in fields["routes"]:
            if route["kind"] == "streaming":
                route["timeout_ms"] = STREAM_TIMEOUT_MS
        data = msgspec.json.encode(fields)
        self.store.put("keyed.op", "config", data)

    def take_key(self) -> None:
        """Gives callers a new key; the store has then taken in that the old one is void."""
        old = self.keys[:]
        self.keys[:] = [f"key-{self.version + 3}"]
        self.configure()
        for key in old:
            self.record.taken_at_by_key[key] = time.monotonic()

    async def _add_endpoint(self, pool: str, zone: str) -> None:
        endpoint = SoakEndpoint(f"{pool}-{next(self._names)}", pool, self.record)
        port = await endpoint.start("127.0.0.1", 0)
        endpoint.link = await FakeLink.open(f"127.0.0.1:{port}")
        endpoint.address = endpoint.link.address
        endpoint.zone = zone
        self.endpoints.append(endpoint)
        self.announce(endpoint)

    def announce(self, endpoint: SoakEndpoint, state: str = "ready") -> None:
        """Writes an endpoint's entry."""
        entry = {"service": endpoint.pool, "address": endpoint.address, "zone": endpoint.zone}
        entry |= {"slots": 8, "state": state, "born": int(endpoint.name.rpartition("-")[2]) + 1}
        self.store.put("keyed.servers", endpoint.name, msgspec.json.encode(entry))

    def note_trouble(self) -> None:
        """Notes that VMs may not hear from the store: notices count from the end of that."""
        now = time.monotonic()
        left_at = self.record.left_at_by_endpoint
        left_at.update(
            {endpoint.name: now for endpoint in self.endpoints if endpoint.name in left_at}
        )

    async def replace(self, endpoint: SoakEndpoint, gone_s: float, notice_s: float = 0.0) -> None:
        """Takes an endpoint away, after a notice or at once; another comes at its address."""
        if endpoint.link.cut:
            return
        old = endpoint.name
        if notice_s:
            self.announce(endpoint, "draining")
            self.record.left_at_by_endpoint[old] = time.monotonic()
            await asyncio.sleep(notice_s)
        endpoint.link.cut = True
        self.spawn(self._drop_entry(old))
        await asyncio.sleep(gone_s)
        endpoint.name = f"{endpoint.pool}-{next(self._names)}"
        endpoint.link.cut = False
        self.announce(endpoint)

    async def _drop_entry(self, name: str) -> None:
        await asyncio.sleep(OLD_ENTRY_S)
        self.store.put("keyed.servers", name, b"")

    async def _add_vm(self, name: str, zone: str) -> None:
        listen, ready = free_address(), free_address()
        store = await FakeLink.open(f"127.0.0.1:{self.store_port}")
        callers = await FakeLink.open(listen)
        path = self.folder / f"{name}.conf"
        text = settings_text(name, zone, store.address, listen, ready, free_port())
        text += "".join(f"zones.{z}=r-{z}\n" for z in ZONES) + f"bounds.grace_s={GRACE_S}\n"
        path.write_text(text)
        vm = EntryProcess(name, path, ready, free_port(), callers, store)
        self.vms.append(vm)

    def start(self, vm: EntryProcess) -> None:
        """Starts a VM's process."""
        vm.starts += 1
        environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        environment["BLUEBELLPITCH_CONFIG"] = str(vm.settings)
        command = [sys.executable, "-m", "bluebellpitch", "route"]
        command += ["--metrics-port", str(vm.metrics_port)]
        with (self.folder / f"{vm.key}.log").open("w") as log:
            vm.popen = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    async def kill(self, vm: EntryProcess, gone_s: float) -> None:
        """Kills a VM's process, and starts it again."""
        if vm.stopping:
            return
        vm.harmed += 1
        vm.stopping = True
        vm.send(signal.SIGKILL)
        await asyncio.sleep(gone_s)
        self.start(vm)
        vm.stopping = False

    async def stop(self, vm: EntryProcess) -> None:
        """Stops a VM as planned, waits for its end, and starts it again."""
        if vm.stopping or vm.popen.poll() is not None:
            return
        vm.stopping, harmed, begun_at = True, vm.harmed + self.harmed, time.monotonic()
        vm.send(signal.SIGTERM)
        while vm.popen.poll() is None:
            await asyncio.sleep(0.02)
        if vm.harmed + self.harmed == harmed and not self.troubled:
            self.record.stops.append(Stop(vm.name, begun_at, time.monotonic()))
        self.start(vm)
        vm.stopping = False

    async def pause(self, vm: EntryProcess, for_s: float) -> None:
        """Freezes a VM's process for a while."""
        vm.harmed += 1
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        vm.send(signal.SIGCONT)

    async def is_ready(self, vm: EntryProcess) -> bool:
        """Asks a VM whether new connections should come."""
        try:
            return (await fetch(vm.ready, "GET", "/ready", timeout_s=0.5)).status == 200
        except BluebellpitchError:
            return False

    async def wait_ready(self) -> None:
        """Waits until all VMs are ready; notes those that do not get there."""
        deadline = time.monotonic() + READY_PATIENCE_S
        waiting = list(self.vms)
        while waiting and time.monotonic() < deadline:
            waiting = [vm for vm in waiting if not await self.is_ready(vm)]
            await asyncio.sleep(0.1)
        self.record.failures += [f"{vm.key} is not ready" for vm in waiting]

    async def _watch(self) -> None:
        """Notes versions in force, and VMs that end by themselves."""
        while True:
            for vm in self.vms:
                if vm.popen.poll() is not None and not vm.stopping:
                    self.record.failures.append(f"{vm.key} ended with {vm.popen.returncode}")
                    self.start(vm)
                await self._note_version(vm)
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _note_version(self, vm: EntryProcess) -> None:
        key = vm.key
        try:
            page = await fetch(f"127.0.0.1:{vm.metrics_port}", "GET", "/metrics", timeout_s=0.3)
        except BluebellpitchError:
            return
        for line in page.body.decode().splitlines():
            if line.startswith("bluebellpitch_configuration_version "):
                versions = self.record.versions_by_process.setdefault(key, [])
                versions.append(int(float(line.split()[1])))
