"""Load of another zone's engines, as last reported by its broker."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bluebellpitch.decisions.engine_placement import RUNNING_REQUEST_COST_S
from bluebellpitch.decisions.loads import WorkItem, session_of

# How long engines of another zone are assumed to have a session cached after it was reported.
SESSION_CACHE_S = 9.0
# Loads that are older than this are not used.
LOAD_MAX_AGE_S = 0.6
# Work is forwarded to another zone when its cost there, including the delay of forwarding, is
# lower by more than this gain.
FORWARD_MIN_GAIN_S = 0.06
FORWARD_DELAY_S = 0.12
LOCAL_COST_TOLERANCE_S = 0.08


@dataclass(slots=True)
class RemoteZone:
    """The last report of another zone's broker, plus the work forwarded there since."""

    long_fixed_s: float
    long_s_per_token: float
    short_cost_s: float
    queue_s_per_token: float
    address: str
    reported_at: float
    session_seen_at: dict[str, float]

    def has_cached(self, work: WorkItem, now: float) -> bool:
        """Returns whether an engine there probably has the shared parts of a prompt cached."""
        return (
            now - self.session_seen_at.get(session_of(work.parts), float("-inf")) < SESSION_CACHE_S
        )

    def prune_sessions(self, now: float) -> None:
        """Removes sessions that may no longer be cached."""
        expired = [
            session
            for session, seen_at in self.session_seen_at.items()
            if now - seen_at >= SESSION_CACHE_S
        ]
        for session in expired:
            del self.session_seen_at[session]

    def record_forwarded(self, tokens: int) -> None:
        """Adds the cost of forwarded work until the next report includes it."""
        self.long_fixed_s += tokens * self.queue_s_per_token
        self.short_cost_s += RUNNING_REQUEST_COST_S


def find_cheaper_zone(
    zones_by_pool_and_name: Mapping[tuple[str, str], RemoteZone],
    pool: str,
    local_s: float,
    cost: Callable[[RemoteZone], float],
    now: float,
) -> RemoteZone | None:
    """Returns the zone where work costs least, if forwarding it is worth it; else None.

    ``local_s`` is the cost in this zone and ``cost`` that in another, in seconds.
    """
    if local_s <= LOCAL_COST_TOLERANCE_S:
        return None
    others = [
        other
        for (other_pool, _), other in zones_by_pool_and_name.items()
        if other_pool == pool and now - other.reported_at < LOAD_MAX_AGE_S
    ]
    best = min(others, key=cost, default=None)
    if best is None or cost(best) + FORWARD_DELAY_S + FORWARD_MIN_GAIN_S >= local_s:
        return None
    return best
