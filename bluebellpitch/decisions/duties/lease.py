"""Decides who holds a duty, by a lease in a topic of the store, with fencing tokens.

Each append ends with a lease record and holds only on condition of the topic's end: one that was
accepted shows that nothing else was appended since. Times are in seconds of this VM's clock, which
also runs while the VM is suspended.
"""

from dataclasses import dataclass, replace

from bluebellpitch.decisions.duties.held_lease import CALL_TIMEOUT_S
from bluebellpitch.decisions.store_era import StoreEra

MIN_LEASE_S = 4.0
RENEW_INTERVAL_S = 2.0
TOKENS_PER_ERA = 10**12
# JSON numbers are exact below this.
MAX_TOKEN = 2**53
NEVER = float("inf")
PAST = -NEVER


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as the store has it.

    ``holder`` is the key of a VM's process. Once it gave the lease back, ``free_in_s`` is how long
    its last calls may still take. ``recent_vms`` may have held the lease within the lease time
    before this record.
    """

    holder: str
    token: int
    free_in_s: float | None = None
    recent_vms: tuple[str, ...] = ()

    @property
    def vm(self) -> str:
        """Name of the VM on which the holder runs, whichever of its processes."""
        return name_vm(self.holder)


def name_vm(key: str) -> str:
    """Returns the VM's name in the key of one of its processes."""
    return key.rpartition("/")[0]


@dataclass(frozen=True, slots=True)
class LeaseReading:
    """The last lease record of a topic, None without any, and the topic's end."""

    record: LeaseRecord | None
    end_offset: int
    era: int | None
    read_at: float


@dataclass(frozen=True, slots=True)
class LeaseAppend:
    """A record to append on condition that the topic ends at offset ``at``, in ``era``."""

    record: LeaseRecord
    at: int
    era: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Term:
    """This process holds the lease until ``valid_until``, since it learned so at ``held_since``.

    ``end_offset`` is the topic's end after the last append of this process.
    """

    token: int
    era: int
    end_offset: int
    held_since: float
    valid_until: float
    renew_at: float
    recent_vms: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Observation:
    """The topic has ended with this record, unchanged, at least since ``since``."""

    record: LeaseRecord | None
    end_offset: int
    era: int
    since: float


@dataclass(frozen=True, slots=True)
class AnnouncedRecord:
    """A holder announced this record; it was in the store by ``since``."""

    token: int
    offset: int
    since: float


@dataclass(slots=True)
class LeaseState:
    """What this process knows of one lease: its own term, or whose lease has to run out.

    ``is_unresolved`` is set when this process may have acquired the lease without knowing.
    """

    holder: str
    lease_s: float
    store_era: StoreEra
    term: Term | None = None
    is_unresolved: bool = False
    _is_outdated: bool = False
    _observed: Observation | None = None
    _announced: AnnouncedRecord | None = None
    _highest_token: int = 0
    _read_since: float = NEVER
    # A term of an era that is over, which may go on in the new one while it is valid.
    _interrupted: Term | None = None

    def observe(self, reading: LeaseReading) -> bool:
        """Takes in what was read; returns whether it tells anything of the present."""
        era = self._present_era(reading.era)
        if era is None:
            return False
        self._is_outdated = self.is_unresolved = False
        self._read_since = min(self._read_since, reading.read_at)
        since = self._unchanged_since(reading, era)
        record = reading.record
        self._observed = Observation(record, reading.end_offset, era, since)
        if record is not None:
            self._highest_token = max(self._highest_token, record.token)
        self._compare_term(self._observed, reading.read_at)
        return True

    def observe_announcement(self, token: int, offset: int, now: float) -> bool:
        """Takes in an announcement; returns whether it is of the present holder."""
        if token < self._highest_token:
            return False
        self._highest_token = token
        if self.term is not None and self.term.token < token:
            self.term = None
        self._interrupted = None
        known = self._announced
        if known is None or (known.token, known.offset) != (token, offset):
            self._announced = AnnouncedRecord(token, offset, now)
        return True

    def next_append(self, now: float) -> LeaseAppend | None:
        """Returns the renewal or acquisition that is due now, None without one."""
        if self.needs_read():
            return None
        if self.term is None:
            return self._acquisition(now)
        return self.renewal(now) if now >= self.term.renew_at else None

    def renewal(self, now: float) -> LeaseAppend:
        """Returns a renewal, whether it is due or not. There must be a term."""
        return self._own_append(self.term, None, now)

    def release(self, free_in_s: float, now: float) -> LeaseAppend:
        """Returns the record that gives the lease back. There must be a term."""
        return self._own_append(self.term, free_in_s, now)

    def accept(self, append: LeaseAppend, offset: int, count: int, era: int | None, now: float):
        """Takes in that ``append``, with ``count`` records, lies at ``offset``.

        Returns whether it holds: an answer from another era shows only that the store came back
        from a copy, in which another VM's token may equal the one of the record.
        """
        if self._present_era(era) != append.era or offset != append.at:
            self._is_outdated = True
            return False
        self.is_unresolved = False
        record, end_offset = append.record, offset + count
        self._highest_token = max(self._highest_token, record.token)
        self._observed = Observation(record, end_offset, append.era, now)
        known, self._interrupted = self.term or self._resumable(append.sent_at), None
        if record.free_in_s is not None:
            self.term = None
            return True
        self.term = Term(
            token=record.token,
            era=append.era,
            end_offset=end_offset,
            held_since=known.held_since if known else now,
            valid_until=append.sent_at + self.lease_s,
            renew_at=append.sent_at + RENEW_INTERVAL_S,
            recent_vms=record.recent_vms,
        )
        return True

    def refuse(self) -> None:
        """Takes in that the topic ended elsewhere, so that the append had no effect."""
        self._is_outdated = True

    def lose_answer(self) -> None:
        """Takes in that an append may have taken effect, or may still do so."""
        self.is_unresolved = self.is_unresolved or self.term is None

    def invalidate_term(self) -> None:
        """Takes in that the record that gives the lease back may take effect at any moment.

        Only a renewal, which then lies at the offset of that record, makes the lease valid again.
        """
        self._is_outdated = True
        if self.term is not None:
            self.term = replace(self.term, valid_until=PAST)

    def needs_read(self) -> bool:
        """Returns whether only the store can tell who holds the lease.

        So it is after a refused append, and when the store came back from a copy.
        """
        position = self.term or self._observed
        is_past = position is not None and self._present_era(position.era) is None
        return is_past or self._is_outdated

    def takeover_at(self, now: float) -> float:
        """Returns from when on this VM may acquire the lease, if nothing changes until then."""
        seen = self._observed
        if seen is None:
            return NEVER
        if self._resumable(now) is not None:
            return seen.since
        record, whole_s = seen.record, self.lease_s + CALL_TIMEOUT_S
        if record is not None and not self._may_follow_at_once(record):
            return seen.since + whole_s
        # A copy may lack the record of a VM that still holds the lease.
        free_in_s = record.free_in_s if record else 0.0
        return max(seen.since + free_in_s, self._era_since() + whole_s)

    def _resumable(self, now: float) -> Term | None:
        """Returns the term that goes on after the store came back from a copy, if still valid.

        While it is, no other VM can have waited long enough to acquire the lease.
        """
        term = self._interrupted
        return term if term is not None and now < term.valid_until else None

    def _may_follow_at_once(self, record: LeaseRecord) -> bool:
        """Returns whether the lease was given back, and not in turns with this VM."""
        is_free = record.free_in_s is not None
        return is_free and name_vm(self.holder) not in (record.vm, *record.recent_vms)

    def _present_era(self, era: int | None) -> int | None:
        """Returns the era of an answer, None if it is past or cannot be told; 0 without eras."""
        known = self.store_era.number
        if known is None:
            return era or 0
        return None if era is None or era < known else era

    def _era_since(self) -> float:
        return self._read_since if self.store_era.number is None else self.store_era.known_since

    def _unchanged_since(self, reading: LeaseReading, era: int) -> float:
        seen, announced, record = self._observed, self._announced, reading.record
        if seen is not None and (seen.era, seen.end_offset) == (era, reading.end_offset):
            return seen.since
        if record is None or announced is None or record.token // TOKENS_PER_ERA != era:
            return reading.read_at
        is_same = (announced.token, announced.offset + 1) == (record.token, reading.end_offset)
        return announced.since if is_same else reading.read_at

    def _compare_term(self, seen: Observation, now: float) -> None:
        """Ends, resumes or begins the term of this process by what the store has."""
        record, term = seen.record, self.term
        is_own = record is not None and record.holder == self.holder
        is_held = is_own and record.free_in_s is None
        if not is_own and record is not None:
            self.term = self._interrupted = None
        elif term is not None and seen.era != term.era:
            self.term, self._interrupted = None, term
        elif term is not None:
            is_same = is_held and record.token == term.token
            renewable = replace(term, end_offset=seen.end_offset, renew_at=now)
            self.term = renewable if is_same else None
        elif is_held and self._is_present_token(record.token, seen.era):
            # The answer to the acquisition was lost. Only a renewal makes the lease valid.
            end = seen.end_offset
            self.term = Term(record.token, seen.era, end, now, PAST, now, record.recent_vms)

    def _is_present_token(self, token: int, era: int) -> bool:
        return token // TOKENS_PER_ERA == era and token >= self._highest_token

    def _acquisition(self, now: float) -> LeaseAppend | None:
        seen = self._observed
        if seen is None or now < self.takeover_at(now):
            return None
        token = seen.era * TOKENS_PER_ERA + seen.end_offset + 1
        if not self._highest_token < token < MAX_TOKEN or seen.end_offset + 1 >= TOKENS_PER_ERA:
            return None
        record = LeaseRecord(self.holder, token, None, self._predecessors(seen, now))
        return LeaseAppend(record, seen.end_offset, seen.era, now)

    def _predecessors(self, seen: Observation, now: float) -> tuple[str, ...]:
        """Returns the other VMs that may have held the lease within the lease time before now."""
        record, interrupted = seen.record, self._resumable(now)
        if interrupted is not None:
            return interrupted.recent_vms
        if record is None:
            return ()
        has_waited = now >= seen.since + self.lease_s + CALL_TIMEOUT_S
        vms = (record.vm,) if has_waited else (*record.recent_vms, record.vm)
        return tuple(vm for vm in dict.fromkeys(vms) if vm and vm != name_vm(self.holder))

    def _own_append(self, term: Term, free_in_s: float | None, now: float) -> LeaseAppend:
        has_held_long = now - term.held_since >= self.lease_s
        recent_vms = () if has_held_long else term.recent_vms
        record = LeaseRecord(self.holder, term.token, free_in_s, recent_vms)
        return LeaseAppend(record, term.end_offset, term.era, now)
