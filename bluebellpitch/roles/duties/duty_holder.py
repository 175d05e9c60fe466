"""Acquires, renews and gives back the lease of one duty."""

import asyncio
from collections.abc import Callable

from bluebellpitch.decisions.duties.announcements import Announcements
from bluebellpitch.decisions.duties.held_lease import CALL_TIMEOUT_S, HeldLease
from bluebellpitch.decisions.duties.lease import (
    MIN_LEASE_S,
    LeaseAppend,
    LeaseReading,
    LeaseState,
)
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.logs import log
from bluebellpitch.peers.platform_messages import DutyAnnouncement
from bluebellpitch.platform.lease_records import duty_topic, encode_lease, split_lease
from bluebellpitch.platform.records import KeyedRecord
from bluebellpitch.platform.store import Appended, EndMoved, MayHaveRun, StoreClient
from bluebellpitch.roles.duties.duty_changes import DutyChanges
from bluebellpitch.roles.duties.duty_context import DutyContext

# A caller that was given the lease starts its call within this time, or asks again.
START_CALL_S = 0.5
# The list of VMs and the first heartbeats arrive before that.
JOIN_DELAY_S = 2.0
HOLDER_TICK_S = 0.25
CANDIDATE_TICK_S = 0.5
MIN_WAIT_S = 0.02
RETRY_INTERVAL_S = 0.5
READ_INTERVAL_S = 1.0
# Zones try one after the other, so that the first one that may take the lease is alone.
ZONE_STAGGER_S = 0.3
# Passes beside the drain of requests, which takes longer than the share of a short grace period.
RELEASE_TIMEOUT_S = 3.0
RELEASE_SHARE = 0.5
# A holder that wakes so late, so often in a row, is short of processor time.
LATE_WAKE_S = 0.5
MAX_LATE_WAKES = 4
PAST = -float("inf")


class DutyHolder:
    """The part of this VM in one duty: holder, candidate, or neither.

    ``values_by_key`` are the values that holders keep beside the lease, read when this VM acquires
    it. ``on_acquired`` is called then, with a lease that may not serve for a call yet. No other
    object may use ``client``.
    """

    def __init__(self, duty: str, lease_s: float, client: StoreClient, context: DutyContext):
        self.duty = duty
        self.values_by_key: dict[str, bytes] = {}
        self.on_acquired: Callable[[HeldLease], None] = lambda lease: None
        self._topic = duty_topic(duty)
        self._client = client
        self._context = context
        self._now = context.now
        self._state = LeaseState(context.vm_key, max(lease_s, MIN_LEASE_S), context.store_era)
        self._announcements = Announcements()
        self._changes = DutyChanges(duty, context.metrics)
        # Calls of the store do not overlap.
        self._calls = asyncio.Lock()
        self._wake = asyncio.Event()
        self._is_leaving = self._is_stopping = False
        self._tried_at = PAST
        # When the last call ends that a caller may make under a lease that it was given.
        self._calls_end_at = PAST
        self._usable_from = PAST
        self._next_values: tuple[KeyedRecord, ...] = ()
        self._next_values_token = 0

    def lease(self) -> HeldLease | None:
        """Returns the lease if this VM holds it with time left for a call, else None.

        It serves for a call that starts soon: ask again before the next one.
        """
        now, term = self._now(), self._state.term
        if term is None or self._is_leaving or now < self._usable_from:
            return None
        valid_until = min(term.valid_until, now + START_CALL_S + CALL_TIMEOUT_S)
        lease = HeldLease(self.duty, term.token, valid_until)
        if not lease.allows_call(now):
            return None
        self._calls_end_at = max(self._calls_end_at, valid_until)
        return lease

    async def append(self, token: int, records: tuple[KeyedRecord, ...]) -> bool:
        """Keeps values in the store under the lease; returns whether they are certain to be there.

        They were made under ``token``: if this VM acquires the lease anew while they wait for their
        turn, they are not appended. After False they may or may not be there, and the lease may be
        lost.
        """
        async with self._calls:
            if self._is_leaving or not await self._read_if_needed():
                return False
            term = self._state.term
            if term is None or term.token != token:
                return False
            return await self._append(self._state.renewal(self._now()), records)

    def append_later(self, token: int, records: tuple[KeyedRecord, ...]) -> None:
        """Keeps values in the store with the next renewal, which needs no further call.

        They were made under ``token``, and take the place of those that still wait.
        """
        self._next_values, self._next_values_token = records, token

    async def _append_next_values(self, append: LeaseAppend) -> bool:
        records = self._next_values if append.record.token == self._next_values_token else ()
        is_kept = await self._append(append, records)
        if is_kept and self._next_values is records:
            self._next_values = ()
        return is_kept

    def holder_address(self) -> str | None:
        """Returns the bus address of the VM that announced itself as holder, None if silent."""
        now, term = self._now(), self._state.term
        if term is not None and now < term.valid_until:
            return self._context.address
        return self._announcements.holder_address(now)

    def handle_announcement(self, announcement: DutyAnnouncement) -> None:
        """Records which VM holds the duty, or that it gave it back."""
        now = self._now()
        if not self._state.observe_announcement(announcement.token, announcement.offset, now):
            return
        self._changes.report(self._state.term, now, "taken")
        self._announcements.record(announcement.reply_to, now)
        if not announcement.reply_to:
            self._tried_at = now - READ_INTERVAL_S
            self._wake.set()

    async def run(self) -> None:
        """Acquires the lease when this VM is the candidate, and renews it, until cancelled."""
        await asyncio.sleep(JOIN_DELAY_S)
        self._tried_at, late_wakes = self._now(), 0
        while True:
            async with self._calls:
                await self._step(self._now())
            due_at = self._now() + self._wait_s(self._now())
            await self._wait(due_at - self._now())
            late_wakes = late_wakes + 1 if self._now() > due_at + LATE_WAKE_S else 0
            if late_wakes >= MAX_LATE_WAKES and self._state.term is not None:
                await self.give_back("slow")

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def _wait_s(self, now: float) -> float:
        if self._state.term is not None:
            return HOLDER_TICK_S
        if self._is_leaving or not self._is_candidate():
            return CANDIDATE_TICK_S
        return min(CANDIDATE_TICK_S, max(MIN_WAIT_S, self._next_read_at(now) - now))

    async def _step(self, now: float) -> None:
        self._changes.report(self._state.term, now, "expired")
        if self._is_leaving:
            return
        if self._state.term is not None:
            if now >= self._tried_at + RETRY_INTERVAL_S:
                await self._renew()
        elif self._is_candidate() and now >= self._next_read_at(now):
            await self._try_to_acquire()

    def _is_candidate(self) -> bool:
        return self._context.is_candidate(self.duty)

    def _next_read_at(self, now: float) -> float:
        """Returns when a candidate looks at the store.

        Not while it hears the holder; else from time to time, and when it may take the lease.
        """
        stagger_s = self._context.zone_rank(self.duty) * ZONE_STAGGER_S
        quiet_until = self._announcements.quiet_until()
        next_try_at = self._tried_at + READ_INTERVAL_S
        takeover_at = self._state.takeover_at(now)
        if takeover_at > self._tried_at:
            next_try_at = min(next_try_at, takeover_at)
        return max(quiet_until, next_try_at) + stagger_s

    async def _try_to_acquire(self) -> None:
        if await self._read() and (append := self._state.next_append(self._now())):
            await self._append(append)

    async def _renew(self) -> None:
        if not await self._read_if_needed():
            return
        if append := self._state.next_append(self._now()):
            await self._append_next_values(append)
        self._announce(self._now())

    async def _read_if_needed(self) -> bool:
        """Returns whether it is known, after a read if necessary, who holds the lease."""
        return not self._state.needs_read() or await self._read()

    async def _read(self) -> bool:
        """Reads the topic; returns whether this told who holds the lease."""
        self._tried_at = self._now()
        try:
            newest = await self._client.read_newest(self._topic)
        except BluebellpitchError as error:
            log("WARNING", "duty_unread", duty=self.duty, error=error)
            return False
        now = self._now()
        record, values_by_key = split_lease(newest.records)
        was = self._state.term
        if not self._state.observe(LeaseReading(record, newest.next_offset, newest.era, now)):
            return False
        self.values_by_key = values_by_key
        is_other_era = was is not None and was.era != (newest.era or 0)
        self._changes.report(self._state.term, now, "restored" if is_other_era else "taken")
        return True

    async def _append(self, append: LeaseAppend, records: tuple[KeyedRecord, ...] = ()) -> bool:
        """Appends a lease record behind others; returns whether all are certain to be there."""
        self._tried_at = append.sent_at
        sent = (*records, encode_lease(append.record))
        verdict = await self._client.append_at(self._topic, sent, append.at)
        now, is_kept = self._now(), False
        match verdict:
            case Appended(offset, era):
                is_kept = self._state.accept(append, offset, len(sent), era, now)
            case EndMoved():
                self._state.refuse()
            case MayHaveRun():
                self._state.lose_answer()
        self._changes.report_append(append, verdict, is_kept)
        if is_kept:
            self._tried_at = PAST
            self._keep(records)
            self._report_term(now)
        return is_kept

    def _keep(self, records: tuple[KeyedRecord, ...]) -> None:
        kept = self.values_by_key | {record.key: record.value for record in records}
        self.values_by_key = {key: value for key, value in kept.items() if value is not None}

    def _report_term(self, now: float) -> None:
        """Tells this VM and the others of a term, once it is known to be this VM's."""
        term = self._state.term
        if term is None:
            return
        if self._changes.report(term, now, "renewed"):
            self._usable_from = self._calls_end_at
            self.on_acquired(self.lease() or HeldLease(self.duty, term.token, now))
        self._announce(now)

    def _announce(self, now: float) -> None:
        term = self._state.term
        is_held = term is not None and now < term.valid_until
        if is_held and self._announcements.take_turn(term.token, now):
            self._tell(term.token, term.end_offset, self._context.address)

    def _tell(self, token: int, end_offset: int, reply_to: str) -> None:
        message = DutyAnnouncement(self.duty, token, end_offset - 1, reply_to)
        self._context.send_to_all(message)

    async def give_back(self, reason: str) -> None:
        """Gives the lease back, so that another VM may take it at once; this one only later."""
        await self._leave("duty_given_back", reason, RELEASE_TIMEOUT_S)
        self._is_leaving = self._is_stopping

    async def release(self, grace_s: float) -> None:
        """Gives the lease back before a planned stop, so that another VM may take it at once.

        ``grace_s`` is all the time that the stop may take.
        """
        self._is_stopping = True
        timeout_s = min(RELEASE_TIMEOUT_S, grace_s * RELEASE_SHARE)
        await self._leave("duty_released", "stopping", timeout_s)

    async def _leave(self, event: str, reason: str, timeout_s: float) -> None:
        self._is_leaving = True
        try:
            async with asyncio.timeout(timeout_s), self._calls:
                while not await self._try_to_leave(event, reason):
                    await asyncio.sleep(RETRY_INTERVAL_S)
        except TimeoutError:
            self._state.invalidate_term()
            log("WARNING", "duty_not_released", duty=self.duty, reason=reason)

    async def _try_to_leave(self, event: str, reason: str) -> bool:
        """Appends that the lease is free; returns whether this VM certainly does not hold it."""
        is_known = not self._state.is_unresolved and await self._read_if_needed()
        if not is_known and not await self._read():
            return False
        term, now = self._state.term, self._now()
        if term is None:
            return True
        append = self._state.release(max(0.0, self._calls_end_at - now), now)
        if not await self._append_next_values(append):
            return False
        self._changes.report(None, self._now(), reason, event)
        self._tell(term.token, append.at + 1, reply_to="")
        return True
