"""The bus between entry VMs: what was sent arrives, in order, however much of it there is."""

import asyncio

from bluebellpitch.clock import HybridClock
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import StrikesCleared
from fakes.ports import free_address


def test_messages_arrive_in_order(run):
    """Many at once, and single ones after silence, while the receiver sends as well."""

    async def scenario():
        got: list[str] = []
        address = free_address()
        clock = HybridClock(lambda: 1.0)
        here = PeerBus("a", clock, Metrics(), lambda *_: None)
        there = PeerBus("b", clock, Metrics(), lambda _, message: got.append(message.fingerprint))
        there.bind(address)
        receiving = asyncio.create_task(there.run())
        sent = [str(number) for number in range(1_000)]
        for name in sent:
            here.send_to_address(address, StrikesCleared(name))
        async with asyncio.timeout(10):
            while len(got) < len(sent):
                await asyncio.sleep(0.01)
        for name in ("late", "later"):
            await asyncio.sleep(0.1)
            there.send_to_address(address, StrikesCleared("own"))
            here.send_to_address(address, StrikesCleared(name))
            sent.append(name)
        async with asyncio.timeout(10):
            while len([name for name in got if name != "own"]) < len(sent):
                await asyncio.sleep(0.01)
        assert [name for name in got if name != "own"] == sent
        receiving.cancel()
        await asyncio.gather(receiving, return_exceptions=True)
        here.close()
        there.close()

    run(scenario())
