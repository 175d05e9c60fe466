"""What it means for a response that its caller does not read it.

Load pattern: callers that read slowly or not at all. Their endpoints' streams are not read either,
and an endpoint cuts off a stream that stays unread.
"""

from dataclasses import dataclass

# An endpoint may cut off a stream that was left unread for this long.
UNREAD_LIMIT_S = 1.0


@dataclass(slots=True)
class ReadingPauses:
    """When the stream of an endpoint was left unread. Times in seconds of the owner's clock."""

    last_ended_at: float = float("-inf")

    def record(self, began_at: float, ended_at: float) -> None:
        """Records that nothing was read meanwhile."""
        if ended_at - began_at >= UNREAD_LIMIT_S:
            self.last_ended_at = ended_at

    def explain_cut(self, now: float) -> bool:
        """Returns whether a stream that is found cut now may have been cut for a pause.

        What was received before the cut is read first, which does not take long.
        """
        return now - self.last_ended_at < UNREAD_LIMIT_S
