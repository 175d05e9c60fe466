"""A configuration of many routes reaches all VMs in time over thin links, in virtual time."""

import asyncio
import random
import zlib

import msgspec
import pytest

from fakes.prepared_deployment import build_configuration, build_route
from tests.virtual_links import LinkedZone
from tests.virtual_time import run_in_virtual_time

VMS_PER_ZONE = 14
APPLY_BOUND_S = 4.0
# A VM that holds a role counts as silent when its heartbeats stay away longer than this.
SILENCE_LIMIT_S = 0.6
# The reader's update, one that a VM asked for, and as much for all smaller messages.
MAX_COPIES_PER_VM = 3.0


def encode_large_configuration(version: int, routes: int = 1400) -> bytes:
    draw = random.Random(version)
    names = [f"r-{draw.getrandbits(36):09x}" for _ in range(routes)]
    configuration = build_configuration(
        version, routes=[build_route(name, "safe", "app") for name in names]
    )
    return msgspec.json.encode(configuration)


async def measure_changes(versions: tuple[int, ...], refused: int = 0):
    """Returns how long each version took to reach all VMs, and the longest wait on a link."""
    zone, loop, delays_s = LinkedZone(), asyncio.get_running_loop(), []
    zone.configure(encode_large_configuration(1, routes=10))
    vms = await zone.start(VMS_PER_ZONE)
    for vm in vms[:refused]:
        vm.client.is_refused = True
    for version in versions:
        zone.configure(encode_large_configuration(version))
        written_at = loop.time()
        while any(vm.configuration.version() < version for vm in vms):
            assert loop.time() - written_at < 60.0
            await asyncio.sleep(0.02)
        delays_s.append(loop.time() - written_at)
    return delays_s, zone.longest_wait_s()


@pytest.mark.parametrize("refused", [0, 5])
def test_large_configurations_are_in_force_in_time_on_thin_links(refused):
    """Also at VMs that the store refuses, which have to ask peers."""
    random.seed(25)
    delays_s, _ = run_in_virtual_time(measure_changes((2, 3, 4), refused))
    assert max(delays_s) < APPLY_BOUND_S


def test_large_configuration_holds_up_no_heartbeat_for_long():
    random.seed(25)
    _, longest_wait_s = run_in_virtual_time(measure_changes((2, 3, 4)))
    assert longest_wait_s < SILENCE_LIMIT_S


@pytest.mark.parametrize("cause", ["deaf", "refused"])
def test_large_configuration_is_not_sent_to_a_vm_again_and_again(cause):
    """Also if some VMs missed the version before, or cannot read the store."""

    async def body():
        zone = LinkedZone()
        zone.configure(encode_large_configuration(1, routes=10))
        vms = await zone.start(VMS_PER_ZONE)
        odd = [vm for vm in vms if vm.configuration.follower.is_updated_by_peers()][:5]
        for vm in odd:
            vm.is_deaf, vm.client.is_refused = True, True
        zone.configure(encode_large_configuration(2))
        await asyncio.sleep(0.5)
        for vm in odd:
            vm.is_deaf, vm.client.is_refused = False, cause == "refused"
        zone.received_bytes = 0
        data = encode_large_configuration(3)
        zone.configure(data)
        await asyncio.sleep(APPLY_BOUND_S)
        assert {vm.configuration.version() for vm in vms} == {3}
        return zone.received_bytes / (len(zlib.compress(data, 1)) * VMS_PER_ZONE)

    random.seed(25)
    assert run_in_virtual_time(body()) < MAX_COPIES_PER_VM
