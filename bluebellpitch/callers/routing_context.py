"""What the handlers of routed requests share."""

from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.decisions.catalogue import Catalogue
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.shutdown import DurationEstimates
from bluebellpitch.draining import Shutdown
from bluebellpitch.endpoints.endpoint_connections import EndpointConnectionPool
from bluebellpitch.metrics import Metrics
from bluebellpitch.roles.crash_reporter import CrashReporter
from bluebellpitch.roles.crash_tracker import CrashTracker
from bluebellpitch.roles.endpoint_allocator import EndpointAllocator
from bluebellpitch.roles.endpoint_check import EndpointCheck
from bluebellpitch.roles.shared_retry_budget import SharedRetryBudget
from bluebellpitch.roles.strike_replicator import StrikeReplicator


def ignore_run(member: str, began_at: float) -> None:
    """Counts nothing, where no usage is reported."""


@dataclass(frozen=True)
class RoutingContext:
    """The shared state and services that request handlers use.

    ``record_run`` is called once for each request of a member that began to run, with the member's
    name and the time by ``now``.
    """

    catalogue: Callable[[], Catalogue | None]
    freshness: Freshness
    endpoint_allocator: EndpointAllocator
    endpoint_check: EndpointCheck
    connection_pool: EndpointConnectionPool
    retries: SharedRetryBudget
    is_draining: Callable[[], bool]
    shutdown: Shutdown
    durations: DurationEstimates
    strikes: StrikeReplicator
    crash_reporter: CrashReporter
    crash_tracker: CrashTracker
    metrics: Metrics
    now: Callable[[], float]
    record_run: Callable[[str, float], None] = ignore_run

    def set_gauges(self, live_peers: int, in_flight: int) -> None:
        """Sets the gauges of this VM."""
        now, metrics, catalogue = self.now(), self.metrics, self.catalogue()
        metrics.configuration_version.set(catalogue.version if catalogue else -1)
        metrics.peers_heard.set(live_peers)
        metrics.in_flight.set(in_flight)
        metrics.freshness_age.set(self.freshness.age_s(now))
        for pool in catalogue.pools_by_name if catalogue else ():
            metrics.repeats_left.labels(pool).set(self.retries.remaining(pool))
