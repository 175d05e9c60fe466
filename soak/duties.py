"""The duty of usage reports in a run: its settings, and the store that may forget its holder."""

import asyncio
import math
import time

from bluebellpitch.decisions.duties.lease import LeaseRecord
from bluebellpitch.errors import DisconnectedError
from bluebellpitch.platform.duty_api import USAGE_DUTY
from bluebellpitch.platform.lease_records import LEASE_KEY, decode_lease, duty_topic
from fakes.duty_api import FakeDutyApi
from fakes.prepared_store import FakeStore, split_records
from soak.history import DUTY_LEASE_S, History

TOPIC = duty_topic(USAGE_DUTY)
# Topics that the platform writes itself, again after a restore.
PLATFORM_TOPICS = ("keyed.op", "keyed.servers")
RESTORE_MOMENTS = ("before", "unanswered", "after")
WINDOW_S = 1
DUE_S = 6
# A holder that vanished is replaced, and what was left is reported, within this time.
REPORT_BOUND_S = 15.0
# Windows that begin sooner after the start of a VM may count as settled before it.
CALM_MARGIN_S = 2.0
CALM_TIMEOUT_S = 30.0
CALM_POLL_S = 0.1


def duty_settings_text(api_address: str) -> str:
    """Returns the lines of a settings file that concern the duty."""
    return f"""cloud_api.address={api_address}
cloud_api.duties={USAGE_DUTY}
bounds.lease_ms={int(DUTY_LEASE_S * 1000)}
bounds.report_window_s={WINDOW_S}
bounds.usage_late_s={DUE_S}
"""


class SoakStore(FakeStore):
    """A store that can come back from its copy while the holder settles usage windows.

    ``restore_moment`` says when: ``before`` the next settling append, ``after`` its answer, or in
    between (``unanswered``); empty: not at all.
    """

    def __init__(self):
        super().__init__()
        self.restore_moment = ""

    def duty_lease(self) -> LeaseRecord | None:
        """Returns the last lease of the duty, None before the first."""
        value, _ = self._newest_by_key.get(TOPIC, {}).get(LEASE_KEY, (b"", 0))
        return decode_lease(value) if value else None

    def restore(self) -> None:
        """Restores the copy; the platform writes its own records again."""
        newest = {topic: dict(self._newest_by_key.get(topic, {})) for topic in PLATFORM_TOPICS}
        super().restore()
        for topic, values_by_key in newest.items():
            for key in self.newest_keys(topic) - set(values_by_key):
                self.put(topic, key, b"")
            for key, (value, _) in values_by_key.items():
                self.put(topic, key, value)

    async def _serve_append(self, connection, query: dict[str, str], body: bytes) -> None:
        # A renewal is one record; beside it stand the windows that are settled.
        is_settling = query["topic"] == TOPIC and len(list(split_records(body))) > 1
        moment = self.restore_moment if is_settling else ""
        if not moment:
            await super()._serve_append(connection, query, body)
            return
        self.restore_moment = ""
        if moment == "before":
            self.restore()
        if moment == "unanswered":
            self._append_at(TOPIC, list(split_records(body)), int(query["at"]))
            self.restore()
            raise DisconnectedError("restored")
        await super()._serve_append(connection, query, body)
        if moment == "after":
            self.restore()


async def wait_for_reports(api: FakeDutyApi, history: History) -> None:
    """Waits for the report of a window that begins now; records which ones are due by its end."""
    first = math.ceil((time.time() + CALM_MARGIN_S) / WINDOW_S)
    deadline = time.monotonic() + CALM_TIMEOUT_S
    while time.monotonic() < deadline:
        if any(call.body["window_index"] == first for call in api.calls):
            break
        await asyncio.sleep(CALM_POLL_S)
    last = max(first, math.floor((time.time() - REPORT_BOUND_S) / WINDOW_S) - 1)
    history.due_windows += range(first, last + 1)
