"""Injects the scheduled faults and ends them."""

import asyncio
import time

from soak.cluster import SoakCluster, SoakEndpoint, VmProcess
from soak.duties import RESTORE_MOMENTS, SoakStore
from soak.fault_schedule import Fault, FaultKind

LEAVE_NOTICE_S = 9.0
STORE_SLOW_S = 0.8
# Others may hold the duty so long after its holder was suspended.
TAKEOVER_S = 7.0
# One within the time that callers wait, one beyond it.
API_SLOW_S = (0.7, 1.5)


async def inject(cluster: SoakCluster, fault: Fault) -> None:
    """Injects one fault for its duration.

    VMs may miss the notice of a leaving endpoint while the store cannot be reached or a VM does not
    run, so the bound on leaving endpoints restarts at the beginning and the end of such a fault.
    """
    if "store" in fault.kind or fault.kind.endswith(("_pause", "_kill", "_stop")):
        cluster.restart_leaving_bounds()
        await inject_at_target(cluster, fault)
        cluster.restart_leaving_bounds()
    else:
        await inject_at_target(cluster, fault)


async def inject_at_target(cluster: SoakCluster, fault: Fault) -> None:
    """Injects a fault at a VM, the store, the API, an endpoint or the configuration."""
    vm = cluster.vms[fault.target % len(cluster.vms)]
    endpoint = cluster.endpoints[fault.target % len(cluster.endpoints)]
    match fault.kind.partition("_")[0]:
        case "vm":
            await inject_vm_fault(cluster, vm, fault)
        case "duty":
            if (holder := cluster.duty_vm()) is not None:
                await inject_vm_fault(cluster, holder, fault)
        case "api":
            await inject_api_fault(cluster, fault)
        case "store":
            await inject_store_fault(cluster.store, fault)
        case "endpoint":
            await inject_endpoint_fault(cluster, endpoint, fault)
        case "configuration":
            cluster.publish_configuration()
        case "key":
            cluster.rotate_key()


async def inject_vm_fault(cluster: SoakCluster, vm: VmProcess, fault: Fault) -> None:
    """Injects a fault of a VM or of its links."""
    match fault.kind:
        case FaultKind.VM_KILL | FaultKind.DUTY_KILL:
            await cluster.kill_vm(vm, fault.duration_s / 4)
        case FaultKind.VM_PAUSE:
            await cluster.pause_vm(vm, fault.duration_s)
        case FaultKind.DUTY_PAUSE:
            await cluster.pause_vm(vm, TAKEOVER_S + fault.duration_s / 2)
        case FaultKind.VM_STOP | FaultKind.DUTY_STOP:
            await cluster.stop_vm(vm)
        case FaultKind.VM_CALLERS_RESET:
            vm.faults += 1
            await set_temporarily(vm.caller_link, 0.05, cut=True)
        case FaultKind.VM_STORE_CUT:
            await set_temporarily(vm.store_link, fault.duration_s, cut=True)
        case FaultKind.VM_STORE_SILENT:
            vm.store_link.silence = True
        case FaultKind.VM_STORE_ONE_WAY:
            await set_temporarily(
                vm.store_link, fault.duration_s, held=choose_by_target(fault, "there", "back")
            )


async def inject_store_fault(store: SoakStore, fault: Fault) -> None:
    """Injects a fault of the store, which affects all VMs."""
    match fault.kind:
        case FaultKind.STORE_DOWN:
            await set_temporarily(store, fault.duration_s, outage=True)
        case FaultKind.STORE_BUSY:
            await set_temporarily(store, fault.duration_s, status=choose_by_target(fault, 503, 429))
        case FaultKind.STORE_SLOW:
            await set_temporarily(store, fault.duration_s, slow_s=STORE_SLOW_S)
        case FaultKind.STORE_LOSES:
            store.late_s = fault.duration_s
            store.lose_answers += 2
        case FaultKind.STORE_FORGETS:
            store.truncate(choose_by_target(fault, "keyed.op", "keyed.servers"))
        case FaultKind.STORE_RESTORED:
            store.keep_copy()
            moment = choose_by_target(fault, *RESTORE_MOMENTS)
            await set_temporarily(store, fault.duration_s, restore_moment=moment)


async def inject_api_fault(cluster: SoakCluster, fault: Fault) -> None:
    """Injects a fault of the platform's API."""
    api, duration_s = cluster.api, fault.duration_s
    match fault.kind:
        case FaultKind.API_DOWN if choose_by_target(fault, True, False):
            await set_temporarily(cluster.api_link, duration_s, cut=True)
        case FaultKind.API_DOWN:
            await set_temporarily(api, duration_s, silent=True)
        case FaultKind.API_SLOW:
            await set_temporarily(api, duration_s, slow_s=choose_by_target(fault, *API_SLOW_S))
        case FaultKind.API_BUSY:
            await set_temporarily(api, duration_s, status=429)


async def inject_endpoint_fault(cluster: SoakCluster, endpoint: SoakEndpoint, fault: Fault) -> None:
    """Injects a fault of an endpoint or its link; it counts as active, since it may cut streams."""
    cluster.endpoint_faults += 1
    cluster.active_endpoint_faults += 1
    try:
        await apply_endpoint_fault(cluster, endpoint, fault)
    finally:
        cluster.active_endpoint_faults -= 1


async def apply_endpoint_fault(cluster: SoakCluster, endpoint: SoakEndpoint, fault: Fault) -> None:
    """Injects a fault of an endpoint or its link."""
    match fault.kind:
        case FaultKind.ENDPOINT_CRASH:
            await cluster.replace_endpoint(endpoint, downtime_s=fault.duration_s)
        case FaultKind.ENDPOINT_LEAVE:
            await cluster.replace_endpoint(
                endpoint, downtime_s=fault.duration_s, notice_s=LEAVE_NOTICE_S
            )
        case FaultKind.ENDPOINT_SILENT:
            endpoint.link.silence = True
        case FaultKind.ENDPOINT_ONE_WAY:
            await set_temporarily(
                endpoint.link, fault.duration_s, held=choose_by_target(fault, "there", "back")
            )
        case FaultKind.ENDPOINT_SPOILS:
            await set_temporarily(endpoint, fault.duration_s, mode=fault.mode)


def choose_by_target(fault: Fault, *choices):
    """Returns one of the choices, selected by the target of the fault."""
    return choices[fault.target % len(choices)]


async def set_temporarily(target: object, duration_s: float, **values) -> None:
    """Sets attributes for a while, then resets them to their defaults.

    Of two overlapping faults the later one wins, and the end of either resets the attributes, so
    that none outlasts its faults.
    """
    defaults = {name: type(getattr(target, name))() for name in values}
    defaults |= {"status": 200} if "status" in values else {}
    for name, value in values.items():
        setattr(target, name, value)
    try:
        await asyncio.sleep(duration_s)
    finally:
        for name, value in defaults.items():
            setattr(target, name, value)


async def inject_all(cluster: SoakCluster, faults: tuple[Fault, ...]) -> None:
    """Injects each fault at its time; returns when all have ended."""
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            group.create_task(inject(cluster, fault))
