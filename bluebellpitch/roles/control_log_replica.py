"""Keeps the control state current from the store, or from peers while the store is unreachable."""

import asyncio
from collections import deque
from dataclasses import replace

from bluebellpitch.constants import SNAPSHOT_INTERVAL_RECORDS, STORE_RETRY_DELAY_S
from bluebellpitch.decisions.control import ControlStateMachine
from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.decisions.snapshots import assemble_snapshots, split_snapshot
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.messages import ControlEntry, ControlRecords, Heartbeat, SnapshotTransfer
from bluebellpitch.platform.store import Appended, StoreClient, Truncated
from bluebellpitch.platform.topic_reader import TopicReader
from bluebellpitch.platform.topics import CONTROL_TOPIC, SNAPSHOTS_TOPIC
from bluebellpitch.view import ViewHolder

MAX_RECENT_ENTRIES = 256
SNAPSHOT_CHECK_INTERVAL_S = 1.0


class ControlLogReplica:
    """Owns the control state and publishes its table and epochs to the view."""

    def __init__(
        self,
        view_holder: ViewHolder,
        reader: TopicReader,
        store: StoreClient,
        event_ring: EventRing,
        metrics,
    ):
        self._view_holder = view_holder
        self._reader = reader
        self._store = store
        self._event_ring = event_ring
        self._metrics: Metrics = metrics
        self.state_machine = ControlStateMachine()
        self._recent_entries: deque[ControlEntry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._lagging_peers: set[str] = set()

    async def follow_log(self) -> None:
        """Applies the records of the control topic until cancelled."""
        async for page in self._reader.read_pages(lambda: self.state_machine.offset + 1):
            if isinstance(page, Truncated):
                await self._install_snapshot(page.oldest_offset)
                continue
            self.apply_entries(
                tuple(
                    ControlEntry(offset, data)
                    for offset, data in enumerate(page.records, page.start_offset)
                )
            )

    async def _install_snapshot(self, first_kept: int) -> None:
        """Installs a snapshot in place of records that expired in the store."""
        chunks = await self._reader.read_newest(SNAPSHOTS_TOPIC)
        if self.state_machine.install_latest_snapshot(
            assemble_snapshots(chunk.value for chunk in chunks if chunk.value)
        ):
            self._recent_entries.clear()
            self._publish_view()
            log(
                "INFO",
                "snapshot_installed",
                offset=self.state_machine.offset,
                first_kept=first_kept,
            )
        if self.state_machine.offset + 1 < first_kept:
            log("ERROR", "control_gap", offset=self.state_machine.offset, first_kept=first_kept)
            await asyncio.sleep(STORE_RETRY_DELAY_S)

    def apply_entries(self, entries: tuple[ControlEntry, ...]) -> None:
        """Applies records that follow the last applied one without a gap; publishes the result."""
        before = self.state_machine.offset
        for entry in entries:
            if entry.offset == self.state_machine.offset + 1:
                self.state_machine.apply(entry.offset, entry.data)
                self._recent_entries.append(entry)
        if self.state_machine.offset > before:
            self._publish_view()

    def install_transfer(self, transfer: SnapshotTransfer) -> None:
        """Installs a peer's complete state if it is ahead of this VM's."""
        if self.state_machine.install_snapshot(transfer.snapshot):
            self._recent_entries.clear()
            self._publish_view()

    def _publish_view(self) -> None:
        view = self._view_holder.current
        table = self.state_machine.table
        if table.offset != view.table.offset:
            self._event_ring.record(EventKind.TABLE, detail=f"offset={table.offset}")
            log("INFO", "table", offset=table.offset)
        self._metrics.table_offset.set(self.state_machine.offset)
        own = replace(view.own, control_offset=self.state_machine.offset)
        self._view_holder.current = replace(
            view,
            own=own,
            table=table,
            epochs_by_zone=self.state_machine.state.epochs_by_zone,
            unsettled_by_zone=self.state_machine.state.unsettled_by_zone,
        )

    def catch_up_message(self, sender: str, heartbeat: Heartbeat):
        """Returns what a peer lacks once two heartbeats in a row show it behind, else None.

        The records that it lacks are sent if they are all still in memory, else the whole state.
        """
        if heartbeat.control_offset >= self.state_machine.offset:
            self._lagging_peers.discard(sender)
            return None
        if sender not in self._lagging_peers:
            self._lagging_peers.add(sender)
            return None
        missing = tuple(e for e in self._recent_entries if e.offset > heartbeat.control_offset)
        if missing and missing[0].offset == heartbeat.control_offset + 1:
            return ControlRecords(missing)
        return SnapshotTransfer(self.state_machine.create_snapshot())

    async def publish_snapshots(self, interval_s: float, now) -> None:
        """Writes snapshots to the store before the records that they cover expire."""
        published_offset, published_at, sequence = -1, now(), 0
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            new_records = self.state_machine.offset - published_offset
            due = new_records >= SNAPSHOT_INTERVAL_RECORDS or now() - published_at > interval_s
            if not (new_records and due and self._is_publisher()):
                continue
            covered = self.state_machine.offset
            if await self._publish_snapshot(sequence):
                published_offset, published_at, sequence = covered, now(), sequence + 1

    async def _publish_snapshot(self, sequence: int) -> bool:
        snapshot = self.state_machine.create_snapshot()
        for key, chunk in split_snapshot(snapshot, self._view_holder.current.own.zone, sequence):
            verdict = await self._store.put(SNAPSHOTS_TOPIC, key, chunk)
            if not isinstance(verdict, Appended):
                log("WARNING", "snapshot_failed", offset=snapshot.offset, reason=verdict.reason)
                return False
        log("INFO", "snapshot", offset=snapshot.offset, bytes=len(snapshot.state))
        return True

    def _is_publisher(self) -> bool:
        view = self._view_holder.current
        ranked = rank_owners(CONTROL_TOPIC, view.eligible_vms(view.own.zone))
        return ranked[:1] == [view.own.identity.key]
