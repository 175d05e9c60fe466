"""Asks the broker of this zone for engines, and tells brokers how the work goes on."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.decisions.loads import Work
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
FIRST_RESPONSE_TIMEOUT_S = 0.06
SILENT_BROKER_BACKOFF_S = 1.0
# Work that waits is asked for again when the broker has changed; checked this often.
BROKER_RECHECK_INTERVAL_S = 0.2
EXPIRED_RETRY_AFTER_S = 0.01

BrokerResponse = WorkQueued | WorkGranted | WorkRefused
Send = Callable[[str, object], None]


@dataclass(frozen=True, slots=True)
class EngineGrant:
    """An engine for work, and the broker that has to be told how it goes on."""

    work: Work
    entry: EndpointEntry
    broker_address: str


class BrokerClient:
    """The questions that this VM has asked. ``holder`` names the broker of a pool."""

    def __init__(
        self,
        vm_key: str,
        address: str,
        liveness: Liveness,
        find_broker: Callable[[str], str],
        send: Send,
        send_to_address: Send,
        now: Callable[[], float],
    ):
        self._vm_key = vm_key
        self._address = address
        self._liveness = liveness
        self._find_broker = find_broker
        self._send = send
        self._send_to_address = send_to_address
        self._now = now
        self._responses_by_work: dict[str, asyncio.Queue] = {}

    async def acquire(self, work: Work, avoid: frozenset[str]) -> EngineGrant | DidNotRun:
        """Returns an engine for work, or the reason why there is none."""
        answers: asyncio.Queue = asyncio.Queue()
        self._responses_by_work[work.id] = answers
        found: EngineGrant | DidNotRun | None = None
        try:
            found = await self._request_until_decided(work, avoid, answers)
            return found
        finally:
            del self._responses_by_work[work.id]
            while not answers.empty():
                self.handle_response(answers.get_nowait())
            if found is None:
                self._send(self._find_broker(work.pool), WorkDone(work.id, work.pool, "withdrawn"))

    async def _request_until_decided(
        self, work: Work, avoid: frozenset[str], answers: asyncio.Queue
    ) -> EngineGrant | DidNotRun:
        broker, patience_s = "", FIRST_RESPONSE_TIMEOUT_S
        while self._now() < work.expires_at:
            holder = self._find_broker(work.pool)
            if holder != broker:
                broker, patience_s = holder, FIRST_RESPONSE_TIMEOUT_S
                self._send_request(broker, work, avoid)
            answer = await next_response(answers, patience_s)
            match answer:
                case None if patience_s != BROKER_RECHECK_INTERVAL_S:
                    log("WARNING", "broker_silent", broker=broker, request=work.id)
                    if broker != self._vm_key:
                        self._liveness.shun(broker, self._now() + SILENT_BROKER_BACKOFF_S)
                    broker = ""
                case WorkQueued(_, within_s):
                    patience_s = within_s or BROKER_RECHECK_INTERVAL_S
                case WorkRefused(_, reason, retry_after_s):
                    return DidNotRun(reason, 503, retry_after_s)
                case WorkGranted():
                    return EngineGrant(
                        work, entry_from_grant(answer, work.pool), answer.broker_address
                    )
        self._send(self._find_broker(work.pool), WorkDone(work.id, work.pool, "withdrawn"))
        return DidNotRun("waited_too_long", 503, EXPIRED_RETRY_AFTER_S)

    def _send_request(self, broker: str, work: Work, avoid: frozenset[str]) -> None:
        now = self._now()
        ask = WorkAsked(
            work_id=work.id,
            pool=work.pool,
            rank=work.rank,
            tokens_in=work.tokens_in,
            tokens_out=work.tokens_out,
            parts=work.parts,
            target_s=work.target_s,
            gap_s=work.gap_s,
            age_s=now - work.arrived_at,
            left_s=work.expires_at - now,
            avoid=tuple(avoid),
            vm=self._vm_key,
            reply_to=self._address,
        )
        self._send(broker, ask)

    def report_first_token(self, grant: EngineGrant, waited_s: float, slowdown: float) -> None:
        """Tells the broker that the first token came."""
        message = WorkRead(grant.work.id, grant.work.pool, waited_s, slowdown)
        self._send_to_address(grant.broker_address, message)

    def release(self, grant: EngineGrant, outcome: str, longest_gap_s: float) -> None:
        """Tells the broker that the work has left the engine."""
        message = WorkDone(grant.work.id, grant.work.pool, outcome, longest_gap_s)
        self._send_to_address(grant.broker_address, message)

    def handle_response(self, answer: BrokerResponse) -> None:
        """Takes an answer; a grant that nobody waits for any more is given back."""
        answers = self._responses_by_work.get(answer.work_id)
        if answers is not None:
            answers.put_nowait(answer)
        elif isinstance(answer, WorkGranted):
            done = WorkDone(answer.work_id, answer.pool, "withdrawn")
            self._send_to_address(answer.broker_address, done)


async def next_response(answers: asyncio.Queue, patience_s: float) -> BrokerResponse | None:
    """Returns the next answer, or None when none comes in time."""
    try:
        async with asyncio.timeout(patience_s):
            return await answers.get()
    except TimeoutError:
        return None


def entry_from_grant(granted: WorkGranted, pool: str) -> EndpointEntry:
    """Returns the endpoint that a broker named."""
    return EndpointEntry(
        granted.endpoint_id, pool, granted.address, granted.zone, 0, False, granted.started_ms
    )
