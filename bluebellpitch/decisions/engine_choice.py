"""Which engine gets a generation: short wait for its first token, prompt parts kept there."""

from collections.abc import Iterable

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.hashing import score_owner
from bluebellpitch.decisions.loads import Loads, Work, session_of

# Prompt tokens that an engine reads in a second until more is known.
READ_TOKENS_PER_S = 40_000.0
RUNNING_COST_S = 0.004


def choose_engine(
    entries: Iterable[EndpointEntry],
    loads: Loads,
    work: Work,
    delay_s_by_zone: dict[str, float],
    avoid: frozenset[str],
    now: float,
) -> EndpointEntry | None:
    """Returns the engine with the least expected wait, or None."""
    usable = [entry for entry in entries if entry.id not in avoid]
    up = [entry for entry in usable if not loads.of(entry).is_down(now)] or usable
    if not up:
        return None
    session = session_of(work.parts) or work.id
    home = min(up, key=lambda entry: score_owner(session, entry.id))

    def cost(entry: EndpointEntry) -> float:
        load = loads.of(entry)
        reading = sum(load.reading.values()) / READ_TOKENS_PER_S
        kept = sum(size for _, size in work.parts[:-1]) if entry is home else 0
        own = max(0, work.tokens_in - kept) / READ_TOKENS_PER_S
        failing = load.failing(now)
        return (
            2 * delay_s_by_zone.get(entry.zone, 0.1)
            + reading
            + own
            + load.busy(now) * RUNNING_COST_S
            + failing
        )

    return min(up, key=cost)
