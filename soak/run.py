"""One run of a seed: faults, then quiet, then the promises are checked."""

import asyncio
from pathlib import Path

from soak.callers import KINDS, Caller
from soak.checks import find_breaches
from soak.cluster import Scene
from soak.fault_injection import bring_all
from soak.fault_schedule import Kind, draw_faults
from soak.history import Record

CALLERS_PER_VM = 8
CALLERS_AT_MOST = 48
RECOVERY_TRIES = 300
RECOVERY_PAUSE_S = 0.1


async def play(
    seed: int, seconds: float, vms: int, folder: Path, only: tuple[Kind, ...] = ()
) -> Record:
    """Plays the faults of a seed; returns what was seen."""
    async with Scene(folder, vms) as scene:
        callers = [Caller(scene, number, seed) for number in range(count_callers(vms))]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await bring_all(scene, tuple(draw_faults(seed, seconds, only)))
        await scene.wait_ready()
        await check_recovery(scene, seed)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        for error in ended:
            if not isinstance(error, asyncio.CancelledError):
                scene.record.failures.append(f"a caller failed: {error!r}")
        return scene.record


def count_callers(vms: int) -> int:
    """Returns how many callers there are; one process plays them all."""
    return min(CALLERS_AT_MOST, CALLERS_PER_VM * vms)


async def check_recovery(scene: Scene, seed: int) -> None:
    """Notes kinds of request that nobody serves although all faults have ended."""
    for place, kind in enumerate(KINDS):
        caller = Caller(scene, 1_000 + place, seed)
        for _ in range(RECOVERY_TRIES):
            outcome = await caller.call(kind)
            if outcome is not None and outcome.status == 200:
                break
            await asyncio.sleep(RECOVERY_PAUSE_S)
        else:
            scene.record.failures.append(f"{kind} is not served after the faults")


def judge(seed: int, seconds: float, vms: int, folder: Path, only: tuple[Kind, ...] = ()):
    """Plays a seed; returns its record and the breaches."""
    record = asyncio.run(play(seed, seconds, vms, folder, only))
    return record, find_breaches(record)
