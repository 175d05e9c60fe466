"""A deployment of real processes to measure: engines, entry VMs in three regions, the platform."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from bluebellpitch.decisions.rows import ClassRow, MemberRow
from bluebellpitch.http1 import fetch
from fakes.federations import FILING, MODEL, endpoint, sheet
from fakes.fleet import Fleet, digest
from measure.workloads import MEMBERS

STEP_S, STREAM_S, SLOTS = 0.012, 0.001, 8
PREFILL_S = 0.020
TOKENS_PER_ENGINE = SLOTS / (STEP_S + STREAM_S * SLOTS)

CLASSES = (
    ClassRow("explain", 1, 8.0, 335.0, 44.0, 5_000.0),
    ClassRow("draft", 2, 4.0, 1_500.0, 44.0, 20_000.0),
    ClassRow("summary", 3, 2.0, 5_000.0, 44.0, 60_000.0),
    ClassRow("rewrite", 1, 8.0, 335.0, 44.0, 5_000.0),
    ClassRow("letter", 2, 4.0, 1_500.0, 44.0, 20_000.0),
    ClassRow("dossier", 3, 1.0, 10_000.0, 200.0, 600_000.0),
)


@dataclass(frozen=True)
class Shape:
    """Zones, one a region, each with its entry VMs and engines."""

    zones: tuple[str, ...]
    vms: tuple[int, ...]
    engines: tuple[int, ...]
    services: tuple[int, ...] = (1, 1, 1)

    @property
    def capacity(self) -> float:
        """Returns tokens a second with every slot in use."""
        return sum(self.engines) * TOKENS_PER_ENGINE


KUSHIRO = Shape(("doto", "doo", "dohoku"), (3, 2, 2), (2, 2, 1))
TRENTVALE = Shape(("east-mids", "west-mids", "north-wales"), (3, 2, 2), (2, 2, 2))


@dataclass
class Deployment:
    """Running processes of one shape under one policy."""

    fleet: Fleet
    shape: Shape

    @property
    def addresses(self) -> list[str]:
        """Returns where callers enter."""
        return [vm.listen for vm in self.fleet.vms_by_name.values()]

    def engines(self) -> list[str]:
        """Returns the names of the engines."""
        names = self.fleet.processes_by_name
        return [name for name in names if name.startswith("engine")]

    async def read_stats(self) -> dict[str, int]:
        """Returns the tokens that all engines made so far, and the most requests at once."""
        total = {"made": 0, "wasted": 0, "peak": 0}
        for name in self.engines():
            process = self.fleet.processes_by_name[name]
            stats = msgspec.json.decode((await fetch(process.address, "GET", "/stats")).body)
            total = {key: total[key] + stats[key] for key in total}
        return total

    async def count_prompts(self, text: str) -> int:
        """Returns how many requests with a text in their prompt the engines hold now."""
        held = 0
        for name in self.engines():
            address = self.fleet.processes_by_name[name].address
            response = await fetch(address, "GET", f"/count?{text}")
            held += msgspec.json.decode(response.body)["held"]
        return held

    async def read_metric(self, name: str) -> float:
        """Returns the sum of a metric over all VMs and labels."""
        total = 0.0
        for vm in self.fleet.vms_by_name.values():
            text = (await fetch(vm.admin, "GET", "/metrics")).body.decode()
            lines = (line for line in text.splitlines() if line.startswith(f"bluebellpitch_{name}"))
            total += sum(float(line.rpartition(" ")[2]) for line in lines)
        return total


def start_engine(fleet: Fleet, name: str) -> None:
    """Starts an engine, or starts it again where it was."""
    values = {"slots": SLOTS, "step_s": STEP_S, "stream_s": STREAM_S, "prefill_s": PREFILL_S}
    if name in fleet.processes_by_name:
        fleet.restart_fake(name, "engine", **values)
    else:
        fleet.start_fake("engine", name, **values)


async def start(fleet: Fleet, shape: Shape, mode: str, limits: dict[str, int]) -> Deployment:
    """Starts all processes; ``mode`` names the policy or a baseline."""
    fleet.start_platform()
    for zone, engines, services in zip(shape.zones, shape.engines, shape.services, strict=True):
        for number in range(engines):
            start_engine(fleet, f"engine-{zone}-{number}")
        for number in range(services):
            fleet.start_fake("service", f"filing-{zone}-{number}")
    await fleet.wait_listening(*fleet.processes_by_name.values())
    rows = [
        MemberRow(name, 1.0, limits.get(name, 0), digest(f"{name}-secret"), CLASSES[0].name)
        for name in MEMBERS
    ]
    rows += [*CLASSES, MODEL, FILING]
    for zone, engines, services in zip(shape.zones, shape.engines, shape.services, strict=True):
        names = [f"engine-{zone}-{number}" for number in range(engines)]
        rows += [endpoint(fleet, name, "drafter", zone, zone, SLOTS) for name in names]
        names = [f"filing-{zone}-{number}" for number in range(services)]
        rows += [endpoint(fleet, name, "filing", zone, zone, SLOTS) for name in names]
    status, output = await fleet.apply_sheet(sheet(*rows))
    if status:
        raise RuntimeError(output)
    fleet.program = ["measure.variant", mode]
    for zone, count in zip(shape.zones, shape.vms, strict=True):
        for number in range(count):
            fleet.add_vm(f"vm-{zone}-{number}", zone, zone)
    await fleet.wait_ready()
    await fleet.wait_settled()
    return Deployment(fleet, shape)


@contextmanager
def fleet_of_processes() -> Iterator[Fleet]:
    """Gives a fleet whose processes end with it."""
    with Fleet(log_level="WARNING") as fleet:
        yield fleet


async def set_slow(deployment: Deployment, name: str, factor: float) -> None:
    """Slows one engine down, or back to normal."""
    process = deployment.fleet.processes_by_name[name]
    await deployment.fleet.control(process, slow=factor, load_lag_s=5.0)


async def wait_engine(deployment: Deployment, name: str) -> None:
    """Waits until a restarted engine answers."""
    process = deployment.fleet.processes_by_name[name]
    await deployment.fleet.wait_listening(process)
