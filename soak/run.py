"""One run of a seed: fault injection, recovery, then the checks of the guarantees."""

import asyncio
from pathlib import Path

from soak.callers import REQUEST_KINDS, Caller
from soak.checks import find_breaches
from soak.cluster import SoakCluster
from soak.duties import wait_for_reports
from soak.fault_injection import inject_all
from soak.fault_schedule import FaultKind, draw_faults
from soak.history import History

CALLERS_PER_VM = 8
MAX_CALLERS = 48
RECOVERY_ATTEMPTS = 300
RECOVERY_PAUSE_S = 0.1


async def run_faults(
    seed: int, seconds: float, vms: int, folder: Path, only: tuple[FaultKind, ...] = ()
) -> History:
    """Injects the faults of a seed under load, waits for recovery and returns the history."""
    async with SoakCluster(folder, vms) as cluster:
        callers = [Caller(cluster, number, seed) for number in range(count_callers(vms))]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await inject_all(cluster, tuple(draw_faults(seed, seconds, only)))
        await cluster.wait_ready()
        calm = asyncio.create_task(wait_for_reports(cluster.api, cluster.history))
        await check_recovery(cluster, seed)
        await calm
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for error in results:
            if not isinstance(error, asyncio.CancelledError):
                cluster.history.failures.append(f"a caller failed: {error!r}")
        return cluster.history


def count_callers(vms: int) -> int:
    """Returns the number of callers, limited because all run in this one process."""
    return min(MAX_CALLERS, CALLERS_PER_VM * vms)


async def check_recovery(cluster: SoakCluster, seed: int) -> None:
    """Records a failure for each kind of request that is not served after all faults have ended."""
    for offset, kind in enumerate(REQUEST_KINDS):
        caller = Caller(cluster, 1_000 + offset, seed)
        for _ in range(RECOVERY_ATTEMPTS):
            outcome = await caller.send_request(kind)
            if outcome is not None and outcome.status == 200:
                break
            await asyncio.sleep(RECOVERY_PAUSE_S)
        else:
            cluster.history.failures.append(f"{kind} is not served after the faults")


def run_seed(seed: int, seconds: float, vms: int, folder: Path, only: tuple[FaultKind, ...] = ()):
    """Runs a seed; returns its history and the breaches."""
    history = asyncio.run(run_faults(seed, seconds, vms, folder, only))
    return history, find_breaches(history)
