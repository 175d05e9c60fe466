"""Fake of the platform's API that one VM at a time calls for each duty."""

import asyncio
from dataclasses import dataclass

import msgspec

from fakes.server import FakeServer, send_json


@dataclass(frozen=True)
class DutyCall:
    """One call as it arrived, ``at`` in seconds of the event loop's clock."""

    path: str
    holder: str
    token: int
    body: dict
    at: float


class FakeDutyApi(FakeServer):
    """Records the calls.

    Faults: a ``status`` other than 200 is the response to all calls; ``refused_paths`` get 409;
    ``slow_s`` delays each response; ``silent`` never responds; calls beyond ``calls_per_s``, if it
    is set, get 429.
    """

    def __init__(self):
        super().__init__()
        self.calls: list[DutyCall] = []
        self.status = 200
        self.refused_paths: list[str] = []
        self.slow_s = 0.0
        self.silent = False
        self.calls_per_s = 0.0

    async def serve(self, connection, request) -> None:
        """Handles one call."""
        headers = dict(request.headers)
        call = DutyCall(
            path=request.target,
            holder=headers.get("duty-holder", ""),
            token=int(headers.get("fencing-token", "0")),
            body=msgspec.json.decode(request.body),
            at=asyncio.get_running_loop().time(),
        )
        self.calls.append(call)
        if self.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.slow_s)
        await send_json(connection, {}, self._status_of(call))

    def _status_of(self, call: DutyCall) -> int:
        recent = [other for other in self.calls if other.at > call.at - 1.0]
        if self.calls_per_s and len(recent) > self.calls_per_s:
            return 429
        return 409 if call.path in self.refused_paths else self.status
