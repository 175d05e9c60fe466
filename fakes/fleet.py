"""Starts stand-ins and entry VMs as processes on loopback, for the demo, tests and measurement."""

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
START_S = 20.0


def digest(token: str) -> str:
    """Returns what the sheet holds of a credential."""
    return hashlib.sha256(token.encode()).hexdigest()


@dataclass
class Process:
    """One process that this fleet started."""

    name: str
    address: str
    popen: subprocess.Popen
    log_path: Path
    control: str = ""

    def send(self, number: int) -> None:
        """Sends a signal to this process alone."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        self.send(signal.SIGKILL)
        self.popen.wait()

    def pause(self) -> None:
        """Freezes the process."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a frozen process go on."""
        self.send(signal.SIGCONT)

    def log_text(self) -> str:
        """Returns what the process wrote."""
        return self.log_path.read_text(errors="replace")


@dataclass
class EntryVm:
    """An entry VM: its process and addresses."""

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
    """All processes of one run. Use as a context manager: it ends what it started."""

    log_level: str = "INFO"
    program: list[str] = field(default_factory=lambda: ["bluebellpitch"])
    vms_by_name: dict[str, EntryVm] = field(default_factory=dict)
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
        """Starts a stand-in."""
        name = name or kind
        address = address or free_address()
        pairs = [f"{key}={value}" for key, value in values.items()]
        return self.spawn(name, address, ["fakes", kind, address, f"name={name}", *pairs])

    def restart_fake(self, name: str, kind: str, **values) -> Process:
        """Starts a stand-in again where it was."""
        return self.start_fake(kind, name, self.processes_by_name[name].address, **values)

    def start_link(self, name: str, target: str, delay_s: float = 0.0) -> Process:
        """Starts a relay to a target; its ``address`` stands in for the target's."""
        listen = free_address()
        process = self.start_fake("link", name, listen=listen, target=target, delay_s=delay_s)
        process.control, process.address = process.address, listen
        return process

    def start_platform(self) -> None:
        """Starts the store."""
        self.store = self.start_fake("store")

    def add_vm(self, name: str, zone: str, region: str, **settings) -> EntryVm:
        """Starts an entry VM. ``settings`` are flags of ``serve``."""
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
        vm = EntryVm(name, zone, region, **addresses, arguments=arguments)
        self.vms_by_name[name] = vm
        self.start_vm(vm)
        return vm

    def start_vm(self, vm: EntryVm) -> None:
        """Starts the process of an entry VM, or starts it again."""
        vm.process = self.spawn(vm.name, vm.listen, [*self.program, "serve", *vm.arguments])

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record of a keyed topic, as others than entry VMs do."""
        client = StoreClient(self.store.address)
        verdict = await client.put(topic, key, value)
        client.close()
        assert isinstance(verdict, Appended), verdict

    async def announce_leaving(self, endpoint: str) -> None:
        """Announces in the store that an endpoint will stop."""
        address = self.processes_by_name[endpoint].address
        entry = {"service": "drafter", "address": address, "zone": "", "slots": 1}
        entry["state"] = "draining"
        await self.put(ENDPOINTS_TOPIC, endpoint, msgspec.json.encode(entry))

    async def control(self, process: Process, **faults) -> None:
        """Sets faults of a stand-in."""
        address = process.control or process.address
        await fetch(address, "POST", "/control", msgspec.json.encode(faults))

    async def wait_listening(self, *processes: Process) -> None:
        """Waits until stand-ins answer."""
        for process in processes:
            address = process.control or process.address
            await wait_until(lambda a=address: answers(a), f"{process.name} answers")

    async def wait_ready(self, *vms: EntryVm) -> None:
        """Waits until entry VMs are ready for callers."""
        for vm in vms or self.vms_by_name.values():
            await wait_until(lambda v=vm: is_ready(v.admin), f"{vm.name} is ready")

    async def wait_settled(self) -> None:
        """Waits until every VM sees all VMs of its zone in its epoch, and knows all brokers."""
        await wait_until(self._is_settled, "all VMs agree")

    async def _is_settled(self) -> bool:
        statuses = [await read_status(vm.admin) for vm in self.vms_by_name.values()]
        if not all(statuses):
            return False
        return all(s["epoch"] > 0 and self._sees_zone(s) for s in statuses)

    def _sees_zone(self, status: dict) -> bool:
        names = {vm.name for vm in self.vms_by_name.values() if vm.zone == status["zone"]}
        return names <= {key.partition(".")[0] for key in status["live"]}

    async def apply_sheet(self, text: str, *options: str) -> tuple[int, str]:
        """Runs ``table apply``; returns its exit status and output."""
        path = self.folder / f"sheet-{time.monotonic_ns()}.csv"
        path.write_text(text)
        flags = ["--store-address", self.store.address, *options]
        return await self.run_command("table", "apply", str(path), *flags)

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Runs a command of the program; returns its exit status and output."""
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


async def answers(address: str) -> bool:
    """Tells whether something serves HTTP there."""
    try:
        await fetch(address, "GET", "/health", timeout_s=1.0)
    except BluebellpitchError:
        return False
    return True


async def is_ready(admin: str) -> bool:
    """Tells whether a VM is ready."""
    try:
        return (await fetch(admin, "GET", "/readyz", timeout_s=1.0)).status == 200
    except BluebellpitchError:
        return False


async def read_status(admin: str) -> dict | None:
    """Returns a VM's status, or None."""
    try:
        return msgspec.json.decode((await fetch(admin, "GET", "/status", timeout_s=2.0)).body)
    except BluebellpitchError:
        return None


async def wait_until(condition, what: str, patience_s: float = START_S) -> None:
    """Waits for an asynchronous condition; raises TimeoutError that says for what."""
    deadline = time.monotonic() + patience_s
    while not await condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"gave up waiting until {what}")
        await asyncio.sleep(0.05)
