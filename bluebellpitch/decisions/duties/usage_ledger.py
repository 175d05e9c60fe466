"""Counts of usage by window, VM and member, merged from many VMs without counting twice.

A VM's count of a window only grows, so the larger of two counts is the newer one: messages may
arrive twice, in any order and by any way.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class VmUsage:
    """Requests that began to run in a window, by member, as counted so far by one VM."""

    vm: str
    window: int
    counts_by_member: Mapping[str, int]


@dataclass(slots=True)
class UsageLedger:
    """Counts that this VM has made or been told.

    ``vm`` names one process of a VM: counts of a process that starts anew begin at zero.
    """

    vm: str
    _counts_by_vm_by_window: dict[int, dict[str, Counter]] = field(default_factory=dict)
    _requests_by_window: Counter = field(default_factory=Counter)
    _changed: set[tuple[int, str]] = field(default_factory=set)
    _sent_once: set[tuple[int, str]] = field(default_factory=set)

    def record(self, window: int, member: str) -> None:
        """Counts a request that began to run at this VM."""
        known = self._counts(window, self.vm)[member]
        self.merge(VmUsage(self.vm, window, {member: known + 1}))

    def merge(self, usage: VmUsage) -> None:
        """Merges the counts of a VM."""
        counts = self._counts(usage.window, usage.vm)
        for member, count in usage.counts_by_member.items():
            if (added := count - counts[member]) > 0:
                counts[member] = count
                self._requests_by_window[usage.window] += added
                self._changed.add((usage.window, usage.vm))

    def _counts(self, window: int, vm: str) -> Counter:
        return self._counts_by_vm_by_window.setdefault(window, {}).setdefault(vm, Counter())

    def count_members(self, window: int) -> dict[str, int]:
        """Returns the counts of a window of all VMs together, by member."""
        total: Counter = Counter()
        for counts in self._counts_by_vm_by_window.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def count_requests(self, window: int) -> int:
        """Returns how many requests of all members and VMs are counted in a window."""
        return self._requests_by_window[window]

    def take_changed(self) -> list[VmUsage]:
        """Returns what changed since the last call, and once more what changed before it.

        A message may be lost; one that is followed by no other change would be missed.
        """
        keys = self._changed | self._sent_once
        self._sent_once, self._changed = self._changed, set()
        return list(self._usages(keys))

    def take_all(self) -> list[VmUsage]:
        """Returns all counts, and forgets what has changed."""
        self._sent_once, self._changed = set(), set()
        by_window = self._counts_by_vm_by_window.items()
        return list(self._usages((window, vm) for window, by_vm in by_window for vm in by_vm))

    def _usages(self, keys: Iterable[tuple[int, str]]) -> Iterator[VmUsage]:
        for window, vm in sorted(keys):
            yield VmUsage(vm, window, dict(self._counts(window, vm)))

    def drop_before(self, window: int) -> None:
        """Drops the counts of windows before this one."""
        for old in [known for known in self._counts_by_vm_by_window if known < window]:
            del self._counts_by_vm_by_window[old]
            del self._requests_by_window[old]
        self._changed = {key for key in self._changed if key[0] >= window}
        self._sent_once = {key for key in self._sent_once if key[0] >= window}
