"""Runs all models: a proof of each property, and a counterexample for each mutant."""

import sys
import time
from types import ModuleType

from models import at_most_once, limits, table
from models.checker import find_goal, find_violation, prove, replay_violation

MODELS = {"at most once": at_most_once, "table": table, "limits": limits}
DEPTH = 12


def run_model(name: str, module: ModuleType) -> bool:
    """Checks one model; prints a line for each result."""
    started = time.monotonic()
    verdict = prove(module.build())
    print(f"{name}: {verdict} by inductive invariant ({time.monotonic() - started:.1f} s)")
    goal = find_goal(module.build(), DEPTH)
    print(f"{name}: something useful is {'out of reach' if goal is None else 'reached'}")
    good = verdict == "proved" and goal is not None
    for mutant, what in module.MUTANTS.items():
        steps = find_mutant(module, mutant)
        found = "NOT CAUGHT" if steps is None else f"caught after {steps} steps"
        print(f"{name}: mutant '{mutant}' ({what}): {found}", flush=True)
        good &= steps is not None
    return good


def find_mutant(module: ModuleType, mutant: str) -> int | None:
    """Returns the steps after which a mutant loses safety; long ones follow a schedule."""
    schedule = getattr(module, "SCHEDULES", {}).get(mutant)
    if schedule:
        return replay_violation(module.build(mutant), schedule)
    return find_violation(module.build(mutant), DEPTH)


def main(names: list[str]) -> int:
    """Checks the models of some names, or all."""
    results = [run_model(name, MODELS[name]) for name in names or MODELS]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
