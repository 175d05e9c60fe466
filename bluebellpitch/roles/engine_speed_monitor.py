"""Shows the speeds that this VM, as a broker, estimates of the engines of its zone."""

from collections.abc import Iterable

from bluebellpitch.decisions.engine_placement import MAX_USUAL_SLOWDOWN
from bluebellpitch.decisions.engine_state import EngineState
from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics


class EngineSpeedMonitor:
    """Sets the metric of each engine, and logs when one turns slow or has its usual speed again."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._slow_engines: set[tuple[str, int]] = set()

    def update(self, brokers: Iterable[GenerationBroker], now: float) -> None:
        """Shows the present speeds; engines of pools that are not given vanish."""
        self._metrics.engine_slowdown.clear()
        slow_engines = set()
        for broker in brokers:
            for engine in broker.placement.engines_by_key.values():
                slowdown = broker.placement.slowdown(engine, now)
                self._metrics.engine_slowdown.labels(broker.pool, engine.entry.id).set(slowdown)
                if slowdown > MAX_USUAL_SLOWDOWN:
                    slow_engines.add(engine.key)
                if (engine.key in slow_engines) != (engine.key in self._slow_engines):
                    event = "engine_slow" if engine.key in slow_engines else "engine_usual_speed"
                    log("INFO", event, pool=broker.pool, **describe_speed(engine, slowdown, now))
        self._slow_engines = slow_engines


def describe_speed(engine: EngineState, slowdown: float, now: float) -> dict[str, str]:
    """Returns an engine's estimated slowdown and what it is based on."""
    speed = engine.speed
    return {
        "endpoint": engine.entry.id,
        "slowdown": f"{slowdown:.2f}",
        "named": f"{engine.load.slowdown(now):.2f}",
        "samples": str(speed.sample_count),
        "age_s": f"{now - speed.sampled_at:.1f}",
    }
