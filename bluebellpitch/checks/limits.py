"""Rules about limits of a configuration that contradict each other."""

from collections.abc import Iterator

from bluebellpitch.checks.findings import Finding, error, warning
from bluebellpitch.decisions.catalogue import ConfigurationEntries


def find_contradicting_times(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds routes whose targets lie above the timeout, or that have no time at all."""
    for index, route in enumerate(entries.routes):
        if route.timeout_s <= 0:
            message = f"the timeout of {route.name!r} is not above 0: no request has any time"
            yield error(("routes", index, "timeout_s"), message)
            continue
        if route.target_s > route.timeout_s:
            message = f"the target {route.target_s:g} s is above the timeout {route.timeout_s:g} s"
            yield warning(("routes", index, "target_s"), message)
        if route.target_s <= 0:
            message = f"the target of {route.name!r} is not above 0: no answer is in time"
            yield warning(("routes", index, "target_s"), message)
        if (route.gap_target_s or 0) > route.timeout_s:
            message = (
                f"the target for pauses, {route.gap_target_s:g} s, is above the timeout"
                f" {route.timeout_s:g} s"
            )
            yield warning(("routes", index, "gap_target_s"), message)


def find_contradicting_capacities(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds services whose endpoints cannot run what they are listed for."""
    for index, pool in enumerate(entries.pools):
        if pool.engine is None:
            continue
        for name in ("slots", "kv_capacity_tokens"):
            if getattr(pool.engine, name) == 0:
                message = f"nothing can run at {pool.name!r}: its engines have no room"
                yield error(("pools", index, "engine", name), message)
        if pool.max_connections < pool.engine.slots:
            message = (
                f"{pool.max_connections} connections cannot use {pool.engine.slots} slots: each"
                " takes one request at a time"
            )
            yield warning(("pools", index, "max_connections"), message)


def find_contradicting_scaling(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds services whose bounds for ordering endpoints exclude each other."""
    for index, pool in enumerate(entries.pools):
        if pool.scaling and pool.scaling.min_count > pool.scaling.max_count:
            message = f"the minimum is above the maximum, {pool.scaling.max_count}"
            yield error(("pools", index, "scaling", "min_count"), message)


def find_excluding_limits(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds limits on callers that let no request through."""
    limits = entries.limits
    if limits.header_bytes <= 0:
        yield error(("limits", "header_bytes"), "every request is above the limit")
    if limits.body_bytes <= 0:
        yield error(("limits", "body_bytes"), "every request with a body is above the limit")


def find_uneven_prices(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds zones that have a price for some scaled services and none for others."""
    scaled = [(index, pool.scaling) for index, pool in enumerate(entries.pools) if pool.scaling]
    priced = {zone for _, scaling in scaled for zone in scaling.prices_by_zone}
    for index, scaling in scaled:
        for zone in sorted(priced - scaling.prices_by_zone.keys()):
            message = f"the zone {zone!r} has a price for another service, but here it counts as 1"
            yield warning(("pools", index, "scaling", "prices_by_zone"), message)


def find_unknown_zones(entries: ConfigurationEntries, zones: frozenset[str]) -> Iterator[Finding]:
    """Finds prices of zones that do not exist, and zones that nothing has a price for."""
    for index, pool in enumerate(entries.pools):
        prices = pool.scaling.prices_by_zone if pool.scaling else {}
        place = ("pools", index, "scaling", "prices_by_zone")
        for zone in sorted(prices.keys() - zones):
            yield error(place, f"there is no zone {zone!r}")
        for zone in sorted(zones - prices.keys()) if prices else ():
            yield warning(place, f"the zone {zone!r} has no price and counts as 1")


def find_unreachable_attempts(
    entries: ConfigurationEntries, zones: frozenset[str]
) -> Iterator[Finding]:
    """Finds routes with more attempts than their services may ever have endpoints."""
    most_by_pool = {
        pool.name: pool.scaling.max_count * len(zones) for pool in entries.pools if pool.scaling
    }
    for index, route in enumerate(entries.routes):
        for weighted in route.weighted_pools:
            most = most_by_pool.get(weighted.pool)
            if most is not None and route.max_attempts > most:
                message = (
                    f"{route.max_attempts} attempts, but at most {most} endpoints of"
                    f" {weighted.pool!r} can be ordered"
                )
                yield warning(("routes", index, "max_attempts"), message)


LIMIT_RULES = (
    find_contradicting_times,
    find_contradicting_capacities,
    find_contradicting_scaling,
    find_excluding_limits,
)
ZONE_RULES = (find_unknown_zones, find_unreachable_attempts)


def find_contradictions(entries: ConfigurationEntries, zones: frozenset[str]) -> Iterator[Finding]:
    """Yields the findings of all rules on limits; without ``zones``, prices are only compared."""
    for rule in LIMIT_RULES:
        yield from rule(entries)
    if not zones:
        yield from find_uneven_prices(entries)
        return
    for rule in ZONE_RULES:
        yield from rule(entries, zones)
