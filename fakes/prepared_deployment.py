"""A small deployment on fake servers of the prepared platform, all in one process."""

import asyncio
import time
from dataclasses import dataclass, field

import msgspec

from bluebellpitch.entry_vm import EntryVm
from bluebellpitch.http1 import ClientConnection, HttpResponse
from bluebellpitch.platform.settings_file import VmSettings, parse_settings
from fakes.ports import free_address, free_port
from fakes.prepared_endpoint import FakeEndpoint
from fakes.prepared_store import FakeStore

HOST = "tile.example"
API_KEY = "key-of-the-office"
MEMBER = "office"


def build_route(name: str, kind: str, pool: str, **fields) -> dict:
    """Returns a route with the path prefix ``/NAME/``; ``fields`` override the defaults."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2_000,
        "goal_ms": 400,
        "priority": 1,
        "service": pool,
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def build_configuration(version: int, keys: tuple[str, ...] = (API_KEY,), routes=None) -> dict:
    """Returns a configuration; by default it has routes of each kind."""
    engine = {"slots": 8, "kv_capacity": 100_000}
    return {
        "version": version,
        "routes": routes
        or [
            build_route("look", "safe", "app"),
            build_route("file", "unsafe", "app"),
            build_route("draft", "streaming", "engines", resumable=True, gap_target_ms=300),
            build_route("explain", "streaming", "engines", max_attempts=1, gap_target_ms=300),
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_conns": 50},
            {"name": "engines", "health_path": "/health", "max_conns": 50, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 4_096,
            "max_body_bytes": 10_000,
            "header_timeout_ms": 1_000,
            "idle_timeout_ms": 5_000,
        },
        "tenants": [{"name": MEMBER, "api_keys": list(keys)}],
    }


def settings_text(name: str, zone: str, store: str, listen: str, ready: str, bus_port: int) -> str:
    """Returns the text of a settings file as the platform writes it."""
    return f"""node_name={name}
ip=127.0.0.1
zone={zone}
region=r-{zone}
zones.{zone}=r-{zone}
listen.front={listen}
listen.ready={ready}
port_range={bus_port},{bus_port}
heartbeat_ms=1200
bounds.revoke_ms=2500
bounds.config_apply_ms=1000
bounds.grace_s=3
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_burst=50
platform.address={store}
"""


@dataclass
class Deployment:
    """A store, endpoints and entry VMs on loopback. Use as an asynchronous context manager."""

    store: FakeStore = field(default_factory=FakeStore)
    store_address: str = ""
    vms: list[EntryVm] = field(default_factory=list)
    _tasks: list[asyncio.Task] = field(default_factory=list)
    _endpoints: list = field(default_factory=list)
    _clients: list["KeepAliveClient"] = field(default_factory=list)

    async def __aenter__(self) -> "Deployment":
        port = await self.store.start("127.0.0.1", 0)
        self.store_address = f"127.0.0.1:{port}"
        self.configure(1)
        return self

    async def __aexit__(self, *_) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for vm in self.vms:
            vm.close()
        for client in self._clients:
            client.disconnect()
        for server in (self.store, *self._endpoints):
            server.http.stop_listening()

    def configure(self, version: int, **fields) -> None:
        """Writes a configuration to the store, as the operator does."""
        data = msgspec.json.encode(build_configuration(version, **fields))
        self.store.put("keyed.op", "config", data)

    async def add_endpoint(self, name: str, pool: str, zone: str = "z", **fields) -> FakeEndpoint:
        """Starts an endpoint and writes its entry to the store."""
        endpoint = FakeEndpoint(name)
        port = await endpoint.start("127.0.0.1", 0)
        endpoint.address = f"127.0.0.1:{port}"
        self._endpoints.append(endpoint)
        self.publish_entry(endpoint, pool, zone, **fields)
        return endpoint

    def publish_entry(self, endpoint: FakeEndpoint, pool: str, zone: str = "z", **fields) -> None:
        """Writes an endpoint's entry to the store."""
        entry = {
            "service": pool,
            "address": endpoint.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "born": 1,
            "seq": 1,
            **fields,
        }
        self.store.put("keyed.servers", endpoint.name, msgspec.json.encode(entry))

    def remove_entry(self, name: str) -> None:
        """Removes an endpoint's entry from the store."""
        self.store.put("keyed.servers", name, b"")

    def add_client(self, vm: EntryVm, api_key: str = API_KEY) -> "KeepAliveClient":
        """Returns a client of a VM, which is closed with the deployment."""
        self._clients.append(KeepAliveClient(vm.settings, api_key))
        return self._clients[-1]

    async def add_vm(self, zone: str = "z", store: str = "", more_settings: str = "") -> EntryVm:
        """Starts an entry VM and waits until it is ready; ``more_settings`` are further lines."""
        listen, ready = free_address(), free_address()
        name = f"vm-{len(self.vms) + 1}"
        text = settings_text(name, zone, store or self.store_address, listen, ready, free_port())
        settings = parse_settings(text + more_settings)
        vm = EntryVm(settings, lambda: settings, time.monotonic)
        self.vms.append(vm)
        self._tasks.append(asyncio.create_task(vm.serve()))
        await wait_until(vm.is_ready)
        return vm


async def wait_until(condition, timeout_s: float = 5.0) -> None:
    """Waits until a condition holds; raises TimeoutError after ``timeout_s``."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@dataclass
class KeepAliveClient:
    """A client that reuses its connection. ``settings`` are those of the VM that it calls."""

    settings: VmSettings
    api_key: str = API_KEY
    _connection: ClientConnection | None = None

    async def call(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        timeout_s: float = 2.0,
        headers=(),
        patience_s: float = 1.0,
    ) -> HttpResponse:
        """Sends a request. Raises ConnectionLostError if the response is incomplete.

        Raises ReadTimeoutError if none comes ``patience_s`` after the timeout that it states.
        """
        if self._connection is None or not self._connection.start_next_cycle():
            self._connection = await ClientConnection.open(self.settings.listen_address, 1.0)
        connection = self._connection
        sent_headers = [
            ("Host", HOST),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(int(timeout_s * 1000))),
            ("Authorization", f"Bearer {self.api_key}"),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        await connection.send_verbatim(method, path, sent_headers, body)
        return await connection.read_response(timeout_s + patience_s)

    async def stream(
        self,
        path: str,
        request_id: str,
        tokens: int = 100,
        parts: tuple[str, ...] = ("aa",),
        last_event_id: str = "",
        **fields,
    ):
        """Requests a streamed generation whose prompt has ``tokens`` tokens in each of its parts.

        ``parts`` are the ids of those that other prompts may have too.
        """
        headers = [
            ("Model", "m"),
            ("Token-Usage", f"{tokens},20"),
            ("Prompt-Prefix", ",".join(f"{part}:{tokens // 2}" for part in (*parts, request_id))),
        ]
        if last_event_id:
            headers.append(("Last-Event-Id", last_event_id))
        return await self.call("POST", path, request_id, b"prompt", headers=headers, **fields)

    def disconnect(self) -> None:
        """Closes the connection at once."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def get_header(response: HttpResponse, name: str) -> str:
    """Returns one header of a response, or an empty string."""
    return dict(response.headers).get(name, "")
