"""Rows of the operators' table, and an immutable, indexed copy of the table."""

from collections.abc import Iterable
from copy import copy

import msgspec


class MemberRow(msgspec.Struct, frozen=True, tag="member"):
    """A member. ``limit`` is its maximum number of concurrent requests per pool; 0 is unlimited.

    ``credential`` is the hexadecimal SHA-256 digest of its bearer token.
    """

    name: str
    weight: float
    limit: int
    credential: str
    default_class: str


class ClassRow(msgspec.Struct, frozen=True, tag="class"):
    """A request class. Tier 1 is the highest. Latency targets and waits are in milliseconds."""

    name: str
    tier: int
    weight: float
    first_token_ms: float
    between_tokens_ms: float
    max_wait_ms: float


class PoolRow(msgspec.Struct, frozen=True, tag="pool"):
    """A model or a plain HTTP service that endpoints serve.

    ``kind`` is ``model`` or ``service``. ``repeatable`` lists the idempotent methods of a service.
    """

    name: str
    kind: str
    repeatable: tuple[str, ...]


class EndpointRow(msgspec.Struct, frozen=True, tag="endpoint"):
    """An endpoint of a pool. ``slots`` is its maximum number of concurrent requests."""

    name: str
    pool: str
    zone: str
    region: str
    address: str
    slots: int
    fencing: bool
    state: str = "live"


Row = MemberRow | ClassRow | PoolRow | EndpointRow


def row_key(row: Row) -> str:
    """Returns the key of a row, of the form ``kind/name``."""
    return f"{type(row).__struct_config__.tag}/{row.name}"


class VersionedRow(msgspec.Struct, frozen=True):
    """A row and the offset of the record that set it."""

    row: Row
    revision: int


class Table:
    """Indexed, immutable table as of one offset. ``with_changes`` creates the next version."""

    def __init__(self, rows_by_key: dict[str, VersionedRow], offset: int = -1):
        self.rows_by_key: dict[str, VersionedRow] = {}
        self.offset = offset
        self.members_by_name: dict[str, MemberRow] = {}
        self.members_by_credential: dict[str, MemberRow] = {}
        self.classes_by_name: dict[str, ClassRow] = {}
        self.pools_by_name: dict[str, PoolRow] = {}
        self.endpoints_by_name: dict[str, EndpointRow] = {}
        self._endpoints_by_pool_and_zone: dict[tuple[str, str], tuple[EndpointRow, ...]] = {}
        for key, versioned in rows_by_key.items():
            self._put(key, versioned)
        self._set_endpoint_groups(group_endpoints(self.endpoints_by_name.values()))

    def with_changes(
        self, changes: dict[str, VersionedRow], deleted: tuple[str, ...], offset: int
    ) -> "Table":
        """Returns the table after a change. Copies only the indexes that the change affects."""
        table = copy(self)
        table.offset = offset
        table.rows_by_key = dict(self.rows_by_key)
        affected = [*changes, *deleted]
        previous = [self.rows_by_key[key].row for key in affected if key in self.rows_by_key]
        table._copy_indexes(previous + [versioned.row for versioned in changes.values()])
        for key in affected:
            table._remove(key)
        for key, versioned in changes.items():
            table._put(key, versioned)
        table._update_endpoint_groups(previous, changes)
        return table

    def _copy_indexes(self, rows: list[Row]) -> None:
        for row_type in {type(row) for row in rows}:
            name = INDEX_NAMES_BY_ROW_TYPE[row_type]
            setattr(self, name, dict(getattr(self, name)))
            if row_type is MemberRow:
                self.members_by_credential = dict(self.members_by_credential)

    def _remove(self, key: str) -> None:
        versioned = self.rows_by_key.pop(key, None)
        if versioned is None:
            return
        row = versioned.row
        del getattr(self, INDEX_NAMES_BY_ROW_TYPE[type(row)])[row.name]
        if isinstance(row, MemberRow):
            self.members_by_credential.pop(row.credential, None)

    def _put(self, key: str, versioned: VersionedRow) -> None:
        row = versioned.row
        self.rows_by_key[key] = versioned
        getattr(self, INDEX_NAMES_BY_ROW_TYPE[type(row)])[row.name] = row
        if isinstance(row, MemberRow):
            self.members_by_credential[row.credential] = row

    def _update_endpoint_groups(
        self, previous: list[Row], changes: dict[str, VersionedRow]
    ) -> None:
        """Rebuilds the groups of each pool and zone whose endpoints changed."""
        rows = previous + [versioned.row for versioned in changes.values()]
        rows = [row for row in rows if isinstance(row, EndpointRow)]
        affected = {(row.pool, row.zone) for row in rows}
        if not affected:
            return
        names = {row.name for row in rows}
        unchanged = (
            row
            for pool_and_zone in affected
            for row in self._endpoints_by_pool_and_zone.get(pool_and_zone, ())
            if row.name not in names
        )
        new = (v.row for v in changes.values() if isinstance(v.row, EndpointRow))
        groups = {k: g for k, g in self._endpoints_by_pool_and_zone.items() if k not in affected}
        self._set_endpoint_groups(groups | group_endpoints([*unchanged, *new]))

    def _set_endpoint_groups(self, groups: dict[tuple[str, str], tuple[EndpointRow, ...]]) -> None:
        self._endpoints_by_pool_and_zone = groups
        zones: dict[str, list[tuple[str, str]]] = {}
        for (pool, zone), group in sorted(groups.items()):
            zones.setdefault(pool, []).append((zone, group[0].region))
        self.zones_by_pool = {pool: tuple(pairs) for pool, pairs in zones.items()}

    def pool_endpoints(self, pool: str, zone: str) -> tuple[EndpointRow, ...]:
        """Returns a pool's endpoints in one zone, including those in state ``leaving``."""
        return self._endpoints_by_pool_and_zone.get((pool, zone), ())

    def slots_by_zone(self, pool: str) -> dict[str, int]:
        """Returns the slots of a pool in each zone, including those of leaving endpoints."""
        zones = self.zones_by_pool.get(pool, ())
        return {z: sum(row.slots for row in self.pool_endpoints(pool, z)) for z, _ in zones}


INDEX_NAMES_BY_ROW_TYPE = {
    MemberRow: "members_by_name",
    ClassRow: "classes_by_name",
    PoolRow: "pools_by_name",
    EndpointRow: "endpoints_by_name",
}


def group_endpoints(
    rows: Iterable[EndpointRow],
) -> dict[tuple[str, str], tuple[EndpointRow, ...]]:
    """Returns endpoints by pool and zone, sorted by name."""
    groups: dict[tuple[str, str], list[EndpointRow]] = {}
    for row in sorted(rows, key=lambda r: r.name):
        groups.setdefault((row.pool, row.zone), []).append(row)
    return {key: tuple(group) for key, group in groups.items()}
