"""Pauses that endpoints named to this VM when they turned a request away.

After a pause an endpoint gets one request at first and twice as many in each step, so that what
waited for it does not come all at once.
"""

from dataclasses import dataclass, field

RAMP_STEP_S = 0.25
RAMP_STEPS = 4


@dataclass(slots=True)
class Pause:
    """``until`` is the end of the pause; ``sent`` counts the requests since then."""

    until: float
    sent: int = 0

    def has_ended(self, now: float) -> bool:
        """Returns whether the endpoint takes any number of requests again."""
        return now >= self.until + RAMP_STEPS * RAMP_STEP_S

    def wait_s(self, now: float) -> float:
        """Returns the time until the next request, 0 if it may be sent now."""
        if now < self.until:
            return self.until - now
        step = int((now - self.until) / RAMP_STEP_S)
        if self.has_ended(now) or self.sent < 2 ** (step + 1) - 1:
            return 0.0
        return self.until + (step + 1) * RAMP_STEP_S - now


@dataclass(slots=True)
class EndpointPauses:
    """Pauses by incarnation of the endpoint. Times are seconds of the owner's clock."""

    _by_incarnation: dict[tuple[str, int], Pause] = field(default_factory=dict)

    def record(self, key: tuple[str, int], pause_s: float, now: float) -> None:
        """Records a pause from now on; it does not shorten one that was named before."""
        self._drop_ended(now)
        known = self._by_incarnation.get(key)
        until = now + pause_s
        self._by_incarnation[key] = Pause(max(until, known.until) if known else until)

    def _drop_ended(self, now: float) -> None:
        pauses = self._by_incarnation
        self._by_incarnation = {k: pause for k, pause in pauses.items() if not pause.has_ended(now)}

    def wait_s(self, key: tuple[str, int], now: float) -> float:
        """Returns the time until the endpoint may get a request, 0 if it may now."""
        pause = self._by_incarnation.get(key)
        return 0.0 if pause is None else pause.wait_s(now)

    def in_force(self, now: float) -> list[tuple[str, int]]:
        """Returns the incarnations that may get no request now."""
        return [key for key, pause in self._by_incarnation.items() if pause.wait_s(now) > 0]

    def count_sent(self, key: tuple[str, int]) -> None:
        """Counts a request to an endpoint."""
        if (pause := self._by_incarnation.get(key)) is not None:
            pause.sent += 1
