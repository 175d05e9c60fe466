"""Digests and rendezvous hashing.

All VMs rank the owners of a key alike, and losing an owner moves only its keys.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

# Of one VM: each of its roles with each VM of its zone, some of them restarted.
MAX_CACHED_SCORES = 1_024


def rank_owners(key: str, names: Iterable[str]) -> list[str]:
    """Returns ``names`` with the owner of ``key`` first."""
    return sorted(names, key=lambda name: score_owner(key, name))


@lru_cache(MAX_CACHED_SCORES)
def score_owner(key: str, name: str) -> bytes:
    """Returns the sort key of an owner for ``key``; the lowest owns it."""
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def digest_text(*parts: str | bytes) -> str:
    """Returns a short hexadecimal digest of all parts, in order."""
    state = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.hexdigest()
