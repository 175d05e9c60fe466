"""Detects slow endpoints from request latencies, because load reports arrive late.

A sample is the time to the first token, or between tokens, of one request. Each endpoint's recent
samples of a class are compared with those of the other endpoints; a high ratio marks it as slow.
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
class LatencySample:
    """A measured time in seconds. ``measure`` is ``first`` (token) or ``between`` (tokens)."""

    measured_at: float
    class_name: str
    measure: str
    seconds: float


class EndpointHealth:
    """Slow and unreachable endpoints as seen by one broker."""

    def __init__(self, window_s: float = HEALTH_WINDOW_S, slow_ratio: float = SLOW_RATIO):
        self._window_s = window_s
        self._slow_ratio = slow_ratio
        self._samples_by_endpoint: dict[str, deque[LatencySample]] = {}
        self._down_until: dict[str, float] = {}
        self._slow_names: set[str] = set()
        # When a slow endpoint was last found slower than others.
        self._compared_at: dict[str, float] = {}

    def add_sample(self, endpoint: str, sample: LatencySample) -> None:
        """Adds a sample; each endpoint keeps a bounded number of the latest."""
        self._samples_by_endpoint.setdefault(endpoint, deque(maxlen=256)).append(sample)

    def mark_down(self, endpoint: str, now: float, retry_s: float = DOWN_RETRY_DELAY_S) -> None:
        """Excludes an endpoint for a while after a failed connection or a crashed request."""
        self._down_until[endpoint] = now + retry_s

    def is_down(self, endpoint: str, now: float) -> bool:
        """Returns whether an endpoint is excluded from new requests now."""
        return now < self._down_until.get(endpoint, 0.0)

    def is_slow(self, endpoint: str) -> bool:
        """Returns the result of the latest evaluation."""
        return endpoint in self._slow_names

    def update_slow_endpoints(self, now: float) -> tuple[tuple[str, bool], ...]:
        """Evaluates all endpoints; returns those that became slow (True) or normal (False).

        A slow one that is used while there is nothing to compare it with is normal after a while:
        it would not be found fast again otherwise, as all others are gone.
        """
        medians_by_name = {
            name: self._recent_medians(name, now) for name in self._samples_by_endpoint
        }
        changes = []
        for name in medians_by_name:
            is_slow = self._is_outlier(name, medians_by_name)
            if is_slow:
                self._compared_at[name] = now
            elif is_slow is None and medians_by_name[name]:
                is_slow = self.is_slow(name) and not self._is_forgotten(name, now)
            if is_slow is None or is_slow == self.is_slow(name):
                continue
            changes.append((name, is_slow))
            if is_slow:
                self._slow_names.add(name)
            else:
                self._slow_names.discard(name)
        return tuple(changes)

    def _is_forgotten(self, name: str, now: float) -> bool:
        return now - self._compared_at[name] > self._window_s

    def _recent_medians(self, name: str, now: float) -> dict[tuple[str, str], float]:
        samples = self._samples_by_endpoint[name]
        while samples and now - samples[0].measured_at > self._window_s:
            samples.popleft()
        times_by_key: dict[tuple[str, str], list[float]] = {}
        for sample in samples:
            times_by_key.setdefault((sample.class_name, sample.measure), []).append(sample.seconds)
        return {
            key: median(values[-HEALTH_MEDIAN_SAMPLES:]) for key, values in times_by_key.items()
        }

    def _is_outlier(self, name: str, medians_by_name) -> bool | None:
        """Compares an endpoint with the others; None if there is nothing to compare."""
        ratios = []
        for key, seconds in medians_by_name[name].items():
            siblings = [
                medians[key]
                for other, medians in medians_by_name.items()
                if other != name and key in medians
            ]
            if siblings and median(siblings) > 0:
                ratios.append(seconds / median(siblings))
        if not ratios:
            return None
        return median(ratios) >= self._slow_ratio
