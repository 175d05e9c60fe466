"""Table changes: one row, three changes in the log, two VMs that read it, snapshots and expiry.

``row_i`` is the change that set the row after i records, -1 for none, and ``revision_i`` is the
length of the log at that change. An operator reads some prefix, sends a change based on the
revision found there, and may send it again if the acknowledgement is lost; each copy is appended at
any time or never. A VM applies records one by one, or installs the state of a peer or a snapshot.
Records expire from the front of the log.
"""

import z3

from models.checker import Spec, State, unchanged_except

CHANGES = range(3)
MAX_LENGTH = 5

MUTANTS = {
    "no revision check": "a change is accepted whatever revision it is based on",
    "no id check": "a second copy of a change is processed again",
    "install older state": "a VM installs a peer's state although its own is ahead",
    "skip expired": "a VM that lacks expired records continues without a snapshot",
}


def build(removed_rule: str = "") -> Spec:
    """Returns the specification; a mutant lacks one rule."""
    sorts = {"length": z3.IntSort(), "first": z3.IntSort(), "overwritten": z3.BoolSort()}
    for i in range(MAX_LENGTH + 1):
        sorts |= {f"row{i}": z3.IntSort(), f"revision{i}": z3.IntSort()}
    for c in CHANGES:
        sorts |= {f"sent{c}": z3.BoolSort(), f"base{c}": z3.IntSort()}
        sorts |= {f"decided{c}": z3.BoolSort(), f"accepted{c}": z3.BoolSort()}
        sorts |= {f"conflicted{c}": z3.BoolSort()}
    for v in range(2):
        sorts |= {
            f"offset{v}": z3.IntSort(),
            f"value{v}": z3.IntSort(),
            f"went_back{v}": z3.BoolSort(),
        }
    history = [f"{kind}{i}" for kind in ("row", "revision") for i in range(MAX_LENGTH + 1)]

    def value_at(s: State, kind: str, index) -> z3.ArithRef:
        value = s[f"{kind}{MAX_LENGTH}"]
        for i in reversed(range(MAX_LENGTH)):
            value = z3.If(index == i, s[f"{kind}{i}"], value)
        return value

    def send(s: State, t: State, c: int) -> z3.BoolRef:
        prefix = z3.Int(f"prefix{c}")
        based_on_prefix = z3.And(
            prefix >= 0, prefix <= s["length"], t[f"base{c}"] == value_at(s, "revision", prefix)
        )
        is_new = z3.And(z3.Not(s[f"sent{c}"]), t[f"sent{c}"])
        return z3.And(
            is_new,
            z3.Exists([prefix], based_on_prefix),
            unchanged_except(s, t, f"sent{c}", f"base{c}"),
        )

    def append(s: State, t: State, c: int) -> z3.BoolRef:
        """Appends a copy of a change, on which all state machines decide alike."""
        row, revision = value_at(s, "row", s["length"]), value_at(s, "revision", s["length"])
        is_duplicate = z3.BoolVal(False) if removed_rule == "no id check" else s[f"decided{c}"]
        is_current = (
            z3.BoolVal(True) if removed_rule == "no revision check" else s[f"base{c}"] == revision
        )
        accept = z3.And(z3.Not(is_duplicate), is_current)
        conflict = z3.And(z3.Not(is_duplicate), z3.Not(is_current))
        new_row, new_revision = z3.If(accept, c, row), z3.If(accept, s["length"] + 1, revision)
        new_history = [
            z3.If(
                s["length"] == i - 1,
                z3.And(t[f"row{i}"] == new_row, t[f"revision{i}"] == new_revision),
                z3.And(t[f"row{i}"] == s[f"row{i}"], t[f"revision{i}"] == s[f"revision{i}"]),
            )
            for i in range(1, MAX_LENGTH + 1)
        ]
        overwrites = z3.And(accept, s[f"base{c}"] != revision)
        return z3.And(
            s[f"sent{c}"],
            s["length"] < MAX_LENGTH,
            t["length"] == s["length"] + 1,
            t["row0"] == -1,
            t["revision0"] == 0,
            *new_history,
            t[f"decided{c}"],
            t[f"accepted{c}"] == z3.Or(s[f"accepted{c}"], accept),
            t[f"conflicted{c}"] == z3.Or(s[f"conflicted{c}"], conflict),
            t["overwritten"] == z3.Or(s["overwritten"], overwrites),
            unchanged_except(
                s,
                t,
                "length",
                "overwritten",
                f"decided{c}",
                f"accepted{c}",
                f"conflicted{c}",
                *history,
            ),
        )

    def expire_records(s: State, t: State) -> z3.BoolRef:
        return z3.And(
            s["first"] < t["first"], t["first"] <= s["length"], unchanged_except(s, t, "first")
        )

    def apply_next(s: State, t: State, v: int) -> z3.BoolRef:
        """Applies the next record; an expired record is never skipped without a snapshot."""
        offset = s[f"offset{v}"]
        advances = z3.And(offset < s["length"], t[f"offset{v}"] == offset + 1)
        current_row = value_at(s, "row", offset + 1)
        if removed_rule == "skip expired":
            changed_row = z3.If(
                current_row == value_at(s, "row", offset), s[f"value{v}"], current_row
            )
            value = z3.If(offset < s["first"], s[f"value{v}"], changed_row)
            return z3.And(
                advances, t[f"value{v}"] == value, unchanged_except(s, t, f"offset{v}", f"value{v}")
            )
        is_changed = current_row != value_at(s, "row", offset)
        value = z3.If(is_changed, current_row, s[f"value{v}"])
        is_kept = offset >= s["first"]
        return z3.And(
            advances,
            is_kept,
            t[f"value{v}"] == value,
            unchanged_except(s, t, f"offset{v}", f"value{v}"),
        )

    def install_peer_snapshot(s: State, t: State, v: int) -> z3.BoolRef:
        """Installs the other VM's state."""
        other = 1 - v
        ahead = s[f"offset{other}"] > s[f"offset{v}"]
        allowed = z3.BoolVal(True) if removed_rule == "install older state" else ahead
        installed = z3.And(
            t[f"offset{v}"] == s[f"offset{other}"], t[f"value{v}"] == s[f"value{other}"]
        )
        went_back = t[f"went_back{v}"] == z3.Or(s[f"went_back{v}"], z3.Not(ahead))
        return z3.And(
            allowed,
            installed,
            went_back,
            unchanged_except(s, t, f"offset{v}", f"value{v}", f"went_back{v}"),
        )

    def install_stored_snapshot(s: State, t: State, v: int) -> z3.BoolRef:
        """Installs a stored snapshot: the state at any offset ahead."""
        offset = t[f"offset{v}"]
        ahead = z3.And(offset > s[f"offset{v}"], offset <= s["length"])
        installed = t[f"value{v}"] == value_at(s, "row", offset)
        return z3.And(ahead, installed, unchanged_except(s, t, f"offset{v}", f"value{v}"))

    def replace_vm(s: State, t: State, v: int) -> z3.BoolRef:
        """Replaces a VM by a new one, which starts from the beginning and so does not go back."""
        empty = z3.And(t[f"offset{v}"] == 0, t[f"value{v}"] == -1)
        return z3.And(empty, unchanged_except(s, t, f"offset{v}", f"value{v}"))

    def actions(s: State, t: State) -> dict[str, z3.BoolRef]:
        vm_actions = (apply_next, install_peer_snapshot, install_stored_snapshot, replace_vm)
        steps = {f"{act.__name__} {c}": act(s, t, c) for c in CHANGES for act in (send, append)}
        steps |= {f"{act.__name__} {v}": act(s, t, v) for v in range(2) for act in vm_actions}
        return steps | {"expire_records": expire_records(s, t)}

    def initial(s: State) -> z3.BoolRef:
        unset = [z3.Not(s[n]) for n, sort in sorts.items() if sort == z3.BoolSort()]
        numbers = ["length", "first", "offset0", "offset1"]
        numbers += [f"revision{i}" for i in range(MAX_LENGTH + 1)] + [f"base{c}" for c in CHANGES]
        rows = [s[f"row{i}"] == -1 for i in range(MAX_LENGTH + 1)]
        return z3.And(
            *unset, *[s[n] == 0 for n in numbers], *rows, s["value0"] == -1, s["value1"] == -1
        )

    def safe(s: State) -> z3.BoolRef:
        """VMs agree with the log, none goes back, no change is lost, no verdict is revised."""
        consistent = [s[f"value{v}"] == value_at(s, "row", s[f"offset{v}"]) for v in range(2)]
        monotonic = [z3.Not(s[f"went_back{v}"]) for v in range(2)]
        final_verdicts = [z3.Not(z3.And(s[f"accepted{c}"], s[f"conflicted{c}"])) for c in CHANGES]
        return z3.And(*consistent, *monotonic, *final_verdicts, z3.Not(s["overwritten"]))

    def invariant(s: State) -> z3.BoolRef:
        bounds = [s["first"] >= 0, s["first"] <= s["length"], s["length"] <= MAX_LENGTH]
        bounds += [z3.And(s[f"offset{v}"] >= 0, s[f"offset{v}"] <= s["length"]) for v in range(2)]
        base = [s["row0"] == -1, s["revision0"] == 0]
        decided = [
            z3.Implies(z3.Or(s[f"accepted{c}"], s[f"conflicted{c}"]), s[f"decided{c}"])
            for c in CHANGES
        ]
        return z3.And(safe(s), *bounds, *base, *decided)

    def goal(s: State) -> z3.BoolRef:
        """Two changes of the row were accepted in turn, and a VM has applied both."""
        return z3.And(s["accepted0"], s["accepted1"], s["value0"] == 1, s["first"] > 0)

    return Spec("table", sorts, initial, actions, safe, invariant, goal)
