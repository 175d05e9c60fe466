"""Message bus between entry VMs: all messages arrive, in order, also under load."""

import asyncio

import pytest

from bluebellpitch.clock import HybridClock
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import StrikesCleared
from fakes.ports import free_address


def test_messages_arrive_in_order(run):
    """A burst, then single messages after idle periods, while the receiver sends as well.

    A missed event of the edge-triggered file descriptor would leave messages unread.
    """

    async def scenario():
        received: list[str] = []
        address = free_address()
        clock = HybridClock(lambda: 1.0)
        sender = PeerBus("a", clock, Metrics(), lambda *_: None)
        receiver = PeerBus(
            "b", clock, Metrics(), lambda _, message: received.append(message.fingerprint)
        )
        receiver.bind(address)
        receive_task = asyncio.create_task(receiver.run())
        sent = [str(number) for number in range(1_000)]
        for name in sent:
            sender.send_to_address(address, StrikesCleared(name))
        async with asyncio.timeout(10):
            while len(received) < len(sent):
                await asyncio.sleep(0.01)
        for name in ("late", "later"):
            await asyncio.sleep(0.1)
            receiver.send_to_address(address, StrikesCleared("own"))
            sender.send_to_address(address, StrikesCleared(name))
            sent.append(name)
        async with asyncio.timeout(10):
            while len([name for name in received if name != "own"]) < len(sent):
                await asyncio.sleep(0.01)
        assert [name for name in received if name != "own"] == sent
        receive_task.cancel()
        await asyncio.gather(receive_task, return_exceptions=True)
        sender.close()
        receiver.close()

    run(scenario())


def test_address_in_use_is_an_error_of_the_system():
    address = free_address()
    buses = [PeerBus(key, HybridClock(lambda: 1.0), Metrics(), lambda *_: None) for key in "ab"]
    buses[0].bind(address)
    with pytest.raises(OSError, match=address):
        buses[1].bind(address)
    for bus in buses:
        bus.close()
