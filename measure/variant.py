"""Runs an entry VM under another policy: ``python -m measure.variant MODE serve ...``."""

import sys

from bluebellpitch import main as program
from bluebellpitch.commands import serve
from bluebellpitch.decisions.order import Policy
from bluebellpitch.node import Node
from measure.baselines import PICKERS, LocalSlots

POLICIES = {
    "ours": Policy(),
    "strict": Policy(guaranteed_share=0.0, preempt=False),
    "no-preemption": Policy(preempt=False),
    "no-share": Policy(guaranteed_share=0.0),
    "no-in-time": Policy(prefer_in_time=False),
    "no-health": Policy(judge_health=False),
    "fifo": Policy(strict_tiers=False, preempt=False),
}


class VariantNode(Node):
    """An entry VM whose slots may come from a local picker instead of brokers."""

    def __init__(self, settings, environment, policy):
        super().__init__(settings, environment, policy)
        if MODE in PICKERS:
            local = LocalSlots(MODE, self.view_holder, self.metrics, self.now)
            object.__setattr__(self.context, "slot_client", local)
            self.local = local

    def _jobs(self):
        jobs = super()._jobs()
        return (*jobs, self.local.run()) if MODE in PICKERS else jobs


async def build_and_run(settings, environment) -> None:
    """Builds the variant and runs it."""
    await VariantNode(settings, environment, POLICIES.get(MODE, Policy())).run()


if __name__ == "__main__":
    MODE = sys.argv[1]
    serve.build_and_run = build_and_run
    sys.exit(program.main(sys.argv[2:]))
