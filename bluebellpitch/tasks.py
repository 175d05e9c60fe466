"""The tasks of a VM: one that fails ends all of them."""

import asyncio
from collections.abc import Coroutine, Iterable

from bluebellpitch.logs import log


def start_tasks(coroutines: Iterable[Coroutine], stopping: asyncio.Event) -> list[asyncio.Task]:
    """Starts jobs that run until cancelled; ``stopping`` is set when one fails."""
    return [asyncio.create_task(supervise(job, stopping)) for job in coroutines]


async def supervise(job: Coroutine, stopping: asyncio.Event) -> None:
    """Runs a job. A failure ends the VM: a restart is safe, a silent half is not."""
    try:
        await job
    except Exception as error:  # noqa: BLE001
        log("ERROR", "task_failed", task=job.__qualname__, error=repr(error))
        stopping.set()
        raise


async def stop_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancels jobs and waits for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
