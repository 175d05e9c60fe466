"""Model checker: proofs by inductive invariant, bounded search for violations and goals."""

from collections.abc import Callable
from dataclasses import dataclass

import z3

State = dict[str, z3.ExprRef]


@dataclass(frozen=True)
class Spec:
    """A transition system over named variables.

    ``actions`` gives a formula over (state, next state) for each action. ``invariant`` is inductive
    and implies ``safe``. ``goal`` must be reachable, so that safety does not hold trivially.
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
    """Returns the variables of the state after ``step`` steps."""
    return {name: z3.Const(f"{name}@{step}", sort) for name, sort in spec.sorts.items()}


def transition(spec: Spec, before: State, after: State) -> z3.BoolRef:
    """Returns the transition relation: one of the actions takes place."""
    return z3.Or(list(spec.actions(before, after).values()))


def prove(spec: Spec) -> str:
    """Returns ``proved`` if the invariant holds initially, is preserved and implies safety."""
    before, after = make_state(spec, 0), make_state(spec, 1)
    obligations = {
        "does not hold initially": z3.And(spec.initial(before), z3.Not(spec.invariant(before))),
        "does not imply safety": z3.And(spec.invariant(before), z3.Not(spec.safe(before))),
        "is not preserved": z3.And(
            spec.invariant(before), transition(spec, before, after), z3.Not(spec.invariant(after))
        ),
    }
    for failure, formula in obligations.items():
        solver = z3.Solver()
        solver.add(spec.constants, formula)
        result = solver.check()
        if result != z3.unsat:
            return f"not proved: the invariant {failure}: {result}"
    return "proved"


def find_violation(spec: Spec, max_steps: int) -> int | None:
    """Returns the fewest steps that violate safety, up to ``max_steps``, or None."""
    return find_state(spec, lambda state: z3.Not(spec.safe(state)), max_steps)


def replay_violation(spec: Spec, schedule: tuple[str, ...]) -> int | None:
    """Returns the length of a schedule of actions if it can violate safety, else None."""
    solver = z3.Solver()
    states = [make_state(spec, step) for step in range(len(schedule) + 1)]
    solver.add(spec.constants, spec.initial(states[0]), z3.Not(spec.safe(states[-1])))
    for name, before, after in zip(schedule, states, states[1:], strict=False):
        solver.add(spec.actions(before, after)[name])
    return len(schedule) if solver.check() == z3.sat else None


def find_goal(spec: Spec, max_steps: int) -> int | None:
    """Returns the fewest steps to the goal, up to ``max_steps``, or None."""
    return find_state(spec, spec.goal, max_steps)


def find_state(spec: Spec, condition: Callable[[State], z3.BoolRef], max_steps: int) -> int | None:
    """Returns the fewest steps to a state that meets a condition, up to ``max_steps``, or None."""
    solver = z3.Solver()
    states = [make_state(spec, 0)]
    solver.add(spec.constants, spec.initial(states[0]))
    for steps in range(max_steps + 1):
        solver.push()
        solver.add(condition(states[-1]))
        if solver.check() == z3.sat:
            return steps
        solver.pop()
        states.append(make_state(spec, steps + 1))
        solver.add(transition(spec, states[-2], states[-1]))
    return None


def unchanged_except(before: State, after: State, *changed: str) -> z3.BoolRef:
    """Returns that no variable changes except the named ones."""
    return z3.And([after[name] == before[name] for name in before if name not in changed])
