"""Enforces member limits in a zone: each VM holds a quota and lends it to the pool's broker.

A member's limit in a pool is split into one quota for each zone that has endpoints of the pool, and
a zone's quota into one quota for each VM of its epoch. A broker may run as many requests of the
member as the quotas that are lent to it now add up to. A loan is a lease: the lender lets it expire
later than the borrower by the clock drift, and the borrower counts from when it sent its request.
So no quota is used twice when a VM is paused or a link is cut.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from bluebellpitch.constants import LOAN_LEASE_S, MAX_CLOCK_DRIFT_RATIO
from bluebellpitch.decisions.control import Epoch
from bluebellpitch.decisions.hashing import rank_owners


def split_evenly(total: int, key: str, names: Iterable[str]) -> dict[str, int]:
    """Splits ``total`` into whole parts; ``key`` decides which names get the remainder."""
    ranked = rank_owners(key, names)
    if not ranked:
        return {}
    base, extra = divmod(total, len(ranked))
    return {name: base + (rank < extra) for rank, name in enumerate(ranked)}


def compute_zone_quota(
    limit: int, member: str, pool: str, zone: str, slots_by_zone: dict[str, int]
) -> int:
    """Returns a zone's part of a member's limit by slots (largest remainder method)."""
    total_slots = sum(slots_by_zone.values())
    if zone not in slots_by_zone or not total_slots:
        return 0
    quota_by_zone = {z: limit * slots // total_slots for z, slots in slots_by_zone.items()}
    remainder = limit - sum(quota_by_zone.values())
    ranked = rank_owners(f"{member}/{pool}", slots_by_zone)
    by_largest_remainder = sorted(ranked, key=lambda z: -(limit * slots_by_zone[z] % total_slots))
    return quota_by_zone[zone] + (zone in by_largest_remainder[:remainder])


def vm_quotas(epoch: Epoch, zone_quota: int, key: str) -> dict[str, int]:
    """Returns the quota of each VM of an epoch, including excluded VMs."""
    return split_evenly(zone_quota, key, (vm.key for vm in epoch.vms + epoch.excluded))


class EpochHistory:
    """Epochs of this zone, from the oldest that some VM may still be in to the newest.

    Of a VM's quotas in these epochs only the smallest may be used, so a quota that grows takes
    effect once every VM has adopted the newer epoch. Each quota in use is thus at most the VM's
    quota in the oldest epoch that any VM is in, and their sum is at most the zone's quota.
    """

    def __init__(self):
        self._epochs: list[Epoch] = []
        self._last_dropped = 0

    @property
    def current(self) -> Epoch | None:
        """The newest epoch."""
        return self._epochs[-1] if self._epochs else None

    @property
    def current_number(self) -> int:
        """The number of the newest epoch, or 0 if there is none."""
        return self._epochs[-1].number if self._epochs else 0

    @property
    def oldest_number(self) -> int:
        """The number of the oldest epoch that some VM may still be in, or 0."""
        return self._epochs[0].number if self._epochs else 0

    def add(self, epochs: tuple[Epoch, ...]) -> None:
        """Adds the unsettled epochs and the current one, as recorded in the log, oldest first."""
        known = {epoch.number for epoch in self._epochs}
        added = [e for e in epochs if e.number not in known and e.number > self._last_dropped]
        self._epochs = sorted(self._epochs + added, key=lambda epoch: epoch.number)

    def drop_unused(self, number_by_vm: dict[str, int], own_key: str) -> None:
        """Drops epochs that every other VM has left, according to the numbers that VMs reported."""
        while len(self._epochs) > 1 and self._is_unused(self._epochs[0], number_by_vm, own_key):
            self._last_dropped = self._epochs.pop(0).number

    def _is_unused(self, epoch: Epoch, number_by_vm: dict[str, int], own_key: str) -> bool:
        current_keys = {vm.key for vm in self.current.vms + self.current.excluded}
        other_keys = {vm.key for vm in epoch.vms + epoch.excluded} & current_keys - {own_key}
        return all(number_by_vm.get(key, 0) > epoch.number for key in other_keys)

    def contains_vm(self, vm_key: str) -> bool:
        """Returns whether a VM is in the newest epoch."""
        return self.current is not None and vm_key in {vm.key for vm in self.current.vms}

    def safe_quota(self, vm_key: str, zone_quota: int, key: str) -> int:
        """Returns the smallest quota of a VM over all epochs still in use."""
        quotas = (vm_quotas(epoch, zone_quota, key).get(vm_key, 0) for epoch in self._epochs)
        return min(quotas, default=0)


@dataclass(frozen=True, slots=True)
class QuotaLoan:
    """A loan of a VM's quotas in a pool, which the lender itself must not use meanwhile.

    ``expires_at`` is on the borrower's clock.
    """

    lender: str
    epoch: int
    expires_at: float


class QuotaLender:
    """Loans of this VM's quotas: the borrowing broker and the expiry for each pool."""

    def __init__(self, lease_s: float = LOAN_LEASE_S, drift: float = MAX_CLOCK_DRIFT_RATIO):
        self._loan_s = lease_s * (1 + drift)
        self._loans_by_pool: dict[str, tuple[str, float]] = {}

    def lend(self, pool: str, borrower: str, now: float) -> bool:
        """Starts or extends a loan; False while another broker may still use the quotas."""
        holder, expires_at = self._loans_by_pool.get(pool, (borrower, now))
        if holder != borrower and now < expires_at:
            return False
        self._loans_by_pool[pool] = (borrower, now + self._loan_s)
        return True

    def release(self, pool: str, borrower: str) -> None:
        """Ends a loan that the borrower returned."""
        if self._loans_by_pool.get(pool, ("", 0.0))[0] == borrower:
            del self._loans_by_pool[pool]


class QuotaBorrower:
    """Quota loans that this broker holds for one pool."""

    def __init__(self, lease_s: float = LOAN_LEASE_S):
        self._lease_s = lease_s
        self._loans_by_vm: dict[str, QuotaLoan] = {}

    def record_loan(self, lender: str, epoch: int, requested_at: float) -> None:
        """Records a loan, which runs from the time of the request."""
        self._loans_by_vm[lender] = QuotaLoan(lender, epoch, requested_at + self._lease_s)

    def active_lenders(self, epoch: int, now: float) -> tuple[str, ...]:
        """Returns the VMs whose quotas of an epoch may be used now."""
        loans = self._loans_by_vm.values()
        return tuple(loan.lender for loan in loans if loan.epoch == epoch and now < loan.expires_at)

    def clear(self) -> None:
        """Drops all loans."""
        self._loans_by_vm.clear()


def usable_limit(history: EpochHistory, lenders: tuple[str, ...], zone_quota: int, key: str) -> int:
    """Returns how many requests of a member a broker may run with its lenders' quotas."""
    return sum(history.safe_quota(lender, zone_quota, key) for lender in lenders)
