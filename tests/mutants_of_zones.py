"""Mutants of spillover between zones."""

from tests.mutant import Mutant

TESTS = "tests/test_zone_spillover.py"
ZONES_MUTANTS = (
    Mutant(
        "a zone of the same region is nearer than another region",
        "bluebellpitch/decisions/zones/distances.py",
        "return SAME_REGION_DELAY_S if self.is_same_region(other) else CROSS_REGION_DELAY_S",
        "return CROSS_REGION_DELAY_S",
        TESTS,
    ),
    Mutant(
        "spillover counts for all zones that will send as much",
        "bluebellpitch/decisions/zones/remote_zones.py",
        "self.outlook.with_prompt(senders * tokens)",
        "self.outlook.with_prompt(tokens)",
        TESTS,
    ),
    Mutant(
        "old reports of other zones are not used",
        "bluebellpitch/decisions/zones/spillover.py",
        "        if zone.is_current(now)\n",
        "",
        TESTS,
    ),
    Mutant(
        "work spills over once only",
        "bluebellpitch/roles/zone_spillover.py",
        "if request.must_stay or not zones:",
        "if not zones:",
        TESTS,
    ),
    Mutant(
        "work comes home from a zone that is silent",
        "bluebellpitch/roles/generation_broker_client.py",
        '            self._withdraw_spillover(work)\n            return ""\n',
        "            return broker_vm\n",
        TESTS,
    ),
    Mutant(
        "a broker confirms work of other zones while it waits",
        "bluebellpitch/roles/generation_coordinator.py",
        "                self._confirm_queued()\n",
        "                pass\n",
        TESTS,
    ),
    Mutant(
        "a late refusal of a zone that was given up is ignored",
        "bluebellpitch/roles/generation_broker_client.py",
        "case WorkRefused(broker_address=address) if address in silent_zones:",
        "case WorkRefused(broker_address=address) if address in ():",
        TESTS,
    ),
    Mutant(
        "a late confirmation of a zone that was given up is ignored",
        "bluebellpitch/roles/generation_broker_client.py",
        "case WorkQueued(spillover_to=address) if address in silent_zones:",
        "case WorkQueued(spillover_to=address) if address in ():",
        TESTS,
    ),
    Mutant(
        "a broker is not blamed for the silence of another zone",
        "bluebellpitch/roles/generation_broker_client.py",
        "            if self._now() < spillover.give_up_at:\n                return broker_vm\n",
        "            self._liveness.exclude(broker_vm, self._now() + SILENT_BROKER_BACKOFF_S)\n",
        TESTS,
    ),
    Mutant(
        "a new broker is told what other zones have at its engines",
        "bluebellpitch/roles/generation_coordinator.py",
        "                self._takeover.collect_for_remote(message, self._now())\n",
        "",
        "tests/test_spillover_failures.py",
    ),
)
