"""Shares what crashed and what survived between entry VMs, and stops prompts that crash endpoints.

A crash is told to all VMs at once. What one of them missed, because it started, slept or was cut
off, reaches it through ``CrashEvidenceUpdate`` messages that VMs with recent evidence send to a few
others, and that a VM asks for when it may have missed some.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from bluebellpitch.decisions.crash_evidence import (
    EVIDENCE_TTL_S,
    REFUSAL_S,
    SURVIVAL_S,
    CrashEvidence,
    DeadlyParts,
    SuspectRun,
)
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.platform_messages import (
    CrashEvidenceRequest,
    CrashEvidenceUpdate,
    EndpointCrash,
)

TICK_S = 0.25
ROUND_EVERY_TICKS = 4
# How often evidence is passed on, for some time after a crash and later.
GOSSIP_INTERVAL_S = 0.9
RECENT_CRASH_S = 20.0
LATE_GOSSIP_INTERVAL_S = 4.0
# Of the VMs that are new here, how many are asked for all their evidence.
MAX_ASKED = 3
# A tick that comes this late means that the VM was suspended.
SUSPENDED_AFTER_S = 1.5
MAX_SURVIVED_PARTS = 4_096


class CrashTracker:
    """Owns the evidence. ``peers`` returns the bus addresses of all other VMs that are known.

    ``near_peers`` returns those that are heard. ``introduce`` takes the address of a VM that may be
    unknown here. ``now`` returns seconds of a clock that also runs while the VM is suspended.
    """

    def __init__(
        self,
        address: str,
        peers: Callable[[], list[str]],
        near_peers: Callable[[], list[str]],
        introduce: Callable[[str], None],
        send: Callable[[str, CrashEvidenceUpdate | CrashEvidenceRequest], None],
        metrics: Metrics,
        now: Callable[[], float],
    ):
        self.evidence = CrashEvidence()
        self._address = address
        self._peers = peers
        self._near_peers = near_peers
        self._introduce = introduce
        self._send = send
        self._metrics = metrics
        self._now = now
        self._survived_at_by_part: dict[str, float] = {}
        self._watches: dict[asyncio.Future, frozenset[str]] = {}
        self._announced: set[frozenset[str]] = set()
        self._asked: set[str] = set()
        self._next_gossip_at = float("-inf")

    def find_deadly(self, parts: Iterable[str]) -> DeadlyParts | None:
        """Returns why a prompt of these parts must not run, or None."""
        return self.evidence.find_deadly(parts, self._now())

    @contextmanager
    def watch(self, parts: Iterable[str]) -> Iterator[asyncio.Future]:
        """Yields a future that is done as soon as a prompt of these parts is known to be deadly."""
        future = asyncio.get_running_loop().create_future()
        self._watches[future] = frozenset(parts)
        try:
            yield future
        finally:
            del self._watches[future]
            future.cancel()

    def record_survival(self, parts: Iterable[str], began_at: float) -> None:
        """Records that a run survived, which began at ``began_at`` with its first event."""
        survived = self._survived_at_by_part
        for part in parts:
            survived[part] = max(began_at, survived.pop(part, began_at))
        while len(survived) > MAX_SURVIVED_PARTS:
            del survived[next(iter(survived))]

    def record_crash(
        self, incarnation: str, lost_at: float, suspects: tuple[SuspectRun, ...]
    ) -> None:
        """Records a crash seen here and tells all VMs."""
        self._metrics.endpoint_crashes.inc()
        if self.evidence.record_crash(incarnation, lost_at, suspects):
            crash = EndpointCrash(incarnation, self._now() - lost_at, to_pairs(suspects), ())
            self._broadcast(CrashEvidenceUpdate((crash,), ()))
            self._apply_verdicts()

    def handle_message(self, message: CrashEvidenceUpdate | CrashEvidenceRequest) -> None:
        """Handles a message from a peer."""
        match message:
            case CrashEvidenceUpdate(crashes, known_parts):
                self._merge(crashes, known_parts)
            case CrashEvidenceRequest(reply_to, wants_reply):
                self._introduce(reply_to)
                if wants_reply and self.evidence.crashes_by_incarnation:
                    self.tell(reply_to)

    def _merge(self, crashes: tuple[EndpointCrash, ...], known_parts: tuple[str, ...]) -> None:
        now, is_new = self._now(), False
        for crash in crashes:
            if crash.age_s >= EVIDENCE_TTL_S:
                continue
            suspects = (SuspectRun(request, parts) for request, parts in crash.suspects)
            is_new |= self.evidence.record_crash(
                crash.incarnation, now - crash.age_s, suspects, crash.cleared_parts
            )
        is_new |= self.evidence.record_known(known_parts)
        if is_new:
            self._apply_verdicts()

    def tell(self, address: str) -> None:
        """Sends all evidence to a VM."""
        now = self._now()
        crashes = tuple(
            EndpointCrash(
                incarnation,
                now - crash.at,
                to_pairs(crash.suspects_by_request.values()),
                tuple(crash.cleared_parts),
            )
            for incarnation, crash in self.evidence.crashes_by_incarnation.items()
        )
        self._send(address, CrashEvidenceUpdate(crashes, tuple(self.evidence.known_parts)))

    def _broadcast(self, message: CrashEvidenceUpdate) -> None:
        for address in self._peers():
            self._send(address, message)

    def _apply_verdicts(self) -> None:
        """Logs what has changed, and stops requests that are waiting or being read."""
        now = self._now()
        verdicts = {deadly.parts: deadly for deadly in self.evidence.deadly_parts(now)}
        for parts in verdicts.keys() - self._announced:
            deadly = verdicts[parts]
            crashes = self.evidence.crashes_by_incarnation
            log(
                "WARNING",
                "deadly_parts",
                parts=",".join(sorted(parts)),
                crashes=",".join(sorted(deadly.crashes)),
                last_crash_age_ms=round(
                    (now - max(crashes[key].at for key in deadly.crashes)) * 1000
                ),
                left_s=f"{deadly.ends_at - now:.0f}",
            )
        for parts in self._announced - verdicts.keys():
            log("INFO", "deadly_parts_cleared", parts=",".join(sorted(parts)))
        self._announced = {*verdicts}
        self._metrics.deadly_parts.set(len(verdicts))
        for future, held in self._watches.items():
            if not future.done() and any(parts <= held for parts in verdicts):
                future.set_result(None)

    async def run(self) -> None:
        """Shares evidence and forgets what is too old, until cancelled."""
        tick, last_at = 0, self._now()
        while True:
            await asyncio.sleep(TICK_S)
            now = self._now()
            if now - last_at > SUSPENDED_AFTER_S:
                self._asked.clear()
            tick, last_at = tick + 1, now
            self._tell_survivals()
            if tick % ROUND_EVERY_TICKS == 0:
                self.evidence.expire(now)
                self._apply_verdicts()
                self._ask_peers()
                self._gossip(now)

    def _tell_survivals(self) -> None:
        """Tells all VMs which suspected parts survived here, before their crashes or after."""
        if not self.evidence.crashes_by_incarnation:
            return
        now, told = self._now(), []
        known = self._survived_at_by_part.keys() & self.evidence.suspected_parts()
        known -= self.evidence.known_parts
        for incarnation, crash in self.evidence.crashes_by_incarnation.items():
            cleared = tuple(
                part
                for part in crash.suspected_parts()
                if self._survived_at_by_part.get(part, crash.at) > crash.at
            )
            if cleared:
                told.append(EndpointCrash(incarnation, now - crash.at, (), cleared))
        for crash in told:
            self.evidence.record_crash(crash.incarnation, now, (), crash.cleared_parts)
        if told or known:
            self.evidence.record_known(known)
            self._broadcast(CrashEvidenceUpdate(tuple(told), tuple(known)))
            self._apply_verdicts()

    def _ask_peers(self) -> None:
        """Introduces this VM to each that is new here, and asks a few of them for evidence."""
        new = [address for address in self._peers() if address not in self._asked]
        asked = {*random.sample(new, min(MAX_ASKED, len(new)))}
        for address in new:
            self._send(address, CrashEvidenceRequest(self._address, address in asked))
        self._asked.update(new)

    def _gossip(self, now: float) -> None:
        """Sends recent evidence to a VM that is heard, and to any other."""
        newest_at = max((c.at for c in self.evidence.crashes_by_incarnation.values()), default=None)
        if newest_at is None or now - newest_at >= REFUSAL_S or now < self._next_gossip_at:
            return
        is_recent = now - newest_at < RECENT_CRASH_S
        self._next_gossip_at = now + (GOSSIP_INTERVAL_S if is_recent else LATE_GOSSIP_INTERVAL_S)
        targets = {random.choice(group) for group in (self._near_peers(), self._peers()) if group}
        for address in targets:
            self.tell(address)


def to_pairs(suspects: Iterable[SuspectRun]) -> tuple[tuple[str, tuple[str, ...]], ...]:
    """Returns lost runs as their message has them."""
    return tuple((run.request_id, run.parts) for run in suspects)


def has_survived(began_at: float, now: float) -> bool:
    """Returns whether a run has lasted long enough after its first event, at ``began_at``."""
    return now - began_at >= SURVIVAL_S
