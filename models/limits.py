"""Member limits in a zone: floors by epoch, lent to brokers under leases.

Three VMs, three epochs with any members and any floors that sum to at most the share. A VM adopts
the newest epoch together with the chain of unsettled ones; it settles an epoch once all its other
members have told that they left it; it lends its floors to one broker of its epoch at a time.
``lent_until`` is when the lender may lend again, ``loan_until`` when the broker stops to use the
loan, both in true time: the lender's is never the earlier, for it counts the drift on top.
"""

import z3

from models.checker import Spec, State, keep

VMS = range(3)
EPOCHS = (1, 2, 3)

MUTANTS = {
    "no minimum": "a floor counts as in the newest epoch, whoever is still in an older one",
    "no chain": "a VM that adopts an epoch does not learn of the unsettled ones",
    "settle unheard": "a VM settles an epoch that others may still be in",
    "lend to anyone": "a broker that is not in the epoch may borrow",
    "lend twice": "a VM lends to another broker before the first loan has ended",
    "no drift margin": "the lender counts the lease no longer than the borrower",
    "any epoch": "a broker uses loans of an epoch that it has left",
}

SCHEDULES = {
    "any epoch": (
        "adopt 0",
        "adopt 1",
        "lend 1 to 0",
        "propose 0",
        "adopt 0",
        "propose 0",
        "adopt 1",
        "hear 1 of 0",
        "settle 1",
        "settle 1",
        "adopt 2",
        "lend 2 to 1",
    )
}


def build(without: str = "") -> Spec:
    """Returns the specification, with one rule taken out for a mutant."""
    share = z3.Int("share")
    floors = {(e, v): z3.Int(f"floor{e}_{v}") for e in EPOCHS for v in VMS}
    members = {(e, v): z3.Bool(f"member{e}_{v}") for e in EPOCHS for v in VMS}
    rules = [share >= 0]
    for e in EPOCHS:
        rules.append(z3.Sum([floors[e, v] for v in VMS]) <= share)
        for v in VMS:
            rules.append(floors[e, v] >= 0)
            rules.append(z3.Implies(z3.Not(members[e, v]), floors[e, v] == 0))
    integers = ["time", "epoch", "chain"]
    integers += [f"{kind}{v}" for kind in ("adopted", "low", "lent", "lent_until") for v in VMS]
    integers += [f"told{w}_{v}" for w in VMS for v in VMS]
    integers += [
        f"{kind}{w}_{v}" for kind in ("loan_until", "loan_epoch") for w in VMS for v in VMS
    ]
    sorts = {name: z3.IntSort() for name in integers}

    def of_epoch(table, epoch, v: int):
        """Looks a constant up by an epoch that is a variable."""
        first = table[EPOCHS[-1], v]
        for e in reversed(EPOCHS[:-1]):
            first = z3.If(epoch == e, table[e, v], first)
        return first

    def safe_floor(s: State, w: int, v: int) -> z3.ArithRef:
        """The smallest floor of v over the epochs that w holds unsettled."""
        newest = of_epoch(floors, s[f"adopted{w}"], v)
        if without == "no minimum":
            return newest
        value = newest
        for e in EPOCHS:
            held = z3.And(s[f"low{w}"] <= e, e <= s[f"adopted{w}"])
            value = z3.If(z3.And(held, floors[e, v] < value), floors[e, v], value)
        return value

    def is_used(s: State, w: int, v: int) -> z3.BoolRef:
        valid = s["time"] < s[f"loan_until{w}_{v}"]
        if without == "any epoch":
            return valid
        return z3.And(valid, s[f"loan_epoch{w}_{v}"] == s[f"adopted{w}"])

    def propose(s: State, t: State, w: int) -> z3.BoolRef:
        """A VM in the newest epoch proposes the next, and tells what is settled."""
        ready = z3.And(s["epoch"] < EPOCHS[-1], s[f"adopted{w}"] == s["epoch"])
        settled = z3.If(s[f"low{w}"] > s["chain"], s[f"low{w}"], s["chain"])
        grown = z3.And(t["epoch"] == s["epoch"] + 1, t["chain"] == settled)
        return z3.And(ready, grown, keep(s, t, "epoch", "chain"))

    def adopt(s: State, t: State, w: int) -> z3.BoolRef:
        newer = s[f"adopted{w}"] < s["epoch"]
        own_low = s[f"low{w}"]
        chain = s["epoch"] if without == "no chain" else s["chain"]
        low = z3.If(z3.Or(own_low == 0, own_low < chain), chain, own_low)
        low = z3.If(own_low == 0, chain, own_low) if without != "no chain" else low
        taken = z3.And(t[f"adopted{w}"] == s["epoch"], t[f"low{w}"] == low)
        return z3.And(newer, taken, keep(s, t, f"adopted{w}", f"low{w}"))

    def hear(s: State, t: State, w: int, v: int) -> z3.BoolRef:
        """A heartbeat may be old, but tells nothing that is not so."""
        told = t[f"told{w}_{v}"]
        grows = z3.And(told > s[f"told{w}_{v}"], told <= s[f"adopted{v}"])
        return z3.And(grows, keep(s, t, f"told{w}_{v}"))

    def settle(s: State, t: State, w: int) -> z3.BoolRef:
        low = s[f"low{w}"]
        left = [
            z3.Implies(of_epoch(members, low, v), s[f"told{w}_{v}"] > low) for v in VMS if v != w
        ]
        allowed = [low >= 1, low < s[f"adopted{w}"]]
        if without != "settle unheard":
            allowed += left
        return z3.And(*allowed, t[f"low{w}"] == low + 1, keep(s, t, f"low{w}"))

    def lend(s: State, t: State, v: int, w: int) -> z3.BoolRef:
        epoch = s[f"adopted{v}"]
        allowed = [epoch >= 1, s[f"adopted{w}"] == epoch]
        if without != "lend to anyone":
            allowed.append(of_epoch(members, epoch, w))
        if without != "lend twice":
            allowed.append(z3.Or(s[f"lent{v}"] == w, s["time"] >= s[f"lent_until{v}"]))
        lent_until, loan_until = t[f"lent_until{v}"], t[f"loan_until{w}_{v}"]
        ends = [lent_until > s["time"], loan_until > s["time"]]
        ends.append(lent_until >= s[f"lent_until{v}"])
        if without != "no drift margin":
            ends.append(loan_until <= lent_until)
        changed = (f"lent{v}", f"lent_until{v}", f"loan_until{w}_{v}", f"loan_epoch{w}_{v}")
        noted = z3.And(t[f"lent{v}"] == w, t[f"loan_epoch{w}_{v}"] == epoch)
        return z3.And(*allowed, *ends, noted, keep(s, t, *changed))

    def tick(s: State, t: State) -> z3.BoolRef:
        return z3.And(t["time"] > s["time"], keep(s, t, "time"))

    def actions(s: State, t: State) -> dict[str, z3.BoolRef]:
        single = (propose, adopt, settle)
        steps = {f"{act.__name__} {w}": act(s, t, w) for w in VMS for act in single}
        steps |= {f"lend {v} to {w}": lend(s, t, v, w) for v in VMS for w in VMS}
        steps |= {f"hear {w} of {v}": hear(s, t, w, v) for w in VMS for v in VMS if w != v}
        return steps | {"tick": tick(s, t)}

    def initial(s: State) -> z3.BoolRef:
        return z3.And(
            *[s[n] == 0 for n in sorts if n not in ("epoch", "chain")],
            s["epoch"] == 1,
            s["chain"] == 1,
        )

    def safe(s: State) -> z3.BoolRef:
        used = [z3.If(is_used(s, w, v), safe_floor(s, w, v), 0) for w in VMS for v in VMS]
        return z3.Sum(used) <= share

    def invariant(s: State) -> z3.BoolRef:
        parts = [safe(s), s["chain"] >= 1, s["chain"] <= s["epoch"], s["epoch"] <= EPOCHS[-1]]
        parts.append(s["time"] >= 0)
        for w in VMS:
            adopted, low = s[f"adopted{w}"], s[f"low{w}"]
            parts += [adopted >= 0, adopted <= s["epoch"], low <= adopted]
            parts.append(z3.If(adopted == 0, low == 0, low >= 1))
            parts += [
                z3.And(s[f"told{w}_{v}"] >= 0, s[f"told{w}_{v}"] <= s[f"adopted{v}"]) for v in VMS
            ]
            parts += [loan_invariant(s, w, v) for v in VMS]
            parts += [left_invariant(s, low, u, w) for u in VMS]
        parts += [left_invariant(s, s["chain"], u, None) for u in VMS]
        return z3.And(parts)

    def loan_invariant(s: State, w: int, v: int) -> z3.BoolRef:
        """A loan in use is the only one of its floors, and its broker is in its epoch."""
        valid = s["time"] < s[f"loan_until{w}_{v}"]
        epoch = s[f"loan_epoch{w}_{v}"]
        mine = z3.And(s[f"lent{v}"] == w, s[f"loan_until{w}_{v}"] <= s[f"lent_until{v}"])
        in_epoch = z3.And(epoch >= 1, epoch <= s[f"adopted{v}"], epoch <= s[f"adopted{w}"])
        return z3.Implies(valid, z3.And(mine, in_epoch, of_epoch(members, epoch, w)))

    def left_invariant(s: State, low, u: int, w: int | None) -> z3.BoolRef:
        """All members of an epoch below ``low`` have left it."""
        if u == w:
            return z3.BoolVal(True)
        cases = [z3.Implies(z3.And(e < low, members[e, u]), s[f"adopted{u}"] > e) for e in EPOCHS]
        return z3.And(cases)

    def goal(s: State) -> z3.BoolRef:
        """One broker uses floors of all three VMs in the newest epoch, older ones settled."""
        all_lent = [is_used(s, 0, v) for v in VMS]
        return z3.And(*all_lent, s["adopted0"] == 2, s["low0"] == 2, members[1, 1])

    return Spec("limits", sorts, initial, actions, safe, invariant, goal, z3.And(rules))
