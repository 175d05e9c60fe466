"""The processes and fakes of one run. Only processes started here are ever signalled."""

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
from fakes.duty_api import FakeDutyApi
from fakes.link import FakeLink
from fakes.ports import free_address, free_port
from fakes.prepared_deployment import build_configuration, settings_text
from fakes.prepared_endpoint import FakeEndpoint
from soak.duties import SoakStore, duty_settings_text
from soak.history import STREAM_EVENTS, Arrival, History, PlannedStop, Suspension

ROOT = Path(__file__).resolve().parent.parent
POOLS = ("app", "app", "app", "engines", "engines", "engines")
ZONES = ("east", "west")
ENTRY_EXPIRY_S = 3.6
READY_TIMEOUT_S = 60.0
# Some requests are slow, so that stops and disconnects hit requests in progress.
SLOW_REQUEST_SHARE = 0.1
SLOW_REQUEST_S = 1.5
SLOW_STREAM_S = 4.0
STREAM_TIMEOUT_MS = 6_000
GRACE_S = 8
WATCH_INTERVAL_S = 0.3


class SoakEndpoint(FakeEndpoint):
    """An endpoint that records its requests. ``pool`` and ``link`` stay when it is replaced."""

    def __init__(self, name: str, pool: str, history: History):
        super().__init__(name, STREAM_EVENTS)
        self.pool = pool
        self.history = history
        self.link: FakeLink
        self.address = ""
        self.zone = ""
        self.pause_s = 0.03
        self._random = random.Random(name)

    async def serve(self, connection, request) -> None:
        """Records the request and responds to it."""
        name, ran_before = self.name, len(self.ran)
        at = time.monotonic()
        try:
            if self._random.random() < SLOW_REQUEST_SHARE:
                is_stream = bool(request.header("token-usage"))
                await self._sleep(connection, SLOW_STREAM_S if is_stream else SLOW_REQUEST_S)
            await super().serve(connection, request)
        finally:
            id = request.header("request-id")
            ran = id in self.ran[ran_before:]
            self.history.arrivals.append(Arrival(at, id, self.pool, name, ran))


@dataclass
class VmProcess:
    """An entry VM as a real process, with links to the store and from its callers."""

    name: str
    settings_path: Path
    ready_address: str
    metrics_port: int
    caller_link: FakeLink
    store_link: FakeLink
    popen: subprocess.Popen | None = None
    starts: int = 0
    # Number of faults that may cut requests, to detect those that overlap a planned stop.
    faults: int = 0
    restarting: bool = False

    @property
    def run_name(self) -> str:
        """The name of the VM with the number of its current process."""
        return f"{self.name}#{self.starts}"

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)


@dataclass
class SoakCluster:
    """The platform, endpoints and entry VMs of a run. Use as an asynchronous context manager."""

    folder: Path
    vm_count: int
    history: History = field(default_factory=History)
    store: SoakStore = field(default_factory=SoakStore)
    api: FakeDutyApi = field(default_factory=FakeDutyApi)
    api_link: FakeLink | None = None
    vms: list[VmProcess] = field(default_factory=list)
    endpoints: list[SoakEndpoint] = field(default_factory=list)
    keys: list[str] = field(default_factory=lambda: ["key-0"])
    version: int = 0
    # Numbers of endpoint faults that have started so far, and that are active now.
    endpoint_faults: int = 0
    active_endpoint_faults: int = 0
    _endpoint_numbers: itertools.count = field(default_factory=itertools.count)
    _entry_numbers: itertools.count = field(default_factory=lambda: itertools.count(1))
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def __aenter__(self) -> "SoakCluster":
        self.store_port = await self.store.start("127.0.0.1", 0)
        self.history.duty_calls = self.api.calls
        api_port = await self.api.start("127.0.0.1", 0)
        self.api_link = await FakeLink.open(f"127.0.0.1:{api_port}")
        self.publish_configuration()
        for number, pool in enumerate(POOLS):
            await self._add_endpoint(pool, ZONES[number % len(ZONES)])
        for number in range(self.vm_count):
            await self._add_vm(f"vm-{number}", ZONES[number % len(ZONES)])
        for vm in self.vms:
            self.start_vm(vm)
        self.start_task(self._watch_vms())
        await self.wait_ready()
        return self

    async def __aexit__(self, *_) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
            vm.send_signal(signal.SIGKILL)
            if vm.popen is not None:
                vm.popen.wait()

    def start_task(self, coroutine) -> None:
        """Runs a coroutine in the background until the cluster is shut down."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def publish_configuration(self) -> None:
        """Writes a new version of the configuration with the valid keys."""
        self.version += 3
        fields = build_configuration(self.version, keys=tuple(self.keys))
        for route in fields["routes"]:
            if route["kind"] == "streaming":
                route["timeout_ms"] = STREAM_TIMEOUT_MS
        data = msgspec.json.encode(fields)
        self.store.put("keyed.op", "config", data)

    def rotate_key(self) -> None:
        """Gives callers a new key, and records when the store had the revocation of the old one."""
        old = self.keys[:]
        self.keys[:] = [f"key-{self.version + 3}"]
        self.publish_configuration()
        for key in old:
            self.history.revoked_at_by_key[key] = time.monotonic()

    async def _add_endpoint(self, pool: str, zone: str) -> None:
        endpoint = SoakEndpoint(f"{pool}-{next(self._endpoint_numbers)}", pool, self.history)
        port = await endpoint.start("127.0.0.1", 0)
        endpoint.link = await FakeLink.open(f"127.0.0.1:{port}")
        endpoint.address = endpoint.link.address
        endpoint.zone = zone
        self.endpoints.append(endpoint)
        self.publish_entry(endpoint)

    def publish_entry(self, endpoint: SoakEndpoint, state: str = "ready") -> None:
        """Writes the entry of an endpoint to the store."""
        entry = {"service": endpoint.pool, "address": endpoint.address, "zone": endpoint.zone}
        entry |= {"slots": 8, "state": state, "born": int(endpoint.name.rpartition("-")[2]) + 1}
        entry |= {"version": "v1", "cold_left_ms": 0, "seq": next(self._entry_numbers)}
        self.store.put("keyed.servers", endpoint.name, msgspec.json.encode(entry))

    def restart_leaving_bounds(self) -> None:
        """Restarts the bound for leaving endpoints, since VMs may have missed their notices."""
        now = time.monotonic()
        leaving_at = self.history.leaving_at_by_endpoint
        leaving_at.update(
            {endpoint.name: now for endpoint in self.endpoints if endpoint.name in leaving_at}
        )

    async def replace_endpoint(
        self, endpoint: SoakEndpoint, downtime_s: float, notice_s: float = 0.0
    ) -> None:
        """Removes an endpoint, after a notice or at once, and starts another at its address."""
        if endpoint.link.cut:
            return
        old = endpoint.name
        if notice_s:
            self.publish_entry(endpoint, "draining")
            self.history.leaving_at_by_endpoint[old] = time.monotonic()
            await asyncio.sleep(notice_s)
        endpoint.link.cut = True
        self.start_task(self._expire_entry(old))
        await asyncio.sleep(downtime_s)
        endpoint.name = f"{endpoint.pool}-{next(self._endpoint_numbers)}"
        endpoint.link.cut = False
        self.publish_entry(endpoint)

    async def _expire_entry(self, name: str) -> None:
        await asyncio.sleep(ENTRY_EXPIRY_S)
        self.store.put("keyed.servers", name, b"")

    async def _add_vm(self, name: str, zone: str) -> None:
        listen, ready = free_address(), free_address()
        store_link = await FakeLink.open(f"127.0.0.1:{self.store_port}")
        caller_link = await FakeLink.open(listen)
        path = self.folder / f"{name}.conf"
        text = settings_text(name, zone, store_link.address, listen, ready, free_port())
        text += "".join(f"zones.{z}=r-{z}\n" for z in ZONES) + f"bounds.grace_s={GRACE_S}\n"
        text += duty_settings_text(self.api_link.address)
        path.write_text(text)
        vm = VmProcess(name, path, ready, free_port(), caller_link, store_link)
        self.vms.append(vm)

    def start_vm(self, vm: VmProcess) -> None:
        """Starts the process of a VM."""
        vm.starts += 1
        environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        environment["BLUEBELLPITCH_CONFIG"] = str(vm.settings_path)
        command = [sys.executable, "-m", "bluebellpitch", "route"]
        command += ["--metrics-port", str(vm.metrics_port)]
        with (self.folder / f"{vm.run_name}.log").open("w") as log:
            vm.popen = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    async def kill_vm(self, vm: VmProcess, downtime_s: float) -> None:
        """Kills the process of a VM and restarts it after ``downtime_s``."""
        if vm.restarting:
            return
        vm.faults += 1
        vm.restarting = True
        vm.send_signal(signal.SIGKILL)
        await asyncio.sleep(downtime_s)
        self.start_vm(vm)
        vm.restarting = False

    async def stop_vm(self, vm: VmProcess) -> None:
        """Shuts a VM down gracefully, waits for its exit and restarts it."""
        if vm.restarting or vm.popen.poll() is not None:
            return
        vm.restarting, before, started_at = True, vm.faults + self.endpoint_faults, time.monotonic()
        vm.send_signal(signal.SIGTERM)
        while vm.popen.poll() is None:
            await asyncio.sleep(0.02)
        if vm.faults + self.endpoint_faults == before and not self.active_endpoint_faults:
            self.history.planned_stops.append(PlannedStop(vm.name, started_at, time.monotonic()))
        self.start_vm(vm)
        vm.restarting = False

    async def pause_vm(self, vm: VmProcess, duration_s: float) -> None:
        """Suspends the process of a VM for a while."""
        vm.faults += 1
        started_at = time.monotonic()
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        vm.send_signal(signal.SIGCONT)
        self.history.suspensions.append(Suspension(vm.name, started_at, time.monotonic()))

    def duty_vm(self) -> VmProcess | None:
        """Returns the VM that holds the duty and has called the API, None while there is none.

        Faults that hit each new holder before its first call would leave nothing to check.
        """
        lease, calls = self.store.duty_lease(), self.api.calls
        if lease is None or not calls or calls[-1].token != lease.token:
            return None
        return next((vm for vm in self.vms if vm.name == lease.vm), None)

    async def is_ready(self, vm: VmProcess) -> bool:
        """Returns whether a VM reports that it is ready for new connections."""
        try:
            return (await fetch(vm.ready_address, "GET", "/ready", timeout_s=0.5)).status == 200
        except BluebellpitchError:
            return False

    async def wait_ready(self) -> None:
        """Waits until all VMs are ready; records those that are not in time as failures."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.vms)
        while waiting and time.monotonic() < deadline:
            waiting = [vm for vm in waiting if not await self.is_ready(vm)]
            await asyncio.sleep(0.1)
        self.history.failures += [f"{vm.run_name} is not ready" for vm in waiting]

    async def _watch_vms(self) -> None:
        """Records configuration versions; restarts VMs that exit unexpectedly, as failures."""
        while True:
            for vm in self.vms:
                if vm.popen.poll() is not None and not vm.restarting:
                    self.history.failures.append(f"{vm.run_name} ended with {vm.popen.returncode}")
                    self.start_vm(vm)
                await self._record_version(vm)
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _record_version(self, vm: VmProcess) -> None:
        run_name = vm.run_name
        try:
            response = await fetch(f"127.0.0.1:{vm.metrics_port}", "GET", "/metrics", timeout_s=0.3)
        except BluebellpitchError:
            return
        for line in response.body.decode().splitlines():
            if line.startswith("bluebellpitch_configuration_version "):
                versions = self.history.versions_by_process.setdefault(run_name, [])
                versions.append(int(float(line.split()[1])))
