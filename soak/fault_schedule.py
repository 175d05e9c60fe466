"""The fault schedule of a run, determined by its seed, its length and the kinds of faults."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """Kinds of faults. The part before the first underscore names the target.

    ``store_loses`` applies appends late and drops their responses, ``store_forgets`` truncates a
    topic, ``store_restored`` goes back to a copy when windows are settled, ``duty`` faults hit the
    VM that holds the duty, ``endpoint_spoils`` makes an endpoint misbehave, and ``key_taken``
    revokes the API key.
    """

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
    DUTY_KILL = "duty_kill"
    DUTY_STOP = "duty_stop"
    DUTY_PAUSE = "duty_pause"
    STORE_RESTORED = "store_restored"
    API_DOWN = "api_down"
    API_SLOW = "api_slow"
    API_BUSY = "api_busy"
    CONFIGURATION = "configuration"
    KEY_TAKEN = "key_taken"


# Relative probability of each kind.
WEIGHTS_BY_KIND = {kind: 1.0 for kind in FaultKind} | {
    FaultKind.ENDPOINT_SPOILS: 4.0,
    FaultKind.VM_KILL: 2.0,
    FaultKind.VM_STOP: 2.0,
    FaultKind.CONFIGURATION: 2.0,
    FaultKind.KEY_TAKEN: 2.0,
}
# Modes of FakeEndpoint, for ``endpoint_spoils``.
ENDPOINT_FAULT_MODES = "refuse fail reset cut extra unsigned encoded short garbage slow".split()
# Faults come in bursts: the probability that a fault starts together with the previous one.
BURST_PROBABILITY = 0.4
DURATION_RANGE_S = (0.2, 6.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, ``at`` seconds into the run.

    ``target`` selects a VM or an endpoint, modulo their number; ``mode`` is a mode of FakeEndpoint.
    """

    at: float
    kind: FaultKind
    target: int
    duration_s: float
    mode: str = ""


def draw_faults(seed: int, seconds: float, only: tuple[FaultKind, ...] = ()) -> Iterator[Fault]:
    """Yields the faults of a run, ordered by time."""
    rng = random.Random(seed)
    kinds = only or tuple(FaultKind)
    at = 0.5
    while at < seconds:
        kind = rng.choices(kinds, [WEIGHTS_BY_KIND[kind] for kind in kinds])[0]
        mode = rng.choice(ENDPOINT_FAULT_MODES) if kind is FaultKind.ENDPOINT_SPOILS else ""
        target, duration_s = rng.randrange(1_000), round(rng.uniform(*DURATION_RANGE_S), 3)
        yield Fault(round(at, 3), kind, target, duration_s, mode)
        at += 0.0 if rng.random() < BURST_PROBABILITY else rng.uniform(0.1, 1.5)
