"""Which faults a seed brings, and when: pure data, the same for the same seed."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """What happens to the target of a fault."""

    VM_KILL = "vm_kill"
    VM_PAUSE = "vm_pause"
    VM_STOP = "vm_stop"
    VM_CALLERS_RESET = "vm_callers_reset"
    VM_STORE_CUT = "vm_store_cut"
    VM_STORE_SILENT = "vm_store_silent"
    VM_STORE_ONE_WAY = "vm_store_one_way"
    STORE_DOWN = "store_down"
    STORE_BUSY = "store_busy"
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"
    STORE_FORGETS = "store_forgets"
    ENDPOINT_CRASH = "endpoint_crash"
    ENDPOINT_LEAVE = "endpoint_leave"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_ONE_WAY = "endpoint_one_way"
    ENDPOINT_SPOILS = "endpoint_spoils"
    CONFIGURATION = "configuration"
    KEY_TAKEN = "key_taken"


# Each kind's chance to be drawn, against the others.
WEIGHTS = {kind: 1.0 for kind in Kind} | {
    Kind.ENDPOINT_SPOILS: 4.0,
    Kind.VM_KILL: 2.0,
    Kind.VM_STOP: 2.0,
    Kind.CONFIGURATION: 2.0,
    Kind.KEY_TAKEN: 2.0,
}
# Modes of FakeEndpoint.
SPOILS = "refuse fail reset cut extra unsigned encoded short garbage slow".split()
# Faults come in bursts: this is the chance that one follows the last at once.
BURST_SHARE = 0.4
LASTS_S = (0.2, 6.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. ``at`` and ``for_s`` are seconds; ``target`` counts VMs or endpoints."""

    at: float
    kind: Kind
    target: int
    for_s: float
    how: str = ""


def draw_faults(seed: int, seconds: float, only: tuple[Kind, ...] = ()) -> Iterator[Fault]:
    """Yields the faults of a run in order of time."""
    draw = random.Random(seed)
    kinds = only or tuple(Kind)
    at = 0.5
    while at < seconds:
        kind = draw.choices(kinds, [WEIGHTS[kind] for kind in kinds])[0]
        how = draw.choice(SPOILS) if kind is Kind.ENDPOINT_SPOILS else ""
        target, for_s = draw.randrange(1_000), round(draw.uniform(*LASTS_S), 3)
        yield Fault(round(at, 3), kind, target, for_s, how)
        at += 0.0 if draw.random() < BURST_SHARE else draw.uniform(0.1, 1.5)
