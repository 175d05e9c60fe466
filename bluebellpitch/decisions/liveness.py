"""Liveness of entry VMs, and the assignment of roles among those of a zone.

Every VM ranks the live VMs of its zone by the same hash. While two VMs see different sets, a role
may briefly have two holders, which the roles tolerate.
"""

from dataclasses import dataclass, field

from bluebellpitch.decisions.hashing import rank_owners

# A VM counts as silent once this many heartbeat intervals pass without one.
MAX_MISSED_HEARTBEATS = 4


@dataclass(frozen=True, slots=True)
class Peer:
    """Another VM and its last heartbeat. ``version`` is that of its configuration."""

    key: str
    zone: str
    address: str
    is_draining: bool
    version: int
    last_heartbeat_at: float
    interval_s: float

    def is_silent(self, now: float) -> bool:
        """Returns whether too many heartbeats are missing."""
        return now - self.last_heartbeat_at > MAX_MISSED_HEARTBEATS * self.interval_s


@dataclass(slots=True)
class Liveness:
    """Peers by key. This VM, ``own_key``, always counts as live."""

    own_key: str
    zone: str
    peers_by_key: dict[str, Peer] = field(default_factory=dict)
    _excluded_until: dict[str, float] = field(default_factory=dict)

    def record_heartbeat(self, peer: Peer) -> bool:
        """Records a heartbeat; returns whether the VM was unknown or silent before."""
        previous = self.peers_by_key.get(peer.key)
        self.peers_by_key[peer.key] = peer
        return previous is None or previous.is_silent(peer.last_heartbeat_at)

    def exclude(self, key: str, until: float) -> None:
        """Excludes a VM from roles until a given time, because it did not respond."""
        self._excluded_until[key] = until

    def remove_silent(self, now: float) -> list[str]:
        """Removes silent VMs; returns their keys."""
        silent = [key for key, peer in self.peers_by_key.items() if peer.is_silent(now)]
        for key in silent:
            del self.peers_by_key[key]
        return silent

    def live_peers(self, now: float) -> list[Peer]:
        """Returns the peers that are not silent."""
        return [peer for peer in self.peers_by_key.values() if not peer.is_silent(now)]

    def role_holder(self, role: str, now: float, own_draining: bool) -> str:
        """Returns the key of the VM of this zone that holds a role.

        A draining VM holds a role only if no other VM of the zone can.
        """
        return self.rank_for_role(role, now, own_draining)[0]

    def rank_for_role(self, role: str, now: float, own_draining: bool) -> list[str]:
        """Returns the keys of the VMs of this zone that may hold a role, its holder first."""
        keys = [
            peer.key
            for peer in self.live_peers(now)
            if peer.zone == self.zone
            and not peer.is_draining
            and now >= self._excluded_until.get(peer.key, 0.0)
        ]
        if not own_draining or not keys:
            keys.append(self.own_key)
        return rank_owners(role, keys)
