"""Collects what VMs already run at the engines of a zone when a VM starts to broker a pool.

Without it, two VMs that act as brokers one after the other, or at the same time while some VMs
avoid a silent one, would each grant the whole capacity of the engines. A new broker asks the VMs of
its own zone. Those of another zone are asked by their own broker when it hears of the new one.
"""

from collections.abc import Callable

from bluebellpitch.decisions.generation_broker import GenerationBroker
from bluebellpitch.logs import log
from bluebellpitch.peers.platform_messages import HeldWorkReport, HeldWorkRequest, ZoneLoad
from bluebellpitch.roles.work_items import work_from_report

# Grants wait this long for the reports of other VMs.
REPORT_WAIT_S = 0.03
# A VM that acts for the pool's broker, which others may still use, asks again after this time.
STAND_IN_INTERVAL_S = 0.3
# While two VMs of another zone both act as its broker, reports for them are asked for this often.
REMOTE_INTERVAL_S = 0.3


class BrokerTakeover:
    """Asks the VMs of the zone for their work when due.

    ``is_broker`` says whether a pool is this VM's role.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        is_broker: Callable[[str], bool],
        zone_addresses: Callable[[], list[str]],
        send_to_address: Callable[[str, object], None],
    ):
        self._address = address
        self._zone = zone
        self._is_broker = is_broker
        self._zone_addresses = zone_addresses
        self._send_to_address = send_to_address
        self._collected_at_by_pool: dict[str, float] = {}
        self._settled_pools: set[str] = set()
        self._remote_brokers: dict[tuple[str, str], tuple[str, float]] = {}

    def collect_if_due(self, broker: GenerationBroker, now: float) -> None:
        """Pauses the broker and asks for reports, if others may have granted its engines."""
        pool = broker.pool
        if not self._is_broker(pool):
            self._settled_pools.discard(pool)
            collected_at = self._collected_at_by_pool.get(pool, float("-inf"))
            if now - collected_at < STAND_IN_INTERVAL_S:
                return
        elif pool in self._settled_pools:
            return
        else:
            self._settled_pools.add(pool)
        self._collected_at_by_pool[pool] = now
        broker.pause(now + REPORT_WAIT_S)
        log("INFO", "broker_taken_over", pool=pool, stand_in=pool not in self._settled_pools)
        request = HeldWorkRequest(pool, self._zone, self._address)
        for address in self._zone_addresses():
            self._send_to_address(address, request)

    def collect_for_remote(self, load: ZoneLoad, now: float) -> None:
        """Asks the VMs of this zone to tell a new broker of another zone what they have there."""
        if not self._is_broker(load.pool):
            return
        known, asked_at = self._remote_brokers.get((load.pool, load.zone), ("", float("-inf")))
        if known == load.reply_to or now - asked_at < REMOTE_INTERVAL_S:
            return
        self._remote_brokers[load.pool, load.zone] = load.reply_to, now
        request = HeldWorkRequest(load.pool, load.zone, load.reply_to)
        for address in self._zone_addresses():
            self._send_to_address(address, request)

    def forget_lost_roles(self, pools: list[str]) -> None:
        """Makes the next request of a pool that others broker meanwhile collect reports again."""
        lost = {pool for pool in pools if not self._is_broker(pool)}
        self._settled_pools -= lost
        for pool, zone in [key for key in self._remote_brokers if key[0] in lost]:
            del self._remote_brokers[pool, zone]


def adopt_report(broker: GenerationBroker, report: HeldWorkReport, now: float) -> None:
    """Counts reported work that the broker does not know."""
    for held in report.works:
        engine_key = (held.endpoint_id, held.started_ms)
        work = work_from_report(held, report.pool, now)
        broker.adopt(engine_key, work, report.vm, held.has_first_token, now)
