"""Checks all models: proves each one and finds a violation in each of its mutants."""

import sys
import time
from types import ModuleType

from models import at_most_once, limits, table
from models.checker import find_goal, find_violation, prove, replay_violation

MODELS = {"at most once": at_most_once, "table": table, "limits": limits}
MAX_STEPS = 12


def check_model(name: str, module: ModuleType) -> bool:
    """Checks one model; prints a line for each result."""
    started = time.monotonic()
    verdict = prove(module.build())
    print(f"{name}: {verdict} by inductive invariant ({time.monotonic() - started:.1f} s)")
    goal = find_goal(module.build(), MAX_STEPS)
    print(f"{name}: goal is {'not reachable' if goal is None else 'reachable'}")
    passed = verdict == "proved" and goal is not None
    for mutant, description in module.MUTANTS.items():
        steps = count_steps_to_violation(module, mutant)
        result = "NOT CAUGHT" if steps is None else f"caught after {steps} steps"
        print(f"{name}: mutant '{mutant}' ({description}): {result}", flush=True)
        passed &= steps is not None
    return passed


def count_steps_to_violation(module: ModuleType, mutant: str) -> int | None:
    """Returns how many steps a mutant takes to violate safety, or None.

    Violations that are too long for the search follow a schedule.
    """
    schedule = getattr(module, "SCHEDULES", {}).get(mutant)
    if schedule:
        return replay_violation(module.build(mutant), schedule)
    return find_violation(module.build(mutant), MAX_STEPS)


def main(names: list[str]) -> int:
    """Checks the named models, or all."""
    results = [check_model(name, MODELS[name]) for name in names or MODELS]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
