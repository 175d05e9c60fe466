"""Slots that this VM holds, and its requests that wait for one."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellpitch.decisions.slot_grants import MovingAverage
from bluebellpitch.peers.messages import SlotGranted, SlotRefused, SlotRequest


@dataclass(slots=True)
class Slot:
    """A slot granted to this VM. ``on_preempt`` is called when the broker preempts it.

    ``brokers_with_details`` lists the brokers that already know the request behind the grant.
    """

    granted: SlotGranted
    slot_request: SlotRequest
    zone: str
    region: str
    held_since: float
    on_preempt: Callable[[str], None] | None = None
    preempt_reason: str = ""
    tokens: int = 0
    last_token_at: float | None = None
    gap_reported_at: float = 0.0
    inter_token_mean: MovingAverage = field(default_factory=MovingAverage)
    brokers_with_details: set[str] = field(default_factory=set)

    def record_tokens(self, count: int, now: float) -> None:
        """Records received tokens and updates the mean time between them."""
        if self.last_token_at is not None and count:
            self.inter_token_mean.add((now - self.last_token_at) / count)
        self.tokens += count
        self.last_token_at = now

    def inter_token_s(self) -> float | None:
        """Returns the moving mean time between tokens, or None before the second token."""
        return self.inter_token_mean.value if self.inter_token_mean.count else None

    def preempt(self, reason: str) -> None:
        """Stops the attempt that uses the slot."""
        self.preempt_reason = reason
        if self.on_preempt:
            self.on_preempt(reason)


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for a slot: the zones it was sent to, and their replies."""

    slot_request: SlotRequest
    arrived_at: float
    expires_at: float
    overflow_after_s: float
    zones: list[str]
    requested_zones: list[str] = field(default_factory=list)
    refusals_by_zone: dict[str, SlotRefused] = field(default_factory=dict)
    preempt_reasons_by_grant: dict[str, str] = field(default_factory=dict)
    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)
