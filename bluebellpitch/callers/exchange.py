"""What all exchanges with a caller share: slots, events and headers."""

from bluebellpitch.callers import answers
from bluebellpitch.context import NodeContext
from bluebellpitch.events import Kind
from bluebellpitch.http1 import ServerConnection
from bluebellpitch.peers.messages import Ask
from bluebellpitch.roles.slot_client import Slot
from bluebellpitch.verdicts import DidNotRun


class Exchange:
    """One request from admission to its answer. Owned by the caller's task."""

    def __init__(self, context: NodeContext, connection: ServerConnection, job):
        self.context = context
        self.connection = connection
        self.job = job
        self.caller = job.caller
        self.endpoint = ""

    def record(self, kind: Kind, endpoint: str = "", detail: str = "") -> None:
        """Adds an event about this request to the time line."""
        caller = self.caller
        self.context.event_ring.record(
            kind, caller.request_id, caller.member.name, caller.row.name, endpoint, detail
        )

    async def seek(self, attempt: int, expires_at: float, **fields) -> Slot | DidNotRun:
        """Waits for a slot until ``expires_at``; ``fields`` are more fields of the ask."""
        caller, now = self.caller, self.context.now()
        ask = Ask(
            request=caller.request_id,
            attempt=attempt,
            pool=self.job.pool.name,
            member=caller.member.name,
            class_name=caller.row.name,
            age_s=now - caller.arrived_at,
            patience_s=max(0.0, expires_at - now),
            **fields,
        )
        self.record(Kind.QUEUED, detail=f"attempt={attempt}")
        slot = await self.context.slot_client.acquire(
            ask, caller.arrived_at, expires_at, self.connection.is_gone
        )
        if isinstance(slot, Slot):
            waited_s = self.context.now() - now
            self.context.metrics.grant_wait.labels(caller.row.name).observe(waited_s)
            self.record(Kind.GRANTED, slot.granted.endpoint, f"waited_ms={waited_s * 1000:.1f}")
        return slot

    def own_headers(self, verdict: str) -> list[tuple[str, str]]:
        """Returns the headers that every answer bears."""
        return [
            (answers.REQUEST_ID_HEADER, self.caller.request_id),
            (answers.VERDICT_HEADER, verdict),
            (answers.VM_HEADER, self.context.settings.vm),
            (answers.ENDPOINT_HEADER, self.endpoint),
        ]
