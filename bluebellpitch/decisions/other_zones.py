"""What is known of the engines of another zone, from what its broker told last."""

from dataclasses import dataclass

from bluebellpitch.decisions.generation_broker import CROWDING_S
from bluebellpitch.decisions.loads import Work, session_of

# Engines of another zone are taken to keep what they read this short a time ago.
SESSION_KEPT_S = 9.0


@dataclass(slots=True)
class OtherZone:
    """What the broker of another zone told last, with what was passed on there since."""

    long_fixed_s: float
    long_s_per_token: float
    short_cost_s: float
    queue_s_per_token: float
    address: str
    told_at: float
    sessions_at: dict[str, float]

    def keeps(self, work: Work, now: float) -> bool:
        """Tells whether an engine there read the shared parts of a prompt lately."""
        return now - self.sessions_at.get(session_of(work.parts), float("-inf")) < SESSION_KEPT_S

    def forget_sessions(self, now: float) -> None:
        """Forgets sessions that may no longer be kept."""
        old = [key for key, at in self.sessions_at.items() if now - at >= SESSION_KEPT_S]
        for key in old:
            del self.sessions_at[key]

    def note_passed_on(self, tokens: int) -> None:
        """Counts work that was passed on, until the zone tells of it itself."""
        self.long_fixed_s += tokens * self.queue_s_per_token
        self.short_cost_s += CROWDING_S
