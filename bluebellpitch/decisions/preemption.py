"""Which requests may preempt and which grants may be preempted."""

from bluebellpitch.constants import MAX_PREEMPTIONS_PER_REQUEST, PREEMPT_AFTER_TARGET_SHARE
from bluebellpitch.decisions.rows import ClassRow
from bluebellpitch.decisions.slot_grants import ActiveGrant, QueuedRequest


def may_preempt(request: QueuedRequest, row: ClassRow, highest_tier: int, now: float) -> bool:
    """The highest tier and resumed requests preempt at once, others after a short wait."""
    if request.resumed or row.tier <= highest_tier:
        return True
    return now - request.arrived_at >= PREEMPT_AFTER_TARGET_SHARE * row.first_token_ms / 1000


def is_preemptible(grant: ActiveGrant) -> bool:
    """Returns whether a grant can be preempted: its request can resume, and not too often yet."""
    if grant.preempting or not grant.request.resumable:
        return False
    return grant.request.preemptions < MAX_PREEMPTIONS_PER_REQUEST
