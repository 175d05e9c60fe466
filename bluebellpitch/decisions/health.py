"""Slow endpoints, found from what the fleet sees rather than from late load reports.

Each observation is the time to the first token or between tokens of one request. It is compared
with the same class on sibling endpoints over the last seconds; the ratio tells a slow endpoint.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

from bluebellpitch.constants import (
    DOWN_RETRY_DELAY_S,
    HEALTH_MEDIAN_SAMPLES,
    HEALTH_WINDOW_S,
    SLOW_RATIO,
)


@dataclass(frozen=True, slots=True)
class Observation:
    """One measured time, in seconds. ``measure`` is ``first`` or ``between``."""

    at: float
    class_name: str
    measure: str
    seconds: float


class HealthView:
    """What one broker knows of its endpoints' speed."""

    def __init__(self, window_s: float = HEALTH_WINDOW_S, slow_ratio: float = SLOW_RATIO):
        self._window_s = window_s
        self._slow_ratio = slow_ratio
        self._by_endpoint: dict[str, deque[Observation]] = {}
        self._down_until: dict[str, float] = {}
        self._slow: dict[str, float] = {}

    def observe(self, endpoint: str, observation: Observation) -> None:
        """Takes one observation in."""
        self._by_endpoint.setdefault(endpoint, deque(maxlen=256)).append(observation)

    def mark_down(self, endpoint: str, now: float, retry_s: float = DOWN_RETRY_DELAY_S) -> None:
        """Keeps new work away after a connection failed or a request died there."""
        self._down_until[endpoint] = now + retry_s

    def is_down(self, endpoint: str, now: float) -> bool:
        """Tells whether an endpoint gets no new work now."""
        return now < self._down_until.get(endpoint, 0.0)

    def is_slow(self, endpoint: str) -> bool:
        """Tells the latest judgement."""
        return endpoint in self._slow

    def judge(self, now: float) -> tuple[tuple[str, bool], ...]:
        """Judges all endpoints; returns those whose judgement changed, with the new one."""
        recent = {name: self._recent(name, now) for name in self._by_endpoint}
        changes = []
        for name in recent:
            slow = self._is_outlier(name, recent)
            if slow is None or slow == self.is_slow(name):
                continue
            changes.append((name, slow))
            self._set_slow(name, slow, now)
        return tuple(changes)

    def _set_slow(self, name: str, slow: bool, now: float) -> None:
        if slow:
            self._slow[name] = now
        else:
            del self._slow[name]

    def _recent(self, name: str, now: float) -> dict[tuple[str, str], float]:
        observations = self._by_endpoint[name]
        while observations and now - observations[0].at > self._window_s:
            observations.popleft()
        groups: dict[tuple[str, str], list[float]] = {}
        for seen in observations:
            groups.setdefault((seen.class_name, seen.measure), []).append(seen.seconds)
        return {key: median(values[-HEALTH_MEDIAN_SAMPLES:]) for key, values in groups.items()}

    def _is_outlier(self, name: str, recent) -> bool | None:
        """Compares one endpoint with its siblings; None without enough evidence."""
        ratios = []
        for key, value in recent[name].items():
            others = [r[key] for other, r in recent.items() if other != name and key in r]
            if others and median(others) > 0:
                ratios.append(value / median(others))
        if not ratios:
            return None
        return median(ratios) >= self._slow_ratio
