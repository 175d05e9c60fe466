"""Decodes the operators' configuration from the store into a Catalogue."""

from typing import Literal

import msgspec

from bluebellpitch.decisions.catalogue import (
    CallerLimits,
    Catalogue,
    ConfigurationEntries,
    EngineCapacity,
    MemberEntry,
    PoolConfig,
    Repeatability,
    Route,
    ScalingConfig,
    WeightedPool,
    build_catalogue,
)
from bluebellpitch.decoding import DECODE_ERRORS, WholeNumber
from bluebellpitch.errors import ProtocolError

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
DEFAULT_TIMEOUT_MS = 60_000.0


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: Literal["safe", "unsafe", "streaming"]
    service: str = ""
    split: tuple[_Split, ...] = ()
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    goal_ms: float = DEFAULT_TIMEOUT_MS
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float | None = None


class _Engine(msgspec.Struct, frozen=True):
    slots: WholeNumber
    kv_capacity: WholeNumber


class _Scaling(msgspec.Struct, frozen=True):
    max: WholeNumber
    min: WholeNumber = 0
    boot_s: float = 0.0
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: WholeNumber
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Configuration(msgspec.Struct, frozen=True):
    version: WholeNumber
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


CONFIGURATION_TYPE = _Configuration
ENTRY_TYPES_BY_SECTION = {"routes": _Route, "services": _Service, "tenants": _Tenant}

_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(data: bytes) -> Catalogue:
    """Decodes a configuration; raises ProtocolError if it is malformed."""
    return build_catalogue(decode_entries(data))


def decode_entries(data: bytes) -> ConfigurationEntries:
    """Decodes a configuration to its entries in their order; raises ProtocolError."""
    try:
        wire = _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise ProtocolError(f"the configuration is malformed: {error}") from error
    return ConfigurationEntries(
        version=wire.version,
        routes=tuple(decode_route(route) for route in wire.routes),
        pools=tuple(decode_pool(service) for service in wire.services),
        members=None if wire.tenants is None else tuple(map(decode_member, wire.tenants)),
        limits=decode_limits(wire.limits),
    )


def decode_member(wire: _Tenant) -> MemberEntry:
    """Converts a tenant to a member."""
    return MemberEntry(wire.name, wire.priority, wire.api_keys)


def decode_route(wire: _Route) -> Route:
    """Converts a route to its internal form."""
    weighted_pools = tuple(WeightedPool(part.service, part.weight) for part in wire.split)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        repeatability=derive_repeatability(wire),
        is_stream=wire.kind == "streaming",
        weighted_pools=weighted_pools or (WeightedPool(wire.service, 1.0),),
        timeout_s=wire.timeout_ms / 1000,
        target_s=wire.goal_ms / 1000,
        gap_target_s=wire.gap_target_ms / 1000 if wire.gap_target_ms else None,
        rank=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        is_public=wire.public,
    )


def derive_repeatability(wire: _Route) -> Repeatability:
    """Derives from a route's kind whether its requests may be repeated or resumed."""
    if wire.kind == "safe":
        return Repeatability.IDEMPOTENT
    if wire.kind == "streaming" and wire.resumable:
        return Repeatability.RESUMABLE
    return Repeatability.ONCE


def decode_pool(wire: _Service) -> PoolConfig:
    """Converts a service to a pool."""
    engine = wire.engine and EngineCapacity(wire.engine.slots, wire.engine.kv_capacity)
    scaling = wire.scaling and ScalingConfig(
        min_count=wire.scaling.min,
        max_count=wire.scaling.max,
        boot_s=wire.scaling.boot_s,
        spot_price=wire.scaling.spot_price,
        prices_by_zone=wire.scaling.zone_prices,
    )
    return PoolConfig(wire.name, wire.max_conns, engine, scaling)


def decode_limits(wire: _Limits) -> CallerLimits:
    """Converts the limits on callers; times become seconds."""
    return CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_s=wire.header_timeout_ms / 1000,
        idle_s=wire.idle_timeout_ms / 1000,
    )
