"""Mutants of what is known of endpoints: crashes, the limits that they name, and speeds."""

from tests.mutant import Mutant

CRASH_MUTANTS = (
    Mutant(
        "crashes: a connection without an answer is no crash",
        "bluebellpitch/roles/crash_reporter.py",
        '            log("INFO", "crash_not_shown", endpoint=entry.id, error=error)\n'
        "            return False\n",
        "            return True\n",
        "tests/test_crashes.py -k no_answer",
    ),
    Mutant(
        "crashes: an endpoint is down only if it refuses a connection",
        "bluebellpitch/roles/crash_reporter.py",
        "        connection.close()\n        return False\n",
        "        connection.close()\n        return True\n",
        "tests/test_crashes.py -k far_away",
    ),
    Mutant(
        "crashes: a prompt with a deadly part is refused",
        "bluebellpitch/callers/crash_guard.py",
        "if not is_refused and not self._crashes.find_deadly(self._parts):",
        "if not is_refused:",
        "tests/test_crashes.py -k neighbours",
    ),
    Mutant(
        "crashes: a request that waits or is being read is stopped by the verdict",
        "bluebellpitch/roles/crash_tracker.py",
        "                future.set_result(None)\n",
        "                pass\n",
        "tests/test_crashes.py -k being_read",
    ),
    Mutant(
        "crashes: a VM that starts learns what the others know",
        "bluebellpitch/roles/crash_tracker.py",
        '        """Sends all evidence to a VM."""\n',
        "        return\n",
        "tests/test_crashes.py -k starts_after",
    ),
    Mutant(
        "crashes: a part that later runs survived is cleared",
        "bluebellpitch/decisions/crash_evidence.py",
        "        return lost - self.cleared_parts\n",
        "        return lost\n",
        "tests/test_crash_evidence.py",
    ),
    Mutant(
        "crashes: machines that fail at one moment count once",
        "bluebellpitch/decisions/crash_evidence.py",
        "if at - last >= MOMENT_S or requests & lost:",
        "if True:",
        "tests/test_crash_evidence.py",
    ),
    Mutant(
        "crashes: a crash that is explained counts against no bystander",
        "bluebellpitch/decisions/crash_evidence.py",
        "            unexplained -= explained\n",
        "            unexplained -= {min(explained)}\n",
        "tests/test_crash_evidence.py",
    ),
)
STALL_MUTANTS = (
    Mutant(
        "slow: an unread response counts as held",
        "bluebellpitch/http1/server_connection.py",
        "            self._unread_share.record(unsent_bytes + READ_AHEAD_BYTES)\n",
        "",
        "tests/test_stalled_callers.py",
    ),
    Mutant(
        "slow: an endpoint that ends an unread stream is not blamed",
        "bluebellpitch/endpoints/attempt.py",
        "pauses.explain_cut(self._now())",
        "False",
        "tests/test_slow_readers.py -k blame",
    ),
    Mutant(
        "broker: the VMs of other zones are asked for one that takes over",
        "bluebellpitch/roles/broker_takeover.py",
        "        request = HeldWorkRequest(load.pool, load.zone, load.reply_to)\n"
        "        for address in self._zone_addresses():\n",
        "        request = HeldWorkRequest(load.pool, load.zone, load.reply_to)\n"
        "        for address in ():\n",
        "tests/test_spillover_failures.py -k new_broker",
    ),
    Mutant(
        "serve: bytes that are no token do not keep a stream alive",
        "bluebellpitch/endpoints/engine.py",
        "            if buffer.done or has_data(events):\n",
        "            if data:\n",
        "tests/test_stalled_streams.py",
    ),
)

LIMIT_MUTANTS = (
    Mutant(
        "limits: a broker counts its grants against what the engine named",
        "bluebellpitch/decisions/generation_broker.py",
        "        self.placement.limits.take_turn(engine.key, now)\n",
        "",
        "tests/test_named_limits.py -k broker",
    ),
    Mutant(
        "limits: a VM tells the broker what an engine named",
        "bluebellpitch/roles/endpoint_allocator.py",
        "            self._broker_client.report_limit(placement.grant, limit_per_s)\n",
        "",
        "tests/test_named_limits.py -k engine_gets",
    ),
    Mutant(
        "limits: a VM uses no more than its share of a service's limit",
        "bluebellpitch/roles/endpoint_allocator.py",
        "        share = 1 / self._vm_count()\n",
        "        share = 1.0\n",
        "tests/test_named_limits.py -k service_gets",
    ),
    Mutant(
        "limits: a turn that was not used is lost",
        "bluebellpitch/decisions/named_limits.py",
        "        if missed_s > 0:\n",
        "        if False:\n",
        "tests/test_named_limits.py -k shares",
    ),
    Mutant(
        "limits: a new broker is told the limits that others know",
        "bluebellpitch/roles/generation_broker_client.py",
        "        self._report_limits(request)\n",
        "",
        "tests/test_broker_takeover.py -k limit",
    ),
    Mutant(
        "limits: serve's broker counts its grants against what the endpoint named",
        "bluebellpitch/decisions/endpoint_selection.py",
        "        if self._limits.wait_s((name, 0), now) > 0:\n",
        "        if False:\n",
        "tests/test_serve_limits.py",
    ),
)

SPEED_TESTS = "tests/test_engine_speeds.py"
SPEED_MUTANTS = (
    Mutant(
        "a slowdown is forgotten with age",
        "bluebellpitch/decisions/engine_speeds.py",
        "return 0.5 ** (max(0.0, now - self.sampled_at) / SPEED_HALF_LIFE_S)",
        "return 1.0 if self.sample_count else 0.0",
        SPEED_TESTS,
    ),
    Mutant(
        "reading begins at the end of the prompt before",
        "bluebellpitch/decisions/engine_speeds.py",
        "began_at = max(self._read_until, now - since_sent_s + fixed_s)",
        "began_at = now - since_sent_s + fixed_s",
        SPEED_TESTS,
    ),
    Mutant(
        "a slow engine does not count for the speed of the pool",
        "bluebellpitch/decisions/engine_placement.py",
        "            and self._has_usual_speed(engine, now)\n",
        "",
        SPEED_TESTS,
    ),
    Mutant(
        "prompts are placed by the speed of each engine",
        "bluebellpitch/decisions/engine_placement.py",
        "s_per_token = self.speed.s_per_token * self.slowdown(engine, now)\n"
        "        return engine",
        "s_per_token = self.speed.s_per_token\n        return engine",
        SPEED_TESTS,
    ),
    Mutant(
        "a slowdown that a response names is forgotten with age",
        "bluebellpitch/decisions/loads.py",
        "weight = 0.5 ** ((now - self.slowdown_at) / SLOWDOWN_HALF_LIFE_S)",
        "weight = 1.0",
        "tests/test_service_failures.py",
    ),
    Mutant(
        "an endpoint that answers nothing is left out for a while",
        "bluebellpitch/roles/endpoint_allocator.py",
        "                load.record_silence(now)\n",
        "",
        "tests/test_service_failures.py",
    ),
)

ENDPOINT_MUTANTS = (*CRASH_MUTANTS, *LIMIT_MUTANTS, *SPEED_MUTANTS, *STALL_MUTANTS)
