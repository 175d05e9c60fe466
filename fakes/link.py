"""A TCP relay between two processes that can cut, silence, hold or delay connections."""

import asyncio

from bluebellpitch.http1 import parse_address
from fakes.ports import free_address
from fakes.server import FakeServer

READ_BYTES = 65_536
HOLD_POLL_S = 0.02
MAX_QUEUED_CHUNKS = 1_000


class FakeLink(FakeServer):
    """Relays connections from ``listen`` to ``target``; faults are set at the control address.

    ``cut`` aborts all connections and rejects new ones; ``silence`` stops forwarding on the open
    connections for good, without closing them, while new ones work; ``held`` names a direction,
    ``there`` (to the target) or ``back``, in which bytes are held until it is empty again;
    ``delay_s`` is the one-way latency.
    """

    def __init__(self, listen: str, target: str, delay_s: float = 0.0):
        super().__init__()
        self.address = listen
        self._target = target
        self.delay_s = delay_s
        self.held = ""
        self._cut = False
        self._silence_count = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._handlers: set[asyncio.Task] = set()

    @classmethod
    async def open(cls, target: str) -> "FakeLink":
        """Starts a relay in this process; connect to ``address`` in place of the target's."""
        link = cls(free_address(), target)
        await link.start("127.0.0.1", 0)
        return link

    @property
    def cut(self) -> bool:
        """Returns whether the link is cut."""
        return self._cut

    @cut.setter
    def cut(self, value: bool) -> None:
        self._cut = value
        if value:
            for writer in tuple(self._writers):
                writer.transport.abort()

    @property
    def silence(self) -> int:
        """Returns how often the open connections were silenced."""
        return self._silence_count

    @silence.setter
    def silence(self, _: bool) -> None:
        self._silence_count += 1

    async def start(self, host: str, port: int) -> int:
        """Starts the relay and the control server; returns the port of the latter."""
        await asyncio.start_server(self._accept, *parse_address(self.address))
        return await super().start(host, port)

    async def _accept(self, reader, writer) -> None:
        # asyncio holds only weak references to tasks: keep the handler until it ends.
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
            target_reader, target_writer = await asyncio.open_connection(
                *parse_address(self._target)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        silence_count = self._silence_count
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, silence_count, "there"),
                self._forward(target_reader, writer, silence_count, "back"),
            )
        finally:
            self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, silence_count: int, direction: str) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        await asyncio.gather(
            self._read(reader, chunks), self._write(chunks, writer, silence_count, direction)
        )

    async def _read(self, reader, chunks: asyncio.Queue) -> None:
        """Queues received data with the time to forward it; empty data marks the end."""
        now = asyncio.get_running_loop().time
        try:
            while data := await reader.read(READ_BYTES):
                await chunks.put((now() + self.delay_s, data))
        except OSError:
            pass
        await chunks.put((now(), b""))

    async def _write(
        self, chunks: asyncio.Queue, writer, silence_count: int, direction: str
    ) -> None:
        now = asyncio.get_running_loop().time
        try:
            while (chunk := await chunks.get())[1]:
                if silence_count != self._silence_count:
                    await asyncio.Event().wait()
                while self.held == direction:
                    await asyncio.sleep(HOLD_POLL_S)
                forward_at, data = chunk
                await asyncio.sleep(max(0.0, forward_at - now()))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
