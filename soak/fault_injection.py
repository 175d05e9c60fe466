"""Brings the planned faults about, and takes them back."""

import asyncio
import time

from fakes.prepared_store import FakeStore
from soak.cluster import EntryProcess, Scene, SoakEndpoint
from soak.fault_schedule import Fault, Kind

NOTICE_S = 9.0
STORE_SLOW_S = 0.8


async def bring(scene: Scene, fault: Fault) -> None:
    """Brings one fault about and lets it last its time."""
    if "store" in fault.kind or fault.kind in (Kind.VM_PAUSE, Kind.VM_KILL, Kind.VM_STOP):
        scene.note_trouble()
        await bring_to_target(scene, fault)
        scene.note_trouble()
    else:
        await bring_to_target(scene, fault)


async def bring_to_target(scene: Scene, fault: Fault) -> None:
    """Brings a fault about at the VM, the store, the endpoint or the configuration."""
    vm = scene.vms[fault.target % len(scene.vms)]
    endpoint = scene.endpoints[fault.target % len(scene.endpoints)]
    match fault.kind.partition("_")[0]:
        case "vm":
            await bring_to_vm(scene, vm, fault)
        case "store":
            await bring_to_store(scene.store, fault)
        case "endpoint":
            await bring_to_endpoint(scene, endpoint, fault)
        case "configuration":
            scene.configure()
        case "key":
            scene.take_key()


async def bring_to_vm(scene: Scene, vm: EntryProcess, fault: Fault) -> None:
    """Brings about a fault of a VM, or of its links."""
    match fault.kind:
        case Kind.VM_KILL:
            await scene.kill(vm, fault.for_s / 4)
        case Kind.VM_PAUSE:
            await scene.pause(vm, fault.for_s)
        case Kind.VM_STOP:
            await scene.stop(vm)
        case Kind.VM_CALLERS_RESET:
            vm.harmed += 1
            await hold(vm.callers, 0.05, cut=True)
        case Kind.VM_STORE_CUT:
            await hold(vm.store, fault.for_s, cut=True)
        case Kind.VM_STORE_SILENT:
            vm.store.silence = True
        case Kind.VM_STORE_ONE_WAY:
            await hold(vm.store, fault.for_s, held=pick(fault, "there", "back"))


async def bring_to_store(store: FakeStore, fault: Fault) -> None:
    """Brings about a fault of the store, for all VMs."""
    match fault.kind:
        case Kind.STORE_DOWN:
            await hold(store, fault.for_s, outage=True)
        case Kind.STORE_BUSY:
            await hold(store, fault.for_s, status=pick(fault, 503, 429))
        case Kind.STORE_SLOW:
            await hold(store, fault.for_s, slow_s=STORE_SLOW_S)
        case Kind.STORE_LOSES:
            store.late_s = fault.for_s
            store.lose_answers += 2
        case Kind.STORE_FORGETS:
            store.forget(pick(fault, "keyed.op", "keyed.servers"))


async def bring_to_endpoint(scene: Scene, endpoint: SoakEndpoint, fault: Fault) -> None:
    """Brings about a fault of an endpoint, or of its link; until its end, it may cut streams."""
    scene.harmed += 1
    scene.troubled += 1
    try:
        await harm_endpoint(scene, endpoint, fault)
    finally:
        scene.troubled -= 1


async def harm_endpoint(scene: Scene, endpoint: SoakEndpoint, fault: Fault) -> None:
    """Brings about a fault of an endpoint."""
    match fault.kind:
        case Kind.ENDPOINT_CRASH:
            await scene.replace(endpoint, gone_s=fault.for_s)
        case Kind.ENDPOINT_LEAVE:
            await scene.replace(endpoint, gone_s=fault.for_s, notice_s=NOTICE_S)
        case Kind.ENDPOINT_SILENT:
            endpoint.link.silence = True
        case Kind.ENDPOINT_ONE_WAY:
            await hold(endpoint.link, fault.for_s, held=pick(fault, "there", "back"))
        case Kind.ENDPOINT_SPOILS:
            await hold(endpoint, fault.for_s, mode=fault.how)


def pick(fault: Fault, *choices):
    """Returns one of some choices, by the fault's target."""
    return choices[fault.target % len(choices)]


async def hold(target: object, for_s: float, **values) -> None:
    """Sets attributes for a while; the later of two overlapping faults wins, and both end."""
    rest = {name: type(getattr(target, name))() for name in values}
    rest |= {"status": 200} if "status" in values else {}
    for name, value in values.items():
        setattr(target, name, value)
    try:
        await asyncio.sleep(for_s)
    finally:
        for name, value in rest.items():
            setattr(target, name, value)


async def bring_all(scene: Scene, faults: tuple[Fault, ...]) -> None:
    """Brings faults about at their times; returns when all have ended."""
    begun_at = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            await asyncio.sleep(max(0.0, begun_at + fault.at - time.monotonic()))
            group.create_task(bring(scene, fault))
