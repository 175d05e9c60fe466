"""Runs an entry VM with another scheduling policy: ``python -m measure.variant MODE serve ...``."""

import sys

from bluebellpitch import main as program
from bluebellpitch.commands import serve
from bluebellpitch.decisions.class_scheduling import SchedulingPolicy
from bluebellpitch.node import Node
from measure.baselines import LOCAL_MODES, LocalSlotRouter

POLICIES_BY_MODE = {
    "ours": SchedulingPolicy(),
    "strict": SchedulingPolicy(guaranteed_share=0.0, allow_preemption=False),
    "no-preemption": SchedulingPolicy(allow_preemption=False),
    "no-share": SchedulingPolicy(guaranteed_share=0.0),
    "no-in-time": SchedulingPolicy(prefer_on_time=False),
    "no-health": SchedulingPolicy(detect_slow_endpoints=False),
    "fifo": SchedulingPolicy(strict_tiers=False, allow_preemption=False),
}


class VariantNode(Node):
    """An entry VM that may choose endpoints locally instead of asking brokers."""

    def __init__(self, settings, environment, policy):
        super().__init__(settings, environment, policy)
        if MODE in LOCAL_MODES:
            local_router = LocalSlotRouter(MODE, self.view_holder, self.metrics, self.now)
            object.__setattr__(self.context, "slot_client", local_router)
            self.local_router = local_router

    def _background_tasks(self):
        jobs = super()._background_tasks()
        return (*jobs, self.local_router.run()) if MODE in LOCAL_MODES else jobs


async def build_and_run(settings, environment) -> None:
    """Runs an entry VM with the policy of the mode."""
    await VariantNode(settings, environment, POLICIES_BY_MODE.get(MODE, SchedulingPolicy())).run()


if __name__ == "__main__":
    MODE = sys.argv[1]
    serve.build_and_run = build_and_run
    sys.exit(program.main(sys.argv[2:]))
