"""Forwards work to other zones, and tells their brokers the load of this zone."""

from collections.abc import Callable, Iterable

import msgspec

from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.decisions.loads import WorkItem, session_of
from bluebellpitch.decisions.zones.remote_zones import (
    LOAD_MAX_AGE_S,
    RemoteZone,
    find_cheaper_zone,
)
from bluebellpitch.logs import log
from bluebellpitch.peers.platform_messages import WorkQueued, WorkRequest, ZoneLoad
from bluebellpitch.roles.work_items import describe_load, zone_from_load

FORWARDED_RESPONSE_TIMEOUT_S = 0.4


class ZoneSpillover:
    """Owns what the brokers of other zones reported, and what this VM reports to them.

    ``send_to_address`` sends to any VM, this one included.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        zones: Iterable[str],
        addresses_in_zone: Callable[[str], list[str]],
        send_to_address: Callable[[str, object], None],
    ):
        self._address = address
        self._zone = zone
        self._other_zones = tuple(other for other in zones if other != zone)
        self._addresses_in_zone = addresses_in_zone
        self._send_to_address = send_to_address
        self._remote_zones: dict[tuple[str, str], RemoteZone] = {}
        self._load_round = 0
        self._new_sessions_by_pool: dict[str, list[str]] = {}

    def record_load(self, load: ZoneLoad, now: float) -> None:
        """Records the load that the broker of another zone reported."""
        key = (load.pool, load.zone)
        self._remote_zones[key] = zone_from_load(load, self._remote_zones.get(key), now)

    def record_session(self, broker: GenerationBroker, request: WorkRequest) -> None:
        """Records the session of a granted long prompt for the next report to other zones."""
        session = session_of(request.parts)
        if session and not broker.placement.is_short_length(request.tokens_in):
            self._new_sessions_by_pool.setdefault(request.pool, []).append(session)

    def forward(
        self, broker: GenerationBroker, work: WorkItem, request: WorkRequest, now: float
    ) -> bool:
        """Forwards work to another zone if its cost is lower there; returns whether it did."""
        if request.is_passed_on:
            return False
        avoid, zones = frozenset(request.avoid), self._remote_zones
        if broker.placement.is_short_prompt(work):
            local_s = broker.placement.short_prompt_cost_s(now)
            other = find_cheaper_zone(
                zones, work.pool, local_s, lambda other: other.short_cost_s, now
            )
        else:
            local_s = broker.long_prompt_cost_s(work, avoid, now)
            cache_miss_cost_s = broker.placement.cache_miss_cost_s(work)

            def cost(other: RemoteZone) -> float:
                uncached = (
                    broker.placement.unshared_tokens(work)
                    if other.has_cached(work, now)
                    else work.tokens_in
                )
                cache_miss_s = 0.0 if other.has_cached(work, now) else cache_miss_cost_s
                return other.long_fixed_s + uncached * other.long_s_per_token + cache_miss_s

            other = find_cheaper_zone(zones, work.pool, local_s, cost, now)
        if other is None:
            return False
        log("INFO", "passed_on", request=work.id, own_ms=f"{local_s * 1000:.0f}", to=other.address)
        self._send_to_address(request.reply_to, WorkQueued(work.id, FORWARDED_RESPONSE_TIMEOUT_S))
        forwarded = msgspec.structs.replace(
            request, is_passed_on=True, age_s=now - work.arrived_at, left_s=work.expires_at - now
        )
        self._send_to_address(other.address, forwarded)
        other.record_forwarded(work.tokens_in)
        return True

    def expire(self, now: float) -> None:
        """Removes sessions that other zones may no longer have cached."""
        for other in self._remote_zones.values():
            other.prune_sessions(now)

    def publish_load(self, brokers: Iterable[GenerationBroker], now: float) -> None:
        """Sends the load of these brokers to other zones; any VM there relays it at first."""
        self._load_round += 1
        for broker in brokers:
            sessions = tuple(self._new_sessions_by_pool.pop(broker.pool, ()))
            load = describe_load(broker, self._zone, self._address, sessions, now)
            for zone in self._other_zones:
                for address in self._load_recipients(broker.pool, zone, now):
                    self._send_to_address(address, load)

    def _load_recipients(self, pool: str, zone: str, now: float) -> list[str]:
        known = self._remote_zones.get((pool, zone))
        if known is not None and now - known.reported_at < LOAD_MAX_AGE_S:
            return [known.address]
        addresses = self._addresses_in_zone(zone)
        return [addresses[self._load_round % len(addresses)]] if addresses else []
