"""Endpoints as they announce themselves, and the directory that a VM keeps of them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One announced endpoint. ``started_ms`` tells incarnations under one id apart."""

    id: str
    pool: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    started_ms: int
