"""Chooses an endpoint of a service without engines by distance, load and failures."""

from collections.abc import Iterable

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.loads import EndpointLoads

# Failure rates within this distance of the lowest one in the pool are treated as noise.
FAILURE_TOLERANCE = 0.15
FAILURE_COST = 6.0


def choose_service_endpoint(
    entries: Iterable[EndpointEntry],
    loads: EndpointLoads,
    distance_by_zone: dict[str, float],
    avoid: frozenset[str],
    now: float,
) -> EndpointEntry | None:
    """Returns the endpoint with the lowest cost, or None if all are excluded.

    Endpoints that are down or silent are used only if no other is left. Distances are in units of
    the typical duration of a request.
    """
    usable = [entry for entry in entries if entry.id not in avoid]
    up = [entry for entry in usable if loads.for_endpoint(entry).may_answer(now)] or usable
    if not up:
        return None
    lowest_failure_rate = min(loads.for_endpoint(entry).recent_failure_rate(now) for entry in up)

    def cost(entry: EndpointEntry) -> float:
        load = loads.for_endpoint(entry)
        excess_failure_rate = max(
            0.0, load.recent_failure_rate(now) - lowest_failure_rate - FAILURE_TOLERANCE
        )
        requests = load.estimated_requests(now)
        queued = max(0.0, requests + 1 - entry.slots)
        pressure = requests / entry.slots + queued * 2 / entry.slots
        return (
            distance_by_zone.get(entry.zone, 1.0)
            + (1 + pressure) * load.slowdown(now)
            + excess_failure_rate * FAILURE_COST
        )

    return min(up, key=cost)
