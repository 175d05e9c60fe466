"""What differs between a new configuration and the one in force, by entry."""

from collections import Counter
from collections.abc import Iterator

from bluebellpitch.checks.findings import Change, ChangeKind, Finding, error
from bluebellpitch.decisions.catalogue import (
    Catalogue,
    ConfigurationEntries,
    MemberEntry,
    Route,
    build_catalogue,
)

# Values that may change, by their path: how they are called, and what callers notice.
ROUTE_EFFECTS = {
    "name": ("name", "only logs and metrics show it"),
    "repeatability": ("repeats", "whether a request that may have run is sent again"),
    "is_stream": ("stream", "whether the answer is passed on as a stream"),
    "timeout_s": ("timeout (s)", "requests without an answer end after it"),
    "target_s": ("target (s)", "requests that wait for longer are late"),
    "gap_target_s": ("target for pauses (s)", "streams with longer pauses are late"),
    "rank": ("rank", "requests of lower ranks are served first"),
    "max_attempts": ("attempts", "a failed request is sent at most so often"),
}
POOL_EFFECTS = {
    "max_connections": ("connections", "an endpoint takes so many from all VMs"),
    "engine.slots": ("slots", "so many requests run at an engine"),
    "engine.kv_capacity_tokens": ("memory (tokens)", "larger requests are refused"),
    "scaling.min_count": ("fewest endpoints in a zone", "fewer are never ordered"),
    "scaling.max_count": ("most endpoints in a zone", "more are never ordered"),
    "scaling.boot_s": ("start of an endpoint (s)", "orders are made so much earlier"),
    "scaling.spot_price": ("price of spot endpoints", "decides how many are ordered"),
    "scaling.prices_by_zone": ("prices of zones", "decide where endpoints are ordered"),
}
LIMIT_EFFECTS = {
    "header_bytes": ("head (bytes)", "larger ones are refused with 431"),
    "body_bytes": ("body (bytes)", "larger ones are refused with 413"),
    "header_s": ("time for a request (s)", "callers that send more slowly are given up"),
    "idle_s": ("idle time (s)", "connections without requests are closed after it"),
}


def find_old_version(
    new: ConfigurationEntries, in_force: ConfigurationEntries
) -> Iterator[Finding]:
    """Finds a version that VMs ignore, since it is not above the one in force."""
    if new.version <= in_force.version:
        message = f"version {new.version} is not above {in_force.version}, so VMs ignore it"
        yield error(("version",), message)


def compare_configurations(
    new: ConfigurationEntries, in_force: ConfigurationEntries
) -> Iterator[Change]:
    """Yields what callers notice: of routes, accounts and keys, services, limits."""
    catalogue, catalogue_in_force = build_catalogue(new), build_catalogue(in_force)
    yield from compare_routes(catalogue, catalogue_in_force)
    yield from compare_need_for_keys(catalogue, catalogue_in_force)
    yield from compare_members(new, in_force)
    yield from compare_keys(catalogue, catalogue_in_force)
    yield from compare_pools(catalogue, catalogue_in_force)
    for message in describe_fields(new.limits, in_force.limits, LIMIT_EFFECTS):
        yield Change(ChangeKind.CHANGED, "limits", message)


def routes_by_address(catalogue: Catalogue) -> dict[tuple[str, str], Route]:
    """Returns the routes that can match, by host and path prefix."""
    by_address: dict[tuple[str, str], Route] = {}
    for routes in catalogue.routes_by_host.values():
        for route in routes:
            by_address.setdefault((route.host, route.path_prefix), route)
    return by_address


def compare_routes(new: Catalogue, in_force: Catalogue) -> Iterator[Change]:
    """Yields routes that are gone, that are new, and that treat requests otherwise."""
    routes, routes_in_force = routes_by_address(new), routes_by_address(in_force)
    for address, route in routes_in_force.items():
        if address not in routes:
            other = new.match_route(*address)
            effect = f"go to route {other.name!r}" if other else "are refused with 404"
            yield Change(ChangeKind.REMOVED, label_route(route), f"its requests {effect}")
    for address, route in routes.items():
        route_in_force = routes_in_force.get(address)
        if route_in_force is None:
            other = in_force.match_route(*address)
            effect = f"takes requests of route {other.name!r}" if other else "is new to callers"
            yield Change(ChangeKind.ADDED, label_route(route), effect)
            continue
        for message in describe_route(route, route_in_force, new.has_members):
            yield Change(ChangeKind.CHANGED, label_route(route), message)


def label_route(route: Route) -> str:
    """Returns how a route is called in the list of changes."""
    return f"route {route.name!r} ({route.host}{route.path_prefix})"


def describe_route(new: Route, in_force: Route, has_members: bool) -> Iterator[str]:
    """Yields how a route treats requests otherwise than before."""
    pools, pools_in_force = describe_pools(new), describe_pools(in_force)
    if pools != pools_in_force:
        yield f"its requests go to {pools}, not to {pools_in_force}"
    if has_members and new.is_public != in_force.is_public:
        yield "no key is needed any more" if new.is_public else "requests without a key get 401"
    yield from describe_fields(new, in_force, ROUTE_EFFECTS)


def describe_pools(route: Route) -> str:
    """Returns the services of a route, with their weights if there are several."""
    if len(route.weighted_pools) == 1:
        return repr(route.weighted_pools[0].pool)
    return ", ".join(
        f"{weighted.pool!r} ({weighted.weight:g})" for weighted in route.weighted_pools
    )


def describe_fields(new, in_force, effects: dict[str, tuple[str, str]]) -> Iterator[str]:
    """Yields the values that differ, with what callers notice."""
    for path, (name, effect) in effects.items():
        value, value_in_force = read_field(new, path), read_field(in_force, path)
        if value != value_in_force:
            yield f"{name}: {describe_value(value_in_force)} -> {describe_value(value)}; {effect}"


def read_field(entry, path: str):
    """Returns a value inside an entry, or None if a part of its path is None."""
    for name in path.split("."):
        entry = None if entry is None else getattr(entry, name)
    return entry


def describe_value(value) -> str:
    """Returns a short text of a value."""
    match value:
        case None:
            return "none"
        case bool():
            return "yes" if value else "no"
        case dict():
            return ", ".join(f"{name} {number:g}" for name, number in sorted(value.items()))
        case float():
            return f"{value:g}"
        case _:
            return str(value)


def compare_need_for_keys(new: Catalogue, in_force: Catalogue) -> Iterator[Change]:
    """Yields whether keys are asked for from now on, or no longer."""
    if new.has_members and not in_force.has_members:
        message = "keys are asked for: requests without one get 401, except on public routes"
        yield Change(ChangeKind.ADDED, "accounts", message)
    if in_force.has_members and not new.has_members:
        message = "keys are no longer asked for: everybody may use all routes"
        yield Change(ChangeKind.REMOVED, "accounts", message)


def members_by_name(entries: ConfigurationEntries) -> dict[str, MemberEntry]:
    """Returns the accounts by name; the last one of a name counts."""
    return {member.name: member for member in entries.members or ()}


def compare_members(new: ConfigurationEntries, in_force: ConfigurationEntries) -> Iterator[Change]:
    """Yields accounts that are gone, new, or of another rank."""
    members, members_in_force = members_by_name(new), members_by_name(in_force)
    for name in (name for name in members_in_force if name not in members):
        yield Change(ChangeKind.REMOVED, f"account {name!r}", "it is gone")
    for name, member in members.items():
        if name not in members_in_force:
            yield Change(ChangeKind.ADDED, f"account {name!r}", f"rank: {describe_rank(member)}")
        elif member.rank != members_in_force[name].rank:
            before = describe_rank(members_in_force[name])
            message = f"its rank is {describe_rank(member)}, was {before}"
            yield Change(ChangeKind.CHANGED, f"account {name!r}", message)


def describe_rank(member: MemberEntry) -> str:
    """Returns the rank of an account's requests."""
    return "that of the route" if member.rank is None else str(member.rank)


def compare_keys(new: Catalogue, in_force: Catalogue) -> Iterator[Change]:
    """Yields keys by account, never shown: those taken away, moved and given."""
    if not (new.has_members and in_force.has_members):
        return
    moves: Counter[tuple[str | None, str | None]] = Counter()
    for key in in_force.members_by_key.keys() | new.members_by_key.keys():
        before, after = in_force.members_by_key.get(key), new.members_by_key.get(key)
        moves[(before and before.name, after and after.name)] += 1
    for (before, after), count in sorted(moves.items(), key=str):
        match before, after:
            case str(), None:
                message = f"keys taken away: {count}; their requests are refused with 401"
                yield Change(ChangeKind.REMOVED, f"account {before!r}", message)
            case None, str():
                message = f"keys given: {count}"
                yield Change(ChangeKind.ADDED, f"account {after!r}", message)
            case _ if before != after:
                message = (
                    f"keys that are now of account {after!r}: {count}; its rank counts for them"
                )
                yield Change(ChangeKind.CHANGED, f"account {before!r}", message)


def compare_pools(new: Catalogue, in_force: Catalogue) -> Iterator[Change]:
    """Yields services that are gone, new, or of other capacity."""
    pools, pools_in_force = new.pools_by_name, in_force.pools_by_name
    for name in (name for name in pools_in_force if name not in pools):
        yield Change(ChangeKind.REMOVED, f"service {name!r}", "it is no longer listed")
    for name, pool in pools.items():
        if name not in pools_in_force:
            message = "it has engines" if pool.engine else "a plain service"
            yield Change(ChangeKind.ADDED, f"service {name!r}", message)
            continue
        for message in describe_fields(pool, pools_in_force[name], POOL_EFFECTS):
            yield Change(ChangeKind.CHANGED, f"service {name!r}", message)
