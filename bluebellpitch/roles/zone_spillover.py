"""Spills work over to other zones, and tells their brokers the load of this zone."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.loads import WorkItem, session_of
from bluebellpitch.decisions.zones.distances import ZoneDistances
from bluebellpitch.decisions.zones.outlook import ZoneOutlook, describe_home, describe_zone
from bluebellpitch.decisions.zones.remote_zones import RemoteZone
from bluebellpitch.decisions.zones.spillover import Spillover, choose_spillover
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.platform_messages import WorkQueued, WorkRequest, ZoneLoad

SPILLOVER_RESPONSE_TIMEOUT_S = 0.4


class ZoneSpillover:
    """Owns what the brokers of other zones reported, and what this VM reports to them.

    ``send_to_address`` sends to any VM, this one included.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        regions_by_zone: Mapping[str, str],
        addresses_in_zone: Callable[[str], list[str]],
        send_to_address: Callable[[str, object], None],
        metrics: Metrics,
    ):
        self._address = address
        self._zone = zone
        self._distances = ZoneDistances(zone, regions_by_zone)
        others = (other for other in regions_by_zone if other != zone)
        self._other_zones = sorted(others, key=self._distances.one_way_s)
        self._addresses_in_zone = addresses_in_zone
        self._send_to_address = send_to_address
        self._metrics = metrics
        self._zones_by_pool: dict[str, dict[str, RemoteZone]] = {}
        self._load_round = 0
        self._new_sessions_by_pool: dict[str, list[str]] = {}

    def _remote_zone(self, pool: str, zone: str) -> RemoteZone:
        zones = self._zones_by_pool.setdefault(pool, {})
        if zone not in zones:
            zones[zone] = RemoteZone(zone, self._distances.spillover_delay_s(zone))
        return zones[zone]

    def record_load(self, load: ZoneLoad, now: float) -> None:
        """Records the load that the broker of another zone reported."""
        other = self._remote_zone(load.pool, load.zone)
        other.address, other.reported_at = load.reply_to, now
        other.outlook = ZoneOutlook(
            load.long_fixed_s, load.long_s_per_token, load.short_cost_s, load.queue_s_per_token
        )
        other.session_seen_at |= dict.fromkeys(load.sessions, now)

    def record_session(self, broker: GenerationBroker, request: WorkRequest) -> None:
        """Records the session of a granted long prompt for the next report to other zones."""
        session = session_of(request.parts) if self._other_zones else ""
        if session and not broker.placement.is_short_length(request.tokens_in):
            self._new_sessions_by_pool.setdefault(request.pool, []).append(session)

    def delay_s(self, request: WorkRequest) -> float:
        """Returns how much later the first token of a request comes if another zone sent it."""
        return self._distances.spillover_delay_s(request.home_zone) if request.home_zone else 0.0

    def count_received(self, request: WorkRequest) -> None:
        """Counts a request that spilled over from another zone."""
        if request.home_zone:
            self._metrics.spillover_received.labels(request.home_zone).inc()

    def spill_over(
        self, broker: GenerationBroker, work: WorkItem, request: WorkRequest, now: float
    ) -> bool:
        """Sends work to another zone if its caller gains by that; returns whether it did."""
        zones = self._zones_by_pool.get(work.pool)
        if request.must_stay or not zones:
            return False
        home = describe_home(broker, work, frozenset(request.avoid), now)
        spillover = choose_spillover(work, home, zones.values(), now)
        if spillover is None:
            return False
        self._send(spillover, work, request, now)
        inputs = {
            "home_ms": f"{home.cost_s * 1000:.0f}",
            "there_ms": f"{spillover.cost_s * 1000:.0f}",
            "unread": str(spillover.tokens),
        }
        to, reason = spillover.zone.name, spillover.reason
        log("INFO", "spillover", request=work.id, to=to, reason=reason, **inputs)
        self._metrics.spillover_sent.labels(to, reason).inc()
        return True

    def _send(self, spillover: Spillover, work: WorkItem, request: WorkRequest, now: float) -> None:
        zone = spillover.zone
        one_way_s = self._distances.one_way_s(zone.name)
        queued = WorkQueued(work.id, SPILLOVER_RESPONSE_TIMEOUT_S, zone.address)
        self._send_to_address(request.reply_to, queued)
        request_there = msgspec.structs.replace(
            request,
            must_stay=True,
            home_zone=self._zone,
            age_s=now - work.arrived_at + one_way_s,
            left_s=work.expires_at - now - one_way_s,
        )
        self._send_to_address(zone.address, request_there)
        zone.record_spillover(spillover.tokens, self._zones_by_pool[work.pool].values())

    def expire(self, now: float) -> None:
        """Removes sessions that other zones may no longer have cached."""
        for zones in self._zones_by_pool.values():
            for other in zones.values():
                other.prune_sessions(now)

    def publish_load(self, brokers: Iterable[GenerationBroker], now: float) -> None:
        """Sends the load of these brokers to other zones; any VM there relays it at first."""
        if not self._other_zones:
            return
        self._load_round += 1
        for broker in brokers:
            outlook = describe_zone(broker, now)
            load = ZoneLoad(
                pool=broker.pool,
                zone=self._zone,
                long_fixed_s=outlook.long_fixed_s,
                long_s_per_token=outlook.long_s_per_token,
                short_cost_s=outlook.short_s,
                queue_s_per_token=outlook.queue_s_per_token,
                reply_to=self._address,
                sessions=tuple(self._new_sessions_by_pool.pop(broker.pool, ())),
            )
            for zone in self._other_zones:
                for address in self._load_recipients(broker.pool, zone, now):
                    self._send_to_address(address, load)

    def _load_recipients(self, pool: str, zone: str, now: float) -> list[str]:
        known = self._remote_zone(pool, zone)
        if known.is_current(now):
            return [known.address]
        addresses = self._addresses_in_zone(zone)
        return [addresses[self._load_round % len(addresses)]] if addresses else []
