"""Starts fake servers and entry VMs as processes on loopback, for demo, tests and measurement."""

import asyncio
import hashlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.http1 import fetch
from bluebellpitch.platform.endpoint_entries import ENDPOINTS_TOPIC
from bluebellpitch.platform.store import Appended, StoreClient
from fakes.ports import free_address

ROOT = Path(__file__).resolve().parent.parent
WAIT_TIMEOUT_S = 20.0
# Characters of a log that an error quotes.
LOG_TAIL = 500


def credential_digest(token: str) -> str:
    """Returns the digest under which a sheet lists a credential."""
    return hashlib.sha256(token.encode()).hexdigest()


@dataclass
class Process:
    """A process that the fleet started.

    ``control_address`` is where faults are set if that is not ``address``.
    """

    name: str
    address: str
    popen: subprocess.Popen
    log_path: Path
    control_address: str = ""

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal to this process alone, if it still runs."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.send_signal(signal.SIGKILL)
        self.popen.wait()

    def pause(self) -> None:
        """Suspends the process."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.send_signal(signal.SIGCONT)

    def read_log(self) -> str:
        """Returns the output of the process."""
        return self.log_path.read_text(errors="replace")


@dataclass
class VmProcess:
    """An entry VM: its process, addresses and command-line arguments."""

    name: str
    zone: str
    region: str
    listen: str
    admin: str
    bus: str
    arguments: list[str]
    process: Process | None = None


@dataclass
class Fleet:
    """All processes of one run. As a context manager, it kills only what it started."""

    log_level: str = "INFO"
    program: list[str] = field(default_factory=lambda: ["bluebellpitch"])
    vms_by_name: dict[str, VmProcess] = field(default_factory=dict)
    processes_by_name: dict[str, Process] = field(default_factory=dict)

    def __enter__(self) -> "Fleet":
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        return self

    def __exit__(self, *_) -> None:
        for process in self.processes_by_name.values():
            process.resume()
            process.kill()
        self._folder.cleanup()

    def spawn(self, name: str, address: str, arguments: list[str]) -> Process:
        """Starts a Python module as a process."""
        path = self.folder / f"{name}-{time.monotonic_ns()}.log"
        environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        with path.open("w") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log, env=environment
            )
        process = Process(name, address, popen, path)
        self.processes_by_name[name] = process
        return process

    def start_fake(self, kind: str, name: str = "", address: str = "", **values) -> Process:
        """Starts a fake server."""
        name = name or kind
        address = address or free_address()
        pairs = [f"{key}={value}" for key, value in values.items()]
        return self.spawn(name, address, ["fakes", kind, address, f"name={name}", *pairs])

    def restart_fake(self, name: str, kind: str, **values) -> Process:
        """Starts a fake server again at its previous address."""
        return self.start_fake(kind, name, self.processes_by_name[name].address, **values)

    def start_link(self, name: str, target: str, delay_s: float = 0.0) -> Process:
        """Starts a relay; connect to its ``address`` in place of the target's."""
        listen = free_address()
        process = self.start_fake("link", name, listen=listen, target=target, delay_s=delay_s)
        process.control_address, process.address = process.address, listen
        return process

    def start_store(self) -> None:
        """Starts the store."""
        self.store = self.start_fake("store")

    def add_vm(self, name: str, zone: str, region: str, **settings) -> VmProcess:
        """Starts a new entry VM. ``settings`` are options of ``serve``."""
        addresses = {key: free_address() for key in ("listen", "admin", "bus")}
        flags = {
            "vm-name": name,
            "zone": zone,
            "region": region,
            "store-address": self.store.address,
            "log-level": self.log_level,
            "drain-notice-s": 0.7,
        }
        flags |= addresses | {key.replace("_", "-"): value for key, value in settings.items()}
        arguments = [text for key, value in flags.items() for text in (f"--{key}", str(value))]
        if self.vms_by_name:
            first = next(iter(self.vms_by_name.values()))
            arguments += ["--peer", first.bus]
        vm = VmProcess(name, zone, region, **addresses, arguments=arguments)
        self.vms_by_name[name] = vm
        self.start_vm(vm)
        return vm

    def start_vm(self, vm: VmProcess) -> None:
        """Starts or restarts the process of an entry VM."""
        vm.process = self.spawn(vm.name, vm.listen, [*self.program, "serve", *vm.arguments])

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record of a keyed topic, as the platform and operators do."""
        client = StoreClient(self.store.address)
        verdict = await client.put(topic, key, value)
        client.close()
        assert isinstance(verdict, Appended), verdict

    async def publish_draining_entry(self, endpoint: str) -> None:
        """Writes to the store that an endpoint is draining."""
        address = self.processes_by_name[endpoint].address
        entry = {"service": "drafter", "address": address, "zone": "", "version": "v1", "slots": 1}
        entry |= {"state": "draining", "cold_left_ms": 0, "seq": 1}
        await self.put(ENDPOINTS_TOPIC, endpoint, msgspec.json.encode(entry))

    async def set_faults(self, process: Process, **faults) -> None:
        """Sets faults of a fake server."""
        address = process.control_address or process.address
        await fetch(address, "POST", "/control", msgspec.json.encode(faults))

    async def wait_listening(self, *processes: Process) -> None:
        """Waits until fake servers respond."""
        for process in processes:
            address = process.control_address or process.address
            await wait_until(lambda a=address: is_listening(a), f"{process.name} responds")

    async def wait_ready(self, *vms: VmProcess) -> None:
        """Waits until entry VMs are ready for requests; all VMs if none is given."""
        for vm in vms or self.vms_by_name.values():
            await wait_until(lambda v=vm: is_ready_or_raise(v), f"{vm.name} is ready")

    async def wait_converged(self) -> None:
        """Waits until every VM sees all VMs of its zone in its epoch, and so knows all brokers."""
        await wait_until(self._has_converged, "all VMs have converged")

    async def _has_converged(self) -> bool:
        statuses = [await read_status(vm.admin) for vm in self.vms_by_name.values()]
        if not all(statuses):
            return False
        return all(status["epoch"] > 0 and self._sees_zone_vms(status) for status in statuses)

    def _sees_zone_vms(self, status: dict) -> bool:
        names = {vm.name for vm in self.vms_by_name.values() if vm.zone == status["zone"]}
        return names <= {key.partition(".")[0] for key in status["live"]}

    async def apply_sheet(self, text: str, *options: str) -> tuple[int, str]:
        """Runs ``table apply``; returns its exit status and output."""
        path = self.folder / f"sheet-{time.monotonic_ns()}.csv"
        path.write_text(text)
        flags = ["--store-address", self.store.address, *options]
        return await self.run_command("table", "apply", str(path), *flags)

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Runs the program with arguments; returns its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bluebellpitch",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()


async def is_listening(address: str) -> bool:
    """Returns whether a server responds to HTTP requests at an address."""
    try:
        await fetch(address, "GET", "/health", timeout_s=1.0)
    except BluebellpitchError:
        return False
    return True


async def is_ready(admin: str) -> bool:
    """Returns whether a VM is ready, given its admin address."""
    try:
        return (await fetch(admin, "GET", "/readyz", timeout_s=1.0)).status == 200
    except BluebellpitchError:
        return False


async def read_status(admin: str) -> dict | None:
    """Returns a VM's status; None when the VM does not respond."""
    try:
        return msgspec.json.decode((await fetch(admin, "GET", "/status", timeout_s=2.0)).body)
    except BluebellpitchError:
        return None


async def is_ready_or_raise(vm: VmProcess) -> bool:
    """Returns whether an entry VM is ready; raises RuntimeError if its process has ended."""
    if (status := vm.process.popen.poll()) is not None:
        raise RuntimeError(f"{vm.name} ended with {status}: {vm.process.read_log()[-LOG_TAIL:]}")
    return await is_ready(vm.admin)


async def wait_until(condition, description: str, timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Waits for an asynchronous condition; TimeoutError names it by its description."""
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting until {description}")
        await asyncio.sleep(0.05)
