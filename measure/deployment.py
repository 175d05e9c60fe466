"""Deployment of real processes to measure: engines, entry VMs in three regions, the platform."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from bluebellpitch.decisions.rows import ClassRow, MemberRow
from bluebellpitch.http1 import fetch
from fakes.fleet import Fleet, credential_digest
from fakes.tables import FILING_POOL, MODEL_POOL, endpoint_row, new_sheet
from measure.workloads import MEMBERS

STEP_S, STREAM_S, SLOTS = 0.012, 0.001, 8
PREFILL_S = 0.020
ENGINE_TOKENS_PER_S = SLOTS / (STEP_S + STREAM_S * SLOTS)

CLASSES = (
    ClassRow("explain", 1, 8.0, 335.0, 44.0, 5_000.0),
    ClassRow("draft", 2, 4.0, 1_500.0, 44.0, 20_000.0),
    ClassRow("summary", 3, 2.0, 5_000.0, 44.0, 60_000.0),
    ClassRow("rewrite", 1, 8.0, 335.0, 44.0, 5_000.0),
    ClassRow("letter", 2, 4.0, 1_500.0, 44.0, 20_000.0),
    ClassRow("dossier", 3, 1.0, 10_000.0, 200.0, 600_000.0),
)


@dataclass(frozen=True)
class Topology:
    """Zones, each in its own region, with the number of entry VMs, engines and services."""

    zones: tuple[str, ...]
    vm_counts: tuple[int, ...]
    engine_counts: tuple[int, ...]
    service_counts: tuple[int, ...] = (1, 1, 1)

    @property
    def tokens_per_s(self) -> float:
        """Capacity: tokens per second with every slot in use."""
        return sum(self.engine_counts) * ENGINE_TOKENS_PER_S


KUSHIRO_TOPOLOGY = Topology(("doto", "doo", "dohoku"), (3, 2, 2), (2, 2, 1))
TRENTVALE_TOPOLOGY = Topology(("east-mids", "west-mids", "north-wales"), (3, 2, 2), (2, 2, 2))


@dataclass
class Deployment:
    """Running processes of one topology under one policy."""

    fleet: Fleet
    topology: Topology

    @property
    def vm_addresses(self) -> list[str]:
        """Addresses to which callers send requests."""
        return [vm.listen for vm in self.fleet.vms_by_name.values()]

    def engine_names(self) -> list[str]:
        """Returns the names of the engines."""
        names = self.fleet.processes_by_name
        return [name for name in names if name.startswith("engine")]

    async def read_stats(self) -> dict[str, int]:
        """Returns sums over all engines: tokens generated, tokens wasted and peak requests."""
        total = {"made": 0, "wasted": 0, "peak": 0}
        for name in self.engine_names():
            process = self.fleet.processes_by_name[name]
            stats = msgspec.json.decode((await fetch(process.address, "GET", "/stats")).body)
            total = {key: total[key] + stats[key] for key in total}
        return total

    async def count_requests_containing(self, text: str) -> int:
        """Returns how many requests in the engines have a prompt with this text."""
        held = 0
        for name in self.engine_names():
            address = self.fleet.processes_by_name[name].address
            response = await fetch(address, "GET", f"/count?{text}")
            held += msgspec.json.decode(response.body)["held"]
        return held

    async def sum_metric(self, name: str) -> float:
        """Returns the sum of a metric over all VMs and labels."""
        total = 0.0
        for vm in self.fleet.vms_by_name.values():
            text = (await fetch(vm.admin, "GET", "/metrics")).body.decode()
            lines = (line for line in text.splitlines() if line.startswith(f"bluebellpitch_{name}"))
            total += sum(float(line.rpartition(" ")[2]) for line in lines)
        return total


def start_engine(fleet: Fleet, name: str) -> None:
    """Starts an engine, or restarts it at its former address."""
    values = {"slots": SLOTS, "step_s": STEP_S, "stream_s": STREAM_S, "prefill_s": PREFILL_S}
    if name in fleet.processes_by_name:
        fleet.restart_fake(name, "engine", **values)
    else:
        fleet.start_fake("engine", name, **values)


async def start(
    fleet: Fleet, topology: Topology, mode: str, limit_by_member: dict[str, int]
) -> Deployment:
    """Starts all processes; ``mode`` names a policy or a baseline."""
    fleet.start_store()
    for zone, engines, services in zip(
        topology.zones, topology.engine_counts, topology.service_counts, strict=True
    ):
        for number in range(engines):
            start_engine(fleet, f"engine-{zone}-{number}")
        for number in range(services):
            fleet.start_fake("service", f"filing-{zone}-{number}")
    await fleet.wait_listening(*fleet.processes_by_name.values())
    rows = [
        MemberRow(
            name,
            1.0,
            limit_by_member.get(name, 0),
            credential_digest(f"{name}-secret"),
            CLASSES[0].name,
        )
        for name in MEMBERS
    ]
    rows += [*CLASSES, MODEL_POOL, FILING_POOL]
    for zone, engines, services in zip(
        topology.zones, topology.engine_counts, topology.service_counts, strict=True
    ):
        names = [f"engine-{zone}-{number}" for number in range(engines)]
        rows += [endpoint_row(fleet, name, "drafter", zone, zone, SLOTS) for name in names]
        names = [f"filing-{zone}-{number}" for number in range(services)]
        rows += [endpoint_row(fleet, name, "filing", zone, zone, SLOTS) for name in names]
    status, output = await fleet.apply_sheet(new_sheet(*rows))
    if status:
        raise RuntimeError(output)
    fleet.program = ["measure.variant", mode]
    for zone, count in zip(topology.zones, topology.vm_counts, strict=True):
        for number in range(count):
            fleet.add_vm(f"vm-{zone}-{number}", zone, zone)
    await fleet.wait_ready()
    await fleet.wait_converged()
    return Deployment(fleet, topology)


@contextmanager
def temporary_fleet() -> Iterator[Fleet]:
    """Provides a fleet and stops its processes at the end."""
    with Fleet(log_level="WARNING") as fleet:
        yield fleet


async def set_slowdown(deployment: Deployment, name: str, factor: float) -> None:
    """Sets the slowdown of an engine; 1 is normal speed."""
    process = deployment.fleet.processes_by_name[name]
    await deployment.fleet.set_faults(process, slow=factor, load_lag_s=5.0)


async def wait_for_engine(deployment: Deployment, name: str) -> None:
    """Waits until a restarted engine accepts connections."""
    process = deployment.fleet.processes_by_name[name]
    await deployment.fleet.wait_listening(process)
