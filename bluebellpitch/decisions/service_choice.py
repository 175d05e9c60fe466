"""Which endpoint of a plain service gets a request: near, idle, and not failing."""

from collections.abc import Iterable

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.loads import EndpointLoads

# Rates of failures within this much of the best sibling's are taken for chance.
FAILURE_TOLERANCE = 0.15
FAILURE_COST = 6.0


def choose_service_endpoint(
    entries: Iterable[EndpointEntry],
    loads: EndpointLoads,
    distance_by_zone: dict[str, float],
    avoid: frozenset[str],
    now: float,
) -> EndpointEntry | None:
    """Returns the endpoint with the least cost, or None where none may take the request.

    Distances are in units of the usual time of a request.
    """
    usable = [entry for entry in entries if entry.id not in avoid]
    up = [entry for entry in usable if not loads.for_endpoint(entry).is_down(now)] or usable
    if not up:
        return None
    best_failing = min(loads.for_endpoint(entry).recent_failure_rate(now) for entry in up)

    def cost(entry: EndpointEntry) -> float:
        load = loads.for_endpoint(entry)
        failing = max(0.0, load.recent_failure_rate(now) - best_failing - FAILURE_TOLERANCE)
        busy = load.estimated_requests(now)
        waiting = max(0.0, busy + 1 - entry.slots)
        pressure = busy / entry.slots + waiting * 2 / entry.slots
        return (
            distance_by_zone.get(entry.zone, 1.0)
            + (1 + pressure) * load.slowdown
            + failing * FAILURE_COST
        )

    return min(up, key=cost)
