"""Which entry VMs of a zone are alive, and who holds a duty there.

Every VM ranks the live VMs of its zone alike; while two see them differently a duty may be held
twice for a moment, which the duties allow.
"""

from dataclasses import dataclass, field

from bluebellpitch.decisions.hashing import rank_owners

# A VM counts as silent when so many of its beats are missing.
MAX_MISSED_HEARTBEATS = 4


@dataclass(frozen=True, slots=True)
class Peer:
    """A VM that was heard, and beats each ``interval_s``. ``version`` is of its configuration."""

    key: str
    zone: str
    address: str
    is_draining: bool
    version: int
    last_heartbeat_at: float
    interval_s: float

    def is_silent(self, now: float) -> bool:
        """Tells whether beats are missing."""
        return now - self.last_heartbeat_at > MAX_MISSED_HEARTBEATS * self.interval_s


@dataclass(slots=True)
class Liveness:
    """Peers by key, as heard. ``own_key`` is always alive."""

    own_key: str
    zone: str
    peers_by_key: dict[str, Peer] = field(default_factory=dict)
    _excluded_until: dict[str, float] = field(default_factory=dict)

    def record_heartbeat(self, peer: Peer) -> bool:
        """Notes a sign of life; returns whether the VM was not alive before."""
        known = self.peers_by_key.get(peer.key)
        self.peers_by_key[peer.key] = peer
        return known is None or known.is_silent(peer.last_heartbeat_at)

    def exclude(self, key: str, until: float) -> None:
        """Gives a VM no duty for a while, since it did not answer."""
        self._excluded_until[key] = until

    def remove_silent(self, now: float) -> list[str]:
        """Forgets VMs that have been silent; returns their keys."""
        silent = [key for key, peer in self.peers_by_key.items() if peer.is_silent(now)]
        for key in silent:
            del self.peers_by_key[key]
        return silent

    def live_peers(self, now: float) -> list[Peer]:
        """Returns the peers that were heard lately."""
        return [peer for peer in self.peers_by_key.values() if not peer.is_silent(now)]

    def role_holder(self, role: str, now: float, own_draining: bool) -> str:
        """Returns the VM of this zone that holds a duty."""
        keys = [
            peer.key
            for peer in self.live_peers(now)
            if peer.zone == self.zone
            and not peer.is_draining
            and now >= self._excluded_until.get(peer.key, 0.0)
        ]
        if not own_draining or not keys:
            keys.append(self.own_key)
        return rank_owners(role, keys)[0]
