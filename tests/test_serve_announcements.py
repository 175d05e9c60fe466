"""Endpoints of `serve` that say in an answer that they leave, or that they pause."""

import asyncio
import time

import msgspec
import pytest

from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.leaving_endpoints import LeavingEndpoints
from bluebellpitch.http1 import fetch
from bluebellpitch.platform.http_messages import Announcements, read_announcements
from fakes.client import look_up_case, submit_case
from fakes.fleet import Fleet
from tests.helpers import CREDENTIAL, FederationSize, get_verdict, start_federation


def test_announcements_of_an_answer_are_read_together():
    headers = [("Server-Leaving", "1"), ("server-limit", "2.5")]
    assert read_announcements(200, headers) == Announcements(2.5, True)
    assert read_announcements(200, [("Server-Leaving", "yes")]) == Announcements()
    assert read_announcements(503, [("Retry-After", "1.5")]) == Announcements(pause_s=1.5)
    assert read_announcements(429, [("Retry-After", "1.5")]) == Announcements()


def entry(started_ms: int) -> EndpointEntry:
    return EndpointEntry("e-1", "app", "10.0.0.1:80", "z", 4, False, started_ms)


@pytest.mark.parametrize("known", [[], [entry(0)], [entry(5)]])
def test_endpoint_that_said_it_leaves_is_leaving_until_it_starts_again(known):
    leaving = LeavingEndpoints()
    leaving.update(known)
    assert leaving.mark("e-1") == {"e-1"}
    assert leaving.update(known) == {"e-1"}
    assert leaving.update([]) == {"e-1"}
    assert leaving.update([entry(9)]) == set()


async def count_arrivals(service) -> int:
    return len(msgspec.json.decode((await fetch(service.address, "GET", "/arrivals")).body))


def test_service_that_said_it_leaves_gets_nothing_from_any_vm_of_its_broker(run):
    async def scenario(fleet):
        await start_federation(fleet, FederationSize(vms_per_zone=2, services_per_zone=2))
        first, second = fleet.vms_by_name.values()
        services = [p for name, p in fleet.processes_by_name.items() if name.startswith("filing-")]
        leaving, other = services
        await fleet.set_faults(leaving, leaving=True)
        for number in range(20):
            assert (await look_up_case(first.listen, CREDENTIAL, f"{number}")).status == 200
            if await count_arrivals(leaving):
                break
        assert await count_arrivals(leaving) == 1
        await asyncio.sleep(1.5)
        for number in range(20):
            vm = (first, second)[number % 2]
            assert (await look_up_case(vm.listen, CREDENTIAL, f"later-{number}")).status == 200
        assert await count_arrivals(leaving) == 1
        assert await count_arrivals(other) >= 20

    with Fleet() as fleet:
        run(scenario(fleet))


def test_service_that_named_a_pause_gets_nothing_before_its_end(run):
    """The other one takes the requests; once both pause, the refusal says how long."""

    async def scenario(fleet):
        await start_federation(fleet, FederationSize(vms_per_zone=1, services_per_zone=2))
        vm = next(iter(fleet.vms_by_name.values()))
        services = [p for name, p in fleet.processes_by_name.items() if name.startswith("filing-")]
        pausing, other = services
        await fleet.set_faults(pausing, refuse=True, pause_s=6.0)
        for number in range(20):
            case = f"first-{number}"
            assert (await submit_case(vm.listen, CREDENTIAL, case, case)).status == 200
            if await count_arrivals(pausing):
                break
        for number in range(20):
            assert (await look_up_case(vm.listen, CREDENTIAL, f"{number}")).status == 200
        assert await count_arrivals(pausing) == 1
        await fleet.set_faults(other, refuse=True, pause_s=6.0)
        await submit_case(vm.listen, CREDENTIAL, "second", "second")
        started_at = time.monotonic()
        response = await submit_case(vm.listen, CREDENTIAL, "third", "third")
        assert (response.status, get_verdict(response)) == (503, "did_not_run")
        assert 1 <= int(dict(response.headers)["retry-after"]) <= 6
        assert time.monotonic() - started_at < 1.0
        assert await count_arrivals(pausing) == 1

    with Fleet() as fleet:
        run(scenario(fleet))
