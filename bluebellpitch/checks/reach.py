"""Rules about entries of a configuration that can never match, or that others replace."""

from collections import Counter
from collections.abc import Iterable, Iterator

from bluebellpitch.checks.findings import Finding, Place, error, warning
from bluebellpitch.decisions.catalogue import ConfigurationEntries, Route


def find_impossible_addresses(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds routes whose host or path prefix no request has."""
    for index, route in enumerate(entries.routes):
        if not route.host or ":" in route.host:
            message = f"no request has the host {route.host!r}: hosts are matched without the port"
            yield error(("routes", index, "host"), message)
        if route.path_prefix and not route.path_prefix.startswith("/"):
            message = f"no path begins with {route.path_prefix!r}: paths begin with a slash"
            yield error(("routes", index, "path_prefix"), message)
        elif "?" in route.path_prefix:
            message = f"no path begins with {route.path_prefix!r}: the query is not matched"
            yield error(("routes", index, "path_prefix"), message)


def find_shadowed_routes(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds routes behind another one that takes all their requests."""
    first_by_address: dict[tuple[str, str], int] = {}
    for index, route in enumerate(entries.routes):
        first = first_by_address.setdefault((route.host, route.path_prefix), index)
        if first != index:
            other = entries.routes[first].name
            message = f"route {other!r} (entry {first}) has this host and prefix and takes it all"
            yield error(("routes", index, "path_prefix"), message)
    for (host, prefix), index in first_by_address.items():
        slash = first_by_address.get((host, "/"))
        if prefix == "" and slash is not None:
            other = entries.routes[slash].name
            message = f"route {other!r} (entry {slash}) has the longer prefix '/' and takes it all"
            yield error(("routes", index, "path_prefix"), message)


def find_idle_splits(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds parts of a split that get no requests."""
    for index, route in enumerate(entries.routes):
        weights = [weighted.weight for weighted in route.weighted_pools]
        last = len(weights) - 1
        for part, weight in enumerate(weights):
            place = ("routes", index, "weighted_pools", part, "weight")
            pool = route.weighted_pools[part].pool
            if weight < 0:
                yield error(place, f"the weight of {pool!r} is below 0 and falsifies the others")
            elif weight == 0 and sum(weights) == 0 and part == last:
                yield warning(place, f"{pool!r} gets all requests, since all weights are 0")
            elif weight == 0:
                yield warning(place, f"{pool!r} gets no requests, since its weight is 0")


def find_unlisted_pools(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds routes to services that are not listed."""
    names = {pool.name for pool in entries.pools}
    for index, route in enumerate(entries.routes):
        for part, weighted in enumerate(route.weighted_pools):
            if weighted.pool not in names:
                place = pool_place(index, route, part)
                yield error(place, f"there is no service {weighted.pool!r}")


def pool_place(index: int, route: Route, part: int) -> Place:
    """Returns where a route names a service: by itself, or in a part of its split."""
    if len(route.weighted_pools) == 1:
        return ("routes", index, "pool")
    return ("routes", index, "weighted_pools", part, "pool")


def find_unused_pools(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds services that no route names."""
    used = {weighted.pool for route in entries.routes for weighted in route.weighted_pools}
    for index, pool in enumerate(entries.pools):
        if pool.name not in used:
            yield warning(("pools", index, "name"), f"no route names the service {pool.name!r}")


def find_unusable_members(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds accounts without keys, and keys that are empty."""
    for index, member in enumerate(entries.members or ()):
        if not member.keys:
            message = f"the account {member.name!r} has no key, so it can send nothing"
            yield warning(("members", index, "keys"), message)
        for position, key in enumerate(member.keys):
            if key == "":
                message = "the key is empty, so it is ignored"
                yield error(("members", index, "keys", position), message)
            elif key != key.strip():
                message = "no request has this key: blanks around a key are taken away"
                yield error(("members", index, "keys", position), message)
    if entries.members == () and any(not route.is_public for route in entries.routes):
        yield warning(("members",), "there is no account, so only public routes can be used")


def find_repeated_keys(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds keys that are listed twice; the last account of a key has it."""
    first_by_key: dict[str, tuple[int, int]] = {}
    for index, member in enumerate(entries.members or ()):
        for position, key in enumerate(member.keys):
            place = ("members", index, "keys", position)
            first, first_position = first_by_key.setdefault(key, (index, position))
            if first != index:
                other = entries.members[first].name
                message = f"the account {other!r} (entry {first}) has this key too and loses it"
                yield error(place, message)
            elif first_position != position:
                yield warning(place, f"the account {member.name!r} has this key twice")


def find_repeated_names(entries: ConfigurationEntries) -> Iterator[Finding]:
    """Finds services, routes and accounts of one name."""
    for index, name in repeated(pool.name for pool in entries.pools):
        message = f"the service {name!r} is listed again; the last one counts"
        yield error(("pools", index, "name"), message)
    for index, name in repeated(route.name for route in entries.routes):
        message = f"another route is named {name!r}; logs and metrics cannot tell them apart"
        yield warning(("routes", index, "name"), message)
    for index, name in repeated(member.name for member in entries.members or ()):
        message = f"another account is named {name!r}; their requests are counted as one's"
        yield warning(("members", index, "name"), message)


def repeated(names: Iterable[str]) -> Iterator[tuple[int, str]]:
    """Yields the names that stood before, with their index."""
    seen: Counter[str] = Counter()
    for index, name in enumerate(names):
        if seen[name]:
            yield index, name
        seen[name] += 1


REACH_RULES = (
    find_impossible_addresses,
    find_shadowed_routes,
    find_idle_splits,
    find_unlisted_pools,
    find_unused_pools,
    find_unusable_members,
    find_repeated_keys,
    find_repeated_names,
)
