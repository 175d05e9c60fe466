"""Streams of a connection that receive little at a time, so that many of them hold little."""

import asyncio

from bluebellpitch.http1.messages import READ_BYTES


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts received bytes, so that unread ones can be detected."""

    received_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Counts the bytes and passes them on to the buffer."""
        self.received_bytes += len(data)
        super().feed_data(data)


class SmallReadsProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """A stream protocol that receives at most READ_BYTES at once; the loop's own take 256 KiB."""

    # Shared by all connections: the transport fills it and hands it over in one step.
    _received = memoryview(bytearray(READ_BYTES))

    def __init__(self, reader: asyncio.StreamReader, loop, on_connected=None):
        super().__init__(reader, on_connected, loop=loop)
        self._feed = reader.feed_data

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the transport puts what it receives next."""
        return self._received

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what the transport has received."""
        self._feed(bytes(self._received[:nbytes]))


async def open_streams(host: str, port: int):
    """Opens a TCP connection; returns a counting reader and a writer."""
    loop = asyncio.get_running_loop()
    reader = CountingReader(limit=READ_BYTES, loop=loop)
    transport, protocol = await loop.create_connection(
        lambda: SmallReadsProtocol(reader, loop), host, port
    )
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def start_stream_server(on_connected, host: str, port: int, backlog: int) -> asyncio.Server:
    """Listens; ``on_connected`` is called with the reader and writer of each connection."""
    loop = asyncio.get_running_loop()

    def create_protocol() -> SmallReadsProtocol:
        reader = asyncio.StreamReader(limit=READ_BYTES, loop=loop)
        return SmallReadsProtocol(reader, loop, on_connected)

    return await loop.create_server(create_protocol, host, port, backlog=backlog)
