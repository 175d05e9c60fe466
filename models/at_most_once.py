"""At most once: claims of one key on the log, by two VMs, with three claim ids.

Claim 0 and 2 are of the first VM, claim 1 of the second; VM v reads any prefix of the log. A record
that was sent may land at any later time, or never, so lost answers and late appends are covered; a
crash is a VM that takes no more steps. ``holder_i`` is the claim that holds the key after i
records, -1 for none: the fold of decisions/claims.py. The clock matters only at dispatch: all
claims of one request bear the time it was made, each VM's clock is off by up to half the margin,
and the fold forgets a key once the horizon has passed.
"""

import z3

from models.checker import Spec, State, keep

CLAIMS = range(3)
VM_OF_CLAIM = (0, 1, 0)
LENGTH = 6
HORIZON, MARGIN = 100, 10
NONE, CLAIM, WITHDRAWAL = 0, 1, 2

MUTANTS = {
    "dispatch without holding": "a VM dispatches once its claim is on the log, first or not",
    "dispatch after withdrawal": "a VM goes on with a claim that it has withdrawn",
    "withdraw for others": "a VM withdraws another VM's claim that waits for long",
    "withdraw after dispatch": "a VM withdraws a claim that it has dispatched",
    "no clock check": "a VM does not read the clock again before it dispatches",
    "made at arrival": "a claim bears the time of its arrival instead of the request's",
    "withdrawal only voids before": "a withdrawal that lands before its claim is forgotten",
}


def build(without: str = "") -> Spec:
    """Returns the specification, with one rule taken out for a mutant."""
    sorts = {"length": z3.IntSort(), "clock": z3.IntSort()}
    for c in CLAIMS:
        sorts |= {f"sent{c}": z3.BoolSort(), f"landed{c}": z3.BoolSort()}
        sorts |= {f"withdrawn{c}": z3.BoolSort(), f"void{c}": z3.BoolSort()}
        sorts |= {f"dispatched{c}": z3.BoolSort(), f"made{c}": z3.IntSort()}
    sorts |= {f"read{v}": z3.IntSort() for v in range(2)}
    sorts |= {f"holder{i}": z3.IntSort() for i in range(LENGTH + 1)}
    skews = [z3.Int(f"skew{v}") for v in range(2)]
    bounded = z3.And([z3.And(2 * skew >= -MARGIN, 2 * skew <= MARGIN) for skew in skews])

    def holder_at(s: State, index) -> z3.ArithRef:
        value = s[f"holder{LENGTH}"]
        for i in reversed(range(LENGTH)):
            value = z3.If(index == i, s[f"holder{i}"], value)
        return value

    def land(s: State, t: State, holder) -> z3.BoolRef:
        """A record lands; the key is held by ``holder`` after it."""
        kept = [
            z3.If(
                s["length"] == i - 1, t[f"holder{i}"] == holder, t[f"holder{i}"] == s[f"holder{i}"]
            )
            for i in range(1, LENGTH + 1)
        ]
        fits = s["length"] < LENGTH
        return z3.And(fits, t["length"] == s["length"] + 1, t["holder0"] == -1, *kept)

    holders = [f"holder{i}" for i in range(LENGTH + 1)]

    def send(s: State, t: State, c: int) -> z3.BoolRef:
        made = t[f"made{c}"] == (s["clock"] if without == "made at arrival" else 0)
        changed = z3.And(z3.Not(s[f"sent{c}"]), t[f"sent{c}"], made)
        return z3.And(changed, keep(s, t, f"sent{c}", f"made{c}"))

    def land_claim(s: State, t: State, c: int) -> z3.BoolRef:
        now = holder_at(s, s["length"])
        void = z3.BoolVal(False) if without == "withdrawal only voids before" else s[f"void{c}"]
        free = z3.Or(now == -1, z3.And(now >= 0, expired(s, now)))
        holder = z3.If(z3.And(free, z3.Not(void)), c, now)
        ready = z3.And(s[f"sent{c}"], z3.Not(s[f"landed{c}"]), t[f"landed{c}"])
        return z3.And(ready, land(s, t, holder), keep(s, t, "length", f"landed{c}", *holders))

    def expired(s: State, holder) -> z3.BoolRef:
        """The fold may forget a key only after the horizon, by a clock that may be ahead."""
        return z3.Or(
            [z3.And(holder == c, s["clock"] + MARGIN / 2 - s[f"made{c}"] > HORIZON) for c in CLAIMS]
        )

    def withdraw(s: State, t: State, c: int) -> z3.BoolRef:
        allowed = [s[f"sent{c}"]]
        if without != "withdraw after dispatch" and without != "withdraw for others":
            allowed.append(z3.Not(s[f"dispatched{c}"]))
        if without == "withdraw for others":
            return z3.And(*allowed, land_withdrawal(s, t, c))
        return z3.And(*allowed, t[f"withdrawn{c}"], keep(s, t, f"withdrawn{c}"))

    def land_withdrawal(s: State, t: State, c: int) -> z3.BoolRef:
        now = holder_at(s, s["length"])
        after = land(s, t, z3.If(now == c, -1, now))
        return z3.And(after, t[f"void{c}"], keep(s, t, "length", f"void{c}", *holders))

    def withdrawal_lands(s: State, t: State, c: int) -> z3.BoolRef:
        return z3.And(s[f"withdrawn{c}"], z3.Not(s[f"void{c}"]), land_withdrawal(s, t, c))

    def read(s: State, t: State, v: int) -> z3.BoolRef:
        grows = z3.And(t[f"read{v}"] > s[f"read{v}"], t[f"read{v}"] <= s["length"])
        return z3.And(grows, keep(s, t, f"read{v}"))

    def dispatch(s: State, t: State, c: int) -> z3.BoolRef:
        v = VM_OF_CLAIM[c]
        guards = [z3.Not(s[f"dispatched{c}"])]
        if without == "dispatch without holding":
            guards.append(s[f"landed{c}"])
        else:
            guards.append(holder_at(s, s[f"read{v}"]) == c)
        if without != "dispatch after withdrawal":
            guards.append(z3.Not(s[f"withdrawn{c}"]))
        if without != "no clock check":
            guards.append(s["clock"] + skews[v] - s[f"made{c}"] < HORIZON - MARGIN)
        return z3.And(*guards, t[f"dispatched{c}"], keep(s, t, f"dispatched{c}"))

    def tick(s: State, t: State) -> z3.BoolRef:
        return z3.And(t["clock"] > s["clock"], keep(s, t, "clock"))

    def actions(s: State, t: State) -> dict[str, z3.BoolRef]:
        per_claim = (send, land_claim, withdraw, withdrawal_lands, dispatch)
        steps = {f"{act.__name__} {c}": act(s, t, c) for c in CLAIMS for act in per_claim}
        return steps | {f"read {v}": read(s, t, v) for v in range(2)} | {"tick": tick(s, t)}

    def initial(s: State) -> z3.BoolRef:
        off = [z3.Not(s[n]) for n, sort in sorts.items() if sort == z3.BoolSort()]
        zero = [s[n] == 0 for n in ("length", "clock", "read0", "read1")]
        made = [s[f"made{c}"] == 0 for c in CLAIMS]
        return z3.And(*off, *zero, *made, *[s[h] == -1 for h in holders])

    def safe(s: State) -> z3.BoolRef:
        dispatched = [z3.If(s[f"dispatched{c}"], 1, 0) for c in CLAIMS]
        blocked = [
            z3.And(s[f"void{c}"], s[f"landed{c}"], holder_at(s, s["length"]) == c) for c in CLAIMS
        ]
        return z3.And(z3.Sum(dispatched) <= 1, z3.Not(z3.Or(blocked)))

    def invariant(s: State) -> z3.BoolRef:
        return z3.And(safe(s), ranges(s), *[claim_invariant(s, c) for c in CLAIMS])

    def ranges(s: State) -> z3.BoolRef:
        reads = [z3.And(s[f"read{v}"] >= 0, s[f"read{v}"] <= s["length"]) for v in range(2)]
        holders_in = [z3.And(s[h] >= -1, s[h] <= max(CLAIMS)) for h in holders]
        length = z3.And(s["length"] >= 0, s["length"] <= LENGTH, s["holder0"] == -1)
        return z3.And(length, s["clock"] >= 0, *reads, *holders_in)

    def claim_invariant(s: State, c: int) -> z3.BoolRef:
        """A claim that is not void, once it holds the key, holds it until the horizon."""
        rules = [s[f"made{c}"] == 0, z3.Implies(s[f"void{c}"], s[f"withdrawn{c}"])]
        rules.append(z3.Implies(s[f"withdrawn{c}"], s[f"sent{c}"]))
        rules.append(z3.Implies(s[f"landed{c}"], s[f"sent{c}"]))
        young = s["clock"] + MARGIN / 2 <= HORIZON
        for i in range(LENGTH + 1):
            held = z3.And(s[f"holder{i}"] == c, i <= s["length"])
            rules.append(z3.Implies(held, s[f"landed{c}"]))
            later = [
                z3.Implies(j <= s["length"], s[f"holder{j}"] == c) for j in range(i + 1, LENGTH + 1)
            ]
            rules.append(z3.Implies(z3.And(held, z3.Not(s[f"void{c}"]), young), z3.And(later)))
        dispatched = s[f"dispatched{c}"]
        rules.append(z3.Implies(dispatched, z3.Not(s[f"void{c}"])))
        rules.append(z3.Implies(dispatched, z3.Not(s[f"withdrawn{c}"])))
        was_holder = [z3.And(i <= s["length"], s[f"holder{i}"] == c) for i in range(LENGTH + 1)]
        rules.append(z3.Implies(dispatched, z3.Or(was_holder)))
        return z3.And(rules)

    def goal(s: State) -> z3.BoolRef:
        """The key is dispatched under its second claim, after the first was withdrawn."""
        return z3.And(s["void0"], s["landed0"], s["dispatched1"])

    return Spec("at most once", sorts, initial, actions, safe, invariant, goal, bounded)
