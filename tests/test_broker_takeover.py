"""A VM that becomes the broker of a pool counts what the engines already run, in virtual time."""

import asyncio

import msgspec

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.return_schedule import MAX_RETRY_AFTER_S
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.configuration import decode_configuration
from bluebellpitch.roles.generation_broker_client import EngineGrant
from bluebellpitch.roles.generation_coordinator import GenerationCoordinator
from bluebellpitch.verdicts import DidNotRun
from fakes.prepared_deployment import build_configuration
from tests.virtual_time import FOREVER_S, PEER_DELAY_S, run_in_virtual_time

POOL = "engines"
SLOTS = 8
EXCLUSION_S = 1.0


class CoordinatorBus:
    """Delivers messages between coordinators by address or by key, which are the same here."""

    def __init__(self, coordinators: dict[str, GenerationCoordinator], sender: str):
        self._coordinators = coordinators
        self._sender = sender

    def send(self, vm_key: str, message) -> None:
        self.send_to_address(vm_key, message)

    def send_to_address(self, address: str, message) -> None:
        receiver = self._coordinators[address]
        loop = asyncio.get_running_loop()
        loop.call_later(PEER_DELAY_S, receiver.handle_message, self._sender, message)


def start_coordinators(count: int, limits_by_vm=None) -> dict[str, GenerationCoordinator]:
    """Starts the coordinators of the VMs of a zone with one engine; they hear each other.

    ``limits_by_vm`` are limits that the engine named to VMs, in requests per second.
    """
    limits_by_vm = limits_by_vm or {}
    catalogue = decode_configuration(msgspec.json.encode(build_configuration(1)))
    now = asyncio.get_running_loop().time
    names = [f"vm-{n}" for n in range(count)]
    coordinators: dict[str, GenerationCoordinator] = {}
    for name in names:
        liveness = Liveness(name, "z")
        for other in names:
            if other != name:
                liveness.record_heartbeat(Peer(other, "z", other, False, 1, 0.0, FOREVER_S))
        directory = EndpointDirectory()
        directory.update(EndpointEntry("i-0", POOL, "10.0.0.1:80", "z", SLOTS, False, 1))
        coordinators[name] = GenerationCoordinator(
            vm_key=name,
            address=name,
            zone="z",
            bus=CoordinatorBus(coordinators, name),
            liveness=liveness,
            directory=directory,
            catalogue=lambda: catalogue,
            addresses_in_zone=lambda zone: names,
            named_limits=lambda pool, zone, name=name: limits_by_vm.get(name, {}),
            regions_by_zone={"z": "r"},
            metrics=Metrics(),
            now=now,
            is_draining=lambda: False,
        )
    for coordinator in coordinators.values():
        asyncio.ensure_future(coordinator.run())
    return coordinators


def make_work(name: str) -> WorkItem:
    now = asyncio.get_running_loop().time()
    return WorkItem(name, POOL, 1, 100, 20, (), 0.5, 0.3, now, now + 10.0)


async def acquire(coordinator: GenerationCoordinator, name: str) -> EngineGrant:
    return await coordinator.broker_client.acquire(make_work(name), frozenset())


def broker_of(coordinator: GenerationCoordinator) -> str:
    return coordinator._broker_vm(POOL)


def test_second_broker_does_not_grant_the_slots_that_the_first_one_granted():
    async def body():
        coordinators = start_coordinators(4)
        first = broker_of(coordinators["vm-0"])
        holder, requester = [c for name, c in coordinators.items() if name != first][:2]
        held = [await acquire(holder, f"a{n}") for n in range(SLOTS)]
        requester._liveness.exclude(first, requester._now() + EXCLUSION_S)
        waiting = asyncio.ensure_future(acquire(requester, "b"))
        await asyncio.sleep(0.5)
        was_granted = waiting.done()
        holder.broker_client.release(held[0], "ok", 0.0)
        grant = await asyncio.wait_for(waiting, 0.5)
        return was_granted, grant.work.id

    assert run_in_virtual_time(body()) == (False, "b")


def test_first_broker_counts_what_the_second_one_granted_once_it_is_used_again():
    async def body():
        coordinators = start_coordinators(4)
        first = broker_of(coordinators["vm-0"])
        requester = next(c for name, c in coordinators.items() if name != first)
        requester._liveness.exclude(first, requester._now() + EXCLUSION_S)
        held = [await acquire(requester, f"a{n}") for n in range(SLOTS)]
        await asyncio.sleep(EXCLUSION_S)
        assert broker_of(requester) == first
        while_full = await acquire(requester, "b")
        for grant in held:
            requester.broker_client.release(grant, "ok", 0.0)
        return while_full, await acquire(requester, "c")

    while_full, grant = run_in_virtual_time(body())
    assert while_full == DidNotRun("no_capacity_in_time", 503, MAX_RETRY_AFTER_S)
    assert isinstance(grant, EngineGrant)


def assigned_at_engine(coordinator: GenerationCoordinator) -> list[str]:
    (engine,) = coordinator._get_broker(POOL).placement.engines_by_key.values()
    return list(engine.assigned_by_id)


def test_work_that_a_broker_granted_twice_is_counted_until_it_ends():
    async def body():
        coordinators = start_coordinators(4)
        broker = coordinators[broker_of(coordinators["vm-0"])]
        requester = next(c for c in coordinators.values() if c is not broker)
        client = requester.broker_client
        client.release(await acquire(requester, "first"), "ok", 0.0)
        acquiring = asyncio.ensure_future(acquire(requester, "a"))
        await asyncio.sleep(0)
        client._send_request(broker._vm_key, make_work("a"), frozenset(), must_stay=False)
        grant = await acquiring
        await asyncio.sleep(0.1)
        while_running = assigned_at_engine(broker)
        client.release(grant, "ok", 0.0)
        await asyncio.sleep(0.1)
        return while_running, assigned_at_engine(broker)

    assert run_in_virtual_time(body()) == (["a"], [])


def test_new_broker_learns_the_limit_that_an_engine_named_to_others():
    async def body():
        limits_by_vm = {f"vm-{n}": {("i-0", 1): 2.0} for n in range(1, 4)}
        coordinators = start_coordinators(4, limits_by_vm)
        requester = next(c for name, c in coordinators.items() if name != broker_of(c))
        granted_at = []
        for number in range(5):
            grant = await acquire(requester, f"a{number}")
            requester.broker_client.release(grant, "ok", 0.0)
            granted_at.append(requester._now())
        return granted_at

    granted_at = run_in_virtual_time(body())
    # Two a second, of which the turns of one second may come at once.
    assert granted_at[4] - granted_at[0] >= 1.0
