"""How far other zones are from a VM's own zone, by their regions."""

from collections.abc import Mapping
from dataclasses import dataclass

# Usual delays one way, within a data center, a region and between regions.
SAME_ZONE_DELAY_S = 0.0005
SAME_REGION_DELAY_S = 0.001
CROSS_REGION_DELAY_S = 0.03
# Work that another zone serves crosses four times more than at home: to the broker there, back with
# the grant, to the engine, and back with the first token.
SPILLOVER_CROSSINGS = 4


@dataclass(frozen=True, slots=True)
class ZoneDistances:
    """Delays from one zone, in seconds."""

    zone: str
    regions_by_zone: Mapping[str, str]

    def is_same_region(self, other: str) -> bool:
        """Returns whether a zone lies in this zone's region."""
        return self.regions_by_zone.get(other, "") == self.regions_by_zone.get(self.zone, "")

    def one_way_s(self, other: str) -> float:
        """Returns the delay to a zone, one way."""
        if other == self.zone:
            return SAME_ZONE_DELAY_S
        return SAME_REGION_DELAY_S if self.is_same_region(other) else CROSS_REGION_DELAY_S

    def spillover_delay_s(self, other: str) -> float:
        """Returns how much later a first token comes from an equally loaded zone."""
        return SPILLOVER_CROSSINGS * self.one_way_s(other)
