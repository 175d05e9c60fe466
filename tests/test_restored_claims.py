"""Claims of `serve` after the store came back from a copy that lacks some of them."""

import asyncio

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bluebellpitch.decisions.claiming import (
    AwaitRecords,
    ClaimRequest,
    ClaimWon,
    PendingClaim,
    next_claim_step,
)
from bluebellpitch.decisions.claims import (
    Claim,
    ClaimsStateMachine,
    Outcome,
    Withdrawal,
    encode_claim_record,
)
from bluebellpitch.decisions.log_position import era_of, log_position, offset_of
from fakes.client import submit_case
from fakes.fleet import Fleet
from tests.helpers import CREDENTIAL, FederationSize, count_runs, start_federation

CLAIM = Claim("c1", "key", "body", "vm-a", 1.0)
REQUEST = ClaimRequest("key", "body", 1.0)


def test_positions_of_a_later_era_are_higher_and_keep_their_offset():
    assert log_position(None, 7) == log_position(0, 7) == 7
    assert log_position(2, 3) > log_position(1, 50) > 50
    assert (era_of(log_position(2, 3)), offset_of(log_position(2, 3))) == (2, 3)
    assert (era_of(-1), offset_of(-1)) == (0, -1)


def apply_claims(machine: ClaimsStateMachine, era: int, *records) -> ClaimsStateMachine:
    for offset, record in enumerate(records):
        machine.apply(log_position(era, offset), encode_claim_record(record), 2.0)
    return machine


def test_lost_claim_that_is_appended_again_keeps_its_key():
    """Another VM, which never read the lost claim, claimed the key first in the new era."""
    second = replace_claim(CLAIM, "c2", "vm-b")
    knows = apply_claims(ClaimsStateMachine(100.0), 0, CLAIM)
    (restored,) = knows.records_missing_from(set())
    fresh = apply_claims(ClaimsStateMachine(100.0), 1, second, restored)
    apply_claims(knows, 1, second, restored)
    for machine in (knows, fresh):
        assert machine.key_status("key", "body").claim.id == "c1"


def replace_claim(claim: Claim, id: str, vm: str) -> Claim:
    return msgspec.structs.replace(claim, id=id, vm=vm)


def test_claim_of_the_new_era_is_not_won_while_lost_ones_may_be_missing():
    machine = apply_claims(ClaimsStateMachine(100.0), 1, CLAIM)
    pending = PendingClaim(CLAIM, log_position(1, 0))
    assert next_claim_step(machine, REQUEST, pending, 2.0, False, False) == AwaitRecords()
    assert next_claim_step(machine, REQUEST, pending, 2.0, False, True) == ClaimWon(CLAIM)


def test_all_that_a_log_lacks_is_appended_again_in_order():
    withdrawal = Withdrawal("w1", "key", "c1", 1.0)
    second = replace_claim(CLAIM, "c2", "vm-b")
    outcome = Outcome("o1", "key", "c2", "ran", 200, "text/plain", b"", True, 1.0)
    machine = apply_claims(ClaimsStateMachine(100.0), 0, CLAIM, withdrawal, second, outcome)
    missing = list(machine.records_missing_from({"c1"}))
    assert [record.id for record in missing] == ["w1", "c2", "o1"]
    fresh = apply_claims(ClaimsStateMachine(100.0), 1, CLAIM, *missing)
    assert fresh.key_status("key", "body") == machine.key_status("key", "body")
    assert list(machine.records_missing_from({"w1", "c2", "o1"})) == []


@pytest.fixture(scope="module")
def running():
    with Fleet() as fleet:
        size = FederationSize(vms_per_zone=2)
        asyncio.run(start_federation(fleet, size, service_timeout_s=2.0))
        yield fleet


async def restore(fleet: Fleet) -> None:
    await fleet.set_faults(fleet.store, restored_eras=1)


def get_vms(fleet: Fleet):
    return list(fleet.vms_by_name.values())


@pytest.mark.parametrize("is_killed", [False, True])
def test_submission_whose_claim_the_store_lost_runs_once(run, running, is_killed):
    """Also if the VM that won the claim is gone: the other one has read it too."""
    fleet, case = running, f"lost-{is_killed}"

    async def scenario():
        first, second = get_vms(fleet)
        await fleet.set_faults(fleet.store, is_copied=True)
        response = await submit_case(first.listen, CREDENTIAL, case, case)
        assert_that(response.status, Equals(200))
        replayed = await submit_case(second.listen, CREDENTIAL, case, case)
        assert_that(replayed.status, Equals(200))
        if is_killed:
            first.process.kill()
        await restore(fleet)
        again = await submit_case(second.listen, CREDENTIAL, case, case)
        assert_that(await count_runs(fleet, case), Equals(1), again)
        if is_killed:
            fleet.start_vm(first)
            await fleet.wait_ready()
            await fleet.wait_converged()
        third = await submit_case(first.listen, CREDENTIAL, case, case)
        assert_that((third.status, await count_runs(fleet, case)), Equals((200, 1)))

    run(scenario())
