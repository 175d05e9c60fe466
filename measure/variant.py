"""Runs an entry VM under another policy: ``python -m measure.variant MODE serve ...``."""

import sys

from bluebellpitch import main as program
from bluebellpitch.commands import serve
from bluebellpitch.decisions.class_scheduling import SchedulingPolicy
from bluebellpitch.node import Node
from measure.baselines import PICKERS, LocalSlots

POLICIES = {
    "ours": SchedulingPolicy(),
    "strict": SchedulingPolicy(guaranteed_share=0.0, allow_preemption=False),
    "no-preemption": SchedulingPolicy(allow_preemption=False),
    "no-share": SchedulingPolicy(guaranteed_share=0.0),
    "no-in-time": SchedulingPolicy(prefer_on_time=False),
    "no-health": SchedulingPolicy(detect_slow_endpoints=False),
    "fifo": SchedulingPolicy(strict_tiers=False, allow_preemption=False),
}


class VariantNode(Node):
    """An entry VM whose slots may come from a local picker instead of brokers."""

    def __init__(self, settings, environment, policy):
        super().__init__(settings, environment, policy)
        if MODE in PICKERS:
            local = LocalSlots(MODE, self.view_holder, self.metrics, self.now)
            object.__setattr__(self.context, "slot_client", local)
            self.local = local

    def _background_tasks(self):
        jobs = super()._background_tasks()
        return (*jobs, self.local.run()) if MODE in PICKERS else jobs


async def build_and_run(settings, environment) -> None:
    """Builds the variant and runs it."""
    await VariantNode(settings, environment, POLICIES.get(MODE, SchedulingPolicy())).run()


if __name__ == "__main__":
    MODE = sys.argv[1]
    serve.build_and_run = build_and_run
    sys.exit(program.main(sys.argv[2:]))
