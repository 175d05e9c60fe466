"""Finds out whether an endpoint that lost a run has crashed, and reports the crash."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.decisions.crash_evidence import SURVIVAL_S, SuspectRun
from bluebellpitch.decisions.endpoints import EndpointEntry
from bluebellpitch.errors import ConnectionRefusedByServerError, NotSentError
from bluebellpitch.http1 import ClientConnection
from bluebellpitch.logs import log
from bluebellpitch.roles.crash_tracker import CrashTracker
from bluebellpitch.roles.strike_replicator import StrikeReplicator

# A process that ends closes its listener at about the same time as its connections.
SETTLE_S = 0.02
CHECK_TIMEOUT_S = 0.4
# How long a run that was lost waits for the check before it may be sent again.
MAX_WAIT_S = 0.15


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run whose connection broke. ``parts`` are the ids of its prompt's parts.

    ``first_event_age_s`` is the time since its first event, None without any.
    """

    request_id: str
    fingerprint: str
    parts: tuple[str, ...]
    lost_at: float
    first_event_age_s: float | None

    def is_suspect(self) -> bool:
        """Returns whether the run may have crashed its endpoint, for one of its shared parts."""
        is_young = self.first_event_age_s is None or self.first_event_age_s < SURVIVAL_S
        return is_young and len(self.parts) > 1


class CrashReporter:
    """Owns the checks, one at a time for each incarnation of an endpoint.

    An endpoint has crashed if a new connection is refused after one was lost, and it had not said
    that it would leave. A connection that is not answered in time shows nothing: the endpoint may
    be far away, slow or cut off.
    """

    def __init__(
        self,
        strikes: StrikeReplicator,
        crashes: CrashTracker,
        has_left: Callable[[EndpointEntry], bool],
    ):
        self._strikes = strikes
        self._crashes = crashes
        self._has_left = has_left
        self._checks_by_incarnation: dict[str, asyncio.Task] = {}
        self._lost_by_incarnation: dict[str, list[LostRun]] = {}

    async def report(self, entry: EndpointEntry, run: LostRun) -> None:
        """Reports a lost run; returns when its endpoint is checked, or after ``MAX_WAIT_S``."""
        incarnation = f"{entry.id}/{entry.started_ms}"
        self._lost_by_incarnation.setdefault(incarnation, []).append(run)
        check = self._checks_by_incarnation.get(incarnation)
        if check is None:
            check = asyncio.create_task(self._check(entry, incarnation))
            self._checks_by_incarnation[incarnation] = check
        await asyncio.wait({check}, timeout=MAX_WAIT_S)

    async def _check(self, entry: EndpointEntry, incarnation: str) -> None:
        try:
            has_crashed = await self._has_crashed(entry)
        finally:
            del self._checks_by_incarnation[incarnation]
            lost_runs = self._lost_by_incarnation.pop(incarnation)
        if has_crashed:
            self._record_crash(entry, incarnation, lost_runs)

    async def _has_crashed(self, entry: EndpointEntry) -> bool:
        await asyncio.sleep(SETTLE_S)
        if self._has_left(entry):
            return False
        try:
            connection = await ClientConnection.open(entry.address, CHECK_TIMEOUT_S)
        except ConnectionRefusedByServerError:
            return True
        except NotSentError as error:
            log("INFO", "crash_not_shown", endpoint=entry.id, error=error)
            return False
        connection.close()
        return False

    def _record_crash(
        self, entry: EndpointEntry, incarnation: str, lost_runs: list[LostRun]
    ) -> None:
        for run in lost_runs:
            age_s = run.first_event_age_s
            log(
                "WARNING",
                "strike",
                request=run.request_id,
                endpoint=entry.id,
                parts=",".join(run.parts),
                first_event_age_ms=-1 if age_s is None else round(age_s * 1000),
            )
            self._strikes.record(run.fingerprint, incarnation)
        suspects = tuple(
            SuspectRun(run.request_id, run.parts[:-1]) for run in lost_runs if run.is_suspect()
        )
        if suspects:
            lost_at = min(run.lost_at for run in lost_runs)
            self._crashes.record_crash(incarnation, lost_at, suspects)

    async def close(self) -> None:
        """Cancels the checks."""
        checks = list(self._checks_by_incarnation.values())
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)
