"""Keeps the control fold current: from the log, or from peers while the log is out of reach."""

import asyncio
from collections import deque
from dataclasses import replace

from bluebellpitch.constants import CONTROL_STREAM, SNAPSHOT_EVERY_RECORDS
from bluebellpitch.decisions.control import (
    ControlFold,
    encode_record,
)
from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.events import Kind, Ring
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.messages import ControlRecords, FoldTransfer, Heartbeat
from bluebellpitch.platform.appender import Appender
from bluebellpitch.platform.log import Entry, Page
from bluebellpitch.platform.tail import Tail
from bluebellpitch.view import ViewHolder

KEPT_ENTRIES = 256
SNAPSHOT_CHECK_S = 1.0


class ControlRole:
    """Owns the control fold and publishes its table and epochs in the view."""

    def __init__(self, holder: ViewHolder, tail: Tail, appender: Appender, ring: Ring, metrics):
        self._holder = holder
        self._tail = tail
        self._appender = appender
        self._ring = ring
        self._metrics: Metrics = metrics
        self.fold = ControlFold()
        self._kept: deque[Entry] = deque(maxlen=KEPT_ENTRIES)
        self._behind: set[str] = set()

    async def follow_log(self) -> None:
        """Folds the log for ever."""
        async for page in self._tail.pages(lambda: self.fold.offset + 1):
            self._take_page(page)

    def _take_page(self, page: Page) -> None:
        lacking = page.first > self.fold.offset + 1
        if lacking and not self.fold.install_latest(entry.data for entry in page.records):
            log("ERROR", "control_gap", offset=self.fold.offset, first=page.first)
            return
        self.take_entries(page.records)

    def take_entries(self, entries: tuple[Entry, ...]) -> None:
        """Folds records that follow on from the fold, and publishes the result."""
        before = self.fold.offset
        for entry in entries:
            if entry.offset == self.fold.offset + 1:
                self.fold.apply(entry.offset, entry.data)
                self._kept.append(entry)
        if self.fold.offset > before:
            self._publish()

    def take_transfer(self, transfer: FoldTransfer) -> None:
        """Takes a whole fold from a peer, when it is ahead."""
        if self.fold.install(transfer.snapshot):
            self._kept.clear()
            self._publish()

    def _publish(self) -> None:
        view = self._holder.current
        table = self.fold.table
        if table.offset != view.table.offset:
            self._ring.record(Kind.TABLE, detail=f"offset={table.offset}")
            log("INFO", "table", offset=table.offset)
        self._metrics.table_offset.set(self.fold.offset)
        own = replace(view.own, control_offset=self.fold.offset)
        self._holder.current = replace(
            view,
            own=own,
            table=table,
            epochs_by_zone=self.fold.state.epochs_by_zone,
            unsettled_by_zone=self.fold.state.unsettled_by_zone,
        )

    def help_peer(self, sender: str, heartbeat: Heartbeat):
        """Returns what a peer lacks, once it was seen behind twice in a row; else None."""
        if heartbeat.control_offset >= self.fold.offset:
            self._behind.discard(sender)
            return None
        if sender not in self._behind:
            self._behind.add(sender)
            return None
        missing = tuple(e for e in self._kept if e.offset > heartbeat.control_offset)
        if missing and missing[0].offset == heartbeat.control_offset + 1:
            return ControlRecords(missing)
        return FoldTransfer(self.fold.snapshot())

    async def publish_snapshots(self, every_s: float, now) -> None:
        """Puts a snapshot on the log before the records that it covers expire."""
        seen_offset, seen_at = self.fold.snapshot_offset, now()
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_S)
            if self.fold.snapshot_offset > seen_offset:
                seen_offset, seen_at = self.fold.snapshot_offset, now()
            records = self.fold.offset - max(0, self.fold.snapshot_offset)
            due = records >= SNAPSHOT_EVERY_RECORDS or now() - seen_at > every_s
            if due and self.fold.offset >= 0 and self._is_publisher():
                await self._appender.append(encode_record(self.fold.snapshot()))

    def _is_publisher(self) -> bool:
        view = self._holder.current
        ranked = rank_owners(CONTROL_STREAM, view.vms_of(view.own.zone))
        return ranked[:1] == [view.own.identity.key]
