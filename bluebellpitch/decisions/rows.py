"""Rows of the operators' table, and the table as one agreed value."""

from functools import cached_property

import msgspec


class MemberRow(msgspec.Struct, frozen=True, tag="member"):
    """A member. ``limit`` is the most of its requests that run at once in one pool; 0: none.

    ``credential`` is the SHA-256 of its bearer token, in hexadecimal.
    """

    name: str
    weight: float
    limit: int
    credential: str
    default_class: str


class ClassRow(msgspec.Struct, frozen=True, tag="class"):
    """A class of requests. Tier 1 is the highest. Targets and waits are in milliseconds."""

    name: str
    tier: int
    weight: float
    first_token_ms: float
    between_tokens_ms: float
    max_wait_ms: float


class PoolRow(msgspec.Struct, frozen=True, tag="pool"):
    """A model or a plain service that endpoints serve.

    ``kind`` is ``model`` or ``service``. A service's methods in ``repeatable`` are idempotent.
    """

    name: str
    kind: str
    repeatable: tuple[str, ...]


class EndpointRow(msgspec.Struct, frozen=True, tag="endpoint"):
    """An endpoint of a pool. ``slots`` is how many requests it runs at once."""

    name: str
    pool: str
    zone: str
    region: str
    address: str
    slots: int
    fencing: bool
    state: str = "live"


Row = MemberRow | ClassRow | PoolRow | EndpointRow


def key_of(row: Row) -> str:
    """Returns the key of a row: its kind and name."""
    return f"{type(row).__struct_config__.tag}/{row.name}"


class VersionedRow(msgspec.Struct, frozen=True):
    """A row and the offset of the record that set it."""

    row: Row
    revision: int


class Table:
    """The table at one offset, indexed. Built once for each accepted change."""

    def __init__(self, rows_by_key: dict[str, VersionedRow], offset: int = -1):
        self.rows_by_key = rows_by_key
        self.offset = offset
        rows = [versioned.row for versioned in rows_by_key.values()]
        self.members_by_name = {r.name: r for r in rows if isinstance(r, MemberRow)}
        self.classes_by_name = {r.name: r for r in rows if isinstance(r, ClassRow)}
        self.pools_by_name = {r.name: r for r in rows if isinstance(r, PoolRow)}
        self.endpoints_by_name = {r.name: r for r in rows if isinstance(r, EndpointRow)}
        self.members_by_credential = {r.credential: r for r in self.members_by_name.values()}

    def endpoints_of(self, pool: str, zone: str) -> tuple[EndpointRow, ...]:
        """Returns a pool's endpoints in one zone, leaving ones included."""
        return self._endpoints_by_pool_zone.get((pool, zone), ())

    @cached_property
    def _endpoints_by_pool_zone(self) -> dict[tuple[str, str], tuple[EndpointRow, ...]]:
        groups: dict[tuple[str, str], list[EndpointRow]] = {}
        for row in sorted(self.endpoints_by_name.values(), key=lambda r: r.name):
            groups.setdefault((row.pool, row.zone), []).append(row)
        return {key: tuple(group) for key, group in groups.items()}

    @cached_property
    def zones_by_pool(self) -> dict[str, tuple[tuple[str, str], ...]]:
        """Zones of each pool, with their regions."""
        zones: dict[str, set[tuple[str, str]]] = {}
        for row in self.endpoints_by_name.values():
            zones.setdefault(row.pool, set()).add((row.zone, row.region))
        return {pool: tuple(sorted(group)) for pool, group in zones.items()}
