"""What this zone's broker knows of another zone."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bluebellpitch.decisions.loads import WorkItem, session_of
from bluebellpitch.decisions.zones.outlook import UNKNOWN_OUTLOOK, HomeOutlook, ZoneOutlook

# How long engines of another zone are assumed to have a session cached after it was reported.
SESSION_CACHE_S = 9.0
# Leaving has to save this much, as estimates of two zones differ and bytes between them cost money.
MIN_GAIN_S = 0.06
# Reports that are older than this are not used.
REPORT_MAX_AGE_S = 0.6


@dataclass(slots=True)
class RemoteZone:
    """The last report of another zone's broker, with the work expected there since."""

    name: str
    spillover_delay_s: float
    address: str = ""
    outlook: ZoneOutlook = UNKNOWN_OUTLOOK
    reported_at: float = float("-inf")
    session_seen_at: dict[str, float] = field(default_factory=dict)

    def is_current(self, now: float) -> bool:
        """Returns whether the last report is recent enough to act on."""
        return now - self.reported_at < REPORT_MAX_AGE_S

    def record_spillover(self, tokens: int, others: Iterable["RemoteZone"]) -> None:
        """Adds the cost of a prompt, as the next report will show it, of which so much is read.

        Of the ``others``, those for which leaving for this zone pays see what this zone's broker
        sees, and are expected to send as much at the same moment.
        """
        senders = 1 + sum(
            other is not self and other.saved_s(self.outlook, tokens) > MIN_GAIN_S
            for other in others
        )
        self.outlook = self.outlook.with_prompt(senders * tokens)

    def has_cached(self, work: WorkItem, now: float) -> bool:
        """Returns whether an engine there probably has the shared parts of a prompt cached."""
        return (
            now - self.session_seen_at.get(session_of(work.parts), float("-inf")) < SESSION_CACHE_S
        )

    def unread_tokens(self, work: WorkItem, home: HomeOutlook, now: float) -> int:
        """Returns how many tokens of a prompt an engine there probably has to read."""
        return home.unshared_tokens if self.has_cached(work, now) else work.tokens_in

    def cost_s(self, work: WorkItem, home: HomeOutlook, now: float) -> float:
        """Returns the cost of work there, with the delay of spillover, in seconds."""
        if home.is_short:
            return self.spillover_delay_s + self.outlook.short_s
        cache_miss_s = 0.0 if self.has_cached(work, now) else home.cache_miss_s
        read_s = self.outlook.long_s(self.unread_tokens(work, home, now))
        return self.spillover_delay_s + read_s + cache_miss_s

    def saved_s(self, there: ZoneOutlook, tokens: int) -> float:
        """Returns how much less a prompt of this zone would cost in another one, in seconds.

        The delay of spillover is taken as that between this zone and the VM's own.
        """
        return self.outlook.long_s(tokens) - there.long_s(tokens) - self.spillover_delay_s

    def prune_sessions(self, now: float) -> None:
        """Removes sessions that may no longer be cached."""
        self.session_seen_at = {
            session: seen_at
            for session, seen_at in self.session_seen_at.items()
            if now - seen_at < SESSION_CACHE_S
        }
