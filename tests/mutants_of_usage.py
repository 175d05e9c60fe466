"""Mutants of usage reports."""

from tests.mutant import Mutant

REPORTS_TEST = "tests/test_usage_reports.py"
COUNTS_TEST = "tests/test_usage_counts.py"
LEDGER = "bluebellpitch/decisions/duties/usage_ledger.py"
REPORTS = "bluebellpitch/decisions/duties/usage_reports.py"
WINDOWS = "bluebellpitch/decisions/duties/usage_windows.py"
GATHERER = "bluebellpitch/roles/duties/usage_gatherer.py"
REPORTER = "bluebellpitch/roles/duties/usage_reporter.py"

USAGE_MUTANTS = (
    Mutant(
        "usage: an older count does not replace a newer one",
        LEDGER,
        "if (added := count - counts[member]) > 0:",
        "if (added := count - counts[member]) != 0:",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: what changed is sent twice",
        LEDGER,
        "keys = self._changed | self._sent_once",
        "keys = self._changed",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: a new collector or holder is told everything",
        GATHERER,
        "if is_new:",
        "if False:",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: a VM that ends passes on its last counts",
        GATHERER,
        '        self._next_send_at = float("-inf")\n        self._pass_on(self._now())\n',
        "        return\n",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: a new holder takes over what was settled",
        REPORTER,
        "stored = decode_windows(self._holder.values_by_key)",
        "stored = ()",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: what may have been settled in a lost era is not reported",
        REPORTS,
        "if newest is None or newest.era != era:",
        "if False:",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: a jump of the time of day has to last",
        WINDOWS,
        "        if now - self._jumped_at < self._hold_s():\n            return False\n",
        "",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: a VM that started during a jump follows the clock back",
        WINDOWS,
        "return min(MAX_JUMP_HOLD_S, max(MIN_JUMP_HOLD_S, lasted_s))",
        "return MAX_JUMP_HOLD_S",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: a holder without a way to the API gives the duty back",
        REPORTER,
        "if self._unanswered >= UNANSWERED_TO_GIVE_BACK:",
        "if False:",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: a window without an answer does not hold up the next one",
        REPORTER,
        "                    self.reports.record_unanswered(window)\n",
        "                    pass\n",
        f"{REPORTS_TEST} -k hold_up",
    ),
    Mutant(
        "usage: windows that are hopelessly late are given up",
        REPORTER,
        "        for window in self.reports.give_up(time):\n"
        '            self._record_outcome(window, "missed")\n',
        "",
        REPORTS_TEST,
    ),
    Mutant(
        "usage: a request counts once",
        "bluebellpitch/callers/routed_requests.py",
        "if admitted.member is not None and not self._is_counted:",
        "if admitted.member is not None:",
        COUNTS_TEST,
    ),
)
