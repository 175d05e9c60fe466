"""Helpers for tests that start small federations or run the program."""

import asyncio
import io
from dataclasses import dataclass

import msgspec

from bluebellpitch.environment import Environment
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.exit_status import ExitStatus
from bluebellpitch.http1 import fetch
from bluebellpitch.main import main
from fakes.fleet import Fleet
from fakes.tables import CLASSES, FILING_POOL, MODEL_POOL, endpoint_row, member_row, new_sheet

CREDENTIAL = "office-secret"
ZONES = (("doto-1", "doto"), ("doo-1", "doo"))


@dataclass(frozen=True)
class ProgramResult:
    """Exit status and output of one run of the program."""

    status: ExitStatus
    stdout: str
    stderr: str


def run_program(*arguments: str) -> ProgramResult:
    """Runs the program in this process."""
    out, err = io.StringIO(), io.StringIO()
    status = main(list(arguments), Environment(stdout=out, stderr=err))
    return ProgramResult(status, out.getvalue(), err.getvalue())


@dataclass(frozen=True)
class FederationSize:
    """The size of a federation. ``limit`` is that of the member ``office``; 0 sets none."""

    vms_per_zone: int = 2
    zones: int = 1
    engines_per_zone: int = 1
    services_per_zone: int = 1
    slots: int = 8
    limit: int = 0
    step_s: float = 0.004


async def start_federation(fleet: Fleet, size: FederationSize, **settings) -> None:
    """Starts fake servers and entry VMs, and applies a table; ``settings`` are options of VMs."""
    fleet.start_store()
    rows = [member_row("office", limit=size.limit), member_row("agency", "rewrite"), *CLASSES]
    rows += [MODEL_POOL, FILING_POOL]
    zones = ZONES[: size.zones]
    for zone, _ in zones:
        for number in range(size.engines_per_zone):
            name = f"engine-{zone}-{number}"
            fleet.start_fake("engine", name, slots=size.slots, step_s=size.step_s)
        for number in range(size.services_per_zone):
            fleet.start_fake("service", f"filing-{zone}-{number}")
    await fleet.wait_listening(*fleet.processes_by_name.values())
    for zone, region in zones:
        for kind, pool, count in (
            ("engine", "drafter", size.engines_per_zone),
            ("filing", "filing", size.services_per_zone),
        ):
            names = (f"{kind}-{zone}-{number}" for number in range(count))
            rows += [endpoint_row(fleet, n, pool, zone, region, size.slots) for n in names]
    status, output = await fleet.apply_sheet(new_sheet(*rows))
    assert status == 0, output
    for zone, region in zones:
        for number in range(size.vms_per_zone):
            fleet.add_vm(f"vm-{zone}-{number}", zone, region, **settings)
    await fleet.wait_ready()
    await fleet.wait_converged()


async def count_runs(fleet: Fleet, case: str) -> int:
    """Returns how often all services together ran a case."""
    runs = 0
    for name, process in fleet.processes_by_name.items():
        if name.startswith("filing"):
            runs += (await read_counts(process.address)).get(case, 0)
    return runs


async def read_counts(address: str) -> dict[str, int]:
    """Returns how often a service ran each case; empty when the service is down."""
    try:
        return msgspec.json.decode((await fetch(address, "GET", "/counts")).body)
    except BluebellpitchError:
        return {}


def get_verdict(response) -> str:
    """Returns the verdict in a response to a service call; empty without a response."""
    return "" if response is None else dict(response.headers)["x-bluebellpitch-verdict"]


def wait(seconds: float):
    """Lets time pass in a test."""
    return asyncio.sleep(seconds)
