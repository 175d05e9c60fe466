"""What is known of the engines of another zone, from what its broker told last."""

from dataclasses import dataclass

from bluebellpitch.decisions.generation_broker import RUNNING_REQUEST_COST_S
from bluebellpitch.decisions.loads import WorkItem, session_of

# Engines of another zone are taken to keep what they read this short a time ago.
SESSION_CACHE_S = 9.0


@dataclass(slots=True)
class RemoteZone:
    """What the broker of another zone told last, with what was passed on there since."""

    long_fixed_s: float
    long_s_per_token: float
    short_cost_s: float
    queue_s_per_token: float
    address: str
    reported_at: float
    session_seen_at: dict[str, float]

    def has_cached(self, work: WorkItem, now: float) -> bool:
        """Tells whether an engine there read the shared parts of a prompt lately."""
        return (
            now - self.session_seen_at.get(session_of(work.parts), float("-inf")) < SESSION_CACHE_S
        )

    def prune_sessions(self, now: float) -> None:
        """Forgets sessions that may no longer be kept."""
        old = [key for key, at in self.session_seen_at.items() if now - at >= SESSION_CACHE_S]
        for key in old:
            del self.session_seen_at[key]

    def record_forwarded(self, tokens: int) -> None:
        """Counts work that was passed on, until the zone tells of it itself."""
        self.long_fixed_s += tokens * self.queue_s_per_token
        self.short_cost_s += RUNNING_REQUEST_COST_S
