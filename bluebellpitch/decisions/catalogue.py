"""The operators' configuration as frozen values: routes, pools, members and limits.

A Catalogue is one version, whole. Functions here look things up; they keep nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


class Repeatability(StrEnum):
    """What may be done again after a request may have run."""

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """One pool of a route, with its weight among the route's pools."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go. Times are in seconds; rank 0 is first."""

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
    """What every engine of a pool can hold."""

    slots: int
    kv_capacity_tokens: int


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """One service. ``max_connections`` bounds all VMs together, for each endpoint."""

    name: str
    max_connections: int
    engine: EngineCapacity | None


@dataclass(frozen=True, slots=True)
class MemberConfig:
    """One member; ``rank`` replaces that of the route where it is set."""

    name: str
    rank: int | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send. Sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True)
class Catalogue:
    """One version of the configuration. ``routes_by_host`` holds longest prefixes first."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    pools_by_name: dict[str, PoolConfig]
    members_by_key: dict[str, MemberConfig]
    has_members: bool
    limits: CallerLimits = field(default_factory=CallerLimits)

    @cached_property
    def gap_targets_by_pool(self) -> dict[str, float]:
        """The smallest gap target among the routes of each pool, in seconds."""
        gaps: dict[str, float] = {}
        for route in (route for routes in self.routes_by_host.values() for route in routes):
            for share in route.weighted_pools if route.gap_target_s else ():
                gaps[share.pool] = min(route.gap_target_s, gaps.get(share.pool, route.gap_target_s))
        return gaps

    def match_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of ``path``, or None."""
        routes = self.routes_by_host.get(host, ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)


def group_by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Returns routes by host, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda route: -len(route.path_prefix)):
        by_host.setdefault(route.host, []).append(route)
    return {host: tuple(group) for host, group in by_host.items()}


def pick_pool(route: Route, draw: float) -> str:
    """Returns one of the route's pools by weight; ``draw`` is uniform in [0, 1)."""
    total = sum(share.weight for share in route.weighted_pools)
    mark = draw * total
    for share in route.weighted_pools:
        mark -= share.weight
        if mark < 0:
            return share.pool
    return route.weighted_pools[-1].pool
