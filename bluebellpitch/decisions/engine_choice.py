"""Chooses an engine for a generation request by this VM's own view of loads, without a broker."""

from collections.abc import Iterable

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.hashing import score_owner
from bluebellpitch.decisions.loads import EndpointLoads, WorkItem, session_of

# Assumed prefill speed; only brokers measure it.
PREFILL_TOKENS_PER_S = 40_000.0
IN_FLIGHT_REQUEST_COST_S = 0.004


def choose_engine(
    entries: Iterable[EndpointEntry],
    loads: EndpointLoads,
    work: WorkItem,
    delay_s_by_zone: dict[str, float],
    avoid: frozenset[str],
    now: float,
) -> EndpointEntry | None:
    """Returns the engine with the lowest expected time to first token, or None.

    Rendezvous hashing of the session names the engine that most likely has its parts cached.
    """
    usable = [entry for entry in entries if entry.id not in avoid]
    up = [entry for entry in usable if not loads.for_endpoint(entry).is_down(now)] or usable
    if not up:
        return None
    session = session_of(work.parts) or work.id
    preferred = min(up, key=lambda entry: score_owner(session, entry.id))

    def cost(entry: EndpointEntry) -> float:
        load = loads.for_endpoint(entry)
        backlog_s = sum(load.prefill_tokens_by_id.values()) / PREFILL_TOKENS_PER_S
        cached_tokens = sum(size for _, size in work.parts[:-1]) if entry is preferred else 0
        prefill_s = max(0, work.tokens_in - cached_tokens) / PREFILL_TOKENS_PER_S
        failure_rate = load.recent_failure_rate(now)
        return (
            2 * delay_s_by_zone.get(entry.zone, 0.1)
            + backlog_s
            + prefill_s
            + load.estimated_requests(now) * IN_FLIGHT_REQUEST_COST_S
            + failure_rate
        )

    return min(up, key=cost)
