"""Non-idempotent requests run at most once through crashes, pauses and lost responses."""

import asyncio

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, MatchesAny

from fakes.client import look_up_case, stream_completion, submit_case
from fakes.fleet import Fleet, wait_until
from tests.helpers import (
    CREDENTIAL,
    FederationSize,
    count_runs,
    get_verdict,
    read_counts,
    start_federation,
    wait,
)

HORIZON_S = 64.0
DISPATCH_WINDOW_S = 4.0


@pytest.fixture(scope="module")
def running():
    with Fleet() as fleet:
        settings = {"horizon_s": 3600.0, "service_timeout_s": 2.0}
        asyncio.run(start_federation(fleet, FederationSize(vms_per_zone=3), **settings))
        yield fleet


@pytest.fixture
def fleet(running):
    """A federation without faults; faults are reset and stopped VMs restarted after the test."""
    yield running

    async def reset_faults():
        service = running.processes_by_name["filing-doto-1-0"]
        await running.set_faults(
            running.store, outage=False, slow_s=0.0, lose_answers=0, late_s=0.0
        )
        await running.set_faults(service, slow_s=0.0, hold_s=0.0, silent=False, refuse=False)
        for vm in running.vms_by_name.values():
            if vm.process.popen.poll() is not None:
                running.start_vm(vm)
        await running.wait_ready()
        await running.wait_converged()

    asyncio.run(reset_faults())


def get_vm(fleet, index: int):
    return list(fleet.vms_by_name.values())[index]


def get_service(fleet):
    return fleet.processes_by_name["filing-doto-1-0"]


async def has_run(fleet, case: str) -> bool:
    return await count_runs(fleet, case) > 0


async def retry_until(vm, case: str, key: str, statuses: tuple[int, ...]):
    """Retries a submission until its status is one of ``statuses``, as a client would."""
    for _ in range(20):
        response = await submit_case(vm.listen, CREDENTIAL, case, key)
        if response is not None and response.status in statuses:
            return response
        await wait(0.3)
    raise AssertionError(f"{case}: no response with a status in {statuses} after 20 attempts")


def test_submissions_to_three_vms_with_one_key_run_once(run, fleet):
    async def scenario():
        for number in range(10):
            sends = [
                submit_case(get_vm(fleet, n).listen, CREDENTIAL, f"race-{number}", f"race-{number}")
                for n in range(3)
            ]
            responses = await asyncio.gather(*sends)
            assert_that({response.status for response in responses}, Equals({200}))
            assert_that(await count_runs(fleet, f"race-{number}"), Equals(1))

    run(scenario())


def test_vm_killed_after_dispatch_leaves_may_have_run(run, fleet):
    async def scenario():
        await fleet.set_faults(get_service(fleet), slow_s=0.5, hold_s=1.0)
        first = asyncio.create_task(
            submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "killed-1", "killed-1")
        )
        await wait_until(lambda: has_run(fleet, "killed-1"), "the case has run")
        get_vm(fleet, 0).process.kill()
        assert_that(await first, Equals(None))
        await fleet.set_faults(get_service(fleet), slow_s=0.0, hold_s=0.0)
        again = await submit_case(get_vm(fleet, 1).listen, CREDENTIAL, "killed-1", "killed-1")
        assert_that(again.status, Equals(409))
        assert_that(get_verdict(again), Equals("may_have_run"))
        assert_that(await count_runs(fleet, "killed-1"), Equals(1))
        await wait(2.5)
        _, output = await fleet.run_command("status", "--vm", get_vm(fleet, 1).admin)
        assert_that(output, Contains("UNRESOLVED key=office/killed-1"))

    run(scenario())


def test_vm_killed_before_its_claim_is_appended_leaves_the_key_free(run, fleet):
    async def scenario():
        await fleet.set_faults(fleet.store, outage=True)
        first = asyncio.create_task(
            submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "killed-2", "killed-2")
        )
        await wait(0.5)
        get_vm(fleet, 0).process.kill()
        await first
        assert_that(await count_runs(fleet, "killed-2"), Equals(0))
        await fleet.set_faults(fleet.store, outage=False)
        await retry_until(get_vm(fleet, 1), "killed-2", "killed-2", (200,))
        assert_that(await count_runs(fleet, "killed-2"), Equals(1))

    run(scenario())


def test_claim_with_lost_acknowledgement_is_found_on_the_log(run, fleet):
    async def scenario():
        await fleet.set_faults(fleet.store, lose_answers=1)
        response = await submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "lost-1", "lost-1")
        assert_that(response.status, Equals(200))
        assert_that(await count_runs(fleet, "lost-1"), Equals(1))

    run(scenario())


def test_claim_appended_late_is_invalid(run, fleet):
    async def scenario():
        await fleet.set_faults(fleet.store, lose_answers=1, late_s=4.5)
        first = await submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "late-1", "late-1")
        assert_that(get_verdict(first), Equals("did_not_run"))
        assert_that(await count_runs(fleet, "late-1"), Equals(0))
        await wait(2.0)
        await retry_until(get_vm(fleet, 1), "late-1", "late-1", (200,))
        assert_that(await count_runs(fleet, "late-1"), Equals(1))

    run(scenario())


def test_store_outage_refuses_submissions_and_serves_other_requests(run, fleet):
    async def scenario():
        await fleet.set_faults(fleet.store, outage=True)
        vm = get_vm(fleet, 0)
        refused = await submit_case(vm.listen, CREDENTIAL, "outage-1", "outage-1")
        assert_that(refused.status, Equals(503))
        assert_that(get_verdict(refused), Equals("did_not_run"))
        assert_that((await look_up_case(vm.listen, CREDENTIAL, "x")).status, Equals(200))
        assert_that(
            (await stream_completion(vm.listen, CREDENTIAL, "[len=9] during an outage")).complete,
            Equals(True),
        )
        await fleet.set_faults(fleet.store, outage=False)
        await retry_until(vm, "outage-1", "outage-1", (200,))
        assert_that(await count_runs(fleet, "outage-1"), Equals(1))

    run(scenario())


def test_outcome_is_written_after_an_outage(run, fleet):
    async def scenario():
        await fleet.set_faults(get_service(fleet), hold_s=1.0)
        first = asyncio.create_task(
            submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "behind-1", "behind-1")
        )
        await wait_until(lambda: has_run(fleet, "behind-1"), "the case has run")
        await fleet.set_faults(fleet.store, outage=True)
        assert_that((await first).status, Equals(200))
        during = await submit_case(get_vm(fleet, 1).listen, CREDENTIAL, "behind-1", "behind-1")
        assert_that(during.status, MatchesAny(Equals(409), Equals(503)))
        await fleet.set_faults(fleet.store, outage=False)
        replay = await retry_until(get_vm(fleet, 1), "behind-1", "behind-1", (200,))
        assert_that(dict(replay.headers)["x-bluebellpitch-replayed"], Equals("true"))
        assert_that(await count_runs(fleet, "behind-1"), Equals(1))

    run(scenario())


def test_silent_service_leaves_may_have_run_and_is_listed(run, fleet):
    async def scenario():
        await fleet.set_faults(get_service(fleet), silent=True)
        first = await submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "silent-1", "silent-1")
        assert_that(get_verdict(first), Equals("may_have_run"))
        await fleet.set_faults(get_service(fleet), silent=False)
        again = await submit_case(get_vm(fleet, 1).listen, CREDENTIAL, "silent-1", "silent-1")
        assert_that(get_verdict(again), Equals("may_have_run"))
        assert_that(await count_runs(fleet, "silent-1"), Equals(1))
        _, output = await fleet.run_command("status", "--vm", get_vm(fleet, 1).admin)
        assert_that(output, Contains("UNRESOLVED key=office/silent-1"))

    run(scenario())


def test_service_that_reports_did_not_run_frees_the_key(run, fleet):
    async def scenario():
        await fleet.set_faults(get_service(fleet), refuse=True)
        first = await submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "refused-1", "refused-1")
        assert_that(get_verdict(first), Equals("did_not_run"))
        await fleet.set_faults(get_service(fleet), refuse=False)
        await retry_until(get_vm(fleet, 1), "refused-1", "refused-1", (200,))
        assert_that(await count_runs(fleet, "refused-1"), Equals(1))

    run(scenario())


def test_submission_without_key_is_never_sent_twice(run, fleet):
    async def scenario():
        await fleet.set_faults(get_service(fleet), silent=True)
        response = await submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "keyless-1", "")
        assert_that(get_verdict(response), Equals("may_have_run"))
        assert_that((await read_counts(get_service(fleet).address))["keyless-1"], Equals(1))

    run(scenario())


def test_vm_paused_past_the_horizon_does_not_dispatch(run):
    """The claim is appended while its VM is paused; the key expires before the VM resumes."""

    async def scenario():
        with Fleet() as fleet:
            await start_federation(fleet, FederationSize(), horizon_s=HORIZON_S)
            await fleet.set_faults(fleet.store, slow_s=1.0)
            first = asyncio.create_task(
                submit_case(get_vm(fleet, 0).listen, CREDENTIAL, "paused-1", "paused-1")
            )
            await wait(0.6)
            get_vm(fleet, 0).process.pause()
            await wait(DISPATCH_WINDOW_S + 1.0)
            get_vm(fleet, 0).process.resume()
            response = await first
            assert_that(get_verdict(response), Equals("did_not_run"))
            assert_that(
                msgspec.json.decode(response.body)["reason"],
                MatchesAny(Equals("request_too_old"), Equals("log_unavailable")),
            )
            assert_that(await count_runs(fleet, "paused-1"), Equals(0))

    run(scenario())
