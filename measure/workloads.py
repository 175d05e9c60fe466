"""Loads named after the deployments: who sends what, when, where, and how long the answers are."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

MEMBERS = tuple(f"member-{number}" for number in range(10))
LARGE_MEMBERS_SHARE = 0.5
HOT_VMS_SHARE = 0.6


@dataclass(frozen=True)
class ClassLoad:
    """One class of a mix. ``share`` is of the token capacity; lengths are in tokens."""

    name: str
    share: float
    median_tokens: float
    spread: float = 0.5
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    shortest: int = 2
    longest: int = 100_000

    def mean_tokens(self) -> float:
        """Returns the mean length, stragglers included."""
        mean = self.median_tokens * math.exp(self.spread**2 / 2)
        return mean * (1 + self.straggler_share * (self.straggler_factor - 1))

    def draw(self, rng: random.Random) -> int:
        """Draws a length."""
        tokens = self.median_tokens * math.exp(rng.gauss(0, self.spread))
        tokens = min(max(tokens, self.shortest), self.longest)
        if rng.random() < self.straggler_share:
            tokens *= self.straggler_factor
        return max(1, round(tokens))


@dataclass(frozen=True)
class Wave:
    """Arrivals between two times, in seconds, at a factor of each class's share."""

    start_s: float
    end_s: float
    factor: float
    only: str = ""


@dataclass(frozen=True)
class Load:
    """A mix over time."""

    name: str
    classes: tuple[ClassLoad, ...]
    waves: tuple[Wave, ...]

    @property
    def duration_s(self) -> float:
        """Returns when arrivals end."""
        return max(wave.end_s for wave in self.waves)


@dataclass(frozen=True)
class Arrival:
    """One request to send."""

    at_s: float
    member: str
    class_name: str
    vm: int
    tokens: int


def arrivals(load: Load, capacity: float, vms: int, rng: random.Random) -> Iterator[Arrival]:
    """Yields arrivals in order; ``capacity`` is in tokens a second."""
    found = []
    for wave in load.waves:
        for row in load.classes:
            if wave.only and row.name != wave.only:
                continue
            rate = row.share * wave.factor * capacity / row.mean_tokens()
            found.extend(draw_arrivals(row, wave, rate, vms, rng))
    yield from sorted(found, key=lambda arrival: arrival.at_s)


def draw_arrivals(
    row: ClassLoad, wave: Wave, rate: float, vms: int, rng: random.Random
) -> Iterator[Arrival]:
    """Draws a Poisson stream; ``rate`` is in requests a second."""
    at_s = wave.start_s + rng.expovariate(rate) if rate else wave.end_s
    while at_s < wave.end_s:
        member = draw_member(rng)
        yield Arrival(at_s, member, row.name, draw_vm(member, vms, rng), row.draw(rng))
        at_s += rng.expovariate(rate)


def draw_member(rng: random.Random) -> str:
    """Draws a member: two of ten have half of the traffic."""
    if rng.random() < LARGE_MEMBERS_SHARE:
        return rng.choice(MEMBERS[:2])
    return rng.choice(MEMBERS[2:])


def draw_vm(member: str, vms: int, rng: random.Random) -> int:
    """Draws where a request enters: most of a member's traffic at two VMs."""
    home = MEMBERS.index(member) % vms
    if rng.random() < HOT_VMS_SHARE:
        return (home + rng.randrange(2)) % vms
    return rng.randrange(vms)


EXPLAIN = ClassLoad("explain", 0.30, 20)
DRAFT = ClassLoad("draft", 1.20, 50)
SUMMARY = ClassLoad("summary", 1.50, 120)
KUSHIRO = (EXPLAIN, DRAFT, SUMMARY)

REWRITE = ClassLoad("rewrite", 0.15, 35, 0.3, shortest=20, longest=60)
LETTER = ClassLoad("letter", 0.40, 60, 0.4)
DOSSIER = ClassLoad("dossier", 1.50, 62, 0.35, 0.05, shortest=31, longest=125)
TRENTVALE = (REWRITE, LETTER, DOSSIER)

TROUGH = 0.1


def kushiro_crest(scale: float, waves: int) -> Load:
    """Crests of 5 s every 20 s, over ``scale``; in every second wave of one class at a time."""
    period, crest = 20.0 / scale, 5.0 / scale
    parts = []
    for number in range(waves):
        start = number * period
        parts.append(Wave(start + crest, start + period, TROUGH))
        if number % 2 == 0:
            parts.append(Wave(start, start + crest, 1.0))
            continue
        third = crest / len(KUSHIRO)
        for place, row in enumerate(KUSHIRO):
            begin = start + place * third
            parts.append(Wave(begin, begin + third, 1.0, row.name))
    return Load("kushiro-crest", KUSHIRO, tuple(parts))


def trentvale(duration_s: float, rewrites_only: bool = False) -> Load:
    """The steady mix that saturates every endpoint."""
    only = "rewrite" if rewrites_only else ""
    return Load("trentvale", TRENTVALE, (Wave(0.0, duration_s, 1.0, only),))


def normal(duration_s: float, share: float = 0.7) -> Load:
    """All classes of Trentvale, together at a share of the capacity."""
    total = sum(row.share for row in TRENTVALE)
    classes = tuple(replace(row, share=row.share * share / total) for row in TRENTVALE)
    return Load("normal", classes, (Wave(0.0, duration_s, 1.0),))
