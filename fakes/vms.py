"""A stand-in for the platform's list of live and leaving VMs."""

import asyncio

import msgspec

from bluebellpitch.errors import GoneError
from fakes.server import FakeServer, answer


class FakeVmList(FakeServer):
    """Holds the list. ``POST /vms`` replaces it; reads see the change ``lag_s`` later."""

    def __init__(self):
        super().__init__()
        self.vms: list[dict] = []
        self.lag_s = 0.0
        self.outage = False

    async def serve(self, connection, request) -> None:
        """Answers a read, or takes a new list."""
        if self.outage:
            raise GoneError("outage")
        if request.method == "POST":
            vms = msgspec.json.decode(request.body)
            asyncio.get_running_loop().call_later(self.lag_s, setattr, self, "vms", vms)
            await answer(connection, {})
            return
        await answer(connection, self.vms)
