"""Fake service whose submissions are not idempotent; counts how often each case ran."""

import asyncio
import os
import time

import msgspec

from bluebellpitch.errors import DisconnectedError
from fakes.server import FakeServer, send_json


class FakeService(FakeServer):
    """Accepts and looks up cases.

    ``POST /cases`` with the field ``case`` in its JSON body runs the case each time. Faults:
    ``slow_s`` delays the run, ``hold_s`` the response after it; ``silent`` runs but never responds;
    ``crash_after`` runs and then exits the process; ``refuse`` responds that it did not run.
    Responses to look-ups name ``limit_per_s``, and say that it leaves if ``leaving`` is set;
    ``GET /arrivals`` has the times of look-ups and of refused submissions. A refusal names the
    pause ``pause_s``.
    """

    def __init__(self, name: str = "service"):
        super().__init__()
        self.name = name
        self.slow_s = 0.0
        self.hold_s = 0.0
        self.silent = False
        self.crash_after = False
        self.refuse = False
        self.limit_per_s: float | None = None
        self.leaving = False
        self.pause_s: float | None = None
        self.arrived_at: list[float] = []
        self.runs_by_case: dict[str, int] = {}

    async def serve(self, connection, request) -> None:
        """Handles a submission, a look-up, or a request for the counts."""
        if request.target == "/counts":
            await send_json(connection, self.runs_by_case)
        elif request.target == "/arrivals":
            await send_json(connection, self.arrived_at)
        elif request.method == "POST" and self.refuse:
            self.arrived_at.append(time.monotonic())
            headers = [("X-Did-Not-Run", "true")]
            if self.pause_s is not None:
                headers.append(("Retry-After", f"{self.pause_s}"))
            await connection.respond(503, headers, b"{}")
        elif request.method == "POST":
            await self._run_case(connection, msgspec.json.decode(request.body)["case"])
        else:
            await self._look_up(connection, request.target)

    async def _look_up(self, connection, target: str) -> None:
        self.arrived_at.append(time.monotonic())
        await asyncio.sleep(self.slow_s)
        headers = [("Content-Type", "application/json")]
        if self.limit_per_s is not None:
            headers.append(("Server-Limit", f"{self.limit_per_s}"))
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        body = msgspec.json.encode({"looked_up": target, "by": self.name})
        await connection.respond(200, headers, body)

    async def _run_case(self, connection, case: str) -> None:
        await asyncio.sleep(self.slow_s)
        self.runs_by_case[case] = self.runs_by_case.get(case, 0) + 1
        if self.crash_after:
            os._exit(1)
        if self.silent:
            await asyncio.sleep(3600)
            raise DisconnectedError("silent")
        await asyncio.sleep(self.hold_s)
        await send_json(connection, {"opened": case, "by": self.name})
