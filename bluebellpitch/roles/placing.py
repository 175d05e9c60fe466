"""Places requests at endpoints and keeps the books of what is held where."""

from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.decisions.directory import Directory
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.engine_choice import choose_engine
from bluebellpitch.decisions.loads import Loads, Work
from bluebellpitch.decisions.plain_choice import choose_plain
from bluebellpitch.platform.requests import AnswerHead

IN_ZONE_S = 0.0005
IN_REGION_S = 0.001
FAR_S = 0.03


@dataclass(frozen=True, slots=True)
class Place:
    """An endpoint that holds a request until ``release``."""

    entry: EndpointEntry
    work: Work


class PlacingRole:
    """The VM's books of load. ``now`` is the owner's clock."""

    def __init__(
        self,
        directory: Directory,
        zone: str,
        regions_by_zone: dict[str, str],
        now: Callable[[], float],
    ):
        self.directory = directory
        self.loads = Loads()
        self._now = now
        region = regions_by_zone.get(zone, "")
        self._delay_s_by_zone = {
            other: IN_ZONE_S if other == zone else IN_REGION_S if far == region else FAR_S
            for other, far in regions_by_zone.items()
        }
        self._distance_by_zone = {
            other: delay_s / FAR_S for other, delay_s in self._delay_s_by_zone.items()
        }

    def place(self, work: Work, is_engine: bool, avoid: frozenset[str]) -> Place | None:
        """Picks an endpoint and notes the work there; None when there is none."""
        now = self._now()
        entries = list(self.directory.usable(work.pool))
        if is_engine:
            entry = choose_engine(entries, self.loads, work, self._delay_s_by_zone, avoid, now)
        else:
            entry = choose_plain(entries, self.loads, self._distance_by_zone, avoid, now)
        if entry is None:
            return None
        load = self.loads.of(entry)
        load.held[work.id] = work
        load.reading[work.id] = float(work.tokens_in)
        return Place(entry, work)

    def note_head(self, place: Place, head: AnswerHead) -> None:
        """Takes the load that an answer tells."""
        if head.load is not None:
            busy = float(head.load.running + head.load.waiting)
            self.loads.of(place.entry).note_report(busy, head.load.slowdown, self._now())

    def note_first_event(self, place: Place) -> None:
        """Notes that the prompt has been read."""
        self.loads.of(place.entry).reading.pop(place.work.id, None)

    def note_outcome(self, place: Place, failed: bool) -> None:
        """Notes how an attempt ended."""
        self.loads.of(place.entry).note_outcome(failed, self._now())

    def note_unreachable(self, place: Place) -> None:
        """Notes that no connection could be made, or that one broke."""
        self.loads.of(place.entry).note_unreachable(self._now())

    def release(self, place: Place) -> None:
        """Frees the place."""
        load = self.loads.of(place.entry)
        load.held.pop(place.work.id, None)
        load.reading.pop(place.work.id, None)
