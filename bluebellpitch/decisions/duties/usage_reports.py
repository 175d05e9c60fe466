"""Decides which usage windows the holder of the duty settles and reports, and in which order.

The counts of a window are settled in the store before they are first sent, and sent unchanged from
then on, whoever holds the duty. After the store came back from a copy, settled windows may be
missing there: those that this VM has not settled itself are marked as never to be reported.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from bluebellpitch.decisions.duties.usage_windows import UsageWindows

# All VMs tell a new holder their counts again within this time.
GATHERING_S = 1.0
# Difference between the clocks of two VMs that take each other's windows for settled or not.
MAX_CLOCK_DIFFERENCE_S = 1.0
# After a long outage, only so many of the newest windows without a report are logged.
MAX_GIVEN_UP = 100


@dataclass(frozen=True, slots=True)
class SettledWindow:
    """What is reported for a window; ``counts_by_member`` is None if nothing ever is.

    ``era`` is the store's era in which it was settled. When it was, all windows up to
    ``done_until`` needed no call any more.
    """

    window: int
    counts_by_member: Mapping[str, int] | None
    era: int
    done_until: int = -1


@dataclass(frozen=True, slots=True)
class Settle:
    """Windows to settle in the store, in one append."""

    windows: tuple[SettledWindow, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """A settled window to report."""

    window: int
    counts_by_member: Mapping[str, int]


@dataclass(slots=True)
class UsageReports:
    """The windows of one holder. All times are Unix times, in seconds, of its window clock."""

    windows: UsageWindows
    settled_by_window: dict[int, SettledWindow] = field(default_factory=dict)
    _era: int = 0
    _done_until: int = -1
    _done: set[int] = field(default_factory=set)
    _unanswered_by_window: Counter = field(default_factory=Counter)
    _gathered_at: float = float("inf")
    _to_rewrite: tuple[SettledWindow, ...] = ()

    def acquire(
        self, stored: Iterable[SettledWindow], era: int, era_known_from: float, time: float
    ) -> None:
        """Begins to hold the duty, with the windows that the store has.

        This VM knows of the store's ``era`` since ``era_known_from``; it may have begun before.
        """
        stored_by_window = {settled.window: settled for settled in stored}
        newest = stored_by_window[max(stored_by_window)] if stored_by_window else None
        self._era, self._gathered_at = era, time + GATHERING_S
        done = (settled.done_until for settled in stored_by_window.values())
        self._done_until = max([self._done_until, *done])
        self.settled_by_window |= stored_by_window
        self._to_rewrite = ()
        if newest is None or newest.era != era:
            kept_by = era_known_from + MAX_CLOCK_DIFFERENCE_S
            self._to_rewrite = tuple(self._rewrite(stored_by_window, kept_by, time))
        self._drop_old(time)

    def _rewrite(
        self, stored: Mapping[int, SettledWindow], kept_by: float, time: float
    ) -> Iterator[SettledWindow]:
        """Yields the windows that may have been settled in an era that was lost."""
        own = set(self.settled_by_window) - set(stored)
        first, last = self.windows.first_kept(time), self.windows.last_settled_by(kept_by)
        newest_stored = max(stored, default=first - 1)
        for window in sorted({*own, *range(max(first, newest_stored + 1), last + 1)}):
            settled = self.settled_by_window.get(window) or SettledWindow(window, None, self._era)
            yield replace(settled, era=self._era, done_until=self._done_until)

    def next_step(
        self, time: float, count: Callable[[int], Mapping[str, int]]
    ) -> Settle | Report | None:
        """Returns what to do next. ``count`` returns the counts of a window as known now."""
        if self._to_rewrite:
            return Settle(self._to_rewrite)
        if time >= self._gathered_at and (due := tuple(self._unsettled(time, count))):
            return Settle(due)
        # A call without an answer may have been taken: it must not hold up the later windows.
        unanswered = self._unanswered_by_window
        return min(self._unreported(), key=lambda report: unanswered[report.window], default=None)

    def _unsettled(
        self, time: float, count: Callable[[int], Mapping[str, int]]
    ) -> Iterator[SettledWindow]:
        first = max(self.windows.first_kept(time), self._newest_settled() + 1)
        for window in range(first, self.windows.last_settled_by(time) + 1):
            yield SettledWindow(window, count(window), self._era, self._done_until)

    def _newest_settled(self) -> int:
        return max(self.settled_by_window, default=-1)

    def _unreported(self) -> Iterator[Report]:
        for window in sorted(self.settled_by_window):
            settled = self.settled_by_window[window]
            is_open = window > self._done_until and window not in self._done
            if is_open and settled.counts_by_member is not None:
                yield Report(window, settled.counts_by_member)

    def record_settled(self, settled: Iterable[SettledWindow]) -> None:
        """Records windows that the store has kept."""
        self._to_rewrite = ()
        self.settled_by_window |= {window.window: window for window in settled}

    def record_done(self, window: int) -> None:
        """Records that a window needs no call any more."""
        self._mark_done((window,))

    def record_unanswered(self, window: int) -> None:
        """Records that a call for a window had no answer."""
        self._unanswered_by_window[window] += 1

    def _mark_done(self, windows: Iterable[int]) -> None:
        self._done.update(windows)
        next_report = next(self._unreported(), None)
        done_until = max(self._done) if next_report is None else next_report.window - 1
        self._done_until = max(self._done_until, done_until)
        self._done = {window for window in self._done if window > self._done_until}
        self._unanswered_by_window = Counter(
            {w: n for w, n in self._unanswered_by_window.items() if w > self._done_until}
        )

    def give_up(self, time: float) -> list[int]:
        """Drops the windows that were never reported and are now too old; returns the newest."""
        first = self.windows.first_kept(time)
        too_old = [report.window for report in self._unreported() if report.window < first]
        if self.settled_by_window:
            next_window = max(self._newest_settled(), self._done_until) + 1
            too_old += range(max(next_window, first - MAX_GIVEN_UP), first)
            too_old = too_old[-MAX_GIVEN_UP:]
        if too_old:
            self._mark_done(too_old)
        self._drop_old(time)
        return too_old

    def _drop_old(self, time: float) -> None:
        """Drops the windows that are no longer kept, but never the newest one."""
        first = min(self.windows.first_kept(time), self._newest_settled())
        kept = self.settled_by_window.items()
        self.settled_by_window = {w: settled for w, settled in kept if w >= first}
