"""Registration entries of endpoints."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One registered endpoint. ``started_ms`` distinguishes its incarnations.

    ``sequence`` rises with each entry that one incarnation writes; 0 if it is unknown.
    A spot endpoint (``is_spot``) may be reclaimed, together with all others of its zone.
    """

    id: str
    pool: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    started_ms: int
    sequence: int = field(default=0, compare=False)
    is_spot: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """The key of all that ends with this start of the endpoint."""
        return self.id, self.started_ms

    def is_older_than(self, other: "EndpointEntry") -> bool:
        """Returns whether the same endpoint wrote this entry before the other one."""
        if self.started_ms != other.started_ms:
            return self.started_ms < other.started_ms
        return 0 < self.sequence < other.sequence
