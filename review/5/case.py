"""A machine is killed; may its clients resume their streams at the other machines?"""

import asyncio
import signal
import sys
import time
from pathlib import Path

from review.standins.client import Client, Stream
from review.standins.deployment import BROKEN, ENGINES, HELD, HOST, KEY, Deployment, Vm, run_case

FOLDER = Path(__file__).resolve().parent
# One of seven machines is killed, within share 0.16 of the site file.
VMS = 7
SERVERS = 6
STREAMS_PER_VM = 12
EVENTS = 20
EVENT_INTERVAL_MS = 150
DEADLINE_MS = 15_000
DENIED_ALLOWED, DENIED_SHARE = 5, 1 / 500
ROUTE = {
    "name": "draft-fill",
    "path_prefix": "/draft/",
    "kind": "streaming",
    "service": ENGINES,
    "timeout_ms": DEADLINE_MS,
    "goal_ms": 600,
    "gap_target_ms": 400,
    "max_attempts": 2,
    "sticky": True,
    "resumable": True,
}


async def read_stream(deployment: Deployment, vms: list[Vm], name: str) -> list[Stream]:
    """Reads a stream from the first VM; resumes it once, at the second, if its connection ends.

    Returns what came of each request.
    """
    began_at, record = time.monotonic(), deployment.record
    record.write(f"{name} is sent to {vms[0].name}")
    first = await Client(vms[0].address, HOST, KEY).stream("/draft/x", name, None, DEADLINE_MS)
    record.write(f"{name} gets {first.status}, {len(first.event_ids)} events")
    if first.is_complete or not first.event_ids:
        return [first]
    last_id, again = first.event_ids[-1], f"{name}-again"
    left_ms = DEADLINE_MS - int((time.monotonic() - began_at) * 1000)
    record.write(f"{again} is sent to {vms[1].name} with Last-Event-Id {last_id}")
    second = await Client(vms[1].address, HOST, KEY).stream("/draft/x", again, last_id, left_ms)
    record.write(f"{again} gets {second.status}, {len(second.event_ids)} events")
    return [first, second]


async def case(folder: Path, has_trouble: bool) -> int:
    """Plays the case."""
    # Ids that grow by one from the Unix time in milliseconds.
    first_id = int(time.time() * 1000)
    options = ("--events", str(EVENTS), "--first-event-id", str(first_id))
    async with Deployment(folder) as deployment:
        deployment.configure(3, [ROUTE], [ENGINES])
        for number in range(SERVERS):
            deployment.add_server(
                f"i-{number}", ENGINES, *options, "--work-ms", str(EVENT_INTERVAL_MS)
            )
        vms = [await deployment.start_vm() for _ in range(VMS)]
        await deployment.wait_ready()
        await asyncio.sleep(5.0)
        reads = [
            asyncio.create_task(
                read_stream(deployment, [vm, vms[(at + 1) % VMS]], f"{at}.{number}")
            )
            for number in range(STREAMS_PER_VM)
            for at, vm in enumerate(vms)
        ]
        await asyncio.sleep(EVENTS * EVENT_INTERVAL_MS / 2000)
        if has_trouble:
            deployment.record.write(f"{vms[0].name} is killed")
            vms[0].popen.send_signal(signal.SIGKILL)
        requests = [stream for read in reads for stream in await read]
        for server in deployment.servers:
            for at, what, request_id, _ in server.read_log():
                deployment.record.write(f"{server.id}: {request_id} {what}", at)
    denied = sum(400 <= stream.status < 500 for stream in requests)
    complete = sum(stream.is_complete for stream in requests)
    print(f"{len(requests)} requests, {complete} complete, {denied} ended with a 4xx of a machine")
    return BROKEN if denied > DENIED_ALLOWED + DENIED_SHARE * len(requests) else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
