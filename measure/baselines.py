"""Baselines: routers in which each VM picks an endpoint alone, for all classes alike."""

import asyncio
import itertools
import random
from collections import deque

import msgspec

from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.http1 import fetch
from bluebellpitch.peers.messages import SlotGranted, SlotRequest
from bluebellpitch.roles.slot_client import Slot

LOAD_POLL_S = 0.25
PICKERS = ("round-robin", "least-outstanding", "two-choices")


class LocalSlots:
    """Stands in for SlotClient.

    ``round-robin`` keeps one FIFO queue for each VM, which sends at most its part of the slots;
    ``least-outstanding`` and ``two-choices`` send at once, and the engines queue.
    """

    def __init__(self, mode: str, holder, metrics, now):
        self._mode = mode
        self._holder = holder
        self._metrics = metrics
        self._now = now
        self._random = random.Random(str(holder.current.own.identity.name))
        self._counter = itertools.count(self._random.randrange(1000))
        self._outstanding: dict[str, int] = {}
        self._reported: dict[str, int] = {}
        self._queue: deque[asyncio.Future] = deque()
        self._running = 0

    async def acquire(self, ask: SlotRequest, arrived_at, expires_at, is_gone):
        """Returns a slot; waits only in the FIFO queue of round robin."""
        if self._mode == "round-robin":
            await self._wait_turn(ask.pool)
        row = self._pick(ask.pool)
        self._outstanding[row.name] = self._outstanding.get(row.name, 0) + 1
        grant = f"{ask.request}.{ask.attempt}"
        granted = SlotGranted(grant, ask.request, ask.attempt, row.name, row.address, 0.0)
        return Slot(granted, ask, row.zone, row.region, self._now())

    def _rows(self, pool: str):
        table = self._holder.current.table
        rows = (r for r in table.endpoints_by_name.values() if r.pool == pool)
        return sorted(rows, key=lambda r: r.name)

    async def _wait_turn(self, pool: str) -> None:
        vms = len({vm.key for e in self._holder.current.epochs_by_zone.values() for vm in e.vms})
        part = max(1, sum(row.slots for row in self._rows(pool)) // max(1, vms))
        if self._running >= part:
            future = asyncio.get_running_loop().create_future()
            self._queue.append(future)
            await future
        else:
            self._running += 1

    def _pick(self, pool: str):
        rows = self._rows(pool)
        match self._mode:
            case "round-robin":
                return rows[next(self._counter) % len(rows)]
            case "least-outstanding":
                return min(rows, key=lambda r: (self._outstanding.get(r.name, 0), r.name))
        pair = self._random.sample(rows, min(2, len(rows)))
        return min(pair, key=lambda r: self._reported.get(r.name, 0))

    def release(self, slot, outcome, first_s=None, between_s=None) -> None:
        """Takes a slot back."""
        self._metrics.attempts.labels(outcome).inc()
        self._outstanding[slot.granted.endpoint] -= 1
        if self._mode != "round-robin":
            return
        if self._queue:
            self._queue.popleft().set_result(None)
        else:
            self._running -= 1

    def report_first_token(self, slot, seconds) -> None:
        """Baselines learn nothing from times."""

    async def run(self) -> None:
        """Reads the engines' lagging load reports."""
        while True:
            for pool in tuple(self._holder.current.table.pools_by_name):
                for row in self._rows(pool):
                    await self._read_load(row)
            await asyncio.sleep(LOAD_POLL_S)

    async def _read_load(self, row) -> None:
        try:
            response = await fetch(row.address, "GET", "/load", timeout_s=1.0)
            load = msgspec.json.decode(response.body)
            self._reported[row.name] = load["running"] + load["waiting"]
        except (BluebellpitchError, msgspec.MsgspecError, KeyError):
            return
