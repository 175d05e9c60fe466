"""The duties of this VM: their leases, and what is done under them."""

import asyncio
from collections.abc import Callable, Coroutine

from bluebellpitch.peers.platform_messages import DutyAnnouncement, UsageUpdate, ZoneDemand
from bluebellpitch.platform.duty_api import SCALING_DUTY, USAGE_DUTY
from bluebellpitch.platform.settings_file import DutySettings
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.roles.duties.autoscaler import Autoscaler, ScalingSources
from bluebellpitch.roles.duties.demand_reporter import DemandReporter
from bluebellpitch.roles.duties.duty_context import DutyContext, duty_role
from bluebellpitch.roles.duties.duty_holder import DutyHolder
from bluebellpitch.roles.duties.usage_duty import UsageDuty

KNOWN_DUTIES = (USAGE_DUTY, SCALING_DUTY)


class Duties:
    """Owns a holder for each duty that the settings name and this program can do, maybe none.

    What is done under a lease belongs here too: it has its tasks in ``background_tasks``, its
    messages in ``handle_message``, and ends in ``release`` before the leases do.
    """

    def __init__(
        self,
        settings: DutySettings | None,
        create_store_client: Callable[[], StoreClient],
        context: DutyContext,
        scaling_sources: ScalingSources,
    ):
        names = settings.names if settings else frozenset()
        self.holders_by_duty = {
            duty: DutyHolder(duty, settings.lease_s, create_store_client(), context)
            for duty in KNOWN_DUTIES
            if duty in names
        }
        self.usage: UsageDuty | None = None
        if USAGE_DUTY in self.holders_by_duty:
            self.usage = UsageDuty(settings, self.holders_by_duty[USAGE_DUTY], context)
        self.autoscaler: Autoscaler | None = None
        self.demand_reporter: DemandReporter | None = None
        if (holder := self.holders_by_duty.get(SCALING_DUTY)) is not None:
            self.autoscaler = Autoscaler(holder, settings, context, scaling_sources)
            self.demand_reporter = DemandReporter(
                context,
                scaling_sources.catalogue,
                scaling_sources.sample_demand,
                holder.holder_address,
                self.autoscaler.handle_demand,
            )

    def roles(self) -> list[str]:
        """Returns the roles of candidates, by which heartbeats are sent more often."""
        roles = [duty_role(duty) for duty in self.holders_by_duty]
        return roles if self.usage is None else [*roles, *self.usage.roles()]

    def record_run(self, member: str, began_at: float) -> None:
        """Counts a request of a member that began to run, if usage is reported."""
        if self.usage is not None:
            self.usage.gatherer.record_run(member, began_at)

    def handle_message(self, sender: str, message) -> None:
        """Dispatches a message from a peer to the part that handles it."""
        match message:
            case DutyAnnouncement(duty=duty) if duty in self.holders_by_duty:
                self.holders_by_duty[duty].handle_announcement(message)
            case UsageUpdate() if self.usage is not None:
                self.usage.gatherer.handle_update(message)
            case ZoneDemand() if self.autoscaler is not None:
                self.autoscaler.handle_demand(message)

    def background_tasks(self) -> tuple[Coroutine, ...]:
        """Returns the tasks, which run until cancelled."""
        tasks = [holder.run() for holder in self.holders_by_duty.values()]
        if self.usage is not None:
            tasks += self.usage.background_tasks()
        if self.autoscaler is not None:
            tasks += [self.autoscaler.run(), self.demand_reporter.run()]
        return tuple(tasks)

    async def release(self, grace_s: float) -> None:
        """Gives all leases back before a planned stop, which may take ``grace_s``."""
        holders = self.holders_by_duty.values()
        await asyncio.gather(*(holder.release(grace_s) for holder in holders))

    def close(self) -> None:
        """Passes on what is left and closes the connections to the platform's API."""
        if self.usage is not None:
            self.usage.close()
        if self.autoscaler is not None:
            self.autoscaler.close()
