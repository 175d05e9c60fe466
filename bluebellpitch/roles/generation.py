"""Brokers generations among the engines of this zone, and asks brokers for this VM's own."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from bluebellpitch.decisions import generation_decisions
from bluebellpitch.decisions.catalogue import Catalogue
from bluebellpitch.decisions.directory import EndpointDirectory
from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.liveness import Liveness
from bluebellpitch.decisions.loads import WorkItem, session_of
from bluebellpitch.decisions.remote_zones import RemoteZone
from bluebellpitch.logs import log
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.entry_messages import (
    WorkAsked,
    WorkDone,
    WorkGranted,
    WorkQueued,
    WorkRead,
    WorkRefused,
    ZoneLoad,
)
from bluebellpitch.roles.engine_seeking import EngineSeeker

TICK_S = 0.01
LOAD_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 0.5
LOAD_BELIEVED_S = 0.6
EXPIRY_INTERVAL_S = 1.0
PASSED_ON_ANSWER_S = 0.4
# Other zones get work when they would start it sooner by this much, the way there included.
ELSEWHERE_GAIN_S = 0.06
ELSEWHERE_DELAY_S = 0.12
OWN_WAIT_TOLERATED_S = 0.08


class GenerationRole:
    """The brokers that this VM holds, and the questions that it has asked."""

    def __init__(
        self,
        key: str,
        address: str,
        zone: str,
        bus: PeerBus,
        liveness: Liveness,
        directory: EndpointDirectory,
        catalogue: Callable[[], Catalogue | None],
        elsewhere: Callable[[str], list[str]],
        zones: Iterable[str],
        now: Callable[[], float],
        is_draining: Callable[[], bool],
    ):
        self._key = key
        self._address = address
        self._zone = zone
        self._bus = bus
        self._liveness = liveness
        self._directory = directory
        self._catalogue = catalogue
        self._elsewhere = elsewhere
        self._other_zones = tuple(other for other in zones if other != zone)
        self._now = now
        self._is_draining = is_draining
        self._brokers_by_pool: dict[str, GenerationBroker] = {}
        self._asks_by_work: dict[str, WorkAsked] = {}
        self.seeker = EngineSeeker(
            key, address, liveness, self._holder, self._send, self._send_to_address, now
        )
        self._others: dict[tuple[str, str], RemoteZone] = {}
        self._load_turn = 0
        self._sessions_by_pool: dict[str, list[str]] = {}
        self._wake = asyncio.Event()

    def _holder(self, pool: str) -> str:
        return self._liveness.role_holder(pool, self._now(), self._is_draining())

    def is_broker(self) -> bool:
        """Tells whether this VM brokers a pool of engines."""
        catalogue = self._catalogue()
        rows = catalogue.pools_by_name.items() if catalogue else ()
        return any(row.engine and self._holder(pool) == self._key for pool, row in rows)

    def _send(self, vm: str, message) -> None:
        if vm == self._key:
            self.take(vm, message)
        else:
            self._bus.send(vm, message)

    def _send_to_address(self, address: str, message) -> None:
        if address == self._address:
            self.take(self._key, message)
        else:
            self._bus.send_to_address(address, message)

    def take(self, sender: str, message) -> None:
        """Takes a message of an asker or of a broker."""
        match message:
            case WorkQueued() | WorkGranted() | WorkRefused():
                self.seeker.take(message)
            case WorkAsked():
                self._take_ask(message)
            case WorkRead(work_id, pool, waited_s, slowdown):
                broker = self._broker(pool)
                broker.record_first_token(work_id, waited_s, slowdown, self._now())
                self._serve(broker)
            case WorkDone(work_id, pool, outcome, longest_gap_s):
                broker = self._broker(pool)
                broker.finish(work_id, outcome, self._now(), longest_gap_s)
                self._serve(broker)
            case ZoneLoad():
                self._take_load(message)
                self._pass_load_on(sender, message)

    def _take_load(self, load: ZoneLoad) -> None:
        now = self._now()
        known = self._others.get((load.pool, load.zone))
        sessions = known.session_seen_at if known else {}
        sessions |= dict.fromkeys(load.sessions, now)
        self._others[(load.pool, load.zone)] = RemoteZone(
            load.long_fixed_s,
            load.long_s_per_token,
            load.short_cost_s,
            load.queue_s_per_token,
            load.reply_to,
            now,
            sessions,
        )

    def _broker(self, pool: str) -> GenerationBroker:
        if pool not in self._brokers_by_pool:
            self._brokers_by_pool[pool] = GenerationBroker(pool)
        broker = self._brokers_by_pool[pool]
        self._refresh(broker)
        return broker

    def _refresh(self, broker: GenerationBroker) -> None:
        catalogue = self._catalogue()
        row = catalogue.pools_by_name.get(broker.pool) if catalogue else None
        if row is None or row.engine is None:
            return
        entries = (e for e in self._directory.usable_endpoints(broker.pool) if e.zone == self._zone)
        gap_s = catalogue.gap_targets_by_pool.get(broker.pool)
        broker.set_engines(entries, row.engine.slots, row.engine.kv_capacity_tokens, gap_s)

    def _take_ask(self, ask: WorkAsked) -> None:
        now = self._now()
        broker = self._broker(ask.pool)
        work = work_of(ask, now)
        if self._pass_on(broker, work, ask, now):
            return
        self._asks_by_work[work.id] = ask
        self._tell(broker.submit(work, ask.vm, frozenset(ask.avoid), now))
        if broker.waiting_by_id:
            self._wake.set()

    def _pass_on(
        self, broker: GenerationBroker, work: WorkItem, ask: WorkAsked, now: float
    ) -> bool:
        """Sends work to another zone if it would start sooner there."""
        if ask.is_passed_on:
            return False
        avoid = frozenset(ask.avoid)
        if broker.is_short_prompt(work):
            own_s = broker.short_prompt_cost_s(now)
            other = self._better_zone(work.pool, own_s, lambda other: other.short_cost_s, now)
        else:
            own_s = broker.long_prompt_cost_s(work, avoid, now)
            again_s = broker.cache_miss_cost_s(work)

            def cost(other: RemoteZone) -> float:
                unread = (
                    broker.unshared_tokens(work) if other.has_cached(work, now) else work.tokens_in
                )
                reread_s = 0.0 if other.has_cached(work, now) else again_s
                return other.long_fixed_s + unread * other.long_s_per_token + reread_s

            other = self._better_zone(work.pool, own_s, cost, now)
        if other is None:
            return False
        log("INFO", "passed_on", request=work.id, own_ms=f"{own_s * 1000:.0f}", to=other.address)
        self._send_to_address(ask.reply_to, WorkQueued(work.id, PASSED_ON_ANSWER_S))
        passed_on = msgspec.structs.replace(
            ask, is_passed_on=True, age_s=now - work.arrived_at, left_s=work.expires_at - now
        )
        self._bus.send_to_address(other.address, passed_on)
        other.record_forwarded(work.tokens_in)
        return True

    def _better_zone(self, pool: str, own_s: float, cost, now: float) -> RemoteZone | None:
        if own_s <= OWN_WAIT_TOLERATED_S:
            return None
        others = [
            other
            for (other_pool, _), other in self._others.items()
            if other_pool == pool and now - other.reported_at < LOAD_BELIEVED_S
        ]
        best = min(others, key=cost, default=None)
        if best is None or cost(best) + ELSEWHERE_DELAY_S + ELSEWHERE_GAIN_S >= own_s:
            return None
        return best

    def _serve(self, broker: GenerationBroker) -> None:
        if broker.waiting_by_id:
            self._tell(broker.schedule(self._now()))

    def _tell(self, decisions) -> None:
        for decision in decisions:
            ask = self._asks_by_work.get(decision.work_id)
            address = ask.reply_to if ask else ""
            match decision:
                case generation_decisions.Granted(work_id, _, entry):
                    self._note_session(ask)
                    log("INFO", "granted", request=work_id, endpoint=entry.id, **decision.inputs)
                    answer = WorkGranted(
                        work_id,
                        ask.pool if ask else "",
                        entry.id,
                        entry.address,
                        entry.zone,
                        entry.started_ms,
                        self._address,
                    )
                case generation_decisions.Refused(work_id, _, reason, retry_after_s):
                    log("INFO", "refused", request=work_id, reason=reason, **decision.inputs)
                    answer = WorkRefused(work_id, reason, retry_after_s)
                case generation_decisions.Queued(work_id):
                    answer = WorkQueued(work_id, 0.0)
            if not isinstance(decision, generation_decisions.Queued):
                self._asks_by_work.pop(decision.work_id, None)
            if address:
                self._send_to_address(address, answer)

    def _note_session(self, ask: WorkAsked | None) -> None:
        """Keeps the session of a long prompt, to be told to other zones."""
        session = session_of(ask.parts) if ask else ""
        if session and not self._brokers_by_pool[ask.pool].is_short_length(ask.tokens_in):
            self._sessions_by_pool.setdefault(ask.pool, []).append(session)

    def forget_vm(self, vm: str) -> None:
        """Forgets the work of a VM that is gone."""
        for broker in self._brokers_by_pool.values():
            broker.remove_vm(vm)

    async def run(self) -> None:
        """Serves queues as time passes, and tells other zones of the load here."""
        next_load = next_expiry = self._now()
        while True:
            await self._pause()
            now = self._now()
            for broker in self._brokers_by_pool.values():
                if broker.waiting_by_id:
                    self._refresh(broker)
                    self._serve(broker)
                    self._pass_on_waiting(broker, now)
            if now >= next_load:
                next_load = now + LOAD_INTERVAL_S
                self._tell_load(now)
            if now >= next_expiry:
                next_expiry = now + EXPIRY_INTERVAL_S
                self._expire(now)

    def _pass_on_waiting(self, broker: GenerationBroker, now: float) -> None:
        """Sends the last in the queue to another zone if it would start sooner there."""
        waiting = max(broker.waiting_by_id.values(), key=lambda w: w.work.arrived_at, default=None)
        ask = waiting and self._asks_by_work.get(waiting.work.id)
        if ask and self._pass_on(broker, waiting.work, ask, now):
            broker.finish(waiting.work.id, "withdrawn", now)
            del self._asks_by_work[waiting.work.id]

    async def _pause(self) -> None:
        """Waits for the next tick; without work in a queue, until some comes."""
        if any(broker.waiting_by_id for broker in self._brokers_by_pool.values()):
            await asyncio.sleep(TICK_S)
            return
        self._wake.clear()
        try:
            async with asyncio.timeout(LOAD_INTERVAL_S if self.is_broker() else IDLE_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return

    def _expire(self, now: float) -> None:
        for broker in self._brokers_by_pool.values():
            broker.expire(now)
        for other in self._others.values():
            other.prune_sessions(now)
        if not any(broker.waiting_by_id for broker in self._brokers_by_pool.values()):
            self._asks_by_work.clear()

    def _tell_load(self, now: float) -> None:
        """Tells the brokers of other zones; until one is known, any VM there passes it on."""
        catalogue = self._catalogue()
        if catalogue is None:
            return
        self._load_turn += 1
        for pool, row in catalogue.pools_by_name.items():
            if row.engine is None or self._holder(pool) != self._key:
                continue
            broker = self._broker(pool)
            offer = broker.estimate_long_prompt_cost(now)
            load = ZoneLoad(
                pool,
                self._zone,
                offer.fixed_s,
                offer.s_per_token,
                broker.short_prompt_cost_s(now),
                broker.pool_s_per_token(),
                self._address,
                tuple(self._sessions_by_pool.pop(pool, ())),
            )
            for zone in self._other_zones:
                for address in self._addresses_of(pool, zone, now):
                    self._bus.send_to_address(address, load)

    def _addresses_of(self, pool: str, zone: str, now: float) -> list[str]:
        known = self._others.get((pool, zone))
        if known is not None and now - known.reported_at < LOAD_BELIEVED_S:
            return [known.address]
        addresses = self._elsewhere(zone)
        return [addresses[self._load_turn % len(addresses)]] if addresses else []

    def _pass_load_on(self, sender: str, load: ZoneLoad) -> None:
        """Gives another zone's load to the broker of this zone, if that is another VM."""
        holder = self._holder(load.pool)
        if holder not in (self._key, sender):
            self._bus.send(holder, load)


def work_of(ask: WorkAsked, now: float) -> WorkItem:
    """Returns the work as this VM's clock has it."""
    return WorkItem(
        id=ask.work_id,
        pool=ask.pool,
        rank=ask.rank,
        tokens_in=ask.tokens_in,
        tokens_out=ask.tokens_out,
        parts=ask.parts,
        target_s=ask.target_s,
        gap_target_s=ask.gap_s,
        arrived_at=now - ask.age_s,
        expires_at=now + ask.left_s,
    )
