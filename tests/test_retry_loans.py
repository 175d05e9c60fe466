"""VMs that share the retry budget."""

from testtools.assertions import assert_that
from testtools.matchers import LessThan

from bluebellpitch.entry_vm import EntryVm
from bluebellpitch.platform.settings_file import parse_settings
from bluebellpitch.roles.peer_discovery import UNREAD_LIST_VM_COUNT
from fakes.ports import free_port
from fakes.prepared_deployment import settings_text

POOL = "app"


def test_vm_that_has_not_read_the_list_takes_the_part_of_one_of_many():
    settings = parse_settings(settings_text("vm", "z", "127.0.0.1:1", "", "", free_port()))
    vm = EntryVm(settings, lambda: settings, lambda: 0.0)
    left = vm.context.retry_budget.remaining(POOL, vm.context.vm_count(), 0.0)
    vm.close()
    assert_that(left, LessThan(settings.retry_budget_burst / UNREAD_LIST_VM_COUNT))
