"""Explains in a few lines what happened to one request."""

from collections.abc import Iterator

from bluebellpitch.clock import MICROSECONDS_PER_S
from bluebellpitch.events import Event, EventKind

REFUSAL_EXPLANATIONS = {
    "overloaded": "the expected wait exceeded its maximum wait",
    "higher_tier_shed": "a higher tier had just been shed, so lower tiers were refused as well",
    "waited_too_long": "no slot became free within its maximum wait",
    "crashes_endpoints": "too many endpoints crashed while they processed it",
    "attempts_exhausted": "every attempt failed",
    "log_unavailable": "its claim could not be appended to the platform's store",
    "request_too_old": "it was made longer ago than idempotency keys are retained",
    "key_reused": "its idempotency key was used with a different request body",
    "in_progress": "another request with the same idempotency key was still in progress",
}


def explain_request(events: list[Event], id_prefix: str) -> Iterator[str]:
    """Yields a line for each event of a request; ``events`` are in order of time."""
    request_events = [event for event in events if event.request.startswith(id_prefix)]
    if not request_events:
        yield f"no VM that responded has events of the request {id_prefix}"
        return
    first_stamp = request_events[0].stamp
    for event in request_events:
        elapsed_ms = (event.stamp - first_stamp) / MICROSECONDS_PER_S * 1000
        yield f"+{elapsed_ms:9.1f} ms  {event.vm}: {describe_event(event)}"


EVENT_TEMPLATES = {
    EventKind.ADMITTED: "admitted for member {e.member}, class {e.class_name} ({e.detail})",
    EventKind.QUEUED: "requested a slot from its broker ({e.detail})",
    EventKind.GRANTED: "got a slot at {e.endpoint} ({e.detail})",
    EventKind.DISPATCHED: "sent to {e.endpoint} ({e.detail})",
    EventKind.FIRST_TOKEN: "first token from {e.endpoint}",
    EventKind.PREEMPTED: "preempted at {e.endpoint}: {e.detail}",
    EventKind.RESUMED: "resumed ({e.detail})",
    EventKind.RETRIED: "retried after {e.endpoint}: {e.detail}",
    EventKind.COMPLETED: "completed ({e.detail})",
}


def describe_event(event: Event) -> str:
    """Describes one event in a sentence."""
    if event.kind is EventKind.REFUSED:
        reason = event.detail.partition(" ")[0].partition(":")[0]
        explanation = REFUSAL_EXPLANATIONS.get(reason, "see docs/OPERATIONS.md")
        return f"refused: {event.detail} - {explanation}"
    template = EVENT_TEMPLATES.get(event.kind, "{e.kind} {e.endpoint} {e.detail}")
    return template.format(e=event).strip()
