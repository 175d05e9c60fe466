"""When callers that were refused may come back.

Load pattern: a burst beyond what the engines can take, of which many are refused at one moment and
would all return at one moment.
"""

from dataclasses import dataclass

MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 3.0


@dataclass(slots=True)
class ReturnSchedule:
    """Places in a queue that refused callers hold by their Retry-After, in seconds."""

    _next_at: float = float("-inf")

    def retry_after(self, busy_s: float, prompt_s: float, now: float) -> float:
        """Returns when a caller should come back.

        It would be admitted after ``busy_s`` at the earliest. ``prompt_s`` is the time that its
        prompt takes of all engines together; the next caller is told to return that much later.
        """
        earliest = now + max(MIN_RETRY_AFTER_S, busy_s)
        latest = now + MAX_RETRY_AFTER_S
        at = max(earliest, self._next_at)
        if at >= latest:
            return MAX_RETRY_AFTER_S
        self._next_at = at + prompt_s
        return at - now
