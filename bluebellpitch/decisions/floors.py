"""Member limits inside one zone: each VM holds a floor, and lends it to the pool's broker.

A member's limit in a pool is split over the zones that have endpoints of the pool, and the share of
a zone into one floor for each VM of its epoch. A broker may run as many requests of the member as
the floors that are lent to it now. Every loan is a lease: the lender counts it longer than the
borrower by the clock drift, and the borrower counts from when it asked, so no floor is ever used
twice, whatever is paused or cut off.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from bluebellpitch.constants import LOAN_LEASE_S, MAX_CLOCK_DRIFT_RATIO
from bluebellpitch.decisions.control import Epoch
from bluebellpitch.decisions.hashing import rank_owners


def split_evenly(total: int, key: str, names: Iterable[str]) -> dict[str, int]:
    """Splits ``total`` into whole parts; who gets one more depends on ``key``."""
    ranked = rank_owners(key, names)
    if not ranked:
        return {}
    base, extra = divmod(total, len(ranked))
    return {name: base + (rank < extra) for rank, name in enumerate(ranked)}


def zone_share(limit: int, member: str, pool: str, zone: str, slots_by_zone: dict[str, int]) -> int:
    """Returns a zone's share of a member's limit, by slots, largest remainders first."""
    total = sum(slots_by_zone.values())
    if zone not in slots_by_zone or not total:
        return 0
    base_by_zone = {z: limit * slots // total for z, slots in slots_by_zone.items()}
    left = limit - sum(base_by_zone.values())
    rank = rank_owners(f"{member}/{pool}", slots_by_zone)
    by_remainder = sorted(rank, key=lambda z: -(limit * slots_by_zone[z] % total))
    return base_by_zone[zone] + (zone in by_remainder[:left])


def floors_of(epoch: Epoch, share: int, key: str) -> dict[str, int]:
    """Returns the floor of each VM of an epoch, the excluded ones included."""
    return split_evenly(share, key, (vm.key for vm in epoch.vms + epoch.excluded))


class EpochHistory:
    """Epochs of this zone from the oldest that some VM may still be in, to the newest.

    A floor that grows from one epoch to the next counts only once every VM has adopted the newer
    one; until then the smallest of them counts. So each floor in use is at most the floor of the
    oldest epoch that any VM is in, and their sum is at most the share.
    """

    def __init__(self):
        self._epochs: list[Epoch] = []
        self._dropped = 0

    @property
    def current(self) -> Epoch | None:
        """The newest epoch."""
        return self._epochs[-1] if self._epochs else None

    @property
    def number(self) -> int:
        """The number of the newest epoch; 0: none."""
        return self._epochs[-1].number if self._epochs else 0

    @property
    def settled(self) -> int:
        """The number of the oldest epoch that some VM may still be in."""
        return self._epochs[0].number if self._epochs else 0

    def adopt(self, chain: tuple[Epoch, ...]) -> None:
        """Takes in the unsettled epochs and the current one, as the log has them, oldest first."""
        known = {epoch.number for epoch in self._epochs}
        new = [e for e in chain if e.number not in known and e.number > self._dropped]
        self._epochs = sorted(self._epochs + new, key=lambda epoch: epoch.number)

    def settle(self, adopted_by_vm: dict[str, int], own_key: str) -> None:
        """Drops epochs that every other VM has left, by the numbers that they told."""
        while len(self._epochs) > 1 and self._is_left(self._epochs[0], adopted_by_vm, own_key):
            self._dropped = self._epochs.pop(0).number

    def _is_left(self, epoch: Epoch, adopted_by_vm: dict[str, int], own_key: str) -> bool:
        remaining = {vm.key for vm in self.current.vms + self.current.excluded}
        others = {vm.key for vm in epoch.vms + epoch.excluded} & remaining - {own_key}
        return all(adopted_by_vm.get(key, 0) > epoch.number for key in others)

    def holds(self, vm_key: str) -> bool:
        """Tells whether a VM is in the newest epoch."""
        return self.current is not None and vm_key in {vm.key for vm in self.current.vms}

    def floor(self, vm_key: str, share: int, key: str) -> int:
        """Returns the floor of one VM that is safe now."""
        floors = (floors_of(epoch, share, key).get(vm_key, 0) for epoch in self._epochs)
        return min(floors, default=0)


@dataclass(frozen=True, slots=True)
class Loan:
    """A VM's promise to use none of its floors in a pool until ``until`` on the holder's clock."""

    lender: str
    epoch: int
    until: float


class Lender:
    """Which broker this VM's floors are lent to, for each pool."""

    def __init__(self, lease_s: float = LOAN_LEASE_S, drift: float = MAX_CLOCK_DRIFT_RATIO):
        self._keep_s = lease_s * (1 + drift)
        self._lent_by_pool: dict[str, tuple[str, float]] = {}

    def lend(self, pool: str, borrower: str, now: float) -> bool:
        """Lends, or prolongs; False while another broker may still hold the floors."""
        holder, until = self._lent_by_pool.get(pool, (borrower, now))
        if holder != borrower and now < until:
            return False
        self._lent_by_pool[pool] = (borrower, now + self._keep_s)
        return True

    def release(self, pool: str, borrower: str) -> None:
        """Ends a loan that the borrower itself gave back."""
        if self._lent_by_pool.get(pool, ("", 0.0))[0] == borrower:
            del self._lent_by_pool[pool]


class Borrower:
    """The loans that this broker holds for one pool."""

    def __init__(self, lease_s: float = LOAN_LEASE_S):
        self._lease_s = lease_s
        self._loans_by_vm: dict[str, Loan] = {}

    def record(self, lender: str, epoch: int, asked_at: float) -> None:
        """Notes a loan; it runs from when it was asked for."""
        self._loans_by_vm[lender] = Loan(lender, epoch, asked_at + self._lease_s)

    def lenders(self, epoch: int, now: float) -> tuple[str, ...]:
        """Returns the VMs whose floors of this epoch may be used now."""
        loans = self._loans_by_vm.values()
        return tuple(loan.lender for loan in loans if loan.epoch == epoch and now < loan.until)

    def clear(self) -> None:
        """Forgets all loans."""
        self._loans_by_vm.clear()


def usable_limit(history: EpochHistory, lenders: tuple[str, ...], share: int, key: str) -> int:
    """Returns how many requests of a member a broker may run with the floors of some lenders."""
    return sum(history.floor(lender, share, key) for lender in lenders)
