"""Duties of entry VMs on the fake store and real sockets."""

from bluebellpitch.decisions.duties.lease import MAX_TOKEN
from bluebellpitch.platform.lease_records import UNKNOWN_LEASE, split_lease
from bluebellpitch.platform.records import KeyedRecord
from bluebellpitch.platform.usage_records import decode_windows
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


def test_numbers_that_no_vm_writes_do_not_block_a_duty():
    lease = KeyedRecord("lease", b'{"holder":"vm/1","token":%d}' % MAX_TOKEN)
    assert split_lease([lease]) == (UNKNOWN_LEASE, {})
    window = b'{"window":%d,"counts":{},"era":0,"done_until":0}'
    values = {"window-1": window % 10**20, "window-2": window % -5, "window-3": window % 3}
    assert [settled.window for settled in decode_windows(values)] == [3]
