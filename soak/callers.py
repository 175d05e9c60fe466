"""Callers that keep their connections as long as they can, and record what they get."""

import asyncio
import itertools
import random
import time

import msgspec

from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.http1 import ClientConnection, HttpResponse
from fakes.prepared import HOST
from soak.cluster import EntryProcess, Scene
from soak.history import STREAM_KINDS, Outcome

KINDS = ("look", "file", "draft", "explain")
PATIENCE_S = 2.0
STREAM_PATIENCE_S = 5.5
# Longer than any answer of a VM that lives may take.
SILENCE_S = 9.0
PAUSE_S = 0.05
OLD_KEY_SHARE = 0.15
OLD_KEYS = 5


class Caller:
    """One caller. It chooses a ready VM for a new connection, and stays there until it ends."""

    def __init__(self, scene: Scene, number: int, seed: int):
        self._scene = scene
        self._number = number
        self._draw = random.Random(f"{seed}/{number}")
        self._ids = itertools.count()
        self._connection: ClientConnection | None = None
        self._vm: EntryProcess | None = None

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await self.call(self._draw.choice(KINDS))
            await asyncio.sleep(self._draw.uniform(0, 2 * PAUSE_S))

    async def call(self, kind: str) -> Outcome | None:
        """Makes one request and records it; None when no VM takes connections."""
        if not await self._connect():
            await asyncio.sleep(PAUSE_S)
            return None
        id = f"c{self._number}-{next(self._ids)}"
        key, vm, sent_at = self._choose_key(), self._vm.name, time.monotonic()
        response = None
        try:
            async with asyncio.timeout(SILENCE_S):
                response = await self._exchange(kind, id, key)
        except (BluebellpitchError, TimeoutError):
            self._leave()
        outcome = describe(response, id=id, kind=kind, key=key, vm=vm, sent_at=sent_at)
        self._scene.record.outcomes.append(outcome)
        return outcome

    def _choose_key(self) -> str:
        """Returns the key in force, or now and then one that was taken away lately."""
        taken = tuple(self._scene.record.taken_at_by_key)[-OLD_KEYS:]
        is_old = taken and self._draw.random() < OLD_KEY_SHARE
        return self._draw.choice(taken) if is_old else self._scene.keys[0]

    async def _connect(self) -> bool:
        if self._connection is not None:
            if self._connection.is_reusable() and not self._connection.has_unread_or_closed():
                return True
            self._leave()
        vm = self._draw.choice(self._scene.vms)
        if not await self._scene.is_ready(vm):
            return False
        try:
            self._connection = await ClientConnection.open(vm.callers.address, 1.0)
        except BluebellpitchError:
            return False
        self._vm = vm
        return True

    def _leave(self) -> None:
        self._connection.close()
        self._connection = None

    async def _exchange(self, kind: str, id: str, key: str) -> HttpResponse:
        headers = [("Host", HOST), ("Request-Id", id), ("Authorization", f"Bearer {key}")]
        patience_s = STREAM_PATIENCE_S if kind in STREAM_KINDS else PATIENCE_S
        headers.append(("Deadline-Ms", str(int(patience_s * 1000))))
        body = b"" if kind == "look" else id.encode()
        headers.append(("Content-Length", str(len(body))))
        if kind in STREAM_KINDS:
            headers += [("Model", "m"), ("Token-Usage", "100,20"), ("Prompt-Prefix", f"{id}:100")]
        method = "GET" if kind == "look" else "POST"
        connection = self._connection
        await connection.send_exactly(method, f"/{kind}/{id}", headers, body)
        return await connection.read_response(SILENCE_S)


def describe(response: HttpResponse | None, **known) -> Outcome:
    """Returns the outcome of a request, with what the answer says of it."""
    headers = dict(response.headers) if response else {}
    signed = "response-signature" in headers
    verdict = ""
    if response is not None and not signed and response.body:
        verdict = msgspec.json.decode(response.body).get("verdict", "")
    return Outcome(
        **known,
        ended_at=time.monotonic(),
        status=response.status if response else 0,
        verdict=verdict,
        retry_after=headers.get("retry-after", ""),
        endpoint_answered=signed,
        body=response.body if response else b"",
    )
