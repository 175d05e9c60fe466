"""Services that name how many requests they take, behind several entry VMs of ``serve``."""

import asyncio

import msgspec
from testtools.assertions import assert_that
from testtools.matchers import AllMatch, GreaterThan, LessThan

from bluebellpitch.http1 import fetch
from fakes.client import look_up_case
from fakes.fleet import Fleet
from tests.helpers import CREDENTIAL, FederationSize, start_federation, wait

LIMIT_PER_S = 3.0
WINDOW_S = 4.0
ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5


def most_in_window(times):
    return max(sum(start <= other < start + WINDOW_S for other in times) for start in times)


async def read_arrivals(service) -> list[float]:
    return msgspec.json.decode((await fetch(service.address, "GET", "/arrivals")).body)


def test_service_behind_serve_gets_no_more_than_it_names(run):
    async def scenario(fleet):
        await start_federation(fleet, FederationSize(vms_per_zone=3))
        processes = fleet.processes_by_name
        services = [processes[name] for name in processes if name.startswith("filing-")]
        for service in services:
            await fleet.set_faults(service, limit_per_s=LIMIT_PER_S)
        vms = list(fleet.vms_by_name.values())
        for number in range(2 * len(vms)):
            await look_up_case(vms[number % len(vms)].listen, CREDENTIAL, f"first {number}")
        await wait(0.6)
        seen = [len(await read_arrivals(service)) for service in services]
        calls = []
        for number in range(200):
            address = vms[number % len(vms)].listen
            calls.append(asyncio.create_task(look_up_case(address, CREDENTIAL, f"{number}")))
            await wait(0.03)
        arrived = [await read_arrivals(service) for service in services]
        later = [times[count:] for times, count in zip(arrived, seen, strict=True)]
        assert_that(
            [most_in_window(times) for times in later if times],
            AllMatch(LessThan(ALLOWED_IN_WINDOW + 1)),
        )
        assert_that(sum(map(len, later)), GreaterThan(10))
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    with Fleet() as fleet:
        run(scenario(fleet))
