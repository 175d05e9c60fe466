"""Stand-ins for the platform, model servers and clients, and the start of the real programs.

Written from the users' pages alone, with the standard library. One process holds the platform's
store, the operator, the servers and the clients; each entry VM is a process of its own, started
with the run command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
HEARTBEAT_S = 1.2
# Settings of the smallest deployment on the pages.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_ms": 250,
    "max_stretch_ms": 6000,
    "strict_revoke": "true",
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_burst": 54,
    "recovery_s": 12,
    "pass_ms": 400,
    "retry_after_s": 9,
}


def free_port(ip: str) -> int:
    """Returns a port that is free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} s  {text}\n")
        self._file.flush()
        print(text, flush=True)


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name: str) -> str:
        """Returns the first value of a header."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), "")


async def read_head(reader) -> tuple[str, list[tuple[str, str]]] | None:
    """Returns the first line and the headers of a message, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, [(name.strip(), value.strip()) for name, _, value in pairs]


async def read_request(reader) -> Request | None:
    """Returns the next request of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    request = Request(method, target, head[1], b"")
    size = int(request.header("content-length") or 0)
    if size:
        try:
            request.body = await reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return request


def respond(writer, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
    """Writes a whole answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


class Store:
    """The platform's store: keyed topics and plain ones, with one partition each."""

    def __init__(self, record: Record):
        self._record = record
        self._records: dict[str, list[bytes]] = {}
        self._newest: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._appended = asyncio.Condition()
        self.calls = 0
        # A hook that may delay or refuse a call: returns a status, or None to serve it.
        self.before_call = None

    async def start(self, ip: str) -> str:
        """Listens; returns the address."""
        self.port = free_port(ip)
        self._server = await asyncio.start_server(self._serve, ip, self.port, limit=1 << 22)
        return f"{ip}:{self.port}"

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record of a keyed topic, as the operator and the servers do."""
        name = key.encode()
        await self._append(topic, [bytes([len(name)]) + name + value])

    async def _append(self, topic: str, records: list[bytes]) -> int:
        log = self._records.setdefault(topic, [])
        offset = len(log)
        if topic.startswith("keyed."):
            newest = self._newest.setdefault(topic, {})
            for index, data in enumerate(records):
                key, value = data[1 : 1 + data[0]].decode(), data[1 + data[0] :]
                if value:
                    newest[key] = (value, offset + index)
                else:
                    newest.pop(key, None)
        log.extend(records)
        async with self._appended:
            self._appended.notify_all()
        return offset

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                if self.before_call is not None:
                    status = await self.before_call(request, writer)
                    if status is not None:
                        respond(writer, status, [], b"{}")
                        await writer.drain()
                        continue
                await asyncio.sleep(0.004)
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request, writer) -> None:
        path, _, query = request.target.partition("?")
        args = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic = args.get("topic", "")
        if path == "/log-append":
            await self._answer_append(topic, args, request.body, writer)
        elif path == "/log-read":
            await self._answer_read(topic, args, writer)
        elif path == "/log-newest":
            self._answer_newest(topic, args, writer)
        else:
            respond(writer, 404, [], b"{}")

    async def _answer_append(self, topic, args, body: bytes, writer) -> None:
        records = []
        while body:
            (size,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        end = len(self._records.get(topic, []))
        if "at" in args and int(args["at"]) != end:
            respond(writer, 412, JSON, json.dumps({"end": end}).encode())
            return
        offset = await self._append(topic, records)
        answer = {"offset": offset, "end": len(self._records[topic])}
        respond(writer, 200, JSON, json.dumps(answer).encode())

    async def _answer_read(self, topic, args, writer) -> None:
        start, wait_s = int(args["from"]), int(args.get("wait_ms", 0)) / 1000
        until = time.monotonic() + wait_s
        while len(self._records.get(topic, [])) <= start and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()), self._appended:
                    await self._appended.wait()
            except TimeoutError:
                break
        log = self._records.get(topic, [])
        body = struct.pack(">QQ", len(log), 0)
        body += b"".join(struct.pack(">I", len(r)) + r for r in log[start:])
        respond(writer, 200, [("Content-Type", "application/octet-stream")], body)

    def _answer_newest(self, topic, args, writer) -> None:
        after = args.get("after", "")
        items = sorted(i for i in self._newest.get(topic, {}).items() if i[0] > after)
        page = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in items[:500]
        ]
        answer = {
            "items": page,
            "has_more": len(items) > 500,
            "end": len(self._records.get(topic, [])),
        }
        respond(writer, 200, JSON, json.dumps(answer).encode())


JSON = [("Content-Type", "application/json")]


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Returns a route as the operator writes it, with the prefix /NAME/."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 15000,
        "goal_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        **fields,
    }


def configuration(version: int, routes: list[dict], keys=(KEY,), **fields) -> bytes:
    """Returns a configuration with the services app and pool."""
    engine = {"slots": 64, "kv_capacity": 544780, "token_kv_bytes": 18432, "models": []}
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": "app", "health_path": "/health", "max_conns": 100, "protocol": "h1"},
                {
                    "name": "pool",
                    "health_path": "/health",
                    "max_conns": 360,
                    "protocol": "h1",
                    "engine": engine,
                },
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1}],
            **fields,
        }
    ).encode()


class Server:
    """A server of a service: beats, checks Target-Instance, and notes what it has run.

    ``handle`` answers a request that it runs; by default with 200 and ``body``.
    """

    def __init__(self, record: Record, store: Store, service: str, zone: str):
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self._record, self._store = record, store
        self.service, self.zone = service, zone
        self.state, self.slots, self.seq = "ready", 64, 0
        self.born = int(time.time() * 1000)
        self.ran: list[str] = []
        self.body = b"ok"
        self.writers: set = set()
        self._beats = None

    async def start(self, ip: str) -> None:
        """Listens and begins to beat."""
        self.port = free_port(ip)
        self.address = f"{ip}:{self.port}"
        self._server = await asyncio.start_server(self._serve, ip, self.port, limit=1 << 22)
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> None:
        """Writes the entry."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        await self._store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def headers(self, request: Request) -> list[tuple[str, str]]:
        """Returns the headers of an answer to a request that ran."""
        return [
            ("Request-Id", request.header("request-id")),
            ("Response-Signature", f"sig.{self.id}.{request.header('request-id')}"),
            ("Server-Load", f"1,0,{self.slots},100"),
            ("Keep-Alive", "timeout=10"),
        ]

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                request_id = request.header("request-id")
                if request.header("target-instance") not in ("", self.id):
                    headers = [("Request-Id", request_id), ("Instance-Id", self.id)]
                    respond(writer, 421, headers, b"")
                    continue
                self.ran.append(request_id)
                self._record(f"server {self.id} runs {request_id} {request.target}")
                if await self.handle(request, reader, writer) is False:
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: Request, reader, writer):
        """Answers a request; returns False if the connection ends with it."""
        respond(writer, 200, self.headers(request), self.body)


class Node:
    """One entry VM: a real process, its settings file, and the platform that restarts it."""

    def __init__(self, deployment, name: str, zone: str, ip: str):
        self._deployment = deployment
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.ready, self.control = (free_port(ip) for _ in range(3))
        self.bus = free_port(ip)
        self.settings = deployment.folder / f"{name}.conf"
        self.process = None
        self.log = deployment.folder / f"{name}.log"
        self.restarts = True
        # Limit of descriptors of the process, as the platform sets it; None for that of the shell.
        self.max_fds: int | None = None
        self.ends: list[int] = []
        self.ended_at: list[float] = []
        self.first_start = True
        self._watch = None

    def write_settings(self, **fields) -> None:
        """Writes the settings file as the platform does."""
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": self.zone,
            "region": f"r-{self.zone}",
            **{f"zones.{zone}": f"r-{zone}" for zone in self._deployment.zones},
            "listen.front": f"{self.ip}:{self.front}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "listen.control": f"{self.ip}:{self.control}",
            "port_range": f"{self.bus},{self.bus}",
            "seeds": "",
            "first_start": str(self.first_start).lower(),
            "loss_counts": "false",
            "limits.cpu_share": 0.537,
            "limits.cores": 2,
            "limits.memory_mb": 300,
            "limits.max_fds": self.max_fds or 4100,
            "limits.link_mbps": 1000.0,
            "limits.disk_mb": 0,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "fault_tolerance.machines": 1,
            "fault_tolerance.zones": 0,
            "fault_tolerance.regions": 0,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.address": self._deployment.store_address,
            "platform.form": "log",
            "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000,
            "platform.parts": 12,
            "platform.record_bytes": 262144,
            "platform.call_bytes": 2097152,
            "platform.keep_s": 300,
            "platform.part_mb": 200,
            "platform.ttl_min_ms": 1000,
            **fields,
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Starts the process with the run command of the deploy file."""
        self.write_settings()
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BLUEBELLPITCH_CONFIG": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._deployment.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        self.started_at = time.monotonic()
        self._deployment.record(f"{self.name} is started, pid {self.process.pid}")
        self._watch = asyncio.create_task(self._restart_when_ended(self.process))

    def _limit_descriptors(self) -> None:
        if self.max_fds is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

    async def _restart_when_ended(self, process) -> None:
        status = await process.wait()
        self.ends.append(status)
        self.ended_at.append(time.monotonic())
        lasted_s = time.monotonic() - self.started_at
        self._deployment.record(f"{self.name} ended with {status} after {lasted_s:.2f} s")
        self.first_start = False
        if self.restarts:
            await asyncio.sleep(0.5)
            await self.start()

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self._deployment.record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Asks for readiness as the platform does."""
        try:
            async with asyncio.timeout(0.8):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and " 200 " in f"{head[0]} "
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the node says that it is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        """Ends the process."""
        self.restarts = False
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """A small deployment on loopback addresses of its own. Use as a context manager."""

    def __init__(self, folder: Path):
        self.case = folder
        self.record = Record(folder)
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.zones = ["doto-kushiro", "doo-sapporo", "dohoku-asahikawa"]
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]["run"]
        self.command = run.split(" ")

    async def __aenter__(self):
        self.folder = Path(tempfile.mkdtemp())
        self.store = Store(self.record)
        self.store_address = await self.store.start(f"{self.net}.1")
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            await node.end()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def configure(self, data: bytes) -> None:
        """Writes a configuration; the store's answer is its acknowledgement."""
        await self.store.put("keyed.op", "config", data)
        self.record(f"configuration {json.loads(data)['version']} is acknowledged")

    async def add_server(self, service: str, zone: int = 0, kind=Server, **fields) -> Server:
        """Starts a server."""
        server = kind(self.record, self.store, service, self.zones[zone])
        for name, value in fields.items():
            setattr(server, name, value)
        self.servers.append(server)
        await server.start(f"{self.net}.{100 + len(self.servers)}")
        return server

    async def add_node(self, zone: int = 0, **fields) -> Node:
        """Starts an entry VM."""
        number = len(self.nodes) + 1
        node = Node(self, f"front-{number}", self.zones[zone], f"{self.net}.{10 + number}")
        for name, value in fields.items():
            setattr(node, name, value)
        self.nodes.append(node)
        await node.start()
        return node


class Answer:
    """What a client has got: ``status`` 0 if there was none, ``whole`` if it came to its end."""

    def __init__(self, status=0, headers=(), body=b"", whole=False, why=""):
        self.status, self.headers, self.body = status, list(headers), body
        self.whole, self.why = whole, why

    def header(self, name: str) -> str:
        """Returns the first value of a header."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), "")


def build_request(
    method: str, target: str, request_id: str, body=b"", headers=(), key=KEY, deadline_ms=15000
) -> bytes:
    """Returns the bytes of a request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def new_id() -> str:
    """Returns a new Request-Id."""
    return f"{random.randrange(1 << 64):016x}"


async def read_answer(reader, answer: Answer) -> Answer:
    """Reads an answer with a length or in chunks."""
    try:
        head = await read_head(reader)
        if head is None:
            answer.why = "closed without an answer"
            return answer
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if answer.header("transfer-encoding").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            answer.body = await reader.readexactly(int(answer.header("content-length") or 0))
        answer.whole = True
    except asyncio.IncompleteReadError as error:
        answer.body += error.partial
        answer.why = "the connection ended early"
    except ConnectionError as error:
        answer.why = f"the connection was reset: {error}"
    return answer


def finish(is_broken: bool, could_run: bool = True) -> None:
    """Ends the script with the status that the issue asks for."""
    sys.stdout.flush()
    os._exit(2 if not could_run else 1 if is_broken else 0)
