"""Allocates endpoints: for generations through the broker of the zone, for other work locally."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.endpoint_pauses import EndpointPauses
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.engine_choice import choose_engine
from bluebellpitch.decisions.generation_broker import NO_ENGINE
from bluebellpitch.decisions.loads import EndpointLoads, WorkItem
from bluebellpitch.decisions.named_limits import NamedLimits, TurnQueue
from bluebellpitch.decisions.service_choice import choose_service_endpoint
from bluebellpitch.decisions.zones.distances import CROSS_REGION_DELAY_S, ZoneDistances
from bluebellpitch.logs import log
from bluebellpitch.platform.http_messages import ResponseHead
from bluebellpitch.roles.generation_broker_client import EngineGrant, GenerationBrokerClient
from bluebellpitch.verdicts import DidNotRun

NO_ENDPOINT_RETRY_AFTER_S = 0.4
MAX_ENGINE_REQUESTS = 3
# Of an engine's limit, what all VMs together use without its broker, which grants all of it.
UNBROKERED_SHARE = 0.3
MAX_TURN_WAIT_S = 0.4
TURN_POLL_S = 0.02
MAX_RETRY_AFTER_S = 3.0


@dataclass(frozen=True, slots=True)
class Placement:
    """A request assigned to an endpoint until ``release``.

    ``grant`` is set if a broker selected the endpoint.
    """

    entry: EndpointEntry
    work: WorkItem
    is_engine: bool
    grant: EngineGrant | None = None


class EndpointAllocator:
    """Allocates endpoints and keeps this VM's view of their load and of the limits that they name.

    ``vm_count`` returns how many VMs share a limit. ``now`` is the owner's clock.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        broker_client: GenerationBrokerClient,
        zone: str,
        regions_by_zone: Mapping[str, str],
        vm_count: Callable[[], int],
        now: Callable[[], float],
    ):
        self.directory = directory
        self.loads = EndpointLoads()
        self._limits = NamedLimits()
        self._pauses = EndpointPauses()
        self._turns = TurnQueue()
        self._vm_count = vm_count
        self._broker_client = broker_client
        self._now = now
        distances = ZoneDistances(zone, regions_by_zone)
        self._delay_s_by_zone = {other: distances.one_way_s(other) for other in regions_by_zone}
        self._distance_by_zone = {
            other: delay_s / CROSS_REGION_DELAY_S
            for other, delay_s in self._delay_s_by_zone.items()
        }

    async def allocate(
        self, work: WorkItem, is_engine: bool, avoid: frozenset[str]
    ) -> Placement | DidNotRun:
        """Selects an endpoint and counts the work toward its load."""
        pause_wait_s = self.pause_wait_s(work.pool)
        if pause_wait_s > 0:
            return DidNotRun("endpoints_pause", 503, pause_wait_s)
        if is_engine:
            result = await self._acquire_engine(work, avoid)
            match result:
                case EngineGrant():
                    return self._record_placement(
                        Placement(result.entry, result.work, True, result)
                    )
                case DidNotRun(reason) if reason != NO_ENGINE:
                    return result
        return await self._allocate_in_turn(work, is_engine, avoid)

    def is_paused(self, entry: EndpointEntry) -> bool:
        """Returns whether an endpoint wants no request from this VM now."""
        return self._pauses.wait_s(entry.incarnation, self._now()) > 0

    def _paused_ids(self, pool: str) -> frozenset[str]:
        entries = self.directory.usable_endpoints(pool)
        return frozenset(entry.id for entry in entries if self.is_paused(entry))

    def pause_wait_s(self, pool: str) -> float:
        """Returns how long all endpoints of a pool pause; 0 if one does not, or there is none."""
        now, entries = self._now(), self.directory.usable_endpoints(pool)
        waits_s = (self._pauses.wait_s(entry.incarnation, now) for entry in entries)
        return min(waits_s, default=0.0)

    async def _acquire_engine(
        self, work: WorkItem, avoid: frozenset[str]
    ) -> EngineGrant | DidNotRun:
        """Requests an engine; again if its broker does not know yet that the engine has left."""
        for number in range(MAX_ENGINE_REQUESTS):
            avoid |= self._paused_ids(work.pool)
            requested = replace(work, id=f"{work.id}.{number}") if number else work
            result = await self._broker_client.acquire(requested, avoid)
            if not isinstance(result, EngineGrant) or not self._is_unwanted(result.entry):
                return result
            log("INFO", "granted_engine_left", request=requested.id, endpoint=result.entry.id)
            self._broker_client.release(result, "withdrawn", 0.0)
            avoid |= {result.entry.id}
        return DidNotRun(NO_ENGINE, 503, NO_ENDPOINT_RETRY_AFTER_S)

    def _is_unwanted(self, entry: EndpointEntry) -> bool:
        return self.directory.has_left(entry) or self.is_paused(entry)

    async def _allocate_in_turn(
        self, work: WorkItem, is_engine: bool, avoid: frozenset[str]
    ) -> Placement | DidNotRun:
        """Waits briefly if all endpoints name a limit and none may get a request from here yet."""
        give_up_at = min(self._now() + MAX_TURN_WAIT_S, work.expires_at)
        with self._turns.join(work.pool, work.rank) as place:
            while True:
                wait_s = self._turn_wait_s(work, avoid)
                if wait_s is None or (wait_s <= 0 and not place.must_yield()):
                    return self._allocate_locally(work, is_engine, avoid)
                wait_s = max(wait_s, TURN_POLL_S)
                if self._now() + wait_s > give_up_at:
                    retry_after_s = max(NO_ENDPOINT_RETRY_AFTER_S, min(wait_s, MAX_RETRY_AFTER_S))
                    return DidNotRun("endpoint_limits", 503, retry_after_s)
                await asyncio.sleep(wait_s)

    def _turn_wait_s(self, work: WorkItem, avoid: frozenset[str]) -> float | None:
        """Returns how long no endpoint may get a request from here; None if some has no limit."""
        now = self._now()
        entries = self.directory.usable_endpoints(work.pool)
        limits = [
            self._limits.find(entry.incarnation, now) for entry in entries if entry.id not in avoid
        ]
        if not limits or None in limits:
            return None
        return min(limit.wait_s(now) for limit in limits)

    def _allocate_locally(self, work: WorkItem, is_engine: bool, avoid) -> Placement | DidNotRun:
        now = self._now()
        entries = [
            entry
            for entry in self.directory.usable_endpoints(work.pool)
            if self._limits.wait_s(entry.incarnation, now) <= 0 and not self.is_paused(entry)
        ]
        if is_engine:
            entry = choose_engine(entries, self.loads, work, self._delay_s_by_zone, avoid, now)
        else:
            entry = choose_service_endpoint(entries, self.loads, self._distance_by_zone, avoid, now)
        if entry is None:
            return DidNotRun("no_endpoint", 503, NO_ENDPOINT_RETRY_AFTER_S)
        self._limits.take_turn(entry.incarnation, now)
        return self._record_placement(Placement(entry, work, is_engine))

    def _record_placement(self, placement: Placement) -> Placement:
        self.loads.for_endpoint(placement.entry).place(placement.work, self._now())
        return placement

    def named_limits(self, pool: str, zone: str) -> dict[tuple[str, int], float]:
        """Returns the limits in force of a zone's endpoints, in requests per second."""
        entries = self.directory.usable_endpoints(pool)
        keys = {entry.incarnation for entry in entries if entry.zone == zone}
        limits = self._limits.in_force(self._now())
        return {key: limit_per_s for key, limit_per_s in limits.items() if key in keys}

    def _record_limit(self, placement: Placement, head: ResponseHead) -> None:
        """Records the limit that an answer names; it holds until an answer names none."""
        entry, limit_per_s = placement.entry, head.limit_per_s
        share = 1 / self._vm_count()
        if placement.is_engine:
            share *= UNBROKERED_SHARE
        if placement.grant is not None:
            self._broker_client.report_limit(placement.grant, limit_per_s)
        if self._limits.record(entry.incarnation, limit_per_s, share, self._now()):
            log("INFO", "limit", endpoint=entry.id, limit_per_s=limit_per_s, share=f"{share:.3f}")

    def record_load_report(self, placement: Placement, head: ResponseHead) -> None:
        """Records the load and the limit that the head of a response reports."""
        if not head.is_wrong_instance:
            self._record_limit(placement, head)
            load = self.loads.for_endpoint(placement.entry)
            load.record_response(placement.work.id, self._now())
        if head.load is not None:
            busy = float(head.load.running + head.load.waiting)
            self.loads.for_endpoint(placement.entry).record_report(
                busy, head.load.slowdown, self._now()
            )

    def record_leaving(self, placement: Placement) -> None:
        """Records that an answer of the endpoint said that it leaves; it gets nothing new."""
        if self.directory.mark_leaving(placement.entry):
            log("INFO", "endpoint_leaving", endpoint=placement.entry.id, source="answer")
        if placement.grant is not None:
            self._broker_client.report_leaving(placement.grant)

    def record_pause(self, placement: Placement, pause_s: float) -> None:
        """Records that the endpoint wants nothing from this VM for so long."""
        entry = placement.entry
        self._pauses.record(entry.incarnation, pause_s, self._now())
        log("INFO", "endpoint_pauses", endpoint=entry.id, pause_s=f"{pause_s:.2f}")

    def count_sent(self, placement: Placement) -> None:
        """Counts a request that is sent to the endpoint."""
        self._pauses.count_sent(placement.entry.incarnation)

    def record_first_event(self, placement: Placement, sent_at: float) -> None:
        """Records that the engine has finished the prefill of the prompt."""
        load = self.loads.for_endpoint(placement.entry)
        load.prefill_tokens_by_id.pop(placement.work.id, None)
        if placement.grant is not None:
            waited_s = (
                self._now() - sent_at - 2 * self._delay_s_by_zone.get(placement.entry.zone, 0)
            )
            slowdown = load.slowdown(self._now())
            self._broker_client.report_first_token(placement.grant, waited_s, slowdown)

    def release(self, placement: Placement, outcome: str, longest_gap_s: float = 0.0) -> None:
        """Removes the work from the endpoint's load.

        ``outcome`` is ``ok``, ``failed``, ``unreachable``, ``refused`` or ``withdrawn``.
        """
        load, now = self.loads.for_endpoint(placement.entry), self._now()
        match outcome:
            case "ok" | "failed":
                load.record_outcome(outcome == "failed", now)
            case "unreachable":
                load.record_unreachable(now)
            case "withdrawn" if not placement.is_engine and load.is_silent(now):
                load.record_silence(now)
                log("INFO", "endpoint_silent", endpoint=placement.entry.id)
        load.remove(placement.work.id)
        if placement.grant is not None:
            self._broker_client.release(placement.grant, outcome, longest_gap_s)
