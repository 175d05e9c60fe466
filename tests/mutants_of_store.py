"""Mutants of large configurations, the store's era, planned stops and endpoints' announcements."""

from tests.mutant import Mutant

CONFIGURATION_MUTANTS = (
    Mutant(
        "large messages between VMs are compressed",
        "bluebellpitch/peers/messages.py",
        "    if len(data) <= COMPRESS_ABOVE_BYTES:\n",
        "    if True:\n",
        "tests/test_large_configuration.py",
    ),
    Mutant(
        "a configuration is requested from one peer at a time",
        "bluebellpitch/roles/peer_sync.py",
        "        if now - self._requested_configuration_at < CONFIGURATION_RESPONSE_TIMEOUT_S:\n"
        "            return\n",
        "",
        "tests/test_large_configuration.py",
    ),
    Mutant(
        "what a VM alone had missed is not sent to the zone",
        "bluebellpitch/roles/topic_follower.py",
        "        if not unreadable and not self.has_gap:\n",
        "        if not unreadable:\n",
        "tests/test_large_configuration.py",
    ),
)
ERA_MUTANTS = (
    Mutant(
        "outage: an answer that a peer got ends it",
        "bluebellpitch/roles/topic_follower.py",
        '        self._record_answer(confirmed_at, "peer")\n',
        "",
        "tests/test_store_outages.py",
    ),
    Mutant(
        "era: a page of another era is not applied",
        "bluebellpitch/roles/topic_follower.py",
        "        if is_other_era(page.era, self._era) or not has_offset(page, start):\n",
        "        if not has_offset(page, start):\n",
        "tests/test_restored_store.py",
    ),
    Mutant(
        "era: records of a peer are compared with their era",
        "bluebellpitch/roles/topic_follower.py",
        "        if is_other_era(update.era, self._era):\n            self._record_gap(update)\n",
        "        if False:\n            self._record_gap(update)\n",
        "tests/test_restored_store.py",
    ),
    Mutant(
        "era: records of a past era are dropped",
        "bluebellpitch/roles/topic_follower.py",
        "        if self._is_past(update.era):\n",
        "        if False:\n",
        "tests/test_restored_store.py",
    ),
    Mutant(
        "era: a read soon after the return confirms no configuration",
        "bluebellpitch/roles/store_watchers.py",
        "        if self.is_checked and self.store_era.is_rewritten(self._store_known_at):\n",
        "        if self.is_checked:\n",
        "tests/test_restored_configuration.py",
    ),
    Mutant(
        "era: a VM that starts asks its peers for a newer configuration",
        "bluebellpitch/roles/store_watchers.py",
        "        self.is_checked = False\n",
        "        self.is_checked = True\n",
        "tests/test_restored_configuration.py",
    ),
    Mutant(
        "era: a VM that starts learns from peers when the era began",
        "bluebellpitch/roles/peer_sync.py",
        "        if reply.era is not None:\n",
        "        if False:\n",
        "tests/test_restored_configuration.py",
    ),
    Mutant(
        "era: a draining endpoint stays so until it starts again",
        "bluebellpitch/decisions/directory.py",
        "            return is_same_start and known.is_draining and not entry.is_draining\n",
        "            return False\n",
        "tests/test_entry_decisions.py",
    ),
    Mutant(
        "era: a removed endpoint returns only with an entry written since",
        "bluebellpitch/decisions/directory.py",
        "        return 0 < entry.sequence <= removed.sequence\n",
        "        return False\n",
        "tests/test_restored_store.py",
    ),
    Mutant(
        "era: a VM registers again",
        "bluebellpitch/roles/peer_discovery.py",
        "            registered = registered and (not was_read or self._is_listed)\n",
        "",
        "tests/test_store_era.py",
    ),
    Mutant(
        "era: a lost claim keeps its position",
        "bluebellpitch/decisions/claims.py",
        "                return self._apply_claim(record, min(position, record.lost_position))\n",
        "                return self._apply_claim(record, position)\n",
        "tests/test_restored_claims.py",
    ),
    Mutant(
        "era: lost claims are appended again",
        "bluebellpitch/roles/claim_coordinator.py",
        "        for record in missing:\n",
        "        for record in ():\n",
        "tests/test_restored_claims.py",
    ),
    Mutant(
        "era: lost changes of the table are appended again",
        "bluebellpitch/roles/control_log_replica.py",
        "            if self._restore_task is None or self._restore_task.done():\n",
        "            if False:\n",
        "tests/test_restored_log.py",
    ),
    Mutant(
        "era: the state in force stays until the new one lacks nothing",
        "bluebellpitch/roles/control_log_replica.py",
        "        if lost and self._now() - self._replacement_began_at < RESTORE_TIMEOUT_S:\n",
        "        if False:\n",
        "tests/test_restored_log.py",
    ),
    Mutant(
        "era: changes of a log that was read anew can be lost again",
        "bluebellpitch/roles/control_log_replica.py",
        "        self._install(self._replacement, self._replacement_entries)\n",
        "        self._install(self._replacement, ())\n",
        "tests/test_restored_log.py -k twice",
    ),
    Mutant(
        "era: a VM of serve that starts waits for lost changes",
        "bluebellpitch/node.py",
        "        is_complete = self._was_ready or self.store_era.is_rewritten(self.now())\n",
        "        is_complete = True\n",
        "tests/test_restored_log.py -k starts_in",
    ),
    Mutant(
        "era: a lost change does not undo a deletion made since",
        "bluebellpitch/decisions/control.py",
        "        return max(self.revision_of(key), self.state.deletions_by_key.get(key, -1))\n",
        "        return self.revision_of(key)\n",
        "tests/test_restored_log.py",
    ),
)
SHUTDOWN_MUTANTS = (
    Mutant(
        "route: a stopping VM finishes its requests",
        "bluebellpitch/draining.py",
        "    while http.busy_connections and schedule.time_left_s(now()) > 0:\n",
        "    while False:\n",
        "soak --seed 14 --seconds 15 --vms 2 --only vm_stop",
    ),
    Mutant(
        "route: a request that the grace has no time for is refused",
        "bluebellpitch/callers/routed_requests.py",
        "        elif context.shutdown.is_refusing or not self._has_time(admitted, now):\n",
        "        elif context.shutdown.is_refusing:\n",
        "tests/test_planned_stop.py",
    ),
    Mutant(
        "route: an open request is answered before the process ends",
        "bluebellpitch/draining.py",
        "    shutdown.must_answer.set()\n",
        "",
        "tests/test_planned_stop.py",
    ),
    Mutant(
        "serve: an open request is answered before the process ends",
        "bluebellpitch/node.py",
        "        shutdown.must_answer.set()\n",
        "",
        "tests/test_planned_stop.py",
    ),
)
ANNOUNCEMENT_MUTANTS = (
    Mutant(
        "announced: route holds an endpoint for leaving once it says so",
        "bluebellpitch/callers/routed_requests.py",
        "        if head.is_leaving:\n",
        "        if False:\n",
        "tests/test_leaving_header.py",
    ),
    Mutant(
        "announced: route sends nothing during a pause",
        "bluebellpitch/callers/routed_requests.py",
        "        if head.pause_s is not None:\n",
        "        if False:\n",
        "tests/test_named_pauses.py",
    ),
    Mutant(
        "announced: serve holds an endpoint for leaving once it says so",
        "bluebellpitch/context.py",
        "        if told.is_leaving:\n",
        "        if False:\n",
        "tests/test_serve_announcements.py",
    ),
    Mutant(
        "announced: serve sends nothing during a pause",
        "bluebellpitch/context.py",
        "        if told.pause_s is not None:\n",
        "        if False:\n",
        "tests/test_serve_announcements.py",
    ),
)
