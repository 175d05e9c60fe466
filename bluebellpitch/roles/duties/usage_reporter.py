"""Settles and reports usage windows while this VM holds the duty."""

import asyncio
from collections.abc import Callable, Mapping

from bluebellpitch.decisions.duties.held_lease import HeldLease
from bluebellpitch.decisions.duties.usage_reports import (
    Report,
    Settle,
    SettledWindow,
    UsageReports,
)
from bluebellpitch.decisions.store_era import StoreEra
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.duty_api import (
    CallAccepted,
    CallFailed,
    CallFenced,
    CallRejected,
    DutyApi,
)
from bluebellpitch.platform.usage_records import decode_windows, encode_window
from bluebellpitch.roles.duties.duty_holder import DutyHolder
from bluebellpitch.roles.duties.usage_gatherer import UsageGatherer

TICK_S = 0.1
RETRY_DELAY_S = 0.5
# After so many calls without any answer, a VM with a better way to the API may hold the duty.
UNANSWERED_TO_GIVE_BACK = 4


class UsageReporter:
    """Owns the reports. ``call_interval_s`` is the least time between two calls of the API."""

    def __init__(
        self,
        gatherer: UsageGatherer,
        holder: DutyHolder,
        api: DutyApi,
        store_era: StoreEra,
        metrics: Metrics,
        call_interval_s: float,
        now: Callable[[], float],
    ):
        self.reports = UsageReports(gatherer.windows)
        self._gatherer = gatherer
        self._holder = holder
        self._api = api
        self._store_era = store_era
        self._metrics = metrics
        self._call_interval_s = call_interval_s
        self._now = now
        self._started_at = now()
        self._next_call_at = self._next_append_at = float("-inf")
        self._unanswered = 0
        self._token = 0
        self._late_by_window: dict[int, int] = {}
        holder.on_acquired = self._begin

    def _begin(self, lease: HeldLease) -> None:
        """Takes over what earlier holders have settled."""
        time, era = self._gatherer.time_at, self._store_era
        has_eras = era.number is not None
        era_known_from = time(era.known_since if has_eras else self._started_at)
        stored = decode_windows(self._holder.values_by_key)
        self.reports.acquire(stored, era.number or 0, era_known_from, time(self._now()))
        self._unanswered, self._token = 0, lease.token

    async def run(self) -> None:
        """Settles and reports what is due, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            if self._token and self._gatherer.is_holder():
                await self._act()

    async def _act(self) -> None:
        time = self._gatherer.time_at(self._now())
        for window in self.reports.give_up(time):
            self._record_outcome(window, "missed")
        self._record_late_counts()
        match self.reports.next_step(time, self._gatherer.ledger.count_members):
            case Settle(windows) if self._now() >= self._next_append_at:
                await self._settle(windows)
            case Report(window, counts) if self._now() >= self._next_call_at:
                await self._report(window, counts)

    async def _settle(self, windows: tuple[SettledWindow, ...]) -> None:
        if not await self._holder.append(self._token, tuple(map(encode_window, windows))):
            indexes = ",".join(str(settled.window) for settled in windows)
            log("WARNING", "usage_not_settled", windows=indexes, token=self._token)
            self._next_append_at = self._now() + RETRY_DELAY_S
            return
        self.reports.record_settled(windows)
        for settled in windows:
            counts = settled.counts_by_member
            if counts is None:
                self._record_outcome(settled.window, "in_doubt")
                continue
            log(
                "INFO",
                "usage_settled",
                window=settled.window,
                members=len(counts),
                requests=sum(counts.values()),
                token=self._token,
            )

    async def _report(self, window: int, counts: Mapping[str, int]) -> None:
        lease = self._holder.lease()
        if lease is None:
            return
        outcome = await self._api.report_usage(lease, window, counts)
        now = self._now()
        self._next_call_at = now + self._call_interval_s
        match outcome:
            case CallAccepted():
                is_late = self.reports.windows.is_late(window, self._gatherer.time_at(now))
                self._record_outcome(window, "late" if is_late else "on_time")
                self.reports.record_done(window)
            case CallRejected(status):
                self._record_outcome(window, f"rejected_{status}")
                self.reports.record_done(window)
            case CallFenced():
                log("WARNING", "usage_call_failed", window=window, reason="fenced")
                await self._holder.give_back("fenced")
            case CallFailed(reason, is_unanswered):
                self._next_call_at = now + max(RETRY_DELAY_S, self._call_interval_s)
                log("WARNING", "usage_call_failed", window=window, reason=reason)
                if is_unanswered:
                    self.reports.record_unanswered(window)
                await self._count_failure(is_unanswered)
                return
        self._unanswered = 0

    async def _count_failure(self, is_unanswered: bool) -> None:
        self._unanswered = self._unanswered + 1 if is_unanswered else 0
        if self._unanswered >= UNANSWERED_TO_GIVE_BACK:
            self._unanswered = 0
            await self._holder.give_back("api_unreachable")

    def _record_outcome(self, window: int, outcome: str) -> None:
        self._metrics.usage_windows.labels(outcome).inc()
        if outcome in ("on_time", "late"):
            log("INFO", "usage_reported", window=window, outcome=outcome)
        else:
            log("WARNING", "usage_missed", window=window, reason=outcome)

    def _record_late_counts(self) -> None:
        """Records counts that came after their window was settled; they are not reported."""
        settled_by_window = self.reports.settled_by_window
        kept = self._late_by_window.items()
        self._late_by_window = {w: late for w, late in kept if w in settled_by_window}
        for window, settled in settled_by_window.items():
            if settled.counts_by_member is None:
                continue
            counted = self._gatherer.ledger.count_requests(window)
            late = counted - sum(settled.counts_by_member.values())
            new = late - self._late_by_window.get(window, 0)
            if new > 0:
                self._late_by_window[window] = late
                self._metrics.usage_late_counts.inc(new)
                log("WARNING", "usage_late_counts", window=window, requests=late)
