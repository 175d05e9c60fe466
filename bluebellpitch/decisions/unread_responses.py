"""What it means for a response that its caller does not read it.

Load pattern: callers that read slowly or not at all. Their endpoints' streams are not read either,
and an endpoint cuts off a stream that stays unread. Hundreds of such callers together hold the
memory that sound callers need.
"""

from collections.abc import Hashable
from dataclasses import dataclass

# An endpoint may cut off a stream that was left unread for this long.
UNREAD_LIMIT_S = 1.0
# A caller that has read nothing for this long may be ended for the memory that it holds.
MIN_STALL_S = 1.0


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


@dataclass(frozen=True, slots=True)
class UnreadResponse:
    """What a VM holds of a response, and since when its caller has read nothing of it."""

    held_bytes: int
    since: float


class UnreadResponses:
    """Responses whose callers do not read as fast as they are sent, by connection."""

    def __init__(self):
        self._by_connection: dict[Hashable, UnreadResponse] = {}

    def record(self, connection: Hashable, held_bytes: int, now: float) -> None:
        """Records what is held now; less than before means that the caller has read on."""
        previous = self._by_connection.get(connection)
        has_read = previous is None or held_bytes < previous.held_bytes
        since = now if has_read else previous.since
        self._by_connection[connection] = UnreadResponse(held_bytes, since)

    def forget(self, connection: Hashable) -> None:
        """Records that nothing is held any more."""
        self._by_connection.pop(connection, None)

    def choose_to_end(self, needed_bytes: float, now: float) -> list[Hashable]:
        """Returns the stalled connections to end for this much memory, longest stalled first."""
        chosen = []
        for connection, response in sorted(
            self._by_connection.items(), key=lambda item: item[1].since
        ):
            if needed_bytes <= 0 or now - response.since < MIN_STALL_S:
                break
            needed_bytes -= response.held_bytes
            chosen.append(connection)
        return chosen
