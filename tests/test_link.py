"""The delay of the TCP relay is a latency: it does not limit the rate of messages."""

import asyncio

from fakes.link import FakeLink

DELAY_S = 0.3
TOLERANCE_S = 0.1


def test_messages_in_quick_succession_have_the_same_latency(run):
    async def scenario():
        now = asyncio.get_running_loop().time
        arrived_at: list[float] = []

        async def record_arrivals(reader, writer):
            while data := await reader.read(100):
                arrived_at.extend(now() for _ in data)
            writer.close()

        server = await asyncio.start_server(record_arrivals, "127.0.0.1", 0)
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
        latencies = [arrived - sent for sent, arrived in zip(sent_at, arrived_at, strict=True)]
        assert all(DELAY_S <= latency < DELAY_S + TOLERANCE_S for latency in latencies), latencies
        writer.close()
        server.close()
        await server.wait_closed()

    run(scenario())
