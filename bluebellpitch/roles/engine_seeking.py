"""Asks the broker of this zone for engines, and tells brokers how the work goes on."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.logs import log
from bluebellpitch.peers.entry_messages import (
    WorkAsked,
    WorkDone,
    WorkGranted,
    WorkQueued,
    WorkRead,
    WorkRefused,
)
from bluebellpitch.verdicts import DidNotRun

# A broker in the zone answers at once; one that does not is passed over for a while.
FIRST_ANSWER_S = 0.06
SHUNNED_S = 1.0
# Work that waits is asked for again when the broker has changed; checked this often.
BROKER_CHECK_S = 0.2
SHORT_RETRY_S = 0.01

Answer = WorkQueued | WorkGranted | WorkRefused
Send = Callable[[str, object], None]


@dataclass(frozen=True, slots=True)
class Grant:
    """An engine for work, and the broker that has to be told how it goes on."""

    work: WorkItem
    entry: EndpointEntry
    broker_address: str


class EngineSeeker:
    """The questions that this VM has asked. ``holder`` names the broker of a pool."""

    def __init__(
        self,
        key: str,
        address: str,
        liveness: Liveness,
        holder: Callable[[str], str],
        send: Send,
        send_to_address: Send,
        now: Callable[[], float],
    ):
        self._key = key
        self._address = address
        self._liveness = liveness
        self._holder = holder
        self._send = send
        self._send_to_address = send_to_address
        self._now = now
        self._answers_by_work: dict[str, asyncio.Queue] = {}

    async def seek(self, work: WorkItem, avoid: frozenset[str]) -> Grant | DidNotRun:
        """Returns an engine for work, or the reason why there is none."""
        answers: asyncio.Queue = asyncio.Queue()
        self._answers_by_work[work.id] = answers
        found: Grant | DidNotRun | None = None
        try:
            found = await self._ask_until_answered(work, avoid, answers)
            return found
        finally:
            del self._answers_by_work[work.id]
            while not answers.empty():
                self.take(answers.get_nowait())
            if found is None:
                self._send(self._holder(work.pool), WorkDone(work.id, work.pool, "withdrawn"))

    async def _ask_until_answered(
        self, work: WorkItem, avoid: frozenset[str], answers: asyncio.Queue
    ) -> Grant | DidNotRun:
        broker, patience_s = "", FIRST_ANSWER_S
        while self._now() < work.expires_at:
            holder = self._holder(work.pool)
            if holder != broker:
                broker, patience_s = holder, FIRST_ANSWER_S
                self._ask(broker, work, avoid)
            answer = await next_answer(answers, patience_s)
            match answer:
                case None if patience_s != BROKER_CHECK_S:
                    log("WARNING", "broker_silent", broker=broker, request=work.id)
                    if broker != self._key:
                        self._liveness.exclude(broker, self._now() + SHUNNED_S)
                    broker = ""
                case WorkQueued(_, within_s):
                    patience_s = within_s or BROKER_CHECK_S
                case WorkRefused(_, reason, retry_after_s):
                    return DidNotRun(reason, 503, retry_after_s)
                case WorkGranted():
                    return Grant(work, entry_of(answer, work.pool), answer.broker_address)
        self._send(self._holder(work.pool), WorkDone(work.id, work.pool, "withdrawn"))
        return DidNotRun("waited_too_long", 503, SHORT_RETRY_S)

    def _ask(self, broker: str, work: WorkItem, avoid: frozenset[str]) -> None:
        now = self._now()
        ask = WorkAsked(
            work_id=work.id,
            pool=work.pool,
            rank=work.rank,
            tokens_in=work.tokens_in,
            tokens_out=work.tokens_out,
            parts=work.parts,
            target_s=work.target_s,
            gap_s=work.gap_target_s,
            age_s=now - work.arrived_at,
            left_s=work.expires_at - now,
            avoid=tuple(avoid),
            vm=self._key,
            reply_to=self._address,
        )
        self._send(broker, ask)

    def note_read(self, grant: Grant, waited_s: float, slowdown: float) -> None:
        """Tells the broker that the first token came."""
        message = WorkRead(grant.work.id, grant.work.pool, waited_s, slowdown)
        self._send_to_address(grant.broker_address, message)

    def release(self, grant: Grant, outcome: str, longest_gap_s: float) -> None:
        """Tells the broker that the work has left the engine."""
        message = WorkDone(grant.work.id, grant.work.pool, outcome, longest_gap_s)
        self._send_to_address(grant.broker_address, message)

    def take(self, answer: Answer) -> None:
        """Takes an answer; a grant that nobody waits for any more is given back."""
        answers = self._answers_by_work.get(answer.work_id)
        if answers is not None:
            answers.put_nowait(answer)
        elif isinstance(answer, WorkGranted):
            done = WorkDone(answer.work_id, answer.pool, "withdrawn")
            self._send_to_address(answer.broker_address, done)


async def next_answer(answers: asyncio.Queue, patience_s: float) -> Answer | None:
    """Returns the next answer, or None when none comes in time."""
    try:
        async with asyncio.timeout(patience_s):
            return await answers.get()
    except TimeoutError:
        return None


def entry_of(granted: WorkGranted, pool: str) -> EndpointEntry:
    """Returns the endpoint that a broker named."""
    return EndpointEntry(
        granted.endpoint_id, pool, granted.address, granted.zone, 0, False, granted.started_ms
    )
