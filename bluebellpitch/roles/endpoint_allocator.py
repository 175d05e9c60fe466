"""Allocates endpoints: for generations through the broker of the zone, for other work locally."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.engine_choice import choose_engine
from bluebellpitch.decisions.generation_broker import NO_ENGINE
from bluebellpitch.decisions.loads import EndpointLoads, WorkItem
from bluebellpitch.decisions.service_choice import choose_service_endpoint
from bluebellpitch.logs import log
from bluebellpitch.platform.http_messages import ResponseHead
from bluebellpitch.roles.generation_broker_client import EngineGrant, GenerationBrokerClient
from bluebellpitch.verdicts import DidNotRun

SAME_ZONE_DELAY_S = 0.0005
SAME_REGION_DELAY_S = 0.001
CROSS_REGION_DELAY_S = 0.03
NO_ENDPOINT_RETRY_AFTER_S = 0.4
MAX_ENGINE_REQUESTS = 3


@dataclass(frozen=True, slots=True)
class Placement:
    """A request assigned to an endpoint until ``release``.

    ``grant`` is set if a broker selected the endpoint.
    """

    entry: EndpointEntry
    work: WorkItem
    grant: EngineGrant | None = None


class EndpointAllocator:
    """Allocates endpoints and keeps this VM's view of their load. ``now`` is the owner's clock."""

    def __init__(
        self,
        directory: EndpointDirectory,
        broker_client: GenerationBrokerClient,
        zone: str,
        regions_by_zone: Mapping[str, str],
        now: Callable[[], float],
    ):
        self.directory = directory
        self.loads = EndpointLoads()
        self._broker_client = broker_client
        self._now = now
        region = regions_by_zone.get(zone, "")
        self._delay_s_by_zone = {
            other: (
                SAME_ZONE_DELAY_S
                if other == zone
                else SAME_REGION_DELAY_S if other_region == region else CROSS_REGION_DELAY_S
            )
            for other, other_region in regions_by_zone.items()
        }
        self._distance_by_zone = {
            other: delay_s / CROSS_REGION_DELAY_S
            for other, delay_s in self._delay_s_by_zone.items()
        }

    async def allocate(
        self, work: WorkItem, is_engine: bool, avoid: frozenset[str]
    ) -> Placement | DidNotRun:
        """Selects an endpoint and counts the work toward its load."""
        if is_engine:
            result = await self._acquire_engine(work, avoid)
            match result:
                case EngineGrant():
                    return self._record_placement(Placement(result.entry, result.work, result))
                case DidNotRun(reason) if reason != NO_ENGINE:
                    return result
        return self._allocate_locally(work, is_engine, avoid)

    async def _acquire_engine(
        self, work: WorkItem, avoid: frozenset[str]
    ) -> EngineGrant | DidNotRun:
        """Requests an engine; again if its broker does not know yet that the engine has left."""
        for number in range(MAX_ENGINE_REQUESTS):
            requested = replace(work, id=f"{work.id}.{number}") if number else work
            result = await self._broker_client.acquire(requested, avoid)
            if not isinstance(result, EngineGrant) or not self.directory.has_left(result.entry):
                return result
            log("INFO", "granted_engine_left", request=requested.id, endpoint=result.entry.id)
            self._broker_client.release(result, "withdrawn", 0.0)
            avoid |= {result.entry.id}
        return DidNotRun(NO_ENGINE, 503, NO_ENDPOINT_RETRY_AFTER_S)

    def _allocate_locally(self, work: WorkItem, is_engine: bool, avoid) -> Placement | DidNotRun:
        now = self._now()
        entries = list(self.directory.usable_endpoints(work.pool))
        if is_engine:
            entry = choose_engine(entries, self.loads, work, self._delay_s_by_zone, avoid, now)
        else:
            entry = choose_service_endpoint(entries, self.loads, self._distance_by_zone, avoid, now)
        if entry is None:
            return DidNotRun("no_endpoint", 503, NO_ENDPOINT_RETRY_AFTER_S)
        return self._record_placement(Placement(entry, work))

    def _record_placement(self, placement: Placement) -> Placement:
        load = self.loads.for_endpoint(placement.entry)
        load.in_flight_by_id[placement.work.id] = placement.work
        load.prefill_tokens_by_id[placement.work.id] = float(placement.work.tokens_in)
        return placement

    def record_load_report(self, placement: Placement, head: ResponseHead) -> None:
        """Records the load that the head of a response reports."""
        if head.load is not None:
            busy = float(head.load.running + head.load.waiting)
            self.loads.for_endpoint(placement.entry).record_report(
                busy, head.load.slowdown, self._now()
            )

    def record_first_event(self, placement: Placement, sent_at: float) -> None:
        """Records that the engine has finished the prefill of the prompt."""
        load = self.loads.for_endpoint(placement.entry)
        load.prefill_tokens_by_id.pop(placement.work.id, None)
        if placement.grant is not None:
            waited_s = (
                self._now() - sent_at - 2 * self._delay_s_by_zone.get(placement.entry.zone, 0)
            )
            self._broker_client.report_first_token(placement.grant, waited_s, load.slowdown)

    def release(self, placement: Placement, outcome: str, longest_gap_s: float = 0.0) -> None:
        """Removes the work from the endpoint's load.

        ``outcome`` is ``ok``, ``failed``, ``unreachable``, ``refused`` or ``withdrawn``.
        """
        load = self.loads.for_endpoint(placement.entry)
        load.in_flight_by_id.pop(placement.work.id, None)
        load.prefill_tokens_by_id.pop(placement.work.id, None)
        match outcome:
            case "ok" | "failed":
                load.record_outcome(outcome == "failed", self._now())
            case "unreachable":
                load.record_unreachable(self._now())
        if placement.grant is not None:
            self._broker_client.release(placement.grant, outcome, longest_gap_s)
