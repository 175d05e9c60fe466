"""The relay between processes: its delay is a latency, not a rate."""

import asyncio

from fakes.link import FakeLink

DELAY_S = 0.3
ALLOWED_S = 0.1


def test_messages_close_to_each_other_take_the_same_time(run):
    async def scenario():
        now = asyncio.get_running_loop().time
        arrived_at: list[float] = []

        async def take(reader, writer):
            while data := await reader.read(100):
                arrived_at.extend(now() for _ in data)
            writer.close()

        server = await asyncio.start_server(take, "127.0.0.1", 0)
        link = await FakeLink.open(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        link.delay_s = DELAY_S
        host, _, port = link.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        sent_at = []
        for _ in range(4):
            sent_at.append(now())
            writer.write(b"x")
            await asyncio.sleep(0.06)
        async with asyncio.timeout(5):
            while len(arrived_at) < len(sent_at):
                await asyncio.sleep(0.01)
        latencies = [there - here for here, there in zip(sent_at, arrived_at, strict=True)]
        assert all(DELAY_S <= latency < DELAY_S + ALLOWED_S for latency in latencies), latencies
        writer.close()
        server.close()
        await server.wait_closed()

    run(scenario())
