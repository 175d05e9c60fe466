"""Message bus between entry VMs: all messages arrive, in order, also under load."""

import asyncio

import pytest
import zmq
from loguru import logger
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from bluebellpitch.clock import HybridClock
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import (
    FAR_HEARTBEAT_INTERVAL_MS,
    NEAR_HEARTBEAT_INTERVAL_MS,
    PeerBus,
)
from bluebellpitch.peers.messages import StrikesCleared
from bluebellpitch.platform.vm_records import VmRecord
from bluebellpitch.roles.peer_discovery import PeerDiscovery
from bluebellpitch.tasks import cancel_and_wait
from fakes.ports import free_address


@pytest.fixture
def received():
    return []


@pytest.fixture
def buses(received):
    """Returns the buses ``a`` and ``b``, and the address of ``b``, which collects what it gets."""
    clock, address = HybridClock(lambda: 1.0), free_address()
    sender = PeerBus("a", clock, Metrics(), lambda *_: None)
    receiver = PeerBus("b", clock, Metrics(), lambda _, message: received.append(message))
    receiver.bind(address)
    yield sender, receiver, address
    sender.close()
    receiver.close()


async def wait_for_count(received, count):
    async with asyncio.timeout(10):
        while len(received) < count:
            await asyncio.sleep(0.01)


def test_each_message_wakes_the_loop_once(run, buses, received):
    """While the descriptor's event stays unread, the loop turns for nothing, again and again."""
    sender, receiver, address = buses

    async def scenario():
        loop = asyncio.get_running_loop()
        receive_task = asyncio.create_task(receiver.run())
        sender.send_to_address(address, StrikesCleared("first"))
        await wait_for_count(received, 1)
        select, selected = loop._selector.select, []
        loop._selector.select = lambda timeout: selected.append(None) or select(timeout)
        for number in range(50):
            sender.send_to_address(address, StrikesCleared(str(number)))
            await asyncio.sleep(0.01)
        await wait_for_count(received, 51)
        loop._selector.select = select
        await cancel_and_wait(receive_task)
        return len(selected)

    # Three turns for a message: the sender's timer, its task, and one for the receiver.
    assert_that(run(scenario()), LessThan(3 * 50 + 25))


def test_message_whose_handler_fails_costs_no_other(run, buses, received):
    sender, receiver, address = buses

    def handle(_, message):
        if message.fingerprint == "odd":
            raise ZeroDivisionError
        received.append(message)

    receiver._on_message = handle
    lines = []
    sink = logger.add(lines.append, format="{message}")

    async def scenario():
        receive_task = asyncio.create_task(receiver.run())
        for name in ("odd", "sound"):
            sender.send_to_address(address, StrikesCleared(name))
        await wait_for_count(received, 1)
        assert not receive_task.done()
        await cancel_and_wait(receive_task)

    run(scenario())
    logger.remove(sink)
    assert_that("".join(lines), Contains("event=peer_message_failed kind=StrikesCleared"))


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


def test_connections_to_other_zones_are_pinged_rarely():
    """A VM that told all 195 others of a crash has a connection to each, and each is pinged."""
    bus = PeerBus(
        "a", HybridClock(lambda: 1.0), Metrics(), lambda *_: None, {"near:1"}.__contains__
    )
    sockets = [bus._send_socket(address) for address in ("near:1", "far:1")]
    intervals_ms = [socket.getsockopt(zmq.HEARTBEAT_IVL) for socket in sockets]
    bus.close()
    assert_that(intervals_ms, Equals([NEAR_HEARTBEAT_INTERVAL_MS, FAR_HEARTBEAT_INTERVAL_MS]))


def test_vm_counts_as_near_unless_it_is_listed_in_another_zone():
    discovery = PeerDiscovery.__new__(PeerDiscovery)
    discovery._own_record = VmRecord("10.0.0.1:1", "z")
    discovery.records_by_vm = {"b": VmRecord("10.0.0.2:1", "z"), "c": VmRecord("10.0.1.1:1", "y")}
    addresses = ("10.0.0.2:1", "10.0.1.1:1", "10.0.2.1:1")
    assert_that([discovery.is_near(address) for address in addresses], Equals([True, False, True]))
