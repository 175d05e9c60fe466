"""Mutants of leases."""

from tests.mutant import Mutant

LEASE = "bluebellpitch/decisions/duties/lease.py"
HOLDER = "bluebellpitch/roles/duties/duty_holder.py"
MODEL = "tests/test_lease_model.py -k"
TASKS = "tests/test_duty_holder.py"
LEASE_MUTANTS = (
    Mutant(
        "lease: the holder's time counts from when it sent the append",
        LEASE,
        "            valid_until=append.sent_at + self.lease_s,\n",
        "            valid_until=now + self.lease_s,\n",
        f"{TASKS} -k late_answer",
    ),
    Mutant(
        "lease: a VM that may have given the lease back does not act on",
        HOLDER,
        "            self._state.invalidate_term()\n",
        "            self._state.refuse()\n",
        f"{TASKS} -k may_have_given_back",
    ),
    Mutant(
        "lease: values of an earlier term are not kept under a later one",
        HOLDER,
        "if term is None or term.token != token:",
        "if term is None:",
        f"{TASKS} -k values_of_an_earlier_term",
    ),
    Mutant(
        "lease: a call begins only with time left for it",
        HOLDER,
        "        if not lease.allows_call(now):\n            return None\n",
        "",
        f"{TASKS} -k suspended",
    ),
    Mutant(
        "lease: a candidate waits for a whole lease",
        LEASE,
        "            return seen.since + whole_s\n",
        "            return seen.since\n",
        f"{TASKS} -k dies",
    ),
    Mutant(
        "lease: an append is made on condition of the topic's end",
        "bluebellpitch/platform/store.py",
        '("" if at is None else f"&at={at}")',
        '""',
        "tests/test_conditional_appends.py",
    ),
    Mutant(
        "lease: of two candidates one is refused",
        HOLDER,
        "            case EndMoved():\n                self._state.refuse()\n",
        "            case EndMoved(end_offset, era):\n"
        "                is_kept = self._state.accept(append, append.at, 1, era, now)\n",
        f"{TASKS} -k race",
    ),
    Mutant(
        "lease: an answer of another era acquires nothing",
        LEASE,
        "        if self._present_era(era) != append.era or offset != append.at:\n",
        "        if offset != append.at:\n",
        f"{MODEL} acquires_nothing",
    ),
    Mutant(
        "lease: a token of another era is not taken up again",
        LEASE,
        "        return token // TOKENS_PER_ERA == era and token >= self._highest_token\n",
        "        return True\n",
        f"{MODEL} renews_nothing",
    ),
    Mutant(
        "lease: after a restore a free duty is not taken at once",
        LEASE,
        "        return max(seen.since + free_in_s, self._era_since() + whole_s)\n",
        "        return seen.since + free_in_s\n",
        f"{TASKS} -k earlier_record",
    ),
    Mutant(
        "lease: after a restore a holder goes on only if no other's record is there",
        LEASE,
        "            self.term = self._interrupted = None\n        elif",
        "            self.term, self._interrupted = None, self._interrupted or term\n        elif",
        f"{TASKS} -k another_vms_record",
    ),
    Mutant(
        "lease: who finds another's record has lost it",
        LEASE,
        "            self.term = self._interrupted = None\n        elif",
        "            self._interrupted = None\n        elif",
        f"{TASKS} -k suspended",
    ),
    Mutant(
        "lease: who gave a duty back does not take it at once",
        LEASE,
        "not in (record.vm, *record.recent_vms)\n",
        "not in record.recent_vms\n",
        f"{TASKS} -k given_back",
    ),
    Mutant(
        "lease: who held a duty a moment ago does not take it at once",
        LEASE,
        "not in (record.vm, *record.recent_vms)\n",
        "!= record.vm\n",
        f"{MODEL} moment_ago",
    ),
    Mutant(
        "lease: the next holder waits for calls under way",
        LEASE,
        "        free_in_s = record.free_in_s if record else 0.0\n",
        "        free_in_s = 0.0\n",
        f"{MODEL} under_way",
    ),
    Mutant(
        "lease: a planned stop gives it back",
        HOLDER,
        '        await self._leave("duty_released", "stopping", timeout_s)\n',
        "        self._is_leaving = True\n",
        f"{TASKS} -k at_once",
    ),
    Mutant(
        "lease: a holder short of processor time gives it back",
        HOLDER,
        '                await self.give_back("slow")\n',
        "                late_wakes = 0\n",
        f"{TASKS} -k waking_late",
    ),
    Mutant(
        "lease: an acquisition whose answer was lost is found",
        LEASE,
        "        elif is_held and self._is_present_token(record.token, seen.era):\n",
        "        elif False:\n",
        f"{TASKS} -k lost_answers",
    ),
)
