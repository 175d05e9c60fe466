"""Measures the memory of an entry VM whose endpoints answer without end, beside sound callers.

``python -m measure.memory [--program route|serve] [--callers N] [--memory-mb N] [--unread]
[PART ...]``; with ``--unread`` the callers read nothing of the responses.
"""

import argparse
import asyncio
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace

import msgspec

from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.http1 import ClientConnection, fetch, parse_address
from fakes.client import build_headers
from fakes.fleet import Fleet
from fakes.ports import free_address, free_port
from fakes.prepared_deployment import API_KEY, HOST, Deployment, settings_text
from fakes.tables import CLASSES, FILING_POOL, MODEL_POOL, endpoint_row, member_row, new_sheet
from fakes.unread import call_without_reading

ROOT = Path(__file__).resolve().parent.parent
STREAM_PARTS = ("event", "small events", "comment", "stream", "large events")
PARTS = (
    *("body", "length", "until close", "small chunks", "chunk size", "trailers", "head"),
    *("informational", "refusal", "other", *STREAM_PARTS),
)
ENDPOINTS = 4
CREDENTIAL = "office-secret"
SOUND_CALLERS = 8
SOUND_PAUSE_S = 0.05
TIMEOUT_S = 6.0
READY_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class MemoryUse:
    """What one run saw: memory in MiB, statuses by count, and times of sound callers in seconds.

    A status 0 is a connection that ended without an answer.
    """

    part: str
    idle_mb: float
    peak_mb: float
    has_ended: bool
    statuses: dict[int, int]
    sound: int
    sound_failed: int
    sound_longest_s: float

    def describe(self) -> str:
        """Returns one line for a report."""
        state = "ended by itself" if self.has_ended else "running"
        statuses = ", ".join(
            f"{status}: {count}" for status, count in sorted(self.statuses.items())
        )
        return (
            f"{self.part:14} {self.idle_mb:4.0f} -> {self.peak_mb:4.0f} MB, {state}; {statuses};"
            f" sound callers: {self.sound_failed} of {self.sound} failed,"
            f" longest {self.sound_longest_s:.2f} s"
        )


@dataclass(frozen=True)
class VmUnderTest:
    """A running VM, and what callers send to its endless and its sound endpoints."""

    popen: subprocess.Popen
    address: str
    path: str
    sound_path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b"case"
    sound_body: bytes = b"case"

    def read_memory_mb(self, field: str) -> float:
        """Returns a figure of the process in MiB: VmRSS, now, or VmHWM, at most."""
        try:
            status = Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0.0
        lines = (line for line in status.splitlines() if line.startswith(field))
        return int(next(lines, f"{field}: 0").split()[1]) / 1024


async def call(vm: VmUnderTest, path: str, body: bytes, request_id: str) -> int:
    """Returns the status of one request, 0 if its connection ended without an answer."""
    headers = [
        *vm.headers,
        ("Request-Id", request_id),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    try:
        connection = await ClientConnection.open(vm.address, 1.0)
    except BluebellpitchError:
        return 0
    try:
        await connection.send_verbatim("POST", path, headers, body)
        return (await connection.read_response(TIMEOUT_S + 3.0)).status
    except BluebellpitchError:
        return 0
    finally:
        connection.close()


async def call_unread(vm: VmUnderTest, path: str, body: bytes, request_id: str) -> int:
    """Sends a request and reads nothing, until the VM closes the connection or time is over."""
    headers = [*vm.headers, ("Request-Id", request_id), ("Content-Length", str(len(body)))]
    head = "".join(f"{name}: {value}\r\n" for name, value in headers)
    request = f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body
    with await call_without_reading(vm.address, request):
        await asyncio.sleep(TIMEOUT_S + 1.0)
    return 0


async def call_soundly(vm: VmUnderTest, name: str, took_s: list[float], failed: list[str]) -> None:
    """Sends one request after the other to sound endpoints, until cancelled."""
    number = 0
    while True:
        number, began_at = number + 1, time.monotonic()
        status = await call(vm, vm.sound_path, vm.sound_body, f"{name}-{number}")
        took_s.append(time.monotonic() - began_at)
        if status != 200:
            failed.append(f"{name}-{number}: {status}")
        await asyncio.sleep(SOUND_PAUSE_S)


async def measure(vm: VmUnderTest, part: str, callers: int, reads: bool) -> MemoryUse:
    """Lets all callers call endless endpoints at once, beside sound callers."""
    send = call if reads else call_unread
    idle_mb = vm.read_memory_mb("VmRSS")
    took_s, failed = [], []
    sound = [
        asyncio.create_task(call_soundly(vm, f"sound{number}", took_s, failed))
        for number in range(SOUND_CALLERS)
    ]
    await asyncio.sleep(1.0)
    calls = (send(vm, vm.path, vm.body, f"endless-{number}") for number in range(callers))
    results = await asyncio.gather(*calls)
    for task in sound:
        task.cancel()
    await asyncio.gather(*sound, return_exceptions=True)
    return MemoryUse(
        part,
        idle_mb,
        vm.read_memory_mb("VmHWM"),
        vm.popen.poll() is not None,
        {status: results.count(status) for status in set(results)},
        len(took_s),
        len(failed),
        max(took_s, default=0.0),
    )


def start_endless(part: str) -> tuple[subprocess.Popen, str]:
    """Starts an endpoint without end as a process; returns it with its address."""
    address = free_address()
    command = [sys.executable, "-m", "fakes", "endless", address, f"part={part}"]
    return subprocess.Popen(command, cwd=ROOT), address


async def wait_listening(address: str) -> None:
    """Waits until a server accepts connections."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            _, writer = await asyncio.open_connection(*parse_address(address))
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.transport.abort()
        return
    raise TimeoutError(f"nothing listens at {address}")


@asynccontextmanager
async def run_route(part: str, memory_mb: int) -> AsyncIterator[VmUnderTest]:
    """Runs a VM with ``route``, its endless endpoints and a sound one."""
    is_stream = part in STREAM_PARTS
    pool, sound_pool = ("engines", "app") if is_stream else ("app", "engines")
    endless = [start_endless(part) for _ in range(ENDPOINTS)]
    popen = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with Deployment() as deployment:
                for number, (_, address) in enumerate(endless):
                    await wait_listening(address)
                    endpoint = SimpleNamespace(name=f"i-{number}", address=address)
                    deployment.publish_entry(endpoint, pool, slots=64)
                await deployment.add_endpoint("i-sound", sound_pool, slots=64)
                listen, ready = free_address(), free_address()
                text = settings_text(
                    "vm", "z", deployment.store_address, listen, ready, free_port()
                )
                popen = start_route(Path(folder), text + f"limits.memory_mb={memory_mb}\n")
                await wait_ready(ready)
                headers = (
                    *(("Host", HOST), ("Authorization", f"Bearer {API_KEY}")),
                    ("Deadline-Ms", str(int(TIMEOUT_S * 1000))),
                    *(() if is_stream else (("Model", "m"), ("Token-Usage", "100,20"))),
                )
                paths = ("/explain/x", "/look/x") if is_stream else ("/file/x", "/explain/x")
                yield VmUnderTest(popen, listen, *paths, headers)
        finally:
            stop(popen, *(process for process, _ in endless))


def start_route(folder: Path, settings: str) -> subprocess.Popen:
    """Starts ``bluebellpitch route`` with the text of a settings file."""
    path = folder / "vm.conf"
    path.write_text(settings)
    environment = {**os.environ, "PYTHONPATH": str(ROOT), "BLUEBELLPITCH_CONFIG": str(path)}
    command = [sys.executable, "-m", "bluebellpitch", "route"]
    with (folder / "vm.log").open("w") as log:
        return subprocess.Popen(command, stdout=log, stderr=log, env=environment)


async def wait_ready(address: str) -> None:
    """Waits until a VM says that it is ready, and knows its endpoints."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if (await fetch(address, "GET", "/ready", timeout_s=0.5)).status == 200:
                await asyncio.sleep(0.5)
                return
        except BluebellpitchError:
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError(f"the VM at {address} is not ready")


def stop(*processes: subprocess.Popen | None) -> None:
    """Ends processes that were started here."""
    for process in processes:
        if process is not None:
            process.kill()
            process.wait()


@asynccontextmanager
async def run_serve(part: str, memory_mb: int) -> AsyncIterator[VmUnderTest]:
    """Runs a VM with ``serve``, its endless endpoints and a sound one."""
    is_stream = part in STREAM_PARTS
    with Fleet() as fleet:
        fleet.start_store()
        names = [f"endless-{number}" for number in range(ENDPOINTS)]
        for name in names:
            fleet.start_fake("endless", name, part=part)
        kind = "service" if is_stream else "engine"
        fleet.start_fake(kind, "sound")
        await fleet.wait_listening(*fleet.processes_by_name.values())
        pools = ("drafter", "filing") if is_stream else ("filing", "drafter")
        rows = [member_row("office"), *CLASSES, MODEL_POOL, FILING_POOL]
        rows += [endpoint_row(fleet, name, pools[0], "z", "r", 64) for name in names]
        rows += [endpoint_row(fleet, "sound", pools[1], "z", "r", 16)]
        status, output = await fleet.apply_sheet(new_sheet(*rows))
        if status:
            raise RuntimeError(output)
        process = fleet.add_vm("vm", "z", "r", memory_mb=memory_mb, service_timeout_s=TIMEOUT_S)
        await fleet.wait_ready(process)
        await fleet.wait_converged()
        prompt = msgspec.json.encode({"model": "drafter", "prompt": "[len=5] sound"})
        completion = ("/v1/completions", prompt)
        service = ("/services/filing/cases", msgspec.json.encode({"case": "1"}))
        (path, body), (sound_path, sound_body) = (
            (completion, service) if is_stream else (service, completion)
        )
        yield VmUnderTest(
            process.process.popen,
            process.listen,
            path,
            sound_path,
            (("Host", "vm"), *build_headers(CREDENTIAL)),
            body,
            sound_body,
        )


async def run_part(
    program: str, part: str, callers: int, memory_mb: int, reads: bool = True
) -> MemoryUse:
    """Runs one program with one sort of endless answers."""
    run = run_route if program == "route" else run_serve
    async with run(part, memory_mb) as vm:
        return await measure(vm, part, callers, reads)


def main() -> None:
    """Prints one line for each part."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", choices=("route", "serve"), default="route")
    parser.add_argument("--callers", type=int, default=180)
    parser.add_argument("--memory-mb", type=int, default=128)
    parser.add_argument("--unread", action="store_true")
    parser.add_argument("parts", nargs="*", metavar="PART")
    options = parser.parse_args()
    for part in options.parts or PARTS:
        arguments = (
            *(options.program, part, options.callers, options.memory_mb),
            not options.unread,
        )
        print(asyncio.run(run_part(*arguments)).describe(), flush=True)


if __name__ == "__main__":
    main()
