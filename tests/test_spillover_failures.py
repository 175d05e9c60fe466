"""A broker that took work from another zone is lost or replaced, in virtual time."""

import asyncio
from collections.abc import Iterable

import msgspec
import pytest

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.generation_broker import NO_ENGINE
from bluebellpitch.decisions.liveness import Liveness, Peer
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.configuration import decode_configuration
from bluebellpitch.roles.generation_broker_client import CONFIRMATION_TIMEOUT_S, EngineGrant
from bluebellpitch.roles.generation_coordinator import GenerationCoordinator
from bluebellpitch.verdicts import DidNotRun
from fakes.prepared_deployment import build_configuration
from tests.test_broker_takeover import POOL, SLOTS, CoordinatorBus, acquire, broker_of
from tests.virtual_time import FOREVER_S, run_in_virtual_time

HOME, FAR = "home", "far"
VMS_BY_ZONE = {HOME: ("home-0", "home-1"), FAR: ("far-0", "far-1", "far-2")}
# Long enough for each zone to hear of the other's load.
FIRST_REPORTS_S = 0.4
# What two brokers grant within this time of each other is not counted together.
BROKER_REPORTS_S = 0.3


class LossyBus(CoordinatorBus):
    """Delivers nothing to or from VMs that are lost."""

    def __init__(self, coordinators, sender: str, lost: set[str]):
        super().__init__(coordinators, sender)
        self._lost = lost

    def send_to_address(self, address: str, message) -> None:
        if not {address, self._sender} & self._lost:
            super().send_to_address(address, message)


class TwoZones:
    """Two zones with an engine each; the one at home may be missing."""

    def __init__(self, engine_zones: Iterable[str]):
        self.lost: set[str] = set()
        self.draining: set[str] = set()
        self.coordinators: dict[str, GenerationCoordinator] = {}
        catalogue = decode_configuration(msgspec.json.encode(build_configuration(1)))
        names = [name for vms in VMS_BY_ZONE.values() for name in vms]
        entries = [
            EndpointEntry(f"i-{zone}", POOL, f"{zone}:80", zone, SLOTS, False, 1)
            for zone in engine_zones
        ]
        for name in names:
            directory = EndpointDirectory()
            for entry in entries:
                directory.update(entry)
            self._start(name, names, directory, catalogue)

    def _start(self, name: str, names: list[str], directory: EndpointDirectory, catalogue) -> None:
        zone = zone_of(name)
        liveness = Liveness(name, zone)
        for other in names:
            if other != name:
                peer = Peer(other, zone_of(other), other, False, 1, 0.0, FOREVER_S)
                liveness.record_heartbeat(peer)
        self.coordinators[name] = GenerationCoordinator(
            vm_key=name,
            address=name,
            zone=zone,
            bus=LossyBus(self.coordinators, name, self.lost),
            liveness=liveness,
            directory=directory,
            catalogue=lambda: catalogue,
            addresses_in_zone=lambda zone: list(VMS_BY_ZONE[zone]),
            named_limits=lambda pool, zone: {},
            regions_by_zone=dict.fromkeys(VMS_BY_ZONE, "r"),
            metrics=Metrics(),
            now=asyncio.get_running_loop().time,
            is_draining=lambda: name in self.draining,
        )
        asyncio.ensure_future(self.coordinators[name].run())

    @property
    def requester(self) -> GenerationCoordinator:
        """A VM at home that brokers nothing."""
        first = self.coordinators["home-0"]
        return next(self.coordinators[n] for n in VMS_BY_ZONE[HOME] if n != broker_of(first))

    @property
    def far_broker(self) -> GenerationCoordinator:
        return self.coordinators[broker_of(self.coordinators["far-0"])]

    def exclude(self, vm: str) -> None:
        """Lets the other VMs of its zone notice that a VM is lost or draining."""
        for name in VMS_BY_ZONE[zone_of(vm)]:
            if name != vm:
                self.coordinators[name]._liveness.exclude(vm, FOREVER_S)

    def held_at(self, coordinator: GenerationCoordinator) -> set[str]:
        """Returns the work that a broker counts at its engines."""
        engines = coordinator._get_broker(POOL).placement.engines_by_key.values()
        return {work_id for engine in engines for work_id in engine.assigned_by_id}


def zone_of(name: str) -> str:
    return name.partition("-")[0]


async def start_waiting_far(zones: TwoZones) -> asyncio.Future:
    """Lets work of a VM at home spill over, and wait at the other zone's broker."""
    await asyncio.sleep(FIRST_REPORTS_S)
    first = await acquire(zones.requester, "first")
    zones.requester.broker_client.release(first, "ok", 0.0)
    zones.far_broker._get_broker(POOL).pause(FOREVER_S)
    waiting = asyncio.ensure_future(acquire(zones.requester, "a"))
    await asyncio.sleep(0.5)
    assert not waiting.done()
    assert "a" in zones.far_broker._get_broker(POOL).waiting_by_id
    return waiting


def add_engine_at_home(zones: TwoZones) -> None:
    entry = EndpointEntry("i-home", POOL, "home:80", HOME, SLOTS, False, 1)
    for name in VMS_BY_ZONE[HOME]:
        zones.coordinators[name]._directory.update(entry)


@pytest.mark.parametrize("engine_returns", [True, False])
def test_work_that_waits_at_a_lost_broker_of_another_zone_is_decided_at_home(engine_returns):
    async def body():
        zones = TwoZones([FAR])
        waiting = await start_waiting_far(zones)
        far_broker = zones.far_broker
        lost = broker_of(far_broker)
        zones.lost.add(lost)
        if engine_returns:
            add_engine_at_home(zones)
        lost_at = zones.requester._now()
        result = await asyncio.wait_for(waiting, 5.0)
        return result, zones.requester._now() - lost_at

    result, took_s = run_in_virtual_time(body())
    assert took_s < CONFIRMATION_TIMEOUT_S + 0.3
    if engine_returns:
        assert isinstance(result, EngineGrant) and result.entry.zone == HOME
    else:
        assert isinstance(result, DidNotRun) and result.reason == NO_ENGINE


def test_work_that_came_home_runs_nowhere_else_when_the_other_zone_is_back():
    async def body():
        zones = TwoZones([FAR])
        waiting = await start_waiting_far(zones)
        far_broker = zones.far_broker
        zones.lost.add(far_broker._vm_key)
        add_engine_at_home(zones)
        grant = await asyncio.wait_for(waiting, 5.0)
        zones.lost.clear()
        granted_late = far_broker._get_broker(POOL)
        granted_late.pause(0.0)
        far_broker._serve_queue(granted_late)
        held = zones.held_at(far_broker)
        await asyncio.sleep(0.1)
        return grant.entry.zone, held, zones.held_at(far_broker)

    assert run_in_virtual_time(body()) == (HOME, {"a"}, set())


def test_work_that_waits_at_a_broker_which_drains_gets_one_engine():
    async def body():
        zones = TwoZones([FAR])
        waiting = await start_waiting_far(zones)
        old = zones.far_broker
        zones.draining.add(broker_of(old))
        zones.exclude(old._vm_key)
        new = zones.far_broker
        assert new is not old
        await asyncio.sleep(1.5)
        old._get_broker(POOL).pause(0.0)
        grant = await asyncio.wait_for(waiting, 5.0)
        await asyncio.sleep(0.1)
        held = zones.held_at(old) | zones.held_at(new)
        zones.requester.broker_client.release(grant, "ok", 0.0)
        await asyncio.sleep(0.1)
        return grant, held, zones.held_at(old) | zones.held_at(new)

    grant, held, held_after = run_in_virtual_time(body())
    assert grant.entry.zone == FAR
    assert held == {"a"} and held_after == set()


@pytest.mark.parametrize("is_lost", [True, False])
def test_new_broker_counts_what_vms_of_other_zones_have_at_its_engines(is_lost):
    async def body():
        zones = TwoZones([FAR])
        await asyncio.sleep(FIRST_REPORTS_S)
        requester = zones.requester
        held = [await acquire(requester, f"a{number}") for number in range(SLOTS)]
        assert {grant.entry.zone for grant in held} == {FAR}
        old = zones.far_broker
        (zones.lost if is_lost else zones.draining).add(old._vm_key)
        zones.exclude(old._vm_key)
        new = zones.far_broker
        local = next(
            zones.coordinators[n] for n in VMS_BY_ZONE[FAR] if n not in (old._vm_key, new._vm_key)
        )
        await asyncio.sleep(BROKER_REPORTS_S)
        waiting = asyncio.ensure_future(acquire(local, "b"))
        await asyncio.sleep(0.3)
        was_granted = waiting.done() and isinstance(waiting.result(), EngineGrant)
        counted = len(zones.held_at(new))
        for grant in held:
            requester.broker_client.release(grant, "ok", 0.0)
        await asyncio.sleep(0.3)
        return was_granted, counted, len(zones.held_at(new) - {"b"})

    assert run_in_virtual_time(body()) == (False, SLOTS, 0)
