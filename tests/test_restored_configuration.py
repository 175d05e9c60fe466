"""The configuration after the store came back from a copy without its newest version."""

import asyncio
import random

import msgspec
import pytest

from bluebellpitch.decisions.store_era import REWRITE_S
from bluebellpitch.roles.peer_sync import START_CHECK_TIMEOUT_S
from fakes.prepared_deployment import build_configuration
from tests.virtual_links import LinkedVm, LinkedZone
from tests.virtual_time import run_in_virtual_time

REVOKED_KEY = "key-that-is-taken-away"


def encode_version(version: int, keys: tuple[str, ...] = (REVOKED_KEY,)) -> bytes:
    return msgspec.json.encode(build_configuration(version, keys=keys))


def accepts_key(vm: LinkedVm) -> bool:
    """Returns whether the VM would accept a request with the revoked key now."""
    catalogue, now = vm.configuration.catalogue, asyncio.get_running_loop().time()
    is_known = catalogue is not None and REVOKED_KEY in catalogue.members_by_key
    return is_known and vm.freshness.may_accept_keys(now)


async def start_zone(vm_count: int):
    random.seed(25)
    zone = LinkedZone()
    zone.configure(encode_version(1))
    return zone, await zone.start(vm_count)


@pytest.mark.parametrize("vm_count", [1, 3])
def test_read_of_the_copy_does_not_confirm_the_version_before_a_lost_one(vm_count):
    """No VM read the version that takes the key away before it was lost."""

    async def body():
        loop = asyncio.get_running_loop()
        zone, vms = await start_zone(vm_count)
        zone.store.copy()
        zone.store.is_down = True
        zone.configure(encode_version(2, keys=()))
        revoked_at = loop.time()
        await asyncio.sleep(0.5)
        zone.store.restore()
        zone.store.is_down = False
        confirmed_at = []
        while loop.time() < revoked_at + 0.5 + REWRITE_S - 0.1:
            await asyncio.sleep(0.05)
            confirmed_at += [vm.freshness.confirmed_at for vm in vms]
        zone.configure(encode_version(2, keys=()))
        await asyncio.sleep(1.0)
        assert {vm.configuration.version() for vm in vms} == {2}
        await asyncio.sleep(REWRITE_S)
        ages_s = [vm.freshness.age_s(loop.time()) for vm in vms]
        return max(confirmed_at) <= revoked_at, max(ages_s) < 2.0

    assert run_in_virtual_time(body()) == (True, True)


def test_vm_that_starts_before_the_operator_writes_again_accepts_no_revoked_key():
    async def body():
        zone, vms = await start_zone(3)
        zone.store.copy()
        zone.configure(encode_version(2, keys=()))
        await asyncio.sleep(1.0)
        zone.store.restore()
        zone.peer_delay_s = 0.2
        started = LinkedVm("vm-new", zone)
        zone.run_vm(started)
        accepted = []
        for _ in range(60):
            await asyncio.sleep(0.05)
            accepted.append(accepts_key(started))
        return any(accepted), started.configuration.version(), started.configuration.is_checked

    assert run_in_virtual_time(body()) == (False, 2, True)


def test_vm_that_starts_learns_from_peers_that_the_store_has_just_come_back():
    """The peers have not read the lost version either, and hold back what the store returns."""

    async def body():
        loop = asyncio.get_running_loop()
        zone, _ = await start_zone(3)
        zone.store.copy()
        zone.store.is_down = True
        zone.configure(encode_version(2, keys=()))
        revoked_at = loop.time()
        await asyncio.sleep(0.3)
        zone.store.restore()
        zone.store.is_down = False
        await asyncio.sleep(1.2)
        started = LinkedVm("vm-new", zone)
        zone.run_vm(started)
        confirmed_at = []
        while loop.time() < revoked_at + REWRITE_S:
            await asyncio.sleep(0.05)
            confirmed_at.append(started.freshness.confirmed_at)
        return max(confirmed_at) <= revoked_at

    assert run_in_virtual_time(body())


def test_vm_that_starts_without_peers_that_answer_goes_on():
    async def body():
        zone = LinkedZone()
        zone.configure(encode_version(1))
        LinkedVm("vm-gone", zone)
        vm = LinkedVm("vm-new", zone)
        zone.run_vm(vm)
        await asyncio.sleep(START_CHECK_TIMEOUT_S + 1.0)
        return accepts_key(vm)

    assert run_in_virtual_time(body())
