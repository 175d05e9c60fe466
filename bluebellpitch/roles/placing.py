"""Places requests: generations through the broker of the zone, other work by this VM's own view."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.engine_choice import choose_engine
from bluebellpitch.decisions.generation_broker import NO_ENGINE
from bluebellpitch.decisions.loads import EndpointLoads, WorkItem
from bluebellpitch.decisions.service_choice import choose_service_endpoint
from bluebellpitch.platform.requests import AnswerHead
from bluebellpitch.roles.engine_seeking import EngineSeeker, Grant
from bluebellpitch.verdicts import DidNotRun

IN_ZONE_S = 0.0005
IN_REGION_S = 0.001
FAR_S = 0.03
NO_ENDPOINT_RETRY_S = 0.4


@dataclass(frozen=True, slots=True)
class Place:
    """An endpoint that holds a request until ``release``. ``grant`` is a broker's, if any."""

    entry: EndpointEntry
    work: WorkItem
    grant: Grant | None = None


class PlacingRole:
    """The VM's books of load. ``now`` is the owner's clock."""

    def __init__(
        self,
        directory: EndpointDirectory,
        seeker: EngineSeeker,
        zone: str,
        regions_by_zone: Mapping[str, str],
        now: Callable[[], float],
    ):
        self.directory = directory
        self.loads = EndpointLoads()
        self._seeker = seeker
        self._now = now
        region = regions_by_zone.get(zone, "")
        self._delay_s_by_zone = {
            other: IN_ZONE_S if other == zone else IN_REGION_S if far == region else FAR_S
            for other, far in regions_by_zone.items()
        }
        self._distance_by_zone = {
            other: delay_s / FAR_S for other, delay_s in self._delay_s_by_zone.items()
        }

    async def place(
        self, work: WorkItem, is_engine: bool, avoid: frozenset[str]
    ) -> Place | DidNotRun:
        """Finds an endpoint and notes the work there."""
        if is_engine:
            found = await self._seeker.seek(work, avoid)
            match found:
                case Grant() if self._is_leaving(found.entry):
                    self._seeker.release(found, "withdrawn", 0.0)
                case Grant():
                    return self._hold(Place(found.entry, work, found))
                case DidNotRun(reason) if reason != NO_ENGINE:
                    return found
        return self._place_by_own_view(work, is_engine, avoid)

    def _is_leaving(self, entry: EndpointEntry) -> bool:
        """Tells whether this VM knows of an engine's leaving before its broker does."""
        known = self.directory.entries_by_id.get(entry.id)
        return known is not None and known.is_draining

    def _place_by_own_view(self, work: WorkItem, is_engine: bool, avoid) -> Place | DidNotRun:
        now = self._now()
        entries = list(self.directory.usable_endpoints(work.pool))
        if is_engine:
            entry = choose_engine(entries, self.loads, work, self._delay_s_by_zone, avoid, now)
        else:
            entry = choose_service_endpoint(entries, self.loads, self._distance_by_zone, avoid, now)
        if entry is None:
            return DidNotRun("no_endpoint", 503, NO_ENDPOINT_RETRY_S)
        return self._hold(Place(entry, work))

    def _hold(self, place: Place) -> Place:
        load = self.loads.for_endpoint(place.entry)
        load.in_flight_by_id[place.work.id] = place.work
        load.prefill_tokens_by_id[place.work.id] = float(place.work.tokens_in)
        return place

    def note_head(self, place: Place, head: AnswerHead) -> None:
        """Takes the load that an answer tells."""
        if head.load is not None:
            busy = float(head.load.running + head.load.waiting)
            self.loads.for_endpoint(place.entry).record_report(
                busy, head.load.slowdown, self._now()
            )

    def note_first_event(self, place: Place, sent_at: float) -> None:
        """Notes that the prompt has been read."""
        load = self.loads.for_endpoint(place.entry)
        load.prefill_tokens_by_id.pop(place.work.id, None)
        if place.grant is not None:
            waited_s = self._now() - sent_at - 2 * self._delay_s_by_zone.get(place.entry.zone, 0)
            self._seeker.note_read(place.grant, waited_s, load.slowdown)

    def release(self, place: Place, outcome: str, longest_gap_s: float = 0.0) -> None:
        """Frees the place: ``ok``, ``failed``, ``unreachable``, ``refused`` or ``withdrawn``."""
        load = self.loads.for_endpoint(place.entry)
        load.in_flight_by_id.pop(place.work.id, None)
        load.prefill_tokens_by_id.pop(place.work.id, None)
        match outcome:
            case "ok" | "failed":
                load.record_outcome(outcome == "failed", self._now())
            case "unreachable":
                load.record_unreachable(self._now())
        if place.grant is not None:
            self._seeker.release(place.grant, outcome, longest_gap_s)
