"""A small deployment on loopback: the platform's store here, VMs and servers as processes.

Settings and bounds are those of the site file ``kfao-counters``. Each VM has a loopback address of
its own, so that all of them can use the ports of the deploy file.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from dataclasses import dataclass
from pathlib import Path

from bluebellpitch.errors import DisconnectedError
from fakes.prepared_store import FakeStore
from review.standins.client import Client

ROOT = Path(__file__).resolve().parents[2]
HOST = "counter.example"
KEY = "k7dnn2ctnfzs989anu6"
ZONE = "doto-kushiro"
REGIONS_BY_ZONE = {ZONE: "doto", "doo-sapporo": "doo"}
FRONT_PORT, READY_PORT, FIRST_BUS_PORT = 8740, 8749, 7200
HEARTBEAT_S = 1.2
ENGINES = "bluebell-pool"
START_TIMEOUT_S = 20.0
CLOSE_S = 0.3
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class GatedConnection:
    """Passes answers on unless the store is down: then nothing comes, now or later."""

    def __init__(self, connection, store: "Store"):
        self._connection = connection
        self._store = store

    async def respond(self, *answer) -> None:
        """Sends an answer."""
        await self._store.stay_silent_if_down()
        await self._connection.respond(*answer)


class Store(FakeStore):
    """The project's store stand-in without eras, which the pages in force do not name.

    It has a port for each VM, and answers 503 to those in ``refused_ports``. While ``is_down``, no
    call is answered, and a connection on which an answer is lost returns nothing further.
    ``readers`` has the ports from which the list of servers was read, the latest last.
    """

    def __init__(self):
        super().__init__()
        self.is_down = False
        self.refused_ports: set[int] = set()
        self.readers: list[int] = []
        self.list_read = asyncio.Event()
        self._closed = asyncio.Event()

    async def stay_silent_if_down(self) -> None:
        """Returns at once, or never while the deployment runs."""
        if self.is_down:
            await self._closed.wait()
            raise DisconnectedError("the store has ended")

    async def close(self) -> None:
        """Ends the store, once all VMs have ended."""
        self._closed.set()
        self.http.stop_listening()
        await asyncio.sleep(CLOSE_S)

    def _era_headers(self) -> list[tuple[str, str]]:
        return []

    async def serve(self, connection, request) -> None:
        """Handles one call."""
        port = connection.writer.get_extra_info("sockname")[1]
        await self.stay_silent_if_down()
        if port in self.refused_ports:
            await connection.respond(503, [], b"")
            return
        await super().serve(GatedConnection(connection, self), request)
        if request.target.startswith("/log-read?topic=keyed.servers"):
            self.readers.append(port)
            self.list_read.set()
            self.list_read = asyncio.Event()


class Record:
    """The file ``record.txt`` of a case; times are seconds since its start."""

    def __init__(self, folder: Path):
        self.began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def write(self, text: str, at: float | None = None) -> None:
        """Writes one line."""
        at = time.monotonic() if at is None else at
        self._file.write(f"{at - self.began_at:8.3f}  {text}\n")
        self._file.flush()


class ServerProcess:
    """A server and its entry in the store, which is written again with each heartbeat."""

    def __init__(
        self, server_id: str, service: str, address: str, log_path: Path, options: tuple[str, ...]
    ):
        self.id = server_id
        self.service = service
        self.address = address
        self.born = int(time.time() * 1000)
        self.is_listed = True
        self._sequence = itertools.count(1)
        self._log_path = log_path
        command = [sys.executable, str(ROOT / "review/standins/server.py"), address, server_id]
        with log_path.open("w") as log:
            self.popen = subprocess.Popen([*command, *options], stdout=log)

    def entry(self) -> dict:
        """Returns the entry to write now."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "born": self.born,
            "seq": next(self._sequence),
        }

    def read_log(self) -> list[tuple[float, str, str, str]]:
        """Returns what the server has logged: time, what, request id, path."""
        lines = (line.split() for line in self._log_path.read_text().splitlines())
        return [(float(at), what, request_id, path) for at, what, request_id, path in lines]


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM; ``store_port`` is that of the store to which it connects."""

    name: str
    zone: str
    address: str
    store_port: int
    popen: subprocess.Popen


class Deployment:
    """Use as an asynchronous context manager; it ends all processes that it started."""

    def __init__(self, folder: Path):
        self.record = Record(folder)
        self.store = Store()
        self.servers: list[ServerProcess] = []
        self.vms: list[Vm] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._folder = Path(self._temporary.name)
        self._network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._hosts = itertools.count(11)
        self._command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Deployment":
        return self

    async def __aexit__(self, *_) -> None:
        for task in self._tasks:
            task.cancel()
        for popen in [process.popen for process in (*self.vms, *self.servers)]:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
            popen.wait()
        await self.store.close()
        self._temporary.cleanup()

    def configure(self, version: int, routes: list[dict], services: list[str]) -> None:
        """Writes a configuration, as the operator does; the answer is its acknowledgement."""
        configuration = {
            "version": version,
            "routes": [{"host": HOST, "public": False, "priority": 2, **r} for r in routes],
            "services": [build_service(name) for name in services],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "huka270", "api_keys": [KEY]}],
        }
        self.store.put("keyed.op", "config", json.dumps(configuration).encode())

    def add_server(self, server_id: str, service: str, *options: str) -> ServerProcess:
        """Starts a server and registers it."""
        address = f"{self._network}.{next(self._hosts)}:8729"
        log_path = self._folder / f"{server_id}.out"
        server = ServerProcess(server_id, service, address, log_path, options)
        self.servers.append(server)
        self.write_entry(server)
        self._tasks.append(asyncio.create_task(self._write_heartbeats(server)))
        return server

    def write_entry(self, server: ServerProcess) -> None:
        """Writes a server's entry."""
        self.store.put("keyed.servers", server.id, json.dumps(server.entry()).encode())

    async def _write_heartbeats(self, server: ServerProcess) -> None:
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while server.is_listed:
            if not self.store.is_down:
                self.write_entry(server)
            await asyncio.sleep(HEARTBEAT_S)

    def remove_entry(self, server: ServerProcess) -> None:
        """Removes a server's entry, as the store has accepted."""
        server.is_listed = False
        self.store.put("keyed.servers", server.id, b"")

    async def start_vm(self, zone: str = ZONE) -> Vm:
        """Starts an entry VM with the command of the deploy file."""
        name = f"front-{zone}-{len(self.vms) + 1}"
        ip = f"{self._network}.{next(self._hosts)}"
        store_port = await self.store.start("127.0.0.1", 0)
        path = self._folder / f"{name}.conf"
        path.write_text(settings_text(name, zone, ip, f"127.0.0.1:{store_port}"))
        variables = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        variables["BLUEBELLPITCH_CONFIG"] = str(path)
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{name}.log").open("w") as log:
            popen = subprocess.Popen(
                self._command["run"].split(),
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.vms.append(Vm(name, zone, f"{ip}:{FRONT_PORT}", store_port, popen))
        return self.vms[-1]

    async def wait_ready(self) -> None:
        """Waits until all VMs say that they are ready; raises TimeoutError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for vm in self.vms:
                ready = vm.address.replace(f":{FRONT_PORT}", f":{READY_PORT}")
                while (await Client(ready, HOST, KEY).call("GET", "/ready", "-")).status != 200:
                    await asyncio.sleep(0.1)
        self.record.write(f"{len(self.vms)} VMs are ready")

    def vm_log_lines(self, *events: str) -> list[str]:
        """Returns the VMs' log lines of these events."""
        lines = [
            line
            for path in sorted(self._folder.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
        ]
        return [line for line in lines if any(f"event={event} " in line for event in events)]


def build_service(name: str) -> dict:
    """Returns a service of the configuration; the pool of model servers has engines."""
    service = {"name": name, "health_path": "/health", "max_conns": 100}
    if name == ENGINES:
        service |= {"max_conns": 360, "engine": {"slots": 64, "kv_capacity": 544_780}}
    return service


def settings_text(name: str, zone: str, ip: str, store_address: str) -> str:
    """Returns a settings file as the platform writes it."""
    zones = "\n".join(f"zones.{zone}={region}" for zone, region in REGIONS_BY_ZONE.items())
    return f"""node_name={name}
role=entry
machine_class=front
serves=front
ip={ip}
zone={zone}
region={REGIONS_BY_ZONE[zone]}
{zones}
listen.front={ip}:{FRONT_PORT}
listen.ready={ip}:{READY_PORT}
port_range={FIRST_BUS_PORT},{FIRST_BUS_PORT + 15}
first_start=true
limits.memory_mb=300
limits.max_fds=4100
discovery=platform
entry=vip
heartbeat_ms={HEARTBEAT_S * 1000:.0f}
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=3000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.downgrade_ms=250
bounds.max_stretch_ms=6000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_burst=54
bounds.recovery_s=12
bounds.pass_ms=400
bounds.retry_after_s=9
platform.address={store_address}
platform.form=log
platform.keep_s=300
platform.record_bytes=262144
platform.call_bytes=2097152
"""


def run_case(case, folder: Path) -> int:
    """Runs ``case(folder, has_trouble)``; returns its exit status, 2 if it could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(asyncio.wait_for(case(folder, has_trouble), 110.0))
    except Exception:
        traceback.print_exc()
        return CANNOT_RUN


def set_dark(deployment: Deployment, servers: list[ServerProcess], seconds: float) -> asyncio.Task:
    """Makes servers silent for a while; returns a task that ends when they are back."""
    for server in servers:
        deployment.record.write(f"{server.id} is dark")
        server.popen.send_signal(signal.SIGSTOP)

    async def wake() -> None:
        await asyncio.sleep(seconds)
        for server in servers:
            server.popen.send_signal(signal.SIGCONT)
            deployment.record.write(f"{server.id} is back")

    return asyncio.create_task(wake())
