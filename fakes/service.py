"""A stand-in for a plain service whose calls may not repeat; it counts how often each ran."""

import asyncio
import os

import msgspec

from bluebellpitch.errors import GoneError
from fakes.server import FakeServer, send_json


class FakeService(FakeServer):
    """Submits and looks up cases.

    ``POST /cases`` with a JSON object that has ``case`` runs once more each time it comes. Faults:
    ``slow_s`` before the run, ``silent`` runs but never answers, ``crash_after`` runs and then ends
    the process, ``refuse`` answers that it did not run.
    """

    def __init__(self, name: str = "service"):
        super().__init__()
        self.name = name
        self.slow_s = 0.0
        self.hold_s = 0.0
        self.silent = False
        self.crash_after = False
        self.refuse = False
        self.runs_by_case: dict[str, int] = {}

    async def serve(self, connection, request) -> None:
        """Answers a submission, a look-up, or the counts."""
        if request.target == "/counts":
            await send_json(connection, self.runs_by_case)
        elif request.method == "POST" and self.refuse:
            headers = [("X-Did-Not-Run", "true")]
            await connection.respond(503, headers, b"{}")
        elif request.method == "POST":
            await self._submit(connection, msgspec.json.decode(request.body)["case"])
        else:
            await asyncio.sleep(self.slow_s)
            await send_json(connection, {"looked_up": request.target, "by": self.name})

    async def _submit(self, connection, case: str) -> None:
        await asyncio.sleep(self.slow_s)
        self.runs_by_case[case] = self.runs_by_case.get(case, 0) + 1
        if self.crash_after:
            os._exit(1)
        if self.silent:
            await asyncio.sleep(3600)
            raise GoneError("silent")
        await asyncio.sleep(self.hold_s)
        await send_json(connection, {"opened": case, "by": self.name})
