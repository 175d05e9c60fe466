"""Keeps the control fold current: from the store, or from peers while it is out of reach."""

import asyncio
from collections import deque
from dataclasses import replace

from bluebellpitch.constants import SNAPSHOT_EVERY_RECORDS, STORE_RETRY_S
from bluebellpitch.decisions.control import ControlStateMachine
from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.decisions.snapshots import assemble_snapshots, split_snapshot
from bluebellpitch.events import Kind, Ring
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.messages import ControlEntry, ControlRecords, Heartbeat, SnapshotTransfer
from bluebellpitch.platform.store import Appended, StoreClient, Truncated
from bluebellpitch.platform.topic_reader import TopicReader
from bluebellpitch.platform.topics import CONTROL_TOPIC, SNAPSHOTS_TOPIC
from bluebellpitch.view import ViewHolder

KEPT_ENTRIES = 256
SNAPSHOT_CHECK_S = 1.0


class ControlRole:
    """Owns the control fold and publishes its table and epochs in the view."""

    def __init__(
        self, holder: ViewHolder, tail: TopicReader, store: StoreClient, ring: Ring, metrics
    ):
        self._holder = holder
        self._tail = tail
        self._store = store
        self._ring = ring
        self._metrics: Metrics = metrics
        self.fold = ControlStateMachine()
        self._kept: deque[ControlEntry] = deque(maxlen=KEPT_ENTRIES)
        self._behind: set[str] = set()

    async def follow_log(self) -> None:
        """Folds the control topic for ever."""
        async for page in self._tail.read_pages(lambda: self.fold.offset + 1):
            if isinstance(page, Truncated):
                await self._bridge(page.oldest_offset)
                continue
            self.take_entries(
                tuple(
                    ControlEntry(offset, data)
                    for offset, data in enumerate(page.records, page.start_offset)
                )
            )

    async def _bridge(self, first_kept: int) -> None:
        """Takes a snapshot in place of records that have expired."""
        records = await self._tail.read_newest(SNAPSHOTS_TOPIC)
        if self.fold.install_latest_snapshot(
            assemble_snapshots(r.value for r in records if r.value)
        ):
            self._kept.clear()
            self._publish()
            log("INFO", "snapshot_installed", offset=self.fold.offset, first_kept=first_kept)
        if self.fold.offset + 1 < first_kept:
            log("ERROR", "control_gap", offset=self.fold.offset, first_kept=first_kept)
            await asyncio.sleep(STORE_RETRY_S)

    def take_entries(self, entries: tuple[ControlEntry, ...]) -> None:
        """Folds records that follow on from the fold, and publishes the result."""
        before = self.fold.offset
        for entry in entries:
            if entry.offset == self.fold.offset + 1:
                self.fold.apply(entry.offset, entry.data)
                self._kept.append(entry)
        if self.fold.offset > before:
            self._publish()

    def take_transfer(self, transfer: SnapshotTransfer) -> None:
        """Takes a whole fold from a peer, when it is ahead."""
        if self.fold.install_snapshot(transfer.snapshot):
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
        return SnapshotTransfer(self.fold.create_snapshot())

    async def publish_snapshots(self, every_s: float, now) -> None:
        """Puts a snapshot into the store before the records that it covers expire."""
        offset, at, turn = -1, now(), 0
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_S)
            records = self.fold.offset - offset
            due = records >= SNAPSHOT_EVERY_RECORDS or now() - at > every_s
            if not (records and due and self._is_publisher()):
                continue
            covered = self.fold.offset
            if await self._publish_snapshot(turn):
                offset, at, turn = covered, now(), turn + 1

    async def _publish_snapshot(self, turn: int) -> bool:
        snapshot = self.fold.create_snapshot()
        for key, piece in split_snapshot(snapshot, self._holder.current.own.zone, turn):
            verdict = await self._store.put(SNAPSHOTS_TOPIC, key, piece)
            if not isinstance(verdict, Appended):
                log("WARNING", "snapshot_failed", offset=snapshot.offset, reason=verdict.reason)
                return False
        log("INFO", "snapshot", offset=snapshot.offset, bytes=len(snapshot.state))
        return True

    def _is_publisher(self) -> bool:
        view = self._holder.current
        ranked = rank_owners(CONTROL_TOPIC, view.vms_of(view.own.zone))
        return ranked[:1] == [view.own.identity.key]
