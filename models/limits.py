"""Member limits in a zone: a quota for each VM and epoch, lent to brokers under leases.

Three VMs, three epochs with arbitrary VMs, and arbitrary quotas that add up to at most the zone's
quota. A VM adopts the newest epoch and with it all unsettled ones; it drops an epoch once all other
VMs of that epoch have reported a later one; it lends its quotas to one broker of its epoch at a
time. ``lender_expiry`` is when the lender may lend again, ``borrower_expiry`` when the broker stops
using the loan, both in true time: the lender adds the clock drift, so it is never the earlier.
"""

import z3

from models.checker import Spec, State, unchanged_except

VMS = range(3)
EPOCHS = (1, 2, 3)

MUTANTS = {
    "no minimum": "the quota of the newest epoch is used while VMs are still in older ones",
    "no unsettled epochs": "a VM that adopts an epoch does not learn the unsettled ones",
    "drop without reports": "a VM drops an epoch that others may still be in",
    "lend outside epoch": "a broker that is not in the epoch may borrow",
    "lend twice": "a VM lends to another broker before the first loan has expired",
    "no drift margin": "the lender does not extend the lease by the clock drift",
    "loan of old epoch": "a broker uses loans of an epoch that it has left",
}

SCHEDULES = {
    "loan of old epoch": (
        "adopt 0",
        "adopt 1",
        "lend 1 to 0",
        "propose 0",
        "adopt 0",
        "propose 0",
        "adopt 1",
        "receive_epoch_number 1 from 0",
        "drop_epoch 1",
        "drop_epoch 1",
        "adopt 2",
        "lend 2 to 1",
    )
}


def build(removed_rule: str = "") -> Spec:
    """Returns the specification; a mutant lacks one rule."""
    zone_quota = z3.Int("zone_quota")
    quotas = {(e, v): z3.Int(f"quota{e}_{v}") for e in EPOCHS for v in VMS}
    in_epoch = {(e, v): z3.Bool(f"in_epoch{e}_{v}") for e in EPOCHS for v in VMS}
    constraints = [zone_quota >= 0]
    for e in EPOCHS:
        constraints.append(z3.Sum([quotas[e, v] for v in VMS]) <= zone_quota)
        for v in VMS:
            constraints.append(quotas[e, v] >= 0)
            constraints.append(z3.Implies(z3.Not(in_epoch[e, v]), quotas[e, v] == 0))
    integers = ["time", "epoch", "log_oldest"]
    integers += [
        f"{kind}{v}" for kind in ("adopted", "oldest", "borrower", "lender_expiry") for v in VMS
    ]
    integers += [f"reported{w}_{v}" for w in VMS for v in VMS]
    integers += [
        f"{kind}{w}_{v}" for kind in ("borrower_expiry", "loan_epoch") for w in VMS for v in VMS
    ]
    sorts = {name: z3.IntSort() for name in integers}

    def at_epoch(constants, epoch, v: int):
        """Returns a constant of the epoch whose number is a variable."""
        value = constants[EPOCHS[-1], v]
        for e in reversed(EPOCHS[:-1]):
            value = z3.If(epoch == e, constants[e, v], value)
        return value

    def safe_quota(s: State, w: int, v: int) -> z3.ArithRef:
        """The smallest quota of v over the epochs that w has not dropped."""
        newest = at_epoch(quotas, s[f"adopted{w}"], v)
        if removed_rule == "no minimum":
            return newest
        value = newest
        for e in EPOCHS:
            is_unsettled = z3.And(s[f"oldest{w}"] <= e, e <= s[f"adopted{w}"])
            value = z3.If(z3.And(is_unsettled, quotas[e, v] < value), quotas[e, v], value)
        return value

    def is_loan_active(s: State, w: int, v: int) -> z3.BoolRef:
        valid = s["time"] < s[f"borrower_expiry{w}_{v}"]
        if removed_rule == "loan of old epoch":
            return valid
        return z3.And(valid, s[f"loan_epoch{w}_{v}"] == s[f"adopted{w}"])

    def propose(s: State, t: State, w: int) -> z3.BoolRef:
        """A VM in the newest epoch proposes the next one, with the oldest unsettled epoch."""
        ready = z3.And(s["epoch"] < EPOCHS[-1], s[f"adopted{w}"] == s["epoch"])
        new_oldest = z3.If(s[f"oldest{w}"] > s["log_oldest"], s[f"oldest{w}"], s["log_oldest"])
        appended = z3.And(t["epoch"] == s["epoch"] + 1, t["log_oldest"] == new_oldest)
        return z3.And(ready, appended, unchanged_except(s, t, "epoch", "log_oldest"))

    def adopt(s: State, t: State, w: int) -> z3.BoolRef:
        is_newer = s[f"adopted{w}"] < s["epoch"]
        own_oldest = s[f"oldest{w}"]
        log_oldest = s["epoch"] if removed_rule == "no unsettled epochs" else s["log_oldest"]
        oldest = z3.If(z3.Or(own_oldest == 0, own_oldest < log_oldest), log_oldest, own_oldest)
        oldest = (
            z3.If(own_oldest == 0, log_oldest, own_oldest)
            if removed_rule != "no unsettled epochs"
            else oldest
        )
        adopted = z3.And(t[f"adopted{w}"] == s["epoch"], t[f"oldest{w}"] == oldest)
        return z3.And(is_newer, adopted, unchanged_except(s, t, f"adopted{w}", f"oldest{w}"))

    def receive_epoch_number(s: State, t: State, w: int, v: int) -> z3.BoolRef:
        """A heartbeat reports an epoch number that its sender has reached; it may be outdated."""
        reported = t[f"reported{w}_{v}"]
        advances = z3.And(reported > s[f"reported{w}_{v}"], reported <= s[f"adopted{v}"])
        return z3.And(advances, unchanged_except(s, t, f"reported{w}_{v}"))

    def drop_epoch(s: State, t: State, w: int) -> z3.BoolRef:
        oldest = s[f"oldest{w}"]
        all_left = [
            z3.Implies(at_epoch(in_epoch, oldest, v), s[f"reported{w}_{v}"] > oldest)
            for v in VMS
            if v != w
        ]
        allowed = [oldest >= 1, oldest < s[f"adopted{w}"]]
        if removed_rule != "drop without reports":
            allowed += all_left
        return z3.And(*allowed, t[f"oldest{w}"] == oldest + 1, unchanged_except(s, t, f"oldest{w}"))

    def lend(s: State, t: State, v: int, w: int) -> z3.BoolRef:
        epoch = s[f"adopted{v}"]
        allowed = [epoch >= 1, s[f"adopted{w}"] == epoch]
        if removed_rule != "lend outside epoch":
            allowed.append(at_epoch(in_epoch, epoch, w))
        if removed_rule != "lend twice":
            allowed.append(z3.Or(s[f"borrower{v}"] == w, s["time"] >= s[f"lender_expiry{v}"]))
        lender_expiry, borrower_expiry = t[f"lender_expiry{v}"], t[f"borrower_expiry{w}_{v}"]
        expiries = [lender_expiry > s["time"], borrower_expiry > s["time"]]
        expiries.append(lender_expiry >= s[f"lender_expiry{v}"])
        if removed_rule != "no drift margin":
            expiries.append(borrower_expiry <= lender_expiry)
        changed = (
            f"borrower{v}",
            f"lender_expiry{v}",
            f"borrower_expiry{w}_{v}",
            f"loan_epoch{w}_{v}",
        )
        recorded = z3.And(t[f"borrower{v}"] == w, t[f"loan_epoch{w}_{v}"] == epoch)
        return z3.And(*allowed, *expiries, recorded, unchanged_except(s, t, *changed))

    def advance_time(s: State, t: State) -> z3.BoolRef:
        return z3.And(t["time"] > s["time"], unchanged_except(s, t, "time"))

    def actions(s: State, t: State) -> dict[str, z3.BoolRef]:
        vm_actions = (propose, adopt, drop_epoch)
        steps = {f"{act.__name__} {w}": act(s, t, w) for w in VMS for act in vm_actions}
        steps |= {f"lend {v} to {w}": lend(s, t, v, w) for v in VMS for w in VMS}
        steps |= {
            f"receive_epoch_number {w} from {v}": receive_epoch_number(s, t, w, v)
            for w in VMS
            for v in VMS
            if w != v
        }
        return steps | {"advance_time": advance_time(s, t)}

    def initial(s: State) -> z3.BoolRef:
        return z3.And(
            *[s[n] == 0 for n in sorts if n not in ("epoch", "log_oldest")],
            s["epoch"] == 1,
            s["log_oldest"] == 1,
        )

    def safe(s: State) -> z3.BoolRef:
        in_use = [z3.If(is_loan_active(s, w, v), safe_quota(s, w, v), 0) for w in VMS for v in VMS]
        return z3.Sum(in_use) <= zone_quota

    def invariant(s: State) -> z3.BoolRef:
        conditions = [
            safe(s),
            s["log_oldest"] >= 1,
            s["log_oldest"] <= s["epoch"],
            s["epoch"] <= EPOCHS[-1],
        ]
        conditions.append(s["time"] >= 0)
        for w in VMS:
            adopted, oldest = s[f"adopted{w}"], s[f"oldest{w}"]
            conditions += [adopted >= 0, adopted <= s["epoch"], oldest <= adopted]
            conditions.append(z3.If(adopted == 0, oldest == 0, oldest >= 1))
            conditions += [
                z3.And(s[f"reported{w}_{v}"] >= 0, s[f"reported{w}_{v}"] <= s[f"adopted{v}"])
                for v in VMS
            ]
            conditions += [loan_invariant(s, w, v) for v in VMS]
            conditions += [departed_invariant(s, oldest, u, w) for u in VMS]
        conditions += [departed_invariant(s, s["log_oldest"], u, None) for u in VMS]
        return z3.And(conditions)

    def loan_invariant(s: State, w: int, v: int) -> z3.BoolRef:
        """Quotas of an active loan are lent only once, to a broker of the epoch."""
        valid = s["time"] < s[f"borrower_expiry{w}_{v}"]
        epoch = s[f"loan_epoch{w}_{v}"]
        only_loan = z3.And(
            s[f"borrower{v}"] == w, s[f"borrower_expiry{w}_{v}"] <= s[f"lender_expiry{v}"]
        )
        is_epoch_known = z3.And(epoch >= 1, epoch <= s[f"adopted{v}"], epoch <= s[f"adopted{w}"])
        return z3.Implies(valid, z3.And(only_loan, is_epoch_known, at_epoch(in_epoch, epoch, w)))

    def departed_invariant(s: State, oldest, u: int, w: int | None) -> z3.BoolRef:
        """All VMs of the epochs before ``oldest`` have left them."""
        if u == w:
            return z3.BoolVal(True)
        cases = [
            z3.Implies(z3.And(e < oldest, in_epoch[e, u]), s[f"adopted{u}"] > e) for e in EPOCHS
        ]
        return z3.And(cases)

    def goal(s: State) -> z3.BoolRef:
        """One broker uses the quotas of all three VMs in a later epoch, the older ones dropped."""
        all_loans = [is_loan_active(s, 0, v) for v in VMS]
        return z3.And(*all_loans, s["adopted0"] == 2, s["oldest0"] == 2, in_epoch[1, 1])

    return Spec("limits", sorts, initial, actions, safe, invariant, goal, z3.And(constraints))
