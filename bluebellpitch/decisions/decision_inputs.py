"""The inputs of a generation broker's decisions, as its log lines show them."""

from bluebellpitch.decisions.engine_placement import EnginePlacement
from bluebellpitch.decisions.engine_state import EngineState
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.decisions.return_schedule import PlannedReturn


def describe_grant(
    engine: EngineState, work: WorkItem, placement: EnginePlacement, now: float
) -> dict[str, str]:
    """Returns the inputs of a grant, taken before the engine counts the work."""
    return {
        "rank": str(work.rank),
        "member": work.member,
        "waited_ms": f"{(now - work.arrived_at) * 1000:.0f}",
        "tokens": str(work.tokens_in),
        "unread": str(engine.uncached_tokens(work)),
        "reading_left_ms": f"{engine.prefill_backlog_s(now) * 1000:.0f}",
        "held": str(len(engine.assigned_by_id)),
        "tokens_per_ms": f"{0.001 / placement.speed.s_per_token:.1f}",
        "fixed_ms": f"{placement.speed.fixed_s * 1000:.0f}",
        "slowdown": f"{placement.slowdown(engine, now):.2f}",
        "reading_share": f"{placement.prefill_share(engine).value:.2f}",
    }


def describe_refusal(
    work: WorkItem,
    wait_s: float,
    waiting_count: int,
    engine_count: int,
    is_over_share: bool,
    planned: PlannedReturn,
) -> dict[str, str]:
    """Returns the inputs of a refusal."""
    return {
        "rank": str(work.rank),
        "tokens": str(work.tokens_in),
        "expected_wait_s": f"{wait_s:.2f}",
        "waiting": str(waiting_count),
        "engines": str(engine_count),
        "member": work.member,
        "over_share": str(is_over_share),
        "retry_after_s": f"{planned.retry_after_s:.2f}",
        "room_on_return": str(planned.has_room),
    }
