"""At-most-once execution: two VMs claim one key in the log under three claim ids.

Claims 0 and 2 belong to the first VM, claim 1 to the second; each VM has read some prefix of the
log. A record that was sent may be appended at any later time or never, which covers lost
acknowledgements and late appends; a crashed VM takes no more steps. ``owner_i`` is the claim that
owns the key after i records, -1 for none, as in decisions/claims.py. Time matters only at dispatch:
all claims of one request carry the time at which it was made, each VM's clock is off by at most
half of the margin, and the state machine drops a key once the horizon has passed.
"""

import z3

from models.checker import Spec, State, unchanged_except

CLAIMS = range(3)
VM_OF_CLAIM = (0, 1, 0)
MAX_LENGTH = 6
HORIZON, MARGIN = 100, 10
NONE, CLAIM, WITHDRAWAL = 0, 1, 2

MUTANTS = {
    "dispatch without owning": "a VM dispatches once its claim is appended, first or not",
    "dispatch after withdrawal": "a VM dispatches a claim that it has withdrawn",
    "withdraw foreign claim": "a VM withdraws a stale claim of another VM",
    "withdraw after dispatch": "a VM withdraws a claim that it has dispatched",
    "no clock check": "a VM does not check the clock before it dispatches",
    "made at arrival": "a claim carries its arrival time instead of the time of the request",
    "early withdrawal ignored": "a withdrawal appended before its claim has no effect",
}


def build(removed_rule: str = "") -> Spec:
    """Returns the specification; a mutant lacks one rule."""
    sorts = {"length": z3.IntSort(), "clock": z3.IntSort()}
    for c in CLAIMS:
        sorts |= {f"sent{c}": z3.BoolSort(), f"appended{c}": z3.BoolSort()}
        sorts |= {f"withdrawn{c}": z3.BoolSort(), f"invalidated{c}": z3.BoolSort()}
        sorts |= {f"dispatched{c}": z3.BoolSort(), f"made_at{c}": z3.IntSort()}
    sorts |= {f"read_length{v}": z3.IntSort() for v in range(2)}
    sorts |= {f"owner{i}": z3.IntSort() for i in range(MAX_LENGTH + 1)}
    skews = [z3.Int(f"skew{v}") for v in range(2)]
    clock_bounds = z3.And([z3.And(2 * skew >= -MARGIN, 2 * skew <= MARGIN) for skew in skews])

    def owner_at(s: State, index) -> z3.ArithRef:
        value = s[f"owner{MAX_LENGTH}"]
        for i in reversed(range(MAX_LENGTH)):
            value = z3.If(index == i, s[f"owner{i}"], value)
        return value

    def append_record(s: State, t: State, owner) -> z3.BoolRef:
        """Appends a record, after which ``owner`` owns the key."""
        history = [
            z3.If(s["length"] == i - 1, t[f"owner{i}"] == owner, t[f"owner{i}"] == s[f"owner{i}"])
            for i in range(1, MAX_LENGTH + 1)
        ]
        has_space = s["length"] < MAX_LENGTH
        return z3.And(has_space, t["length"] == s["length"] + 1, t["owner0"] == -1, *history)

    owners = [f"owner{i}" for i in range(MAX_LENGTH + 1)]

    def send_claim(s: State, t: State, c: int) -> z3.BoolRef:
        made_at = t[f"made_at{c}"] == (s["clock"] if removed_rule == "made at arrival" else 0)
        changed = z3.And(z3.Not(s[f"sent{c}"]), t[f"sent{c}"], made_at)
        return z3.And(changed, unchanged_except(s, t, f"sent{c}", f"made_at{c}"))

    def append_claim(s: State, t: State, c: int) -> z3.BoolRef:
        current = owner_at(s, s["length"])
        invalidated = (
            z3.BoolVal(False)
            if removed_rule == "early withdrawal ignored"
            else s[f"invalidated{c}"]
        )
        free = z3.Or(current == -1, z3.And(current >= 0, expired(s, current)))
        owner = z3.If(z3.And(free, z3.Not(invalidated)), c, current)
        ready = z3.And(s[f"sent{c}"], z3.Not(s[f"appended{c}"]), t[f"appended{c}"])
        return z3.And(
            ready,
            append_record(s, t, owner),
            unchanged_except(s, t, "length", f"appended{c}", *owners),
        )

    def expired(s: State, owner) -> z3.BoolRef:
        """A key may be dropped only after the horizon, by a clock that may be ahead."""
        return z3.Or(
            [
                z3.And(owner == c, s["clock"] + MARGIN / 2 - s[f"made_at{c}"] > HORIZON)
                for c in CLAIMS
            ]
        )

    def send_withdrawal(s: State, t: State, c: int) -> z3.BoolRef:
        allowed = [s[f"sent{c}"]]
        if removed_rule != "withdraw after dispatch" and removed_rule != "withdraw foreign claim":
            allowed.append(z3.Not(s[f"dispatched{c}"]))
        if removed_rule == "withdraw foreign claim":
            return z3.And(*allowed, apply_withdrawal(s, t, c))
        return z3.And(*allowed, t[f"withdrawn{c}"], unchanged_except(s, t, f"withdrawn{c}"))

    def apply_withdrawal(s: State, t: State, c: int) -> z3.BoolRef:
        current = owner_at(s, s["length"])
        after = append_record(s, t, z3.If(current == c, -1, current))
        return z3.And(
            after,
            t[f"invalidated{c}"],
            unchanged_except(s, t, "length", f"invalidated{c}", *owners),
        )

    def append_withdrawal(s: State, t: State, c: int) -> z3.BoolRef:
        return z3.And(s[f"withdrawn{c}"], z3.Not(s[f"invalidated{c}"]), apply_withdrawal(s, t, c))

    def read_log(s: State, t: State, v: int) -> z3.BoolRef:
        advances = z3.And(
            t[f"read_length{v}"] > s[f"read_length{v}"], t[f"read_length{v}"] <= s["length"]
        )
        return z3.And(advances, unchanged_except(s, t, f"read_length{v}"))

    def dispatch(s: State, t: State, c: int) -> z3.BoolRef:
        v = VM_OF_CLAIM[c]
        guards = [z3.Not(s[f"dispatched{c}"])]
        if removed_rule == "dispatch without owning":
            guards.append(s[f"appended{c}"])
        else:
            guards.append(owner_at(s, s[f"read_length{v}"]) == c)
        if removed_rule != "dispatch after withdrawal":
            guards.append(z3.Not(s[f"withdrawn{c}"]))
        if removed_rule != "no clock check":
            guards.append(s["clock"] + skews[v] - s[f"made_at{c}"] < HORIZON - MARGIN)
        return z3.And(*guards, t[f"dispatched{c}"], unchanged_except(s, t, f"dispatched{c}"))

    def advance_time(s: State, t: State) -> z3.BoolRef:
        return z3.And(t["clock"] > s["clock"], unchanged_except(s, t, "clock"))

    def actions(s: State, t: State) -> dict[str, z3.BoolRef]:
        per_claim = (send_claim, append_claim, send_withdrawal, append_withdrawal, dispatch)
        steps = {f"{act.__name__} {c}": act(s, t, c) for c in CLAIMS for act in per_claim}
        return (
            steps
            | {f"read_log {v}": read_log(s, t, v) for v in range(2)}
            | {"advance_time": advance_time(s, t)}
        )

    def initial(s: State) -> z3.BoolRef:
        unset = [z3.Not(s[n]) for n, sort in sorts.items() if sort == z3.BoolSort()]
        zero = [s[n] == 0 for n in ("length", "clock", "read_length0", "read_length1")]
        made_at = [s[f"made_at{c}"] == 0 for c in CLAIMS]
        return z3.And(*unset, *zero, *made_at, *[s[name] == -1 for name in owners])

    def safe(s: State) -> z3.BoolRef:
        dispatched = [z3.If(s[f"dispatched{c}"], 1, 0) for c in CLAIMS]
        invalid_owners = [
            z3.And(s[f"invalidated{c}"], s[f"appended{c}"], owner_at(s, s["length"]) == c)
            for c in CLAIMS
        ]
        return z3.And(z3.Sum(dispatched) <= 1, z3.Not(z3.Or(invalid_owners)))

    def invariant(s: State) -> z3.BoolRef:
        return z3.And(safe(s), ranges(s), *[claim_invariant(s, c) for c in CLAIMS])

    def ranges(s: State) -> z3.BoolRef:
        reads = [
            z3.And(s[f"read_length{v}"] >= 0, s[f"read_length{v}"] <= s["length"]) for v in range(2)
        ]
        owners_in_range = [z3.And(s[name] >= -1, s[name] <= max(CLAIMS)) for name in owners]
        length = z3.And(s["length"] >= 0, s["length"] <= MAX_LENGTH, s["owner0"] == -1)
        return z3.And(length, s["clock"] >= 0, *reads, *owners_in_range)

    def claim_invariant(s: State, c: int) -> z3.BoolRef:
        """A claim that owns the key and is not invalidated owns it until the horizon."""
        rules = [s[f"made_at{c}"] == 0, z3.Implies(s[f"invalidated{c}"], s[f"withdrawn{c}"])]
        rules.append(z3.Implies(s[f"withdrawn{c}"], s[f"sent{c}"]))
        rules.append(z3.Implies(s[f"appended{c}"], s[f"sent{c}"]))
        within_horizon = s["clock"] + MARGIN / 2 <= HORIZON
        for i in range(MAX_LENGTH + 1):
            owns = z3.And(s[f"owner{i}"] == c, i <= s["length"])
            rules.append(z3.Implies(owns, s[f"appended{c}"]))
            later = [
                z3.Implies(j <= s["length"], s[f"owner{j}"] == c)
                for j in range(i + 1, MAX_LENGTH + 1)
            ]
            rules.append(
                z3.Implies(
                    z3.And(owns, z3.Not(s[f"invalidated{c}"]), within_horizon), z3.And(later)
                )
            )
        dispatched = s[f"dispatched{c}"]
        rules.append(z3.Implies(dispatched, z3.Not(s[f"invalidated{c}"])))
        rules.append(z3.Implies(dispatched, z3.Not(s[f"withdrawn{c}"])))
        was_owner = [z3.And(i <= s["length"], s[f"owner{i}"] == c) for i in range(MAX_LENGTH + 1)]
        rules.append(z3.Implies(dispatched, z3.Or(was_owner)))
        return z3.And(rules)

    def goal(s: State) -> z3.BoolRef:
        """The second claim dispatches the key after the first was withdrawn."""
        return z3.And(s["invalidated0"], s["appended0"], s["dispatched1"])

    return Spec("at most once", sorts, initial, actions, safe, invariant, goal, clock_bounds)
