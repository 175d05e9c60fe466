"""How VMs keep their view of the endpoints current, in virtual time."""

import asyncio
import random

from tests.virtual_time import VirtualStore, run_in_virtual_time, start_vms

DRAIN_BOUND_S = 3.0
QUIET_S = 20.0


def create_store() -> VirtualStore:
    random.seed(19)
    store = VirtualStore()
    for name in ("i-0", "i-1", "i-2"):
        store.put(name, "ready")
    return store


def test_peers_without_store_records_do_not_keep_each_other_current():
    """A zone whose VMs missed dropped records still learns that an endpoint is draining."""

    async def body():
        store = create_store()
        vms = await start_vms(store, zones=3, vms_per_zone=5)
        store.put("i-2", "draining")
        store.drop_history()
        await asyncio.sleep(QUIET_S)
        store.put("i-1", "draining")
        await asyncio.sleep(DRAIN_BOUND_S)
        return [(vm.name, vm.usable_ids()) for vm in vms]

    views = run_in_virtual_time(body())
    assert [name for name, usable in views if usable != {"i-0"}] == []
