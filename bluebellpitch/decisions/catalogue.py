"""Immutable form of the operators' configuration: routes, pools, members and limits.

A Catalogue is one complete version of it. The functions here are pure look-ups.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

# Number of levels that engines distinguish.
URGENCY_LEVELS = 10


class Repeatability(StrEnum):
    """What may be repeated of a request that may have run."""

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """A pool of a route with its share of the traffic."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Target of requests for a host and path prefix. Times in seconds; rank 0 is served first."""

    name: str
    host: str
    path_prefix: str
    repeatability: Repeatability
    is_stream: bool
    weighted_pools: tuple[WeightedPool, ...]
    timeout_s: float
    target_s: float
    gap_target_s: float | None
    rank: int
    max_attempts: int
    is_public: bool


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Capacity of each engine of a pool."""

    slots: int
    kv_capacity_tokens: int


@dataclass(frozen=True, slots=True)
class ScalingConfig:
    """How many endpoints of a pool may be ordered in each zone, and what they cost.

    ``min_count`` and ``max_count`` are for each zone, on-demand and spot endpoints together. A new
    endpoint serves after ``boot_s`` seconds. ``prices_by_zone`` is the price of a second of an
    on-demand endpoint; a spot endpoint costs ``spot_price`` of that.
    """

    min_count: int
    max_count: int
    boot_s: float
    spot_price: float
    prices_by_zone: dict[str, float]


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """One service. ``max_connections`` limits the connections of all VMs to each endpoint.

    ``scaling`` is None if its endpoints cannot be ordered.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None
    scaling: ScalingConfig | None = None


@dataclass(frozen=True, slots=True)
class MemberConfig:
    """One member. ``rank``, if it is set, goes before that of the route."""

    name: str
    rank: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send. Sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """A member as the operators list it, with all its keys."""

    name: str
    rank: int | None
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationEntries:
    """All entries of a configuration in their order. ``members`` is None if no keys are asked for.

    Unlike a Catalogue it has the entries too that others with the same name or key replace.
    """

    version: int
    routes: tuple[Route, ...]
    pools: tuple[PoolConfig, ...]
    members: tuple[MemberEntry, ...] | None
    limits: CallerLimits


@dataclass(frozen=True)
class Catalogue:
    """One version of the configuration. ``routes_by_host`` lists longer prefixes first."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    pools_by_name: dict[str, PoolConfig]
    members_by_key: dict[str, MemberConfig]
    has_members: bool
    limits: CallerLimits = field(default_factory=CallerLimits)

    @cached_property
    def gap_targets_by_pool(self) -> dict[str, float]:
        """Smallest gap target among the routes of each pool, in seconds."""
        gaps: dict[str, float] = {}
        for route in (route for routes in self.routes_by_host.values() for route in routes):
            for weighted in route.weighted_pools if route.gap_target_s else ():
                gaps[weighted.pool] = min(
                    route.gap_target_s, gaps.get(weighted.pool, route.gap_target_s)
                )
        return gaps

    @cached_property
    def _urgency_by_ranks(self) -> dict[tuple[int, int], int]:
        """Level of each pair of a member's and a route's rank, the most urgent pair at 0."""
        route_ranks = {route.rank for routes in self.routes_by_host.values() for route in routes}
        member_ranks = {member.rank for member in self.members_by_key.values()} - {None}
        if not member_ranks and max(route_ranks) < URGENCY_LEVELS:
            return {(rank, rank): rank for rank in route_ranks}
        pairs = sorted(
            {
                (route_rank if member_rank is None else member_rank, route_rank)
                for route_rank in route_ranks
                for member_rank in member_ranks | {None}
            }
        )
        scale = max(1.0, len(pairs) / URGENCY_LEVELS)
        return {pair: int(index / scale) for index, pair in enumerate(pairs)}

    def urgency(self, route: Route, member: MemberConfig | None) -> int:
        """Returns the level of a request: 0 is served first, ``URGENCY_LEVELS`` - 1 last.

        A member's rank decides; among requests of equal members' rank, the route's does.
        """
        member_rank = None if member is None else member.rank
        first_rank = route.rank if member_rank is None else member_rank
        return self._urgency_by_ranks[(first_rank, route.rank)]

    def match_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of ``path``, or None."""
        routes = self.routes_by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)


def build_catalogue(entries: ConfigurationEntries) -> Catalogue:
    """Returns the catalogue of the entries. Of pools of one name, and keys, the last one counts.

    An empty key is left out: requests without a key would have it.
    """
    return Catalogue(
        version=entries.version,
        routes_by_host=group_by_host(entries.routes),
        pools_by_name={pool.name: pool for pool in entries.pools},
        members_by_key={
            key: MemberConfig(member.name, member.rank)
            for member in entries.members or ()
            for key in member.keys
            if key
        },
        has_members=entries.members is not None,
        limits=entries.limits,
    )


def group_by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Returns routes by host, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
        by_host.setdefault(route.host, []).append(route)
    return {host: tuple(host_routes) for host, host_routes in by_host.items()}


def pick_pool(route: Route, draw: float) -> str:
    """Returns a pool of the route at random by weight; ``draw`` is uniform in [0, 1)."""
    total_weight = sum(weighted.weight for weighted in route.weighted_pools)
    remaining = draw * total_weight
    for weighted in route.weighted_pools:
        remaining -= weighted.weight
        if remaining < 0:
            return weighted.pool
    return route.weighted_pools[-1].pool
