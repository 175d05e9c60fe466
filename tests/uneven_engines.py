"""Replays load on engines whose speed differs and changes, in virtual time."""

from collections.abc import Callable, Mapping

from bluebellpitch.decisions.generation_broker import GenerationBroker
from tests.generation_load import FIXED_S, TOKENS_PER_S, LoadReplay

SlowdownAt = Callable[[float], float]


def from_to(start: float, end: float, slowdown: float) -> SlowdownAt:
    """Returns the slowdown of an engine that is slow for a while."""
    return lambda now: slowdown if start <= now < end else 1.0


class UnevenReplay(LoadReplay):
    """Engines that read, and generate, more slowly by a factor of their own.

    ``reports`` is set if responses name the slowdown at the time of the first token.
    ``granted_at_by_engine`` has the times of long prompts.
    """

    def __init__(
        self,
        broker: GenerationBroker,
        slowdowns_by_engine: Mapping[str, SlowdownAt],
        reports: bool = False,
    ):
        super().__init__(broker)
        self.slowdowns_by_engine = slowdowns_by_engine
        self.reports = reports
        self.granted_at_by_engine: dict[str, list[float]] = {}

    def slowdown(self, engine: str, now: float) -> float:
        slowdown_at = self.slowdowns_by_engine.get(engine)
        return slowdown_at(now) if slowdown_at else 1.0

    def _start(self, work_id: str, engine: tuple[str, int], uncached: int, now: float) -> None:
        work, load = self._arrivals_by_id[work_id]
        if not self.broker.placement.is_short_prompt(work):
            self.granted_at_by_engine.setdefault(engine[0], []).append(now)
        start = max(now, self._free_at_by_engine.get(engine, 0.0))
        slowdown = self.slowdown(engine[0], start)
        free_at = self._free_at_by_engine[engine] = start + uncached / TOKENS_PER_S * slowdown
        first_token_at = free_at + FIXED_S
        reported = slowdown if self.reports else 1.0
        waited_s = first_token_at - now
        self._schedule(first_token_at, "record_first_token", work_id, waited_s, reported)
        self._schedule(first_token_at + load.decode_s * slowdown, "finish", work_id, "ok")
        self._record(work_id, first_token_at)
