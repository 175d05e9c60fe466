"""Converts messages about generations, with times on the clock of this VM."""

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.generation_decisions import Granted
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.peers.platform_messages import (
    EndpointLeaving,
    HeldWork,
    WorkGranted,
    WorkRequest,
)


def work_from_request(request: WorkRequest, now: float, spillover_delay_s: float = 0.0) -> WorkItem:
    """Returns the work that a VM, maybe of another zone, requests an engine for."""
    return WorkItem(
        id=request.work_id,
        pool=request.pool,
        rank=request.rank,
        tokens_in=request.tokens_in,
        tokens_out=request.tokens_out,
        parts=request.parts,
        target_s=request.target_s,
        gap_target_s=request.gap_s,
        arrived_at=now - request.age_s,
        expires_at=now + request.left_s,
        member=request.member,
        spillover_delay_s=spillover_delay_s,
    )


def work_from_report(held: HeldWork, pool: str, now: float) -> WorkItem:
    """Returns work that a VM already has at an engine."""
    return WorkItem(
        id=held.work_id,
        pool=pool,
        rank=held.rank,
        tokens_in=held.tokens_in,
        tokens_out=held.tokens_out,
        parts=held.parts,
        target_s=0.0,
        gap_target_s=held.gap_s,
        arrived_at=now,
        expires_at=now + held.left_s,
        member=held.member,
    )


def entry_from_leaving(leaving: EndpointLeaving) -> EndpointEntry:
    """Returns the entry of an endpoint that said that it leaves."""
    return EndpointEntry(
        leaving.endpoint_id,
        leaving.pool,
        leaving.address,
        leaving.zone,
        0,
        True,
        leaving.started_ms,
    )


def message_from_grant(
    granted: Granted, request: WorkRequest | None, broker_address: str
) -> WorkGranted:
    """Returns the message that grants an engine."""
    entry = granted.entry
    return WorkGranted(
        granted.work_id,
        request.pool if request else "",
        entry.id,
        entry.address,
        entry.zone,
        entry.started_ms,
        broker_address,
        granted.limit_per_s,
    )
