"""The retry budget as request tasks use it: this VM's part, and loans between VMs."""

import asyncio
from collections.abc import Callable

from bluebellpitch.decisions.retry_budget import RetryBudget, SpentRetry
from bluebellpitch.decisions.retry_loans import RetryBorrower
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.retry_messages import RetryLoan, RetryLoanRequest
from bluebellpitch.platform.settings_file import VmSettings
from bluebellpitch.roles.peer_discovery import PeerDiscovery

# How long a request without a retry waits for one from another VM.
MAX_LOAN_WAIT_S = 0.1


class SharedRetryBudget:
    """Owns this VM's budget. VMs borrow and lend where all of them share a burst.

    ``peers`` returns the bus addresses of the VMs that share the budget, ``vm_count`` how many
    there may be, and ``may_lend`` whether this VM knows enough of them to lend.
    """

    def __init__(
        self,
        budget: RetryBudget,
        vm_key: str,
        address: str,
        peers: Callable[[], list[str]],
        vm_count: Callable[[], int],
        may_lend: Callable[[], bool],
        send_to_address: Callable[[str, RetryLoan | RetryLoanRequest], None],
        metrics: Metrics,
        now: Callable[[], float],
    ):
        self._budget = budget
        self._borrower = RetryBorrower(vm_key)
        self._address = address
        self._peers = peers
        self._vm_count = vm_count
        self._may_lend = may_lend
        self._send_to_address = send_to_address
        self._metrics = metrics
        self._now = now
        self._loan_arrived = asyncio.Event()

    def record_request(self, pool: str) -> None:
        """Records a request of a caller."""
        self._budget.record_request(pool, self._now())

    def remaining(self, pool: str) -> float:
        """Returns how many retries this VM may send now."""
        return self._budget.remaining(pool, self._vm_count(), self._now())

    async def spend(self, pool: str, give_up_at: float) -> SpentRetry | None:
        """Uses one retry; waits a moment, at most until ``give_up_at``, if one may be borrowed."""
        give_up_at = min(give_up_at, self._now() + MAX_LOAN_WAIT_S)
        self._budget.record_demand(pool, self._now())
        retry = self._spend(pool)
        self._borrow_if_short(pool)
        while retry is None:
            answer_until = self._borrower.may_answer_until(pool, MAX_LOAN_WAIT_S)
            wait_s = min(give_up_at, answer_until) - self._now()
            if wait_s <= 0 or not await self._wait_for_loan(wait_s):
                return None
            retry = self._spend(pool)
            self._borrow_if_short(pool)
        return retry

    def _spend(self, pool: str) -> SpentRetry | None:
        return self._budget.spend(pool, self._vm_count(), self._now())

    async def _wait_for_loan(self, timeout_s: float) -> bool:
        """Returns whether a loan has arrived in time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._loan_arrived.wait()
        except TimeoutError:
            return False

    def renew(self, retry: SpentRetry) -> SpentRetry | None:
        """Returns the retry if it may still be sent, otherwise another one if any is left."""
        return retry if self._now() < retry.expires_at else self._spend(retry.pool)

    def _borrow_if_short(self, pool: str) -> None:
        now = self._now()
        if not self._budget.burst or not self._borrower.is_due(pool, now):
            return
        count = self._budget.shortfall(pool, self._vm_count(), now)
        if not count:
            return
        request = self._borrower.next_request(pool, count, self._peers(), now)
        if request is not None:
            message = RetryLoanRequest(request.id, pool, count, self._address)
            self._send_to_address(request.lender, message)

    def handle_message(self, message: RetryLoanRequest | RetryLoan) -> None:
        """Handles a message of a borrower or lender."""
        match message:
            case RetryLoanRequest():
                self._lend(message)
            case RetryLoan():
                self._accept(message)

    def _lend(self, request: RetryLoanRequest) -> None:
        if not self._may_lend() or not self._budget.burst:
            return
        pool, now = request.pool, self._now()
        count = self._budget.lend(pool, request.count, self._vm_count(), now)
        if count:
            self._metrics.retries_lent.labels(pool).inc(count)
            log("INFO", "retries_lent", loan=request.loan_id, pool=pool, count=count)
            self._send_to_address(request.reply_to, RetryLoan(request.loan_id, count))

    def _accept(self, loan: RetryLoan) -> None:
        now = self._now()
        request = self._borrower.accept(loan.loan_id, now)
        if request is None:
            log("INFO", "retries_not_borrowed", loan=loan.loan_id, count=loan.count)
            return
        self._budget.borrow(request.pool, loan.count, request.expires_at, now)
        self._metrics.retries_borrowed.labels(request.pool).inc(loan.count)
        waited_ms = f"{(now - request.asked_at) * 1000:.0f}"
        named = {"loan": loan.loan_id, "pool": request.pool, "count": loan.count}
        log("INFO", "retries_borrowed", **named, waited_ms=waited_ms)
        self._loan_arrived.set()
        self._loan_arrived = asyncio.Event()


def create_retry_budget(
    settings: VmSettings,
    bus: PeerBus,
    discovery: PeerDiscovery,
    is_draining: Callable[[], bool],
    metrics: Metrics,
    now: Callable[[], float],
) -> SharedRetryBudget:
    """Returns the budget of a VM that starts now."""
    budget = RetryBudget(
        settings.retry_budget_ratio,
        settings.retry_budget_burst,
        settings.retry_budget_window_s,
        started_at=now(),
    )
    return SharedRetryBudget(
        budget=budget,
        vm_key=bus.vm_key,
        address=settings.bus_address,
        peers=discovery.addresses,
        vm_count=discovery.possible_vm_count,
        may_lend=lambda: discovery.has_list and not is_draining(),
        send_to_address=bus.send_to_address,
        metrics=metrics,
        now=now,
    )
