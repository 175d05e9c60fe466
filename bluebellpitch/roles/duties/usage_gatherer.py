"""Counts the requests that begin to run at this VM, and passes counts on to the duty's holder.

Each VM tells its zone's collector, which tells the holder. Both keep what they are told until well
after the report is due, and tell everything again to a new one.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bluebellpitch.decisions.duties.usage_ledger import UsageLedger, VmUsage
from bluebellpitch.decisions.duties.usage_windows import UsageWindows, WindowClock
from bluebellpitch.logs import log
from bluebellpitch.peers.platform_messages import UsageCounts, UsageUpdate

COLLECTOR_ROLE = "duty:usage-collector"
TICK_S = 0.2
SEND_INTERVAL_S = 1.0
MAX_COUNTS_PER_MESSAGE = 64


@dataclass(frozen=True, slots=True)
class Recipient:
    """A process that counts are sent to. Its bus address stays the same when it restarts."""

    vm_key: str
    address: str


class UsageGatherer:
    """Owns the ledger and the window clock.

    ``vm_key`` and ``address`` are those of this VM. ``collector`` returns the zone's collector,
    ``holder_address`` the bus address of the holder, None if unknown; ``send`` sends to an address.
    ``now`` returns seconds of a clock that also runs while the VM is suspended, ``wall`` the time
    of day.
    """

    def __init__(
        self,
        vm_key: str,
        address: str,
        windows: UsageWindows,
        collector: Callable[[], Recipient | None],
        holder_address: Callable[[], str | None],
        send: Callable[[str, UsageUpdate], None],
        now: Callable[[], float],
        wall: Callable[[], float] = time.time,
    ):
        self.windows = windows
        self.ledger = UsageLedger(vm_key)
        self._address = address
        self._collector = collector
        self._holder_address = holder_address
        self._send = send
        self._now = now
        self._wall = wall
        self._clock = WindowClock.start(wall(), now())
        self._last_recipient: Recipient | None = None
        self._next_send_at = float("-inf")

    def time_at(self, now: float) -> float:
        """Returns the Unix time at a moment of this VM's clock."""
        return self._clock.time_at(now)

    def record_run(self, member: str, began_at: float) -> None:
        """Counts a request of a member that began to run at ``began_at``, on this VM's clock."""
        self.ledger.record(self.windows.index_at(self.time_at(began_at)), member)

    def handle_update(self, update: UsageUpdate) -> None:
        """Merges counts of other VMs; those of windows that are not kept are dropped."""
        time_now = self.time_at(self._now())
        first = self.windows.first_kept(time_now)
        last = self.windows.index_at(time_now + self.windows.due_s)
        for counts in update.counts:
            if first <= counts.window <= last:
                self.ledger.merge(VmUsage(counts.vm, counts.window, counts.counts_by_member))
            elif counts.window != first - 1:
                log("WARNING", "usage_counts_dropped", window=counts.window, of=counts.vm)

    async def run(self) -> None:
        """Passes counts on until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            now = self._now()
            if self._clock.observe(self._wall(), now):
                log("WARNING", "usage_clock_changed", time=f"{self.time_at(now):.1f}")
            self.ledger.drop_before(self.windows.first_kept(self.time_at(now)))
            self._pass_on(now)

    def _pass_on(self, now: float) -> None:
        recipient = self._next_recipient()
        is_new, self._last_recipient = recipient != self._last_recipient, recipient
        if recipient is None:
            return
        if is_new:
            self._send_counts(recipient.address, self.ledger.take_all(), now)
        elif now >= self._next_send_at:
            self._send_counts(recipient.address, self.ledger.take_changed(), now)

    def _next_recipient(self) -> Recipient | None:
        """Returns whom this VM tells its counts; None if it holds the duty or knows nobody."""
        if self.is_holder():
            return None
        collector = self._collector()
        if collector is None or collector.address != self._address:
            return collector
        address = self._holder_address()
        # A holder that restarts has to let its lease run out, and is silent for longer than that.
        return None if address is None else Recipient("", address)

    def is_holder(self) -> bool:
        """Returns whether this VM holds the duty, and so is told the counts of all."""
        return self._holder_address() == self._address

    def _send_counts(self, address: str, usages: Iterable[VmUsage], now: float) -> None:
        self._next_send_at = now + SEND_INTERVAL_S
        counts = [UsageCounts(u.vm, u.window, dict(u.counts_by_member)) for u in usages]
        for start in range(0, len(counts), MAX_COUNTS_PER_MESSAGE):
            batch = counts[start : start + MAX_COUNTS_PER_MESSAGE]
            self._send(address, UsageUpdate(tuple(batch)))

    def flush(self) -> None:
        """Passes on the last counts before this VM ends."""
        self._next_send_at = float("-inf")
        self._pass_on(self._now())
