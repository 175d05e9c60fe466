"""Checks a transition system: an inductive invariant for proofs, bounded search for mutants."""

from collections.abc import Callable
from dataclasses import dataclass

import z3

State = dict[str, z3.ExprRef]


@dataclass(frozen=True)
class Spec:
    """A transition system over named variables.

    ``actions`` gives a formula over (state, next state) for each action. ``invariant`` is inductive
    and implies ``safe``. ``goal`` is something useful that must stay reachable.
    """

    name: str
    sorts: dict[str, z3.SortRef]
    initial: Callable[[State], z3.BoolRef]
    actions: Callable[[State, State], dict[str, z3.BoolRef]]
    safe: Callable[[State], z3.BoolRef]
    invariant: Callable[[State], z3.BoolRef]
    goal: Callable[[State], z3.BoolRef]
    constants: z3.BoolRef = z3.BoolVal(True)


def make_state(spec: Spec, step: int) -> State:
    """Returns the variables of one step."""
    return {name: z3.Const(f"{name}@{step}", sort) for name, sort in spec.sorts.items()}


def step_formula(spec: Spec, before: State, after: State) -> z3.BoolRef:
    """Returns that one action takes place."""
    return z3.Or(list(spec.actions(before, after).values()))


def prove(spec: Spec) -> str:
    """Returns ``proved`` when the invariant holds at first, is kept, and implies safety."""
    before, after = make_state(spec, 0), make_state(spec, 1)
    obligations = {
        "holds at first": z3.And(spec.initial(before), z3.Not(spec.invariant(before))),
        "implies safety": z3.And(spec.invariant(before), z3.Not(spec.safe(before))),
        "is kept": z3.And(
            spec.invariant(before), step_formula(spec, before, after), z3.Not(spec.invariant(after))
        ),
    }
    for what, formula in obligations.items():
        solver = z3.Solver()
        solver.add(spec.constants, formula)
        result = solver.check()
        if result != z3.unsat:
            return f"not proved: the invariant {what}: {result}"
    return "proved"


def find_violation(spec: Spec, depth: int) -> int | None:
    """Returns the fewest steps after which safety is lost, up to ``depth``; None: never."""
    return search(spec, lambda state: z3.Not(spec.safe(state)), depth)


def replay_violation(spec: Spec, schedule: tuple[str, ...]) -> int | None:
    """Returns the steps of a schedule of actions when it can end with safety lost."""
    solver = z3.Solver()
    states = [make_state(spec, step) for step in range(len(schedule) + 1)]
    solver.add(spec.constants, spec.initial(states[0]), z3.Not(spec.safe(states[-1])))
    for name, before, after in zip(schedule, states, states[1:], strict=False):
        solver.add(spec.actions(before, after)[name])
    return len(schedule) if solver.check() == z3.sat else None


def find_goal(spec: Spec, depth: int) -> int | None:
    """Returns the fewest steps to the goal, up to ``depth``; None: it is out of reach."""
    return search(spec, spec.goal, depth)


def search(spec: Spec, wanted: Callable[[State], z3.BoolRef], depth: int) -> int | None:
    """Returns the fewest steps to a wanted state."""
    solver = z3.Solver()
    states = [make_state(spec, 0)]
    solver.add(spec.constants, spec.initial(states[0]))
    for steps in range(depth + 1):
        solver.push()
        solver.add(wanted(states[-1]))
        if solver.check() == z3.sat:
            return steps
        solver.pop()
        states.append(make_state(spec, steps + 1))
        solver.add(step_formula(spec, states[-2], states[-1]))
    return None


def keep(before: State, after: State, *changed: str) -> z3.BoolRef:
    """Returns that all variables but some stay as they are."""
    return z3.And([after[n] == before[n] for n in before if n not in changed])
