"""Demo of ``route``: three entry VMs on fake servers of the prepared platform."""

import asyncio
import sys

from loguru import logger

from fakes.demo import Report
from fakes.prepared_deployment import Deployment, KeepAliveClient, wait_until

ENDPOINTS = (("engine-a", "engines"), ("engine-b", "engines"), ("app-a", "app"), ("app-b", "app"))


async def main() -> int:
    """Runs the demo; returns its exit status."""
    logger.remove()
    report = Report()
    async with Deployment() as deployment:
        endpoints = {name: await deployment.add_endpoint(name, pool) for name, pool in ENDPOINTS}
        vms = [await deployment.add_vm() for _ in range(3)]
        await wait_until(lambda: all(len(vm.directory.entries_by_id) == 4 for vm in vms))
        client = deployment.add_client(vms[0])
        await check_requests(report, client, endpoints)
        await check_configuration(report, deployment, client)
        await check_stop(report, vms[0], client)
    print("demo: all checks passed" if report.passed else "demo: some checks FAILED")
    return 0 if report.passed else 1


async def check_requests(report: Report, client: KeepAliveClient, endpoints) -> None:
    """Sends one request of each kind, and streams that one engine cuts off."""
    look_up = await client.call("GET", "/look/7", "look-1")
    report.add("idempotent look-up", look_up.status == 200, f"status={look_up.status}")
    submission = await client.call("POST", "/file/7", "file-1", b"case")
    ran = sum(endpoint.ran.count("file-1") for endpoint in endpoints.values())
    report.add("non-idempotent submission", ran == 1, f"runs={ran}")
    endpoints["engine-a"].mode = "cut"
    streams = [await client.stream("/draft/7", f"draft-{number}") for number in range(3)]
    complete = all(stream.body.endswith(b"piece 4\n\n") for stream in streams)
    report.add("streams resumed at another engine", complete, f"status={submission.status}")


async def check_configuration(report: Report, deployment: Deployment, client) -> None:
    """Revokes the client's API key, which must then be rejected, and restores it."""
    deployment.configure(2, keys=("another",))
    await wait_until(lambda: all(vm.configuration.version() == 2 for vm in deployment.vms))
    response = await client.call("GET", "/look/7", "look-2")
    report.add("API key revoked", response.status == 401, f"status={response.status}")
    deployment.configure(3)
    await wait_until(lambda: all(vm.configuration.version() == 3 for vm in deployment.vms))


async def check_stop(report: Report, vm, client: KeepAliveClient) -> None:
    """Drains a VM while it serves a stream, which must finish."""
    running = asyncio.create_task(client.stream("/explain/7", "explain-1"))
    await asyncio.sleep(0.05)
    vm.draining.set()
    response = await running
    report.add("stream finishes while its VM stops", response.status == 200, "")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
