"""After an outage of the store, entries are removed; do their servers still get requests?"""

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

from review.standins.client import Client
from review.standins.deployment import BROKEN, HELD, HOST, KEY, ZONE, Deployment, Store, run_case

FOLDER = Path(__file__).resolve().parent
ZONES = (ZONE, "doo-sapporo")
VMS_PER_ZONE = 3
SERVERS = 10
REMOVED = 8
# The store turns away 2 of 6 machines.
OUTAGE_S = 9.0
# Longer than stable_ms, 4 s: the store is stable, and calm machines are in touch.
CALM_S = 8.0
DRAIN_S = 3.0
CLIENTS_PER_VM = 1
REQUEST_INTERVAL_S = 0.01
ROUTE = {
    "name": "file",
    "path_prefix": "/file/",
    "kind": "unsafe",
    "service": "madoguchi-app",
    "timeout_ms": 1_000,
    "goal_ms": 200,
    "max_attempts": 1,
}


async def send_requests(deployment: Deployment, address: str, name: str) -> None:
    """Sends one request after the other on a kept connection, until cancelled."""
    client = Client(address, HOST, KEY)
    for number in itertools.count():
        await client.call("POST", "/file/case", f"{name}-{number}", b"case")
        await asyncio.sleep(REQUEST_INTERVAL_S)


def zone_ports(deployment: Deployment) -> list[int]:
    """Returns the store's ports for the machines of the zone that has all servers."""
    return [vm.store_port for vm in deployment.vms if vm.zone == ZONE]


async def wait_for_read(store: Store, ports: list[int]) -> None:
    """Waits until a machine of the zone has read the list of servers, as it does every 0.7 s."""
    count = len(store.readers)
    while not set(store.readers[count:]) & {*ports}:
        await store.list_read.wait()


async def remove_servers(deployment: Deployment) -> dict[str, float]:
    """Removes entries one by one; returns when the store accepted it, by server."""
    removed_at = {}
    for server in deployment.servers[:REMOVED]:
        await wait_for_read(deployment.store, zone_ports(deployment))
        deployment.remove_entry(server)
        removed_at[server.id] = time.monotonic()
        deployment.record.write(f"the store has removed the entry of {server.id}")
        await asyncio.sleep(random.uniform(3.8, 4.2))
    return removed_at


async def turn_machines_away(deployment: Deployment) -> None:
    """Lets the store refuse the reader of the list and another machine of its zone for a while."""
    ports = zone_ports(deployment)
    reader = next(port for port in reversed(deployment.store.readers) if port in ports)
    other = next(port for port in ports if port != reader)
    names = [vm.name for vm in deployment.vms if vm.store_port in (reader, other)]
    deployment.record.write(f"the store answers 503 to {', '.join(names)}")
    deployment.store.refused_ports = {reader, other}
    await asyncio.sleep(OUTAGE_S)
    deployment.store.refused_ports = set()
    deployment.record.write("the store serves all machines again")


async def case(folder: Path, has_trouble: bool) -> int:
    """Plays the case."""
    async with Deployment(folder) as deployment:
        deployment.configure(3, [ROUTE], ["madoguchi-app"])
        for number in range(SERVERS):
            deployment.add_server(f"i-{number}", "madoguchi-app")
        for zone in ZONES:
            for _ in range(VMS_PER_ZONE):
                await deployment.start_vm(zone)
        await deployment.wait_ready()
        senders = [
            asyncio.create_task(send_requests(deployment, vm.address, vm.name))
            for vm in deployment.vms
        ]
        await asyncio.sleep(5.0)
        if has_trouble:
            await turn_machines_away(deployment)
        await asyncio.sleep(CALM_S)
        removed_at = await remove_servers(deployment)
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        late = find_late(deployment, removed_at)
        for line in deployment.vm_log_lines("store_lost", "store_regained", "endpoint_gone"):
            deployment.record.write(f"log: {line}")
    print(f"{late} requests reached a server later than {DRAIN_S} s after its entry was removed")
    return BROKEN if late else HELD


def find_late(deployment: Deployment, removed_at: dict[str, float]) -> int:
    """Records what servers got after their removal; returns how much came too late."""
    count = 0
    for server in deployment.servers[:REMOVED]:
        log = server.read_log()
        arrived = [(at, id) for at, what, id, _ in log if what == "arrived"]
        ran = {id for _, what, id, _ in log if what == "ran"}
        ages = [(at - removed_at[server.id], id) for at, id in arrived]
        last, last_id = max(ages, default=(0.0, "none"))
        deployment.record.write(
            f"{server.id} got {len(arrived)} requests, the last ({last_id}) "
            f"{last:.3f} s after the removal of its entry"
        )
        for vm in deployment.vms:
            last = max((age_s for age_s, id in ages if id.startswith(f"{vm.name}-")), default=0.0)
            deployment.record.write(f"  {vm.name} sent it the last one at {last:.3f} s")
        for age_s, id in ages:
            if age_s > DRAIN_S:
                count += 1
                state = "ran" if id in ran else "did not run"
                deployment.record.write(f"LATE: {server.id} got {id} {age_s:.3f} s after, {state}")
    return count


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
