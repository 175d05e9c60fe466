"""Mutants of the retry budget that VMs share."""

from tests.mutant import Mutant

TESTS = "tests/test_retry_loans.py"
RETRY_MUTANTS = (
    Mutant(
        "retries: what a VM lends counts as spent",
        "bluebellpitch/decisions/retry_budget.py",
        "        use.lent_until.extend([now + self._lent_s] * max(0, count))\n",
        "",
        TESTS,
    ),
    Mutant(
        "retries: a lent retry counts until the last one that the borrower may send",
        "bluebellpitch/decisions/retry_budget.py",
        "(self.window_s + LOAN_S) * (1 + MAX_CLOCK_DRIFT_RATIO) ** 2",
        "self.window_s",
        TESTS,
    ),
    Mutant(
        "retries: a loan ends",
        "bluebellpitch/decisions/retry_budget.py",
        "if loan.count and now < loan.expires_at]",
        "if loan.count]",
        TESTS,
    ),
    Mutant(
        "retries: a loan is answered once",
        "bluebellpitch/decisions/retry_loans.py",
        "requests.open_by_id.pop(loan_id, None)",
        "requests.open_by_id.get(loan_id)",
        TESTS,
    ),
    Mutant(
        "retries: a VM that starts spares what an earlier process may have spent",
        "bluebellpitch/decisions/retry_budget.py",
        "STARTING_BURST_SHARE = 1 - USABLE_BUDGET_SHARE",
        "STARTING_BURST_SHARE = USABLE_BUDGET_SHARE",
        TESTS,
    ),
    Mutant(
        "retries: a VM that starts lends nothing",
        "bluebellpitch/decisions/retry_budget.py",
        "if self._may_follow_another(now) or spare < 1.0:",
        "if spare < 1.0:",
        TESTS,
    ),
    Mutant(
        "retries: a borrowed one that is sent too late is not sent",
        "bluebellpitch/roles/shared_retry_budget.py",
        "return retry if self._now() < retry.expires_at else self._spend(retry.pool)",
        "return retry",
        TESTS,
    ),
    Mutant(
        "retries: a VM without one waits for a loan",
        "bluebellpitch/roles/shared_retry_budget.py",
        "MAX_LOAN_WAIT_S = 0.1",
        "MAX_LOAN_WAIT_S = 0.0",
        TESTS,
    ),
)
