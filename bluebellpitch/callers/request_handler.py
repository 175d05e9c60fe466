"""Base class of the handlers of completions and service requests."""

from bluebellpitch.callers import responses
from bluebellpitch.context import NodeContext
from bluebellpitch.events import EventKind
from bluebellpitch.http1 import ServerConnection
from bluebellpitch.peers.messages import SlotRequest
from bluebellpitch.roles.slots import Slot
from bluebellpitch.verdicts import DidNotRun


class RequestHandler:
    """Handles one request. Owned by the task of the caller's connection."""

    def __init__(self, context: NodeContext, connection: ServerConnection, request):
        self.context = context
        self.connection = connection
        self.request = request
        self.caller = request.caller
        self.endpoint = ""

    def record_event(self, kind: EventKind, endpoint: str = "", detail: str = "") -> None:
        """Adds an event about this request to the timeline."""
        caller = self.caller
        self.context.event_ring.record(
            kind, caller.request_id, caller.member.name, caller.service_class.name, endpoint, detail
        )

    async def acquire_slot(
        self, attempt: int, expires_at: float, avoid: tuple[str, ...], **fields
    ) -> Slot | DidNotRun:
        """Waits for a slot until ``expires_at``; ``fields`` go into the ``SlotRequest``.

        Endpoints in ``avoid``, and those that pause for this VM, are left out.
        """
        caller, now = self.caller, self.context.now()
        if (pause_s := self.context.pause_wait_s(self.request.pool.name)) > 0:
            return DidNotRun("endpoints_pause", 503, pause_s)
        slot_request = SlotRequest(
            request=caller.request_id,
            attempt=attempt,
            pool=self.request.pool.name,
            member=caller.member.name,
            class_name=caller.service_class.name,
            age_s=now - caller.arrived_at,
            patience_s=max(0.0, expires_at - now),
            avoid=avoid + self.context.paused_endpoints(),
            **fields,
        )
        self.record_event(EventKind.QUEUED, detail=f"attempt={attempt}")
        slot = await self.context.slot_client.acquire(
            slot_request, caller.arrived_at, expires_at, self.connection.is_disconnected
        )
        if isinstance(slot, Slot):
            waited_s = self.context.now() - now
            self.context.metrics.grant_wait.labels(caller.service_class.name).observe(waited_s)
            self.record_event(
                EventKind.GRANTED, slot.granted.endpoint, f"waited_ms={waited_s * 1000:.1f}"
            )
        return slot

    def common_headers(self, verdict: str) -> list[tuple[str, str]]:
        """Returns the headers that every response carries."""
        return [
            (responses.REQUEST_ID_HEADER, self.caller.request_id),
            (responses.VERDICT_HEADER, verdict),
            (responses.VM_HEADER, self.context.settings.vm),
            (responses.ENDPOINT_HEADER, self.endpoint),
        ]
