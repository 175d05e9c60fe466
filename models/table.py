"""Table edits: one row, three changes on the log, two reading VMs, snapshots and expiry.

``row_i`` is the change that set the row after i records, -1 for none, and ``at_i`` the length of
the log when it did: its revision. An operator reads any prefix, sends a change with the revision
seen there, and may send it again after a lost answer; each copy lands at any time or never. A VM
folds record by record; it may take a whole fold from a peer or a snapshot; records expire from the
front.
"""

import z3

from models.checker import Spec, State, keep

CHANGES = range(3)
LENGTH = 5

MUTANTS = {
    "no base check": "a change is accepted whatever revision it was made from",
    "no id check": "a second copy of a change is judged again",
    "install anything": "a VM takes a peer's fold although its own is ahead",
    "skip expired": "a VM that lacks expired records goes on without a snapshot",
}


def build(without: str = "") -> Spec:
    """Returns the specification, with one rule taken out for a mutant."""
    sorts = {"length": z3.IntSort(), "first": z3.IntSort(), "overwritten": z3.BoolSort()}
    for i in range(LENGTH + 1):
        sorts |= {f"row{i}": z3.IntSort(), f"at{i}": z3.IntSort()}
    for c in CHANGES:
        sorts |= {f"sent{c}": z3.BoolSort(), f"base{c}": z3.IntSort()}
        sorts |= {f"judged{c}": z3.BoolSort(), f"accepted{c}": z3.BoolSort()}
        sorts |= {f"denied{c}": z3.BoolSort()}
    for v in range(2):
        sorts |= {f"offset{v}": z3.IntSort(), f"value{v}": z3.IntSort(), f"back{v}": z3.BoolSort()}
    history = [f"{kind}{i}" for kind in ("row", "at") for i in range(LENGTH + 1)]

    def pick(s: State, kind: str, index) -> z3.ArithRef:
        value = s[f"{kind}{LENGTH}"]
        for i in reversed(range(LENGTH)):
            value = z3.If(index == i, s[f"{kind}{i}"], value)
        return value

    def send(s: State, t: State, c: int) -> z3.BoolRef:
        prefix = z3.Int(f"prefix{c}")
        seen = z3.And(prefix >= 0, prefix <= s["length"], t[f"base{c}"] == pick(s, "at", prefix))
        fresh = z3.And(z3.Not(s[f"sent{c}"]), t[f"sent{c}"])
        return z3.And(fresh, z3.Exists([prefix], seen), keep(s, t, f"sent{c}", f"base{c}"))

    def land(s: State, t: State, c: int) -> z3.BoolRef:
        """A copy of a change lands, and all folds judge it alike."""
        row, at = pick(s, "row", s["length"]), pick(s, "at", s["length"])
        again = z3.BoolVal(False) if without == "no id check" else s[f"judged{c}"]
        current = z3.BoolVal(True) if without == "no base check" else s[f"base{c}"] == at
        accept = z3.And(z3.Not(again), current)
        deny = z3.And(z3.Not(again), z3.Not(current))
        new_row, new_at = z3.If(accept, c, row), z3.If(accept, s["length"] + 1, at)
        grown = [
            z3.If(
                s["length"] == i - 1,
                z3.And(t[f"row{i}"] == new_row, t[f"at{i}"] == new_at),
                z3.And(t[f"row{i}"] == s[f"row{i}"], t[f"at{i}"] == s[f"at{i}"]),
            )
            for i in range(1, LENGTH + 1)
        ]
        unseen = z3.And(accept, s[f"base{c}"] != at)
        return z3.And(
            s[f"sent{c}"],
            s["length"] < LENGTH,
            t["length"] == s["length"] + 1,
            t["row0"] == -1,
            t["at0"] == 0,
            *grown,
            t[f"judged{c}"],
            t[f"accepted{c}"] == z3.Or(s[f"accepted{c}"], accept),
            t[f"denied{c}"] == z3.Or(s[f"denied{c}"], deny),
            t["overwritten"] == z3.Or(s["overwritten"], unseen),
            keep(
                s, t, "length", "overwritten", f"judged{c}", f"accepted{c}", f"denied{c}", *history
            ),
        )

    def expire(s: State, t: State) -> z3.BoolRef:
        return z3.And(s["first"] < t["first"], t["first"] <= s["length"], keep(s, t, "first"))

    def fold(s: State, t: State, v: int) -> z3.BoolRef:
        """Folds the next record. Without a snapshot, an expired record must not be skipped."""
        offset = s[f"offset{v}"]
        there = z3.And(offset < s["length"], t[f"offset{v}"] == offset + 1)
        right = pick(s, "row", offset + 1)
        if without == "skip expired":
            stale = z3.If(right == pick(s, "row", offset), s[f"value{v}"], right)
            value = z3.If(offset < s["first"], s[f"value{v}"], stale)
            return z3.And(there, t[f"value{v}"] == value, keep(s, t, f"offset{v}", f"value{v}"))
        changes = right != pick(s, "row", offset)
        value = z3.If(changes, right, s[f"value{v}"])
        kept = offset >= s["first"]
        return z3.And(there, kept, t[f"value{v}"] == value, keep(s, t, f"offset{v}", f"value{v}"))

    def install_peer(s: State, t: State, v: int) -> z3.BoolRef:
        """Takes the other VM's fold."""
        other = 1 - v
        ahead = s[f"offset{other}"] > s[f"offset{v}"]
        allowed = z3.BoolVal(True) if without == "install anything" else ahead
        taken = z3.And(t[f"offset{v}"] == s[f"offset{other}"], t[f"value{v}"] == s[f"value{other}"])
        back = t[f"back{v}"] == z3.Or(s[f"back{v}"], z3.Not(ahead))
        return z3.And(allowed, taken, back, keep(s, t, f"offset{v}", f"value{v}", f"back{v}"))

    def install_snapshot(s: State, t: State, v: int) -> z3.BoolRef:
        """Takes a snapshot of any offset ahead: a function of the fold there."""
        offset = t[f"offset{v}"]
        ahead = z3.And(offset > s[f"offset{v}"], offset <= s["length"])
        taken = t[f"value{v}"] == pick(s, "row", offset)
        return z3.And(ahead, taken, keep(s, t, f"offset{v}", f"value{v}"))

    def reboot(s: State, t: State, v: int) -> z3.BoolRef:
        """A new VM takes the place of one; it is a new reader, so it does not go back."""
        blank = z3.And(t[f"offset{v}"] == 0, t[f"value{v}"] == -1)
        return z3.And(blank, keep(s, t, f"offset{v}", f"value{v}"))

    def actions(s: State, t: State) -> dict[str, z3.BoolRef]:
        per_vm = (fold, install_peer, install_snapshot, reboot)
        steps = {f"{act.__name__} {c}": act(s, t, c) for c in CHANGES for act in (send, land)}
        steps |= {f"{act.__name__} {v}": act(s, t, v) for v in range(2) for act in per_vm}
        return steps | {"expire": expire(s, t)}

    def initial(s: State) -> z3.BoolRef:
        off = [z3.Not(s[n]) for n, sort in sorts.items() if sort == z3.BoolSort()]
        numbers = ["length", "first", "offset0", "offset1"]
        numbers += [f"at{i}" for i in range(LENGTH + 1)] + [f"base{c}" for c in CHANGES]
        rows = [s[f"row{i}"] == -1 for i in range(LENGTH + 1)]
        return z3.And(
            *off, *[s[n] == 0 for n in numbers], *rows, s["value0"] == -1, s["value1"] == -1
        )

    def safe(s: State) -> z3.BoolRef:
        """All VMs agree with the log, none goes back, no edit is lost, no verdict changes."""
        agree = [s[f"value{v}"] == pick(s, "row", s[f"offset{v}"]) for v in range(2)]
        forward = [z3.Not(s[f"back{v}"]) for v in range(2)]
        steady = [z3.Not(z3.And(s[f"accepted{c}"], s[f"denied{c}"])) for c in CHANGES]
        return z3.And(*agree, *forward, *steady, z3.Not(s["overwritten"]))

    def invariant(s: State) -> z3.BoolRef:
        bounds = [s["first"] >= 0, s["first"] <= s["length"], s["length"] <= LENGTH]
        bounds += [z3.And(s[f"offset{v}"] >= 0, s[f"offset{v}"] <= s["length"]) for v in range(2)]
        base = [s["row0"] == -1, s["at0"] == 0]
        judged = [
            z3.Implies(z3.Or(s[f"accepted{c}"], s[f"denied{c}"]), s[f"judged{c}"]) for c in CHANGES
        ]
        return z3.And(safe(s), *bounds, *base, *judged)

    def goal(s: State) -> z3.BoolRef:
        """Two changes of the row are in force, one after the other, and a VM has both."""
        return z3.And(s["accepted0"], s["accepted1"], s["value0"] == 1, s["first"] > 0)

    return Spec("table", sorts, initial, actions, safe, invariant, goal)
