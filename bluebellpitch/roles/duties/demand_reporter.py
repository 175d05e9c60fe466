"""Tells the VM that orders endpoints the demand on the engines of this zone."""

import asyncio
from collections.abc import Callable, Iterator

from bluebellpitch.decisions.catalogue import Catalogue, PoolConfig
from bluebellpitch.decisions.scaling.demand import DemandSample
from bluebellpitch.peers.platform_messages import ZoneDemand
from bluebellpitch.roles.duties.duty_context import DutyContext

REPORT_INTERVAL_S = 0.5


class DemandReporter:
    """Reports what this VM measures of the pools that it brokers.

    ``handle_locally`` takes the reports while this VM itself holds the duty.
    """

    def __init__(
        self,
        context: DutyContext,
        catalogue: Callable[[], Catalogue | None],
        sample_demand: Callable[[str], DemandSample | None],
        holder_address: Callable[[], str | None],
        handle_locally: Callable[[ZoneDemand], None],
    ):
        self._context = context
        self._catalogue = catalogue
        self._sample_demand = sample_demand
        self._holder_address = holder_address
        self._handle_locally = handle_locally

    async def run(self) -> None:
        """Reports at regular intervals, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Sends one report for each pool, if the holder of the duty is known."""
        address = self._holder_address()
        if address is None:
            return
        for pool in scaled_pools(self._catalogue()):
            sample = self._sample_demand(pool.name)
            if sample is None:
                continue
            message = demand_message(pool.name, self._context.zone, sample)
            if address == self._context.address:
                self._handle_locally(message)
            else:
                self._context.bus.send_to_address(address, message)


def scaled_pools(catalogue: Catalogue | None) -> Iterator[PoolConfig]:
    """Yields the pools of engines whose endpoints can be ordered."""
    pools = catalogue.pools_by_name.values() if catalogue else ()
    return (pool for pool in pools if pool.scaling is not None and pool.engine is not None)


def demand_message(pool: str, zone: str, sample: DemandSample) -> ZoneDemand:
    """Returns the report of a zone's demand."""
    return ZoneDemand(
        pool=pool,
        zone=zone,
        tokens_per_s=sample.tokens_per_s,
        arrivals_per_s=sample.arrivals_per_s,
        engine_tokens_per_s=sample.engine_tokens_per_s,
        busy_share=sample.busy_share,
        running=sample.running,
        slots=sample.slots,
        waiting=sample.waiting,
        refused_per_s=sample.refused_per_s,
    )


def sample_from_message(message: ZoneDemand) -> DemandSample:
    """Returns the demand that a zone's broker reported."""
    return DemandSample(
        tokens_per_s=message.tokens_per_s,
        arrivals_per_s=message.arrivals_per_s,
        engine_tokens_per_s=message.engine_tokens_per_s,
        busy_share=message.busy_share,
        running=message.running,
        slots=message.slots,
        waiting=message.waiting,
        refused_per_s=message.refused_per_s,
    )
