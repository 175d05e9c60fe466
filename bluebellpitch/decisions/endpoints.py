"""Registration entries of endpoints."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One registered endpoint. ``started_ms`` distinguishes its incarnations."""

    id: str
    pool: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    started_ms: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """The key of all that ends with this start of the endpoint."""
        return self.id, self.started_ms
