"""Requests engines from the generation brokers of this zone and reports the progress of work."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.logs import log
from bluebellpitch.peers.platform_messages import (
    EndpointLeaving,
    EndpointLimit,
    FirstTokenReport,
    HeldWork,
    HeldWorkReport,
    HeldWorkRequest,
    WorkEnded,
    WorkGranted,
    WorkQueued,
    WorkRefused,
    WorkRequest,
)
from bluebellpitch.verdicts import DidNotRun

# A broker in the same zone responds at once. One that does not is not selected again for a while.
FIRST_RESPONSE_TIMEOUT_S = 0.06
SILENT_BROKER_BACKOFF_S = 1.0
# Queued work is requested again when another VM becomes the broker; this is how often that is
# checked.
BROKER_RECHECK_INTERVAL_S = 0.2
# The broker of another zone confirms queued work again and again; without that, the work is taken
# back after this time.
CONFIRMATION_TIMEOUT_S = 1.0
EXPIRED_RETRY_AFTER_S = 0.01

BrokerResponse = WorkQueued | WorkGranted | WorkRefused
Send = Callable[[str, object], None]


@dataclass(frozen=True, slots=True)
class EngineGrant:
    """An engine granted for work, and the address of the broker that needs its progress reports."""

    work: WorkItem
    entry: EndpointEntry
    broker_address: str
    limit_per_s: float | None = None


@dataclass(slots=True)
class HeldGrant:
    """A grant until its release, and the addresses of all brokers that count it."""

    grant: EngineGrant
    broker_addresses: set[str]
    has_first_token: bool = False


@dataclass(frozen=True, slots=True)
class SpilloverWork:
    """Work at the broker of another zone; it comes home if nothing is heard by ``give_up_at``.

    ``is_queued`` is set once that broker has confirmed that it has the work; each further
    confirmation moves ``give_up_at``.
    """

    address: str
    give_up_at: float
    is_queued: bool


class GenerationBrokerClient:
    """Pending engine requests of this VM, and the engines granted to it.

    ``find_broker_vm`` returns the key of the VM that is the broker of a pool. ``named_limits``
    returns the limits that the engines of a pool in a zone named to this VM, by incarnation.
    """

    def __init__(
        self,
        vm_key: str,
        address: str,
        liveness: Liveness,
        find_broker_vm: Callable[[str], str],
        named_limits: Callable[[str, str], dict[tuple[str, int], float]],
        send: Send,
        send_to_address: Send,
        now: Callable[[], float],
    ):
        self._vm_key = vm_key
        self._address = address
        self._liveness = liveness
        self._find_broker_vm = find_broker_vm
        self._named_limits = named_limits
        self._send = send
        self._send_to_address = send_to_address
        self._now = now
        self._responses_by_work: dict[str, asyncio.Queue] = {}
        self._held_by_work: dict[str, HeldGrant] = {}
        self._spillover_by_work: dict[str, SpilloverWork] = {}
        self._last_broker_by_pool: dict[str, str] = {}

    async def acquire(self, work: WorkItem, avoid: frozenset[str]) -> EngineGrant | DidNotRun:
        """Requests an engine and returns the grant, or the reason why there is none."""
        responses: asyncio.Queue = asyncio.Queue()
        self._responses_by_work[work.id] = responses
        result: EngineGrant | DidNotRun | None = None
        try:
            result = await self._request_until_decided(work, avoid, responses)
            return result
        finally:
            del self._responses_by_work[work.id]
            spillover = self._spillover_by_work.pop(work.id, None)
            while not responses.empty():
                self.handle_response(responses.get_nowait())
            if result is None:
                ended = WorkEnded(work.id, work.pool, "withdrawn")
                self._send(self._find_broker_vm(work.pool), ended)
                if spillover is not None:
                    self._send_to_address(spillover.address, ended)

    async def _request_until_decided(
        self, work: WorkItem, avoid: frozenset[str], responses: asyncio.Queue
    ) -> EngineGrant | DidNotRun:
        broker_vm, timeout_s = "", FIRST_RESPONSE_TIMEOUT_S
        silent_zones: set[str] = set()
        while self._now() < work.expires_at:
            current_broker_vm = self._find_broker_vm(work.pool)
            if work.id not in self._spillover_by_work and current_broker_vm != broker_vm:
                broker_vm, timeout_s = current_broker_vm, FIRST_RESPONSE_TIMEOUT_S
                self._send_request(broker_vm, work, avoid, must_stay=bool(silent_zones))
            response = await next_response(responses, timeout_s)
            match response:
                case None:
                    broker_vm = self._handle_silence(work, broker_vm, timeout_s, silent_zones)
                case WorkGranted(broker_address=address) if address in silent_zones:
                    self._send_to_address(address, WorkEnded(work.id, work.pool, "withdrawn"))
                case WorkRefused(broker_address=address) if address in silent_zones:
                    pass
                case WorkQueued(spillover_to=address) if address in silent_zones:
                    pass
                case WorkQueued():
                    timeout_s = response.within_s or BROKER_RECHECK_INTERVAL_S
                    self._record_spillover(work, response)
                case WorkRefused(_, reason, retry_after_s):
                    return DidNotRun(reason, 503, retry_after_s)
                case WorkGranted():
                    entry = entry_from_grant(response, work.pool)
                    grant = EngineGrant(work, entry, response.broker_address, response.limit_per_s)
                    self._held_by_work[work.id] = HeldGrant(grant, {grant.broker_address})
                    return grant
        self._send(self._find_broker_vm(work.pool), WorkEnded(work.id, work.pool, "withdrawn"))
        return DidNotRun("waited_too_long", 503, EXPIRED_RETRY_AFTER_S)

    def _handle_silence(
        self, work: WorkItem, broker_vm: str, timeout_s: float, silent_zones: set[str]
    ) -> str:
        """Returns the broker that still has the work, or an empty string to request it again."""
        spillover = self._spillover_by_work.get(work.id)
        if spillover is not None:
            if self._now() < spillover.give_up_at:
                return broker_vm
            silent_zones.add(spillover.address)
            self._withdraw_spillover(work)
            return ""
        if timeout_s == BROKER_RECHECK_INTERVAL_S:
            return broker_vm
        log("WARNING", "broker_silent", broker=broker_vm, request=work.id)
        if broker_vm != self._vm_key:
            self._liveness.exclude(broker_vm, self._now() + SILENT_BROKER_BACKOFF_S)
        return ""

    def _record_spillover(self, work: WorkItem, queued: WorkQueued) -> None:
        """Records that another zone got the work, or (``within_s`` 0) that it queued it."""
        if not queued.spillover_to:
            return
        known = self._spillover_by_work.get(work.id)
        is_queued = queued.within_s == 0
        if known is not None and known.is_queued and not is_queued:
            return
        give_up_at = self._now() + (CONFIRMATION_TIMEOUT_S if is_queued else queued.within_s)
        self._spillover_by_work[work.id] = SpilloverWork(queued.spillover_to, give_up_at, is_queued)

    def _withdraw_spillover(self, work: WorkItem) -> None:
        spillover = self._spillover_by_work.pop(work.id)
        log("WARNING", "spillover_unanswered", request=work.id, to=spillover.address)
        ended = WorkEnded(work.id, work.pool, "withdrawn")
        self._send_to_address(spillover.address, ended)

    def _report_to_new_broker(self, broker_vm: str, pool: str) -> None:
        """Tells a VM that now brokers a pool what this VM has at the engines of the zone."""
        if self._last_broker_by_pool.get(pool) == broker_vm:
            return
        self._last_broker_by_pool[pool] = broker_vm
        peer = self._liveness.peers_by_key.get(broker_vm)
        address = self._address if broker_vm == self._vm_key else peer and peer.address
        if address:
            self.report_held_work(HeldWorkRequest(pool, self._liveness.zone, address))

    def report_held_work(self, request: HeldWorkRequest) -> None:
        """Reports what this VM has at the engines of a zone; its end is reported there too."""
        now = self._now()
        held_grants = [
            held
            for held in self._held_by_work.values()
            if held.grant.entry.pool == request.pool and held.grant.entry.zone == request.zone
        ]
        for held in held_grants:
            held.broker_addresses.add(request.reply_to)
        self._report_limits(request)
        if held_grants:
            works = tuple(describe_held_work(held, now) for held in held_grants)
            report = HeldWorkReport(request.pool, self._vm_key, works)
            self._send_to_address(request.reply_to, report)

    def _report_limits(self, request: HeldWorkRequest) -> None:
        limits = self._named_limits(request.pool, request.zone)
        for (endpoint_id, started_ms), limit_per_s in limits.items():
            limit = EndpointLimit(request.pool, endpoint_id, started_ms, limit_per_s)
            self._send_to_address(request.reply_to, limit)

    def _send_request(
        self, broker_vm: str, work: WorkItem, avoid: frozenset[str], must_stay: bool
    ) -> None:
        self._report_to_new_broker(broker_vm, work.pool)
        now = self._now()
        request = WorkRequest(
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
            vm=self._vm_key,
            reply_to=self._address,
            member=work.member,
            must_stay=must_stay,
        )
        self._send(broker_vm, request)

    def report_first_token(self, grant: EngineGrant, waited_s: float, slowdown: float) -> None:
        """Reports to its brokers that the first token has arrived."""
        message = FirstTokenReport(grant.work.id, grant.work.pool, waited_s, slowdown)
        if (held := self._held_by_work.get(grant.work.id)) is not None:
            held.has_first_token = True
        self._send_to_brokers(grant, held, message)

    def report_limit(self, grant: EngineGrant, limit_per_s: float | None) -> None:
        """Tells the engine's brokers what it named; nothing if neither side knows of a limit."""
        if limit_per_s is None and grant.limit_per_s is None:
            return
        entry = grant.entry
        message = EndpointLimit(entry.pool, entry.id, entry.started_ms, limit_per_s)
        self._send_to_brokers(grant, self._held_by_work.get(grant.work.id), message)

    def report_leaving(self, grant: EngineGrant) -> None:
        """Tells the engine's brokers that it said that it leaves."""
        entry = grant.entry
        message = EndpointLeaving(entry.pool, entry.id, entry.started_ms, entry.address, entry.zone)
        self._send_to_brokers(grant, self._held_by_work.get(grant.work.id), message)

    def _send_to_brokers(self, grant: EngineGrant, held: HeldGrant | None, message) -> None:
        for address in held.broker_addresses if held else {grant.broker_address}:
            self._send_to_address(address, message)

    def release(self, grant: EngineGrant, outcome: str, longest_gap_s: float) -> None:
        """Reports to its brokers that the engine no longer runs the work."""
        message = WorkEnded(grant.work.id, grant.work.pool, outcome, longest_gap_s)
        self._send_to_brokers(grant, self._held_by_work.pop(grant.work.id, None), message)

    def handle_response(self, response: BrokerResponse) -> None:
        """Passes a response to its request; returns a grant whose request no longer waits."""
        responses = self._responses_by_work.get(response.work_id)
        if responses is not None:
            responses.put_nowait(response)
        elif isinstance(response, WorkGranted):
            self._return_grant(response)

    def _return_grant(self, granted: WorkGranted) -> None:
        """Returns an unused grant; tells its broker again which one is used, if that is its own.

        A broker counts only the last grant of a work. Without the report, it would count the engine
        that runs the work as idle.
        """
        address = granted.broker_address
        self._send_to_address(address, WorkEnded(granted.work_id, granted.pool, "withdrawn"))
        held = self._held_by_work.get(granted.work_id)
        if held is not None and address in held.broker_addresses:
            works = (describe_held_work(held, self._now()),)
            self._send_to_address(address, HeldWorkReport(granted.pool, self._vm_key, works))


async def next_response(responses: asyncio.Queue, timeout_s: float) -> BrokerResponse | None:
    """Returns the next response, or None after the timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            return await responses.get()
    except TimeoutError:
        return None


def describe_held_work(held: HeldGrant, now: float) -> HeldWork:
    """Returns the description of granted work for a broker that did not grant it."""
    work, entry = held.grant.work, held.grant.entry
    return HeldWork(
        work.id,
        entry.id,
        entry.started_ms,
        work.rank,
        work.tokens_in,
        work.tokens_out,
        work.parts,
        work.gap_target_s,
        work.expires_at - now,
        held.has_first_token,
        work.member,
    )


def entry_from_grant(granted: WorkGranted, pool: str) -> EndpointEntry:
    """Returns the entry of the endpoint that a broker granted."""
    return EndpointEntry(
        granted.endpoint_id, pool, granted.address, granted.zone, 0, False, granted.started_ms
    )
