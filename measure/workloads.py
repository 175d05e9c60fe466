"""Workloads of the deployments: arrival times, members, classes, VMs and answer lengths."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

MEMBERS = tuple(f"member-{number}" for number in range(10))
LARGE_MEMBERS_TRAFFIC_SHARE = 0.5
HOME_VMS_TRAFFIC_SHARE = 0.6


@dataclass(frozen=True)
class ClassLoad:
    """Load of one class: its share of the token capacity and the distribution of its lengths."""

    name: str
    capacity_share: float
    median_tokens: float
    spread: float = 0.5
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    min_tokens: int = 2
    max_tokens: int = 100_000

    def mean_tokens(self) -> float:
        """Returns the mean answer length, including stragglers."""
        mean = self.median_tokens * math.exp(self.spread**2 / 2)
        return mean * (1 + self.straggler_share * (self.straggler_factor - 1))

    def draw_tokens(self, rng: random.Random) -> int:
        """Draws an answer length."""
        tokens = self.median_tokens * math.exp(rng.gauss(0, self.spread))
        tokens = min(max(tokens, self.min_tokens), self.max_tokens)
        if rng.random() < self.straggler_share:
            tokens *= self.straggler_factor
        return max(1, round(tokens))


@dataclass(frozen=True)
class Phase:
    """A period in which each class arrives at its capacity share times ``factor``."""

    start_s: float
    end_s: float
    factor: float
    only_class: str = ""


@dataclass(frozen=True)
class Workload:
    """Classes and the phases in which they arrive."""

    name: str
    classes: tuple[ClassLoad, ...]
    phases: tuple[Phase, ...]

    @property
    def duration_s(self) -> float:
        """End of the last phase."""
        return max(phase.end_s for phase in self.phases)


@dataclass(frozen=True)
class Arrival:
    """One request to send."""

    at_s: float
    member: str
    class_name: str
    vm_index: int
    tokens: int


def generate_arrivals(
    workload: Workload, tokens_per_s: float, vm_count: int, rng: random.Random
) -> Iterator[Arrival]:
    """Yields arrivals in order of time; ``tokens_per_s`` is the capacity."""
    drawn = []
    for phase in workload.phases:
        for class_load in workload.classes:
            if phase.only_class and class_load.name != phase.only_class:
                continue
            requests_per_s = (
                class_load.capacity_share * phase.factor * tokens_per_s / class_load.mean_tokens()
            )
            drawn.extend(draw_poisson_arrivals(class_load, phase, requests_per_s, vm_count, rng))
    yield from sorted(drawn, key=lambda arrival: arrival.at_s)


def draw_poisson_arrivals(
    class_load: ClassLoad, phase: Phase, requests_per_s: float, vm_count: int, rng: random.Random
) -> Iterator[Arrival]:
    """Yields the arrivals of a Poisson process."""
    at_s = phase.start_s + rng.expovariate(requests_per_s) if requests_per_s else phase.end_s
    while at_s < phase.end_s:
        member = draw_member(rng)
        yield Arrival(
            at_s,
            member,
            class_load.name,
            draw_vm(member, vm_count, rng),
            class_load.draw_tokens(rng),
        )
        at_s += rng.expovariate(requests_per_s)


def draw_member(rng: random.Random) -> str:
    """Draws a member; two of the ten send half of the traffic."""
    if rng.random() < LARGE_MEMBERS_TRAFFIC_SHARE:
        return rng.choice(MEMBERS[:2])
    return rng.choice(MEMBERS[2:])


def draw_vm(member: str, vm_count: int, rng: random.Random) -> int:
    """Draws the VM that receives a request; most of a member's traffic goes to two VMs."""
    home_vm = MEMBERS.index(member) % vm_count
    if rng.random() < HOME_VMS_TRAFFIC_SHARE:
        return (home_vm + rng.randrange(2)) % vm_count
    return rng.randrange(vm_count)


EXPLAIN = ClassLoad("explain", 0.30, 20)
DRAFT = ClassLoad("draft", 1.20, 50)
SUMMARY = ClassLoad("summary", 1.50, 120)
KUSHIRO_CLASSES = (EXPLAIN, DRAFT, SUMMARY)

REWRITE = ClassLoad("rewrite", 0.15, 35, 0.3, min_tokens=20, max_tokens=60)
LETTER = ClassLoad("letter", 0.40, 60, 0.4)
DOSSIER = ClassLoad("dossier", 1.50, 62, 0.35, 0.05, min_tokens=31, max_tokens=125)
TRENTVALE_CLASSES = (REWRITE, LETTER, DOSSIER)

TROUGH_FACTOR = 0.1


def kushiro_peaks(time_scale: float, periods: int) -> Workload:
    """Peaks of 5 s every 20 s, over ``time_scale``; in every second one, class after class."""
    period_s, peak_s = 20.0 / time_scale, 5.0 / time_scale
    phases = []
    for number in range(periods):
        start_s = number * period_s
        phases.append(Phase(start_s + peak_s, start_s + period_s, TROUGH_FACTOR))
        if number % 2 == 0:
            phases.append(Phase(start_s, start_s + peak_s, 1.0))
            continue
        class_peak_s = peak_s / len(KUSHIRO_CLASSES)
        for index, class_load in enumerate(KUSHIRO_CLASSES):
            class_start_s = start_s + index * class_peak_s
            phases.append(Phase(class_start_s, class_start_s + class_peak_s, 1.0, class_load.name))
    return Workload("kushiro-crest", KUSHIRO_CLASSES, tuple(phases))


def trentvale(duration_s: float, rewrites_only: bool = False) -> Workload:
    """Constant load that saturates every endpoint."""
    only_class = "rewrite" if rewrites_only else ""
    return Workload("trentvale", TRENTVALE_CLASSES, (Phase(0.0, duration_s, 1.0, only_class),))


def normal(duration_s: float, capacity_share: float = 0.7) -> Workload:
    """All classes of Trentvale, at a total share of the capacity."""
    total_share = sum(row.capacity_share for row in TRENTVALE_CLASSES)
    classes = tuple(
        replace(row, capacity_share=row.capacity_share * capacity_share / total_share)
        for row in TRENTVALE_CLASSES
    )
    return Workload("normal", classes, (Phase(0.0, duration_s, 1.0),))
