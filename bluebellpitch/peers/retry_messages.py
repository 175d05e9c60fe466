"""Messages between entry VMs that lend each other parts of the retry budget."""

import msgspec


class RetryLoanRequest(msgspec.Struct, frozen=True, tag="retry_loan_asked"):
    """Asks for ``count`` retries of a pool. A VM that has none to spare does not answer."""

    loan_id: str
    pool: str
    count: int
    reply_to: str


class RetryLoan(msgspec.Struct, frozen=True, tag="retry_loan"):
    """Lends ``count`` retries; the loan's time runs from when the borrower asked."""

    loan_id: str
    count: int
