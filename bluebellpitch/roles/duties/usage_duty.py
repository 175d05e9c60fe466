"""The duty of usage reports: gathering on every VM, reporting on its holder."""

from collections.abc import Coroutine

from bluebellpitch.decisions.duties.usage_windows import UsageWindows
from bluebellpitch.platform.duty_api import DutyApi
from bluebellpitch.platform.settings_file import DutySettings
from bluebellpitch.roles.duties.duty_context import DutyContext
from bluebellpitch.roles.duties.duty_holder import DutyHolder
from bluebellpitch.roles.duties.usage_gatherer import COLLECTOR_ROLE, Recipient, UsageGatherer
from bluebellpitch.roles.duties.usage_reporter import UsageReporter


class UsageDuty:
    """Owns the gatherer, the reporter and the connection to the platform's API."""

    def __init__(self, settings: DutySettings, holder: DutyHolder, context: DutyContext):
        self._context = context
        self._api = DutyApi(settings.api_address, context.vm_name, context.now)
        self.gatherer = UsageGatherer(
            vm_key=context.vm_key,
            address=context.address,
            windows=UsageWindows(settings.usage_window_s, settings.usage_due_s),
            collector=self._collector,
            holder_address=holder.holder_address,
            send=context.bus.send_to_address,
            now=context.now,
        )
        # Each duty has an equal share of the calls that the platform takes.
        call_interval_s = len(settings.names) / settings.calls_per_s
        self.reporter = UsageReporter(
            self.gatherer,
            holder,
            self._api,
            context.store_era,
            context.metrics,
            call_interval_s,
            context.now,
        )

    def _collector(self) -> Recipient | None:
        context = self._context
        liveness = context.liveness
        key = liveness.role_holder(COLLECTOR_ROLE, context.now(), context.is_draining())
        if key == context.vm_key:
            return Recipient(key, context.address)
        peer = liveness.peers_by_key.get(key)
        return None if peer is None else Recipient(key, peer.address)

    def roles(self) -> list[str]:
        """Returns the role of the zone's collector."""
        return [COLLECTOR_ROLE]

    def background_tasks(self) -> tuple[Coroutine, ...]:
        """Returns the tasks, which run until cancelled."""
        return self.gatherer.run(), self.reporter.run()

    def close(self) -> None:
        """Passes on the last counts and closes the connection to the API."""
        self.gatherer.flush()
        self._api.close()
