"""Duties of entry VMs on the fake store and real sockets."""

from fakes.prepared_deployment import wait_until
from tests.prepared_helpers import in_deployment

DUTY = "metering"
SETTINGS = f"cloud_api.address=127.0.0.1:9\ncloud_api.duties={DUTY},unknown\n"
TOPIC = f"keyed.bluebellpitch-duty-{DUTY}"
# New VMs let a lease run out that they may not know of.
ACQUIRE_TIMEOUT_S = 12.0


@in_deployment
async def test_planned_stop_hands_a_duty_to_a_vm_that_heard_the_holder(deployment):
    vms = [await deployment.add_vm(zone, more_settings=SETTINGS) for zone in ("z", "y")]
    holders = [vm.duties.holders_by_duty[DUTY] for vm in vms]
    assert list(vms[0].duties.holders_by_duty) == [DUTY]
    await wait_until(lambda: any(holder.lease() for holder in holders), ACQUIRE_TIMEOUT_S)
    holders.sort(key=lambda holder: holder.lease() is None)
    first, second = holders
    token, address = first.lease().token, first.holder_address()
    await wait_until(lambda: second.holder_address() == address)
    stopping = next(vm for vm in vms if vm.duties.holders_by_duty[DUTY] is first)
    stopping.draining.set()
    await wait_until(lambda: second.lease() is not None)
    assert first.lease() is None
    assert second.lease().token > token


@in_deployment
async def test_without_duties_in_the_settings_nothing_is_read_or_written(deployment):
    vm = await deployment.add_vm()
    assert vm.duties.holders_by_duty == {}
    assert vm.duties.background_tasks() == ()
    assert deployment.store.newest_keys(TOPIC) == set()
