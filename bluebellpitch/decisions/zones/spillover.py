"""When leaving the zone pays for the callers, and where work goes then.

Load pattern: a peak in one zone while others have room. Work leaves when all that it costs its
caller and the others elsewhere is clearly less than at home: the wait there, the delay of
spillover, shared parts that have to be read again, and streams that its prompt holds up.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.zones.outlook import HomeOutlook
from bluebellpitch.decisions.zones.remote_zones import MIN_GAIN_S, RemoteZone

# Work that costs no more than this at home stays there: its caller would hardly notice.
HOME_TOLERANCE_S = 0.08


@dataclass(frozen=True, slots=True)
class Spillover:
    """Work leaves for a zone. ``tokens`` of its prompt are read there.

    ``reason`` is ``no_engine`` (none at home is up), ``refused`` (it would be, at home) or
    ``costs_less``.
    """

    zone: RemoteZone
    reason: str
    cost_s: float
    tokens: int


def choose_spillover(
    work: WorkItem, home: HomeOutlook, zones: Iterable[RemoteZone], now: float
) -> Spillover | None:
    """Returns where work leaves for, or None if it stays.

    The nearest zone wins among equals, as the cost elsewhere contains the delay of spillover.
    """
    if home.cost_s <= HOME_TOLERANCE_S:
        return None
    spillovers = (
        Spillover(
            zone,
            home.leaving_reason(),
            zone.cost_s(work, home, now),
            zone.unread_tokens(work, home, now),
        )
        for zone in zones
        if zone.is_current(now)
    )
    cheapest = min(spillovers, key=lambda spillover: spillover.cost_s, default=None)
    if cheapest is None or cheapest.cost_s + MIN_GAIN_S >= home.cost_s:
        return None
    return cheapest
