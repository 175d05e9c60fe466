"""Keeps one request from crashing more endpoints, by its own record and by that of its parts."""

import asyncio
from collections.abc import Callable, Coroutine

from bluebellpitch.callers.admission import AdmittedRequest
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.strikes import IsolationLevel
from bluebellpitch.logs import log
from bluebellpitch.roles.crash_reporter import CrashReporter, LostRun
from bluebellpitch.roles.crash_tracker import CrashTracker
from bluebellpitch.roles.strike_replicator import StrikeReplicator
from bluebellpitch.tasks import cancel_and_wait
from bluebellpitch.verdicts import DidNotRun, MayHaveRun, Ran, Verdict

CRASHING_REQUEST_RETRY_AFTER_S = 60.0


class CrashGuard:
    """What is known of one admitted request. ``now`` is the VM's clock, in seconds."""

    def __init__(
        self,
        strikes: StrikeReplicator,
        crashes: CrashTracker,
        reporter: CrashReporter,
        now: Callable[[], float],
        admitted: AdmittedRequest,
    ):
        self._strikes = strikes
        self._crashes = crashes
        self._reporter = reporter
        self._now = now
        self._request = admitted.request
        self._parts = admitted.request.prompt.shared_part_ids
        self._fingerprint = digest_request(admitted)

    def refusal(self, was_tried: bool) -> DidNotRun | MayHaveRun | None:
        """Returns why the request must not be sent, or None if it may be."""
        now, tracker = self._now(), self._strikes.tracker
        is_refused = tracker.isolation_level(self._fingerprint, now) is IsolationLevel.REFUSED
        if not is_refused and not self._crashes.find_deadly(self._parts):
            return None
        log(
            "WARNING",
            "crashes_endpoints",
            request=self._request.id,
            strikes=tracker.count(self._fingerprint, now),
            parts=",".join(self._parts),
            tried=was_tried,
        )
        if was_tried:
            return MayHaveRun("crashes_endpoints")
        return DidNotRun("crashes_endpoints", 503, CRASHING_REQUEST_RETRY_AFTER_S)

    async def run(
        self, dispatch: Coroutine, has_response: Callable[[], bool], was_tried: Callable[[], bool]
    ) -> Verdict:
        """Runs ``dispatch``; stops it before a response if the parts turn out to be deadly."""
        had_strikes = self._strikes.tracker.count(self._fingerprint, self._now())
        if self._parts:
            verdict = await self._run_watched(dispatch, has_response, was_tried)
        else:
            verdict = await dispatch
        if had_strikes and isinstance(verdict, Ran):
            self._strikes.clear(self._fingerprint)
        return verdict

    async def _run_watched(self, dispatch: Coroutine, has_response, was_tried) -> Verdict:
        with self._crashes.watch(self._parts) as is_deadly:
            task = asyncio.ensure_future(dispatch)
            try:
                await asyncio.wait({task, is_deadly}, return_when=asyncio.FIRST_COMPLETED)
                if task.done() or has_response():
                    return await task
                return self.refusal(was_tried()) or await task
            finally:
                if not task.done():
                    await cancel_and_wait(task)

    async def report_lost_run(self, entry: EndpointEntry, began_at: float) -> None:
        """Reports a run whose response was lost; ``began_at`` is its first event's time, or 0."""
        now = self._now()
        run = LostRun(
            request_id=self._request.id,
            fingerprint=self._fingerprint,
            parts=tuple(part.id for part in self._request.prompt.parts),
            lost_at=now,
            first_event_age_s=now - began_at if began_at else None,
        )
        await self._reporter.report(entry, run)

    def record_survival(self, began_at: float) -> None:
        """Records that a run of the request survived, which began at ``began_at``."""
        self._crashes.record_survival(self._parts, began_at)


def digest_request(admitted: AdmittedRequest) -> str:
    """Returns the fingerprint that repeats of a request share."""
    request, member = admitted.request, admitted.member
    return digest_text(
        request.method,
        request.target,
        member.name if member else "",
        *(part.id for part in request.prompt.parts),
        request.body,
    )
