"""A link between two processes: a relay of TCP connections that can be cut, silenced or slowed."""

import asyncio

from bluebellpitch.http1 import parse_address
from fakes.ports import free_address
from fakes.server import FakeServer

READ_BYTES = 65_536
HOLD_POLL_S = 0.02
MAX_QUEUED_CHUNKS = 1_000


class FakeLink(FakeServer):
    """Relays ``listen`` to ``target``; its faults are set at the control address.

    ``cut`` closes all connections and refuses new ones; ``silence`` lets the open ones go silent
    for good while new ones work; ``held`` names a direction, ``there`` or ``back``, in which bytes
    wait until it is empty again; ``delay_s`` is the latency one way.
    """

    def __init__(self, listen: str, target: str, delay_s: float = 0.0):
        super().__init__()
        self.address = listen
        self._target = target
        self.delay_s = delay_s
        self.held = ""
        self._cut = False
        self._generation = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._handlers: set[asyncio.Task] = set()

    @classmethod
    async def open(cls, target: str) -> "FakeLink":
        """Starts a relay in this process; ``address`` stands in for the target's."""
        link = cls(free_address(), target)
        await link.start("127.0.0.1", 0)
        return link

    @property
    def cut(self) -> bool:
        """Whether the link is cut."""
        return self._cut

    @cut.setter
    def cut(self, value: bool) -> None:
        self._cut = value
        if value:
            for writer in tuple(self._writers):
                writer.transport.abort()

    @property
    def silence(self) -> int:
        """Counts how often open connections were silenced."""
        return self._generation

    @silence.setter
    def silence(self, _: bool) -> None:
        self._generation += 1

    async def start(self, host: str, port: int) -> int:
        """Starts the relay and its control address."""
        await asyncio.start_server(self._accept, *parse_address(self.address))
        return await super().start(host, port)

    async def _accept(self, reader, writer) -> None:
        # The server does not keep its handlers alive by itself.
        self._handlers.add(task := asyncio.current_task())
        try:
            await self._relay(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._handlers.discard(task)

    async def _relay(self, reader, writer) -> None:
        if self._cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*parse_address(self._target))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        generation = self._generation
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, generation, "there"),
                self._pump(far_reader, writer, generation, "back"),
            )
        finally:
            self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer, generation: int, direction: str) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        await asyncio.gather(
            self._read(reader, chunks), self._write(chunks, writer, generation, direction)
        )

    async def _read(self, reader, chunks: asyncio.Queue) -> None:
        """Queues what comes, with the time to pass it on; no bytes mark the end."""
        now = asyncio.get_running_loop().time
        try:
            while data := await reader.read(READ_BYTES):
                await chunks.put((now() + self.delay_s, data))
        except OSError:
            pass
        await chunks.put((now(), b""))

    async def _write(self, chunks: asyncio.Queue, writer, generation: int, direction: str) -> None:
        now = asyncio.get_running_loop().time
        try:
            while (chunk := await chunks.get())[1]:
                if generation != self._generation:
                    await asyncio.Event().wait()
                while self.held == direction:
                    await asyncio.sleep(HOLD_POLL_S)
                due_at, data = chunk
                await asyncio.sleep(max(0.0, due_at - now()))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
