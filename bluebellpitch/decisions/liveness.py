"""Which entry VMs of a zone are alive, and who holds a duty there.

Every VM ranks the live VMs of its zone alike; while two see them differently a duty may be held
twice for a moment, which the duties allow.
"""

from dataclasses import dataclass, field

from bluebellpitch.decisions.hashing import rank_owners

SILENT_AFTER_S = 0.6


@dataclass(frozen=True, slots=True)
class Peer:
    """A VM that was heard. ``version`` is that of its configuration."""

    key: str
    zone: str
    address: str
    draining: bool
    version: int
    heard_at: float


@dataclass(slots=True)
class Liveness:
    """Peers by key, as heard. ``own_key`` is always alive."""

    own_key: str
    zone: str
    peers_by_key: dict[str, Peer] = field(default_factory=dict)
    _shunned_until: dict[str, float] = field(default_factory=dict)

    def hear(self, peer: Peer) -> bool:
        """Notes a sign of life; returns whether the VM was not alive before."""
        known = self.peers_by_key.get(peer.key)
        self.peers_by_key[peer.key] = peer
        return known is None or peer.heard_at - known.heard_at > SILENT_AFTER_S

    def shun(self, key: str, until: float) -> None:
        """Gives a VM no duty for a while, since it did not answer."""
        self._shunned_until[key] = until

    def lost(self, now: float) -> list[str]:
        """Forgets VMs that have been silent; returns their keys."""
        silent = [k for k, p in self.peers_by_key.items() if now - p.heard_at > SILENT_AFTER_S]
        for key in silent:
            del self.peers_by_key[key]
        return silent

    def live(self, now: float) -> list[Peer]:
        """Returns the peers that were heard lately."""
        return [p for p in self.peers_by_key.values() if now - p.heard_at <= SILENT_AFTER_S]

    def holder(self, duty: str, now: float, own_draining: bool) -> str:
        """Returns the VM of this zone that holds a duty."""
        keys = [
            peer.key
            for peer in self.live(now)
            if peer.zone == self.zone
            and not peer.draining
            and now >= self._shunned_until.get(peer.key, 0.0)
        ]
        if not own_draining or not keys:
            keys.append(self.own_key)
        return rank_owners(duty, keys)[0]
