"""Which VM to ask for retries and when, and which answers count."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bluebellpitch.decisions.hashing import rank_owners
from bluebellpitch.decisions.retry_budget import LOAN_S

# Time between two requests for retries of one pool that are not answered, doubled with each of
# them. After an answer the next may follow at once: the budget itself bounds those.
MIN_ASK_INTERVAL_S = 0.1
MAX_ASK_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Retries of a pool asked for at ``asked_at``, from the VM at the bus address ``lender``."""

    id: str
    pool: str
    count: int
    lender: str
    asked_at: float

    @property
    def expires_at(self) -> float:
        """When the loan ends here; at the lender, which counts from its answer, later."""
        return self.asked_at + LOAN_S


@dataclass(slots=True)
class PoolRequests:
    """The open requests of one pool, and how long to wait until the next one."""

    interval_s: float = 0.0
    asked_at: float = float("-inf")
    open_by_id: dict[str, LoanRequest] = field(default_factory=dict)


class RetryBorrower:
    """Requests of one VM, whose ids begin with ``vm_key``, for retries of others."""

    def __init__(self, vm_key: str):
        self._vm_key = vm_key
        self._last_number = 0
        self._requests_by_pool: dict[str, PoolRequests] = {}

    def is_due(self, pool: str, now: float) -> bool:
        """Returns whether another request for retries of a pool may be sent."""
        requests = self._requests_by_pool.get(pool)
        return requests is None or now - requests.asked_at >= requests.interval_s

    def next_request(
        self, pool: str, count: int, lenders: Iterable[str], now: float
    ) -> LoanRequest | None:
        """Returns a request to the next lender in turn, None without any."""
        ranked = rank_owners(self._vm_key, lenders)
        if not ranked:
            return None
        requests = self._requests_by_pool.setdefault(pool, PoolRequests())
        self._drop_expired(requests, now)
        requests.interval_s = self._next_interval_s(requests)
        requests.asked_at = now
        self._last_number += 1
        lender = ranked[self._last_number % len(ranked)]
        request = LoanRequest(f"{self._vm_key}/{self._last_number}", pool, count, lender, now)
        requests.open_by_id[request.id] = request
        return request

    def _drop_expired(self, requests: PoolRequests, now: float) -> None:
        open_requests = requests.open_by_id.items()
        requests.open_by_id = {key: r for key, r in open_requests if now < r.expires_at}

    def _next_interval_s(self, requests: PoolRequests) -> float:
        if not requests.open_by_id:
            return MIN_ASK_INTERVAL_S
        return min(MAX_ASK_INTERVAL_S, max(MIN_ASK_INTERVAL_S, 2 * requests.interval_s))

    def accept(self, loan_id: str, now: float) -> LoanRequest | None:
        """Returns the request that a loan answers; None if it came too late or was answered."""
        for requests in self._requests_by_pool.values():
            request = requests.open_by_id.pop(loan_id, None)
            if request is not None:
                requests.interval_s = 0.0
                return request if now < request.expires_at else None
        return None

    def may_answer_until(self, pool: str, within_s: float) -> float:
        """Returns until when to wait for an answer to the last request, if any is open."""
        requests = self._requests_by_pool.get(pool)
        if requests is None or not requests.open_by_id:
            return float("-inf")
        return requests.asked_at + within_s
