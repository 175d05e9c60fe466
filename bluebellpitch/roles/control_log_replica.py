"""Keeps the control state current from the store, or from peers while the store is unreachable.

When the store comes back from a copy, its log is applied anew from the start, while the state held
stays in force. VMs append again the accepted changes that the log lacks; the new state replaces the
old one once it has them all.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace

from bluebellpitch.constants import SNAPSHOT_INTERVAL_RECORDS, STORE_RETRY_DELAY_S
from bluebellpitch.decisions.control import (
    ControlRecord,
    ControlStateMachine,
    EraBegan,
    RecordVerdict,
    RestoredChange,
    TableChange,
    decode_control_record,
    encode_control_record,
)
from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.decisions.log_position import MAX_OFFSET, offset_of
from bluebellpitch.decisions.snapshots import assemble_snapshots, split_snapshot
from bluebellpitch.decisions.store_era import StoreEra, is_other_era
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.messages import ControlEntry, ControlRecords, Heartbeat, SnapshotTransfer
from bluebellpitch.platform.appender import Appender
from bluebellpitch.platform.records import Page
from bluebellpitch.platform.store import Appended, StoreClient, Truncated
from bluebellpitch.platform.topic_reader import TopicReader
from bluebellpitch.platform.topics import CONTROL_TOPIC, SNAPSHOTS_TOPIC
from bluebellpitch.view import ViewHolder

MAX_RECENT_ENTRIES = 256
SNAPSHOT_CHECK_INTERVAL_S = 1.0
# VMs append lost changes again at random moments within this time, so that few append the same.
RESTORE_SPREAD_S = 0.5
# A lost change that no VM can append again is given up after this time.
RESTORE_TIMEOUT_S = 10.0
# A peer of another era gets the whole state only if it stays behind for so many heartbeats.
MAX_RESTORE_HEARTBEATS = 8


class ControlLogReplica:
    """Owns the control state and publishes its table and epochs to the view."""

    def __init__(
        self,
        view_holder: ViewHolder,
        reader: TopicReader,
        store: StoreClient,
        appender: Appender,
        event_ring: EventRing,
        metrics: Metrics,
        store_era: StoreEra,
        now: Callable[[], float],
    ):
        self._view_holder = view_holder
        self._reader = reader
        self._store = store
        self._appender = appender
        self._event_ring = event_ring
        self._metrics = metrics
        self._store_era = store_era
        self._now = now
        self.state_machine = ControlStateMachine()
        self._log_era: int | None = None
        self._last_snapshot_offset = MAX_OFFSET
        # The state of the log that is read anew, until it replaces the one in force.
        self._replacement: ControlStateMachine | None = None
        self._replacement_entries: deque[ControlEntry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._replacement_began_at = 0.0
        self._restore_task: asyncio.Task | None = None
        self._recent_entries: deque[ControlEntry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._lagging_heartbeats: dict[str, int] = {}

    @property
    def is_replacing(self) -> bool:
        """Whether the log of a store that came back from a copy is still being applied."""
        return self._replacement is not None

    @property
    def _reading(self) -> ControlStateMachine:
        return self._replacement or self.state_machine

    async def follow_log(self) -> None:
        """Applies the records of the control topic until cancelled."""
        async for page in self._reader.read_pages(lambda: self._reading.next_offset):
            if self._store_era.is_past(page.era):
                continue
            if is_other_era(page.era, self._log_era):
                self._restart_in_era(page.era)
                continue
            self._log_era = page.era if page.era is not None else self._log_era
            if isinstance(page, Truncated):
                await self._install_snapshot(page.oldest_offset)
            else:
                self._apply_page(page)

    def _restart_in_era(self, era: int) -> None:
        log("WARNING", "control_log_restored", era=era, was=self._log_era)
        self._log_era, self._last_snapshot_offset = era, MAX_OFFSET
        self._replacement, self._replacement_began_at = ControlStateMachine(), self._now()
        self._replacement_entries.clear()

    def _apply_page(self, page: Page) -> None:
        entries = tuple(
            ControlEntry(offset, data)
            for offset, data in enumerate(page.records, page.start_offset)
        )
        if self._replacement is None:
            self._apply_in_force(entries)
            return
        for entry in entries:
            self._replacement.apply(entry.offset, entry.data)
        self._replacement_entries.extend(entries)
        if self._replacement.next_offset >= page.end_offset:
            self._replace_state()

    def _replace_state(self) -> None:
        """Puts the state of the new log into force, unless it lacks accepted changes."""
        lost = self._replacement.lacks(self._recent_verdicts())
        if lost and self._now() - self._replacement_began_at < RESTORE_TIMEOUT_S:
            if self._restore_task is None or self._restore_task.done():
                self._restore_task = asyncio.create_task(self._restore_changes())
            return
        if lost:
            log("ERROR", "control_records_lost", ids=",".join(lost))
        self._install(self._replacement, self._replacement_entries)
        log("INFO", "control_state_replaced", offset=self.state_machine.offset)

    def _recent_verdicts(self) -> dict[str, RecordVerdict]:
        """Returns the verdicts on the newest records, which the store may have lost."""
        verdicts = list(self.state_machine.state.verdicts_by_id.items())
        return dict(verdicts[-MAX_RECENT_ENTRIES:])

    async def _restore_changes(self) -> None:
        """Appends lost changes again, in their order."""
        await asyncio.sleep(random.uniform(0, RESTORE_SPREAD_S))
        verdicts_by_id = self._recent_verdicts()
        lost = set(self._replacement.lacks(verdicts_by_id)) if self._replacement else set()
        decoded = (decode_control_record(entry.data) for entry in list(self._recent_entries))
        records = [
            restore_record(record, verdicts_by_id[record.id].offset)
            for record in decoded
            if record is not None and record.id in lost
        ]
        if not records:
            return
        for record in (EraBegan(f"era-{self._log_era}", self._log_era), *records):
            verdict = await self._appender.append(encode_control_record(record))
        log(
            "INFO",
            "control_records_restored",
            lost=len(lost),
            appended=len(records),
            verdict=verdict.name,
        )

    async def _install_snapshot(self, first_kept: int) -> None:
        """Installs a snapshot in place of records that expired in the store."""
        reading = self._reading
        if reading.next_offset >= first_kept:
            await self._reject_snapshot()
            return
        chunks = await self._reader.read_newest(SNAPSHOTS_TOPIC)
        snapshots = assemble_snapshots(chunk.value for chunk in chunks if chunk.value)
        if reading.install_latest_snapshot(
            s for s in snapshots if offset_of(s.offset) <= self._last_snapshot_offset
        ):
            if reading is self.state_machine:
                self._recent_entries.clear()
                self._publish_view()
            log("INFO", "snapshot_installed", offset=reading.offset, first_kept=first_kept)
        if reading.next_offset < first_kept:
            log("ERROR", "control_gap", offset=reading.offset, first_kept=first_kept)
            await asyncio.sleep(STORE_RETRY_DELAY_S)

    async def _reject_snapshot(self) -> None:
        """Starts again without a snapshot that lies beyond the end of the log.

        It was written by a VM that did not know yet that the store had lost records.
        """
        log("WARNING", "control_log_ends_before", wanted=self._reading.next_offset)
        await asyncio.sleep(STORE_RETRY_DELAY_S)
        if self._replacement is not None:
            self._last_snapshot_offset = offset_of(self._replacement.offset) - 1
            self._replacement = ControlStateMachine()
            self._replacement_entries.clear()

    def apply_records(self, records: ControlRecords) -> None:
        """Applies records that a peer read from the same log; ignores those of another one."""
        is_same_log = not is_other_era(records.store_era, self._log_era)
        if self._replacement is None and is_same_log:
            self._apply_in_force(records.entries)

    def _apply_in_force(self, entries: tuple[ControlEntry, ...]) -> None:
        before = self.state_machine.offset
        for entry in entries:
            if entry.offset == self.state_machine.next_offset:
                self.state_machine.apply(entry.offset, entry.data)
                self._recent_entries.append(entry)
        if self.state_machine.offset > before:
            self._publish_view()

    def install_transfer(self, transfer: SnapshotTransfer) -> None:
        """Installs a peer's complete state if it is ahead of this VM's.

        That of a later log is ahead if it lacks nothing that this VM has applied.
        """
        snapshot, state_machine = transfer.snapshot, ControlStateMachine()
        is_other = is_other_era(snapshot.store_era, self._log_era)
        if is_other and snapshot.store_era < self._log_era:
            return
        if not is_other and (self.is_replacing or snapshot.offset <= self.state_machine.offset):
            return
        if not state_machine.install_snapshot(snapshot):
            return
        if is_other and state_machine.lacks(self._recent_verdicts()):
            log("INFO", "transfer_lacks_records", offset=snapshot.offset)
            return
        self._log_era = snapshot.store_era if is_other else self._log_era
        self._install(state_machine, ())

    def _install(self, state_machine: ControlStateMachine, entries: Iterable[ControlEntry]) -> None:
        self.state_machine, self._replacement = state_machine, None
        self._recent_entries = deque(entries, maxlen=MAX_RECENT_ENTRIES)
        self._publish_view()

    def _publish_view(self) -> None:
        view = self._view_holder.current
        table = self.state_machine.table
        if table.offset != view.table.offset:
            self._event_ring.record(EventKind.TABLE, detail=f"offset={table.offset}")
            log("INFO", "table", offset=table.offset)
        self._metrics.table_offset.set(self.state_machine.offset)
        own = replace(view.own, control_offset=self.state_machine.offset, store_era=self._log_era)
        self._view_holder.current = replace(
            view,
            own=own,
            table=table,
            epochs_by_zone=self.state_machine.state.epochs_by_zone,
            unsettled_by_zone=self.state_machine.state.unsettled_by_zone,
        )

    def catch_up_message(self, sender: str, heartbeat: Heartbeat):
        """Returns what a peer lacks once two heartbeats in a row show it behind, else None.

        The records that it lacks are sent if they are all still in memory, else the whole state. A
        peer that holds the log of an earlier era gets time to read the new one by itself.
        """
        is_other = is_other_era(heartbeat.store_era, self._log_era)
        is_ahead = heartbeat.control_offset >= self.state_machine.offset
        if self.is_replacing or (heartbeat.store_era > self._log_era if is_other else is_ahead):
            self._lagging_heartbeats.pop(sender, None)
            return None
        lagging = self._lagging_heartbeats[sender] = self._lagging_heartbeats.get(sender, 0) + 1
        if lagging < 2 or (is_other and lagging % MAX_RESTORE_HEARTBEATS):
            return None
        if not is_other:
            missing = self._entries_after(heartbeat.control_offset)
            if missing:
                return ControlRecords(missing, self._log_era)
        return SnapshotTransfer(self.state_machine.create_snapshot(self._log_era))

    def _entries_after(self, position: int) -> tuple[ControlEntry, ...]:
        """Returns the records after a position; none unless all of them are in memory."""
        start = offset_of(position) + 1
        entries = tuple(entry for entry in self._recent_entries if entry.offset >= start)
        return entries if entries and entries[0].offset == start else ()

    async def publish_snapshots(self, interval_s: float, now) -> None:
        """Writes snapshots to the store before the records that they cover expire."""
        published_offset, published_at, sequence = -1, now(), 0
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            new_records = self.state_machine.offset - published_offset
            due = new_records >= SNAPSHOT_INTERVAL_RECORDS or now() - published_at > interval_s
            if not (new_records and due and self._is_publisher()) or self.is_replacing:
                continue
            covered = self.state_machine.offset
            if await self._publish_snapshot(sequence):
                published_offset, published_at, sequence = covered, now(), sequence + 1

    async def _publish_snapshot(self, sequence: int) -> bool:
        snapshot = self.state_machine.create_snapshot(self._log_era)
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


def restore_record(record: ControlRecord, position: int) -> ControlRecord:
    """Returns the record that repeats one the store lost, which was accepted at ``position``."""
    match record:
        case TableChange():
            return RestoredChange(record.id, position, record.rows, record.deleted, record.author)
        case _:
            return record
