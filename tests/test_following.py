"""Configuration, entries and freshness: what a VM believes when the store fails it."""

import asyncio

import msgspec
import pytest

from bluebellpitch.platform.configuration import decode_configuration
from fakes.link import FakeLink
from fakes.prepared import Deployment, PlatformClient, configuration, wait_until
from tests.prepared_helpers import in_deployment, start


@in_deployment
async def test_key_that_was_taken_away_is_refused_while_the_store_is_cut_off(deployment):
    """The VM cannot know of the change; it must stop to honour keys before the bound."""
    (app,), client = await start(deployment, "app")
    assert (await client.call("GET", "/look/7", "r1")).status == 200
    deployment.store.status = 503
    deployment.configure(2, keys=())
    await asyncio.sleep(2.5)
    response = await client.call("GET", "/look/7", "r2")
    assert response.status == 503
    assert app.ran == ["r1"]
    deployment.store.status = 200
    await wait_until(lambda: deployment.vms[0].configuration.version() == 2)
    assert (await client.call("GET", "/look/7", "r3")).status == 401


@in_deployment
async def test_vm_turned_away_by_the_store_borrows_freshness_from_a_peer(deployment):
    endpoint = await deployment.add_endpoint("i-0", "app")
    await deployment.add_vm()
    gate = await FakeLink.open(deployment.store_address)
    vm = await deployment.add_vm(store=gate.address)
    await wait_until(lambda: len(vm.liveness.live_peers(vm._now())) == 1)
    gate.cut = True
    client = PlatformClient(vm.settings)
    for number in range(6):
        await asyncio.sleep(0.5)
        assert (await client.call("GET", "/look/7", f"r{number}")).status == 200
    deployment.configure(2, keys=("another",))
    await wait_until(lambda: vm.configuration.version() == 2, timeout_s=1.5)
    statuses = []
    while 401 not in statuses:
        assert len(statuses) < 20
        statuses.append((await client.call("GET", "/look/7", "r9")).status)
        await asyncio.sleep(0.1)
    assert set(statuses) <= {401, 503}
    assert "r9" not in endpoint.ran


@in_deployment
async def test_history_that_the_store_forgot_is_read_anew(deployment):
    _, client = await start(deployment, "app")
    vm = deployment.vms[0]
    deployment.configure(2)
    deployment.store.forget("keyed.op")
    deployment.configure(3)
    deployment.store.forget("keyed.op")
    await wait_until(lambda: vm.configuration.version() == 3)


@in_deployment
async def test_older_version_is_never_taken_back(deployment):
    await start(deployment, "app")
    vm = deployment.vms[0]
    deployment.configure(5)
    await wait_until(lambda: vm.configuration.version() == 5)
    deployment.configure(4)
    deployment.store.put("keyed.op", "config", b"{not json")
    deployment.configure(6)
    await wait_until(lambda: vm.configuration.version() == 6)


@in_deployment
async def test_foreign_entries_name_no_endpoint(deployment):
    (app,), client = await start(deployment, "app")
    vm = deployment.vms[0]
    deployment.announce(app, "app", state="odd")
    deployment.store.put("keyed.servers", "i-9", b"\xff\xfe")
    deployment.store.put("keyed.servers", "i-8", b'{"service": 7}')
    second = await deployment.add_endpoint("i-7", "app")
    await wait_until(lambda: second.name in vm.directory.entries_by_id)
    assert set(vm.directory.entries_by_id) == {"i-0", "i-7"}


def test_configuration_stand_in_is_what_the_adapter_reads():
    catalogue = decode_configuration(msgspec.json.encode(configuration(3)))
    assert catalogue.version == 3
    assert catalogue.gap_targets_by_pool == {"engines": 0.3}


@pytest.mark.parametrize("zone", ["z", "y"])
def test_vm_turned_away_by_the_store_learns_of_a_leaving_endpoint(zone):
    """Neither the VM that reads for its zone, nor a zone that is turned away whole, is left out."""

    async def body():
        async with Deployment() as deployment:
            endpoint = await deployment.add_endpoint("i-0", "app")
            await deployment.add_vm()
            gates = [await FakeLink.open(deployment.store_address) for _ in range(2)]
            vms = [await deployment.add_vm(zone=zone, store=gate.address) for gate in gates]
            await wait_until(lambda: all(len(vm.neighbours.records_by_vm) >= 2 for vm in vms))
            for gate in gates:
                gate.cut = True
            await asyncio.sleep(0.3)
            deployment.announce(endpoint, "app", state="draining")
            await wait_until(
                lambda: not any(list(vm.directory.usable_endpoints("app")) for vm in vms),
                timeout_s=2.6,
            )

    asyncio.run(body())
