"""Mutation tests: removes one mechanism at a time and checks that its test fails.

``make mutants`` runs them. Each mutant is one edit in a copy of the tree. If a mutant survives, the
test named for it does not test the guarantee that it is meant to test.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.mutant import Mutant
from tests.mutants_of_duties import LEASE_MUTANTS
from tests.mutants_of_endpoints import ENDPOINT_MUTANTS
from tests.mutants_of_retries import RETRY_MUTANTS
from tests.mutants_of_scaling import SCALING_MUTANTS
from tests.mutants_of_size import SIZE_MUTANTS
from tests.mutants_of_store import (
    ANNOUNCEMENT_MUTANTS,
    CONFIGURATION_MUTANTS,
    ERA_MUTANTS,
    SHUTDOWN_MUTANTS,
)
from tests.mutants_of_usage import USAGE_MUTANTS
from tests.mutants_of_zones import ZONES_MUTANTS

ROOT = Path(__file__).resolve().parent.parent
PATIENCE_S = 300
LEFT_OUT = shutil.ignore_patterns(".venv", ".git", "dist", "build", "__pycache__", ".hypothesis")


MUTANTS = (
    Mutant(
        "the first claim wins",
        "bluebellpitch/decisions/claims.py",
        "        if state.outcome or (state.claim and state.position <= position):\n"
        "            return None\n",
        "",
        "tests/test_claims_state_machine.py",
    ),
    Mutant(
        "a withdrawal invalidates its claim even if it is appended first",
        "bluebellpitch/decisions/claims.py",
        "        if claim.id in self._withdrawals_by_claim_id:\n            return None\n",
        "",
        "tests/test_claims_state_machine.py",
    ),
    Mutant(
        "the horizon of a key is checked before dispatch",
        "bluebellpitch/decisions/claims.py",
        "    return now_wall - made_at < horizon_s - margin_s",
        "    return True",
        "tests/test_claims_state_machine.py",
    ),
    Mutant(
        "submissions with a key are claimed before dispatch",
        "bluebellpitch/callers/services.py",
        "if self.request.idempotency_key and not self.request.is_idempotent "
        "and self.claim is None:",
        "if False:",
        "tests/test_at_most_once.py::test_submissions_to_three_vms_with_one_key_run_once",
    ),
    Mutant(
        "a request that may have run is not sent again",
        "bluebellpitch/callers/services.py",
        "            if isinstance(result, MayHaveRun) and not self.request.is_idempotent:\n"
        "                return result\n",
        "",
        "tests/test_at_most_once.py::test_submission_without_key_is_never_sent_twice",
    ),
    Mutant(
        "a table change needs the current revisions of its rows",
        "bluebellpitch/decisions/control.py",
        "        if stale:\n            return Conflicted(offset, stale)\n",
        "",
        "tests/test_control_state_machine.py",
    ),
    Mutant(
        "a table change gets one verdict",
        "bluebellpitch/decisions/control.py",
        "        if record.id in self.state.verdicts_by_id:\n            return None\n",
        "",
        "tests/test_control_state_machine.py",
    ),
    Mutant(
        "a state machine ignores older snapshots",
        "bluebellpitch/decisions/control.py",
        "snapshot.offset <= self.offset or ",
        "",
        "tests/test_control_state_machine.py",
    ),
    Mutant(
        "a quota counts as the smallest of all unsettled epochs",
        "bluebellpitch/decisions/member_quotas.py",
        "for epoch in self._epochs)\n        return min(quotas",
        "for epoch in self._epochs[-1:])\n        return min(quotas",
        "tests/test_member_quotas.py",
    ),
    Mutant(
        "a quota is lent to one broker at a time",
        "bluebellpitch/decisions/member_quotas.py",
        "        if holder != borrower and now < expires_at:\n            return False\n",
        "",
        "tests/test_member_quotas.py",
    ),
    Mutant(
        "the broker enforces a member's limit",
        "bluebellpitch/decisions/slot_broker.py",
        "if row.limit and in_use >= self.member_limit(row, now):",
        "if False:",
        "tests/test_broker.py::test_member_at_its_limit_waits_while_others_run",
    ),
    Mutant(
        "no tier is preempted for an equal or lower one",
        "bluebellpitch/decisions/slot_broker.py",
        "            if self.scheduler.tier(class_name) <= tier:\n                return None\n",
        "",
        "tests/test_broker.py",
    ),
    Mutant(
        "every class has a guaranteed share",
        "bluebellpitch/decisions/class_scheduling.py",
        "        return [(name, True) for name in funded] + [(name, False) for name in ranked]",
        "        return [(name, False) for name in ranked]",
        "tests/test_broker.py::test_no_class_starves_under_a_flood_of_higher_tiers",
    ),
    Mutant(
        "a stream is resumed from its last token",
        "bluebellpitch/callers/completions.py",
        'body["continue_text"] = join_text(bytes(self.progress.events))',
        "pass",
        "tests/test_streams.py::test_stream_is_resumed_after_its_engine_is_killed",
    ),
    Mutant(
        "a silent stream times out",
        "bluebellpitch/endpoints/engine.py",
        "now() + self._stall_s",
        "now() + 3600.0",
        "tests/test_streams.py::test_silent_connections_are_replaced",
    ),
    Mutant(
        "a poisonous request is refused",
        "bluebellpitch/decisions/strikes.py",
        "        if strikes >= STRIKES_TO_REFUSE:\n            return IsolationLevel.REFUSED\n",
        "",
        "tests/test_streams.py::test_poisonous_request_crashes_few_engines_other_streams_complete",
    ),
    Mutant(
        "a draining VM finishes its requests",
        "bluebellpitch/node.py",
        "        while self._has_open_work() and schedule.time_left_s(self.now()) > 0:\n",
        "        while False:\n",
        "tests/test_streams.py::test_vms_replaced_one_by_one_fail_no_request",
    ),
    Mutant(
        "a leaving endpoint gets no new requests",
        "bluebellpitch/decisions/endpoint_selection.py",
        'for row in rows if row.state == "live"',
        "for row in rows",
        "tests/test_broker.py::test_leaving_endpoint_gets_no_requests",
    ),
    Mutant(
        "peers send missing records to a VM without store access",
        "bluebellpitch/node.py",
        "            self.bus.send(sender, catch_up)",
        "            pass",
        "tests/test_zones.py::test_vm_without_store_access_learns_changes_from_its_peers",
    ),
    Mutant(
        "a VM that lacks expired records installs a snapshot",
        "bluebellpitch/decisions/control.py",
        "return any(self.install_snapshot(snapshot) for snapshot in snapshots)",
        "return False",
        "tests/test_zones.py::test_vm_starts_from_a_snapshot_alone",
    ),
    Mutant(
        "route: a request that may have run and must not repeat is not sent again",
        "bluebellpitch/callers/routed_requests.py",
        "        if not admitted.is_retryable:\n            return False\n",
        "",
        "soak --seed 11 --seconds 8 --vms 2 --only endpoint_spoils",
    ),
    Mutant(
        "route: a request that may have run is not reported as not run",
        "bluebellpitch/callers/routed_requests.py",
        "if not self._may_retry(admitted):\n                    return verdict",
        'if not self._may_retry(admitted):\n                    return DidNotRun("lost", 503, 1.0)',
        "soak --seed 11 --seconds 8 --vms 2 --only endpoint_spoils",
    ),
    Mutant(
        "route: a key is accepted only while the configuration is known to be fresh",
        "bluebellpitch/decisions/freshness.py",
        "return self.age_s(now) < self.revoke_s - FRESHNESS_MARGIN_S",
        "return True",
        "soak --seed 16 --seconds 20 --vms 2 --only store_down --only key_taken",
    ),
    Mutant(
        "route: a response to another request is skipped",
        "bluebellpitch/endpoints/attempt.py",
        "if head.request_id == self._request.id:",
        "if True:",
        "soak --seed 11 --seconds 20 --vms 2 --only endpoint_spoils",
    ),
    Mutant(
        "route: a truncated stream is not ended as if it were complete",
        "bluebellpitch/callers/routed_requests.py",
        'if attempt.ending != "complete":',
        "if False:",
        "soak --seed 11 --seconds 8 --vms 2 --only endpoint_spoils",
    ),
    Mutant(
        "route: a draining endpoint gets no new requests",
        "bluebellpitch/platform/endpoint_entries.py",
        'is_draining=wire.state == "draining"',
        "is_draining=False",
        "soak --seed 15 --seconds 10 --vms 2 --only endpoint_leave",
    ),
    Mutant(
        "view: a peer's records count from its read of the store",
        "bluebellpitch/roles/topic_follower.py",
        "self.confirm_by_peer(update.asked_at - update.age_s, update.is_by_reader)",
        "self.confirm_by_peer(self._now(), update.is_by_reader)",
        "tests/test_endpoint_view.py",
    ),
    Mutant(
        "view: a gap in the records leads to a read of the store",
        "bluebellpitch/roles/topic_follower.py",
        "        self.has_gap = True\n",
        "        self.confirm_by_peer(self._now())\n",
        "tests/test_endpoint_view.py",
    ),
    Mutant(
        "view: entries that are too old are refreshed before a send",
        "bluebellpitch/roles/endpoint_check.py",
        "if self._is_too_old() and",
        "if False and",
        "tests/test_endpoint_view.py",
    ),
    Mutant(
        "view: an endpoint is looked up again at the send",
        "bluebellpitch/endpoints/attempt.py",
        "if await self._has_left(self._entry):",
        "if False:",
        "tests/test_routed_requests.py -k drains_while",
    ),
    Mutant(
        "broker: one that takes over asks what the engines run",
        "bluebellpitch/roles/broker_takeover.py",
        "        for address in self._zone_addresses():\n",
        "        for address in ():\n",
        "tests/test_broker_takeover.py",
    ),
    Mutant(
        "broker: one that is used again is told what another granted",
        "bluebellpitch/roles/generation_broker_client.py",
        "        self._report_to_new_broker(broker_vm, work.pool)\n",
        "",
        "tests/test_broker_takeover.py",
    ),
    Mutant(
        "route: a response without an id is not taken for this request's",
        "bluebellpitch/endpoints/attempt.py",
        "            if not head.request_id:\n",
        "            if not head.request_id:\n                return head\n            if False:\n",
        "tests/test_faulty_answers.py -k old_refusal",
    ),
    Mutant(
        "rank: the route's rank decides among members of equal rank",
        "bluebellpitch/decisions/catalogue.py",
        "return self._urgency_by_ranks[(first_rank, route.rank)]",
        "return min(first_rank, URGENCY_LEVELS - 1)",
        "tests/test_platform.py -k rank",
    ),
    Mutant(
        "endless: a response without end is cut",
        "bluebellpitch/http1/client.py",
        "if size > max_bytes:",
        "if False:",
        "tests/test_endless_responses.py -k body",
    ),
    Mutant(
        "endless: all messages together stay within the memory",
        "bluebellpitch/decisions/buffer_budget.py",
        "if more > 0 and self._missing_bytes(size) > 0:",
        "if False:",
        "tests/test_buffers.py -k together",
    ),
    Mutant(
        "endless: what a request held is given back",
        "bluebellpitch/endpoints/attempt.py",
        "        self._buffer.release()\n",
        "",
        "tests/test_buffers.py -k nothing_is_held",
    ),
    *ENDPOINT_MUTANTS,
    *CONFIGURATION_MUTANTS,
    *ERA_MUTANTS,
    *SHUTDOWN_MUTANTS,
    *ANNOUNCEMENT_MUTANTS,
    *SIZE_MUTANTS,
    *LEASE_MUTANTS,
    *USAGE_MUTANTS,
    *ZONES_MUTANTS,
    *RETRY_MUTANTS,
    *SCALING_MUTANTS,
)


def survives(mutant: Mutant, folder: Path) -> bool:
    """Returns whether the test passes without the mechanism."""
    copy = folder / "copy"
    shutil.copytree(ROOT, copy, ignore=LEFT_OUT)
    try:
        path = copy / mutant.path
        text = path.read_text()
        if mutant.old not in text:
            raise SystemExit(f"mutant '{mutant.what}': {mutant.path} has changed")
        path.write_text(text.replace(mutant.old, mutant.new, 1))
        words = mutant.test.split()
        if words[0] != "soak":
            words = ["pytest", "-q", "-x", "-p", "no:cacheprovider", *words]
        command = [sys.executable, "-m", *words]
        run = subprocess.run(command, cwd=copy, capture_output=True, timeout=PATIENCE_S)
        return run.returncode == 0
    finally:
        shutil.rmtree(copy)


def main(words: list[str]) -> int:
    """Runs the mutants whose description contains one of ``words``, or all without words."""
    survivors = 0
    for mutant in MUTANTS:
        if words and not any(word in mutant.what for word in words):
            continue
        with tempfile.TemporaryDirectory() as folder:
            alive = survives(mutant, Path(folder))
        survivors += alive
        print(f"{'SURVIVES' if alive else 'caught  '} without: {mutant.what}", flush=True)
    print(f"{survivors} mutants survive")
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
