"""Background tasks of a VM: if one of them fails, the VM stops."""

import asyncio
from collections.abc import Coroutine, Iterable

from bluebellpitch.logs import log


def start_tasks(coroutines: Iterable[Coroutine], stopping: asyncio.Event) -> list[asyncio.Task]:
    """Starts tasks that run until cancelled; ``stopping`` is set when one fails."""
    return [asyncio.create_task(supervise(coroutine, stopping)) for coroutine in coroutines]


async def supervise(coroutine: Coroutine, stopping: asyncio.Event) -> None:
    """Runs a task, and stops the VM when it fails.

    Restarting a VM is safe; running on without one of its tasks, unnoticed, is not.
    """
    try:
        await coroutine
    except Exception as error:  # noqa: BLE001
        log("ERROR", "task_failed", task=coroutine.__qualname__, error=repr(error))
        stopping.set()
        raise


async def stop_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancels tasks and waits until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def cancel_and_wait(task: asyncio.Task) -> None:
    """Cancels a task and waits until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
