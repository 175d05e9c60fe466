"""Proposes a zone's next epoch and selects the broker VM of a pool."""

from dataclasses import dataclass

from bluebellpitch.constants import EPOCH_SETTLE_S
from bluebellpitch.decisions.control import Epoch, EpochChange, VmIdentity
from bluebellpitch.decisions.hashing import rank_owners


@dataclass(slots=True)
class EpochProposer:
    """Proposes an epoch when the zone's live VMs changed and have since been stable.

    All VMs apply the same rule, and only the VM that ranks first proposes.
    """

    own_vm: VmIdentity
    zone: str
    stable_s: float = EPOCH_SETTLE_S
    _last_live: frozenset[VmIdentity] = frozenset()
    _unchanged_since: float = 0.0

    def propose(
        self,
        epoch: Epoch,
        live: frozenset[VmIdentity],
        departed_keys: frozenset[str],
        oldest_number: int,
        now: float,
    ) -> EpochChange | None:
        """Returns a proposal if one is due.

        ``departed_keys`` are keys of VMs proved to have ended; ``oldest_number`` is the number of
        the oldest epoch that some VM may still be in.
        """
        if live != self._last_live:
            self._last_live, self._unchanged_since = live, now
        departed_in_epoch = {vm.key for vm in epoch.vms + epoch.excluded} & departed_keys
        if live == frozenset(epoch.vms) and not departed_in_epoch:
            return None
        if now - self._unchanged_since < self.stable_s or not self._is_proposer(epoch, live):
            return None
        number = epoch.number + 1
        record_id = f"epoch-{self.zone}-{number}-{self.own_vm.key}-{now:.3f}"
        return EpochChange(
            record_id, self.zone, number, tuple(sorted(live)), tuple(sorted(departed_in_epoch))
        )

    def _is_proposer(self, epoch: Epoch, live: frozenset[VmIdentity]) -> bool:
        ranked = rank_owners(f"epoch-{self.zone}-{epoch.number}", (vm.key for vm in live))
        return ranked[:1] == [self.own_vm.key]


def select_broker_vm(pool: str, zone: str, vm_names: frozenset[str]) -> str | None:
    """Returns the live VM of a zone that brokers a pool."""
    ranked = rank_owners(f"broker/{zone}/{pool}", vm_names)
    return ranked[0] if ranked else None
