"""Tells in a few lines what happened to one request."""

from collections.abc import Iterator

from bluebellpitch.clock import MICROSECONDS
from bluebellpitch.events import Event, Kind

REFUSAL_EXPLANATIONS = {
    "overloaded": "the work ahead of it would have outlasted its patience",
    "higher_tier_shed": "a higher tier had just been shed, so lower ones were not taken in",
    "waited_too_long": "no slot came free while it was willing to wait",
    "crashes_endpoints": "endpoints died under it too often",
    "attempts_exhausted": "every attempt failed",
    "log_unavailable": "its claim could not be put on the platform's log",
    "request_too_old": "it was made longer ago than keys are remembered",
    "key_reused": "its idempotency key belongs to another body",
    "in_progress": "another request with its key had not ended",
}


def explain_request(events: list[Event], id_prefix: str) -> Iterator[str]:
    """Yields the story of a request; ``events`` are in order."""
    own = [event for event in events if event.request.startswith(id_prefix)]
    if not own:
        yield f"no VM that answered knows the request {id_prefix}"
        return
    start = own[0].stamp
    for event in own:
        after_ms = (event.stamp - start) / MICROSECONDS * 1000
        yield f"+{after_ms:9.1f} ms  {event.vm}: {describe_event(event)}"


EVENT_TEMPLATES = {
    Kind.ADMITTED: "admitted for member {e.member}, class {e.class_name} ({e.detail})",
    Kind.QUEUED: "asked its broker for a slot ({e.detail})",
    Kind.GRANTED: "got a slot at {e.endpoint} ({e.detail})",
    Kind.DISPATCHED: "sent to {e.endpoint} ({e.detail})",
    Kind.FIRST_TOKEN: "first token from {e.endpoint}",
    Kind.PREEMPTED: "gave its slot at {e.endpoint} back: {e.detail}",
    Kind.RESUMED: "resumed ({e.detail})",
    Kind.RETRIED: "tried again after {e.endpoint}: {e.detail}",
    Kind.COMPLETED: "complete ({e.detail})",
}


def describe_event(event: Event) -> str:
    """Returns one event as a sentence."""
    if event.kind is Kind.REFUSED:
        reason = event.detail.partition(" ")[0].partition(":")[0]
        meaning = REFUSAL_EXPLANATIONS.get(reason, "see the operators' page")
        return f"refused: {event.detail} - {meaning}"
    sentence = EVENT_TEMPLATES.get(event.kind, "{e.kind} {e.endpoint} {e.detail}")
    return sentence.format(e=event).strip()
