"""Logs and counts who holds a duty, under which token, and why that changed."""

from bluebellpitch.decisions.duties.lease import LeaseAppend, Term
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.platform.store import ConditionalVerdict


class DutyChanges:
    """Reports the changes of one VM's part in a duty."""

    def __init__(self, duty: str, metrics: Metrics):
        self._duty = duty
        self._metrics = metrics
        self._held: Term | None = None
        self._last_token = 0
        metrics.duty_held.labels(duty).set(0)
        metrics.duty_token.labels(duty).set(0)

    def report(self, term: Term | None, now: float, reason: str, event: str = "duty_lost") -> bool:
        """Logs if this VM no longer holds the duty, by ``event``, or holds it anew.

        Returns whether it holds it under a token that was not reported before.
        """
        held = term if term is not None and now < term.valid_until else None
        before, self._held = self._held, held
        if before is not None and (held is None or held.token != before.token):
            self._log_end(before, now, reason, event)
        if held is None or (before is not None and held.token == before.token):
            return False
        is_new = held.token != self._last_token
        self._last_token = held.token
        self._log_start(held, "new_term" if is_new else "resumed")
        return is_new

    def _log_start(self, term: Term, reason: str) -> None:
        self._count(reason, 1, term.token)
        log("INFO", "duty_acquired", duty=self._duty, token=term.token, reason=reason)

    def _log_end(self, term: Term, now: float, reason: str, event: str) -> None:
        self._count(reason, 0, 0)
        age_s = round(now - term.held_since, 1)
        log("INFO", event, duty=self._duty, token=term.token, reason=reason, age_s=age_s)

    def _count(self, reason: str, held: int, token: int) -> None:
        self._metrics.duty_held.labels(self._duty).set(held)
        self._metrics.duty_token.labels(self._duty).set(token)
        self._metrics.duty_changes.labels(self._duty, reason).inc()

    def report_append(self, append: LeaseAppend, verdict: ConditionalVerdict, kept: bool) -> None:
        """Counts an append, and logs one that is not certain to be kept."""
        self._metrics.duty_appends.labels(self._duty, verdict.name).inc()
        if not kept:
            log(
                "WARNING",
                "duty_renewal_failed",
                duty=self._duty,
                token=append.record.token,
                offset=append.at,
                verdict=verdict.name,
                reason=verdict.reason,
            )
