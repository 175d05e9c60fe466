"""Configuration, endpoint entries and freshness while the store is unavailable to a VM."""

import asyncio

import msgspec
import pytest

from bluebellpitch.platform.configuration import decode_configuration
from fakes.link import FakeLink
from fakes.prepared_deployment import Deployment, build_configuration, wait_until
from tests.prepared_helpers import in_deployment, start_deployment


@in_deployment
async def test_removed_key_is_refused_during_store_outage(deployment):
    """The VM cannot see the removal, so it must stop accepting keys before the revocation bound."""
    (app,), client = await start_deployment(deployment, "app")
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
async def test_vm_without_store_access_gets_freshness_from_peer(deployment):
    endpoint = await deployment.add_endpoint("i-0", "app")
    await deployment.add_vm()
    link = await FakeLink.open(deployment.store_address)
    vm = await deployment.add_vm(store=link.address)
    await wait_until(lambda: len(vm.liveness.live_peers(vm._now())) == 1)
    link.cut = True
    client = deployment.add_client(vm)
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
async def test_topic_truncated_by_store_is_read_again(deployment):
    _, client = await start_deployment(deployment, "app")
    vm = deployment.vms[0]
    deployment.configure(2)
    deployment.store.truncate("keyed.op")
    deployment.configure(3)
    deployment.store.truncate("keyed.op")
    await wait_until(lambda: vm.configuration.version() == 3)


@in_deployment
async def test_older_configuration_version_is_ignored(deployment):
    await start_deployment(deployment, "app")
    vm = deployment.vms[0]
    deployment.configure(5)
    await wait_until(lambda: vm.configuration.version() == 5)
    deployment.configure(4)
    deployment.store.put("keyed.op", "config", b"{not json")
    deployment.configure(6)
    await wait_until(lambda: vm.configuration.version() == 6)


@in_deployment
async def test_malformed_entries_are_ignored(deployment):
    (app,), client = await start_deployment(deployment, "app")
    vm = deployment.vms[0]
    deployment.publish_entry(app, "app", state="odd")
    deployment.store.put("keyed.servers", "i-9", b"\xff\xfe")
    deployment.store.put("keyed.servers", "i-8", b'{"service": 7}')
    second = await deployment.add_endpoint("i-7", "app")
    await wait_until(lambda: second.name in vm.directory.entries_by_id)
    assert set(vm.directory.entries_by_id) == {"i-0", "i-7"}


def test_fake_configuration_is_decoded():
    catalogue = decode_configuration(msgspec.json.encode(build_configuration(3)))
    assert catalogue.version == 3
    assert catalogue.gap_targets_by_pool == {"engines": 0.3}


@pytest.mark.parametrize("zone", ["z", "y"])
def test_vm_without_store_access_learns_of_draining_endpoint(zone):
    """Covers the VM that reads for its zone losing the store, and a whole zone losing it."""

    async def body():
        async with Deployment() as deployment:
            endpoint = await deployment.add_endpoint("i-0", "app")
            await deployment.add_vm()
            links = [await FakeLink.open(deployment.store_address) for _ in range(2)]
            vms = [await deployment.add_vm(zone=zone, store=link.address) for link in links]
            await wait_until(lambda: all(len(vm.peer_discovery.records_by_vm) >= 2 for vm in vms))
            for link in links:
                link.cut = True
            await asyncio.sleep(0.3)
            deployment.publish_entry(endpoint, "app", state="draining")
            await wait_until(
                lambda: not any(list(vm.directory.usable_endpoints("app")) for vm in vms),
                timeout_s=2.6,
            )

    asyncio.run(body())
