"""Callers with persistent connections that record the outcome of each request."""

import asyncio
import itertools
import random
import time

import msgspec

from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.http1 import ClientConnection, HttpResponse
from fakes.prepared_deployment import HOST
from soak.cluster import SoakCluster, VmProcess
from soak.history import STREAM_KINDS, Outcome

REQUEST_KINDS = ("look", "file", "draft", "explain")
REQUEST_DEADLINE_S = 2.0
STREAM_DEADLINE_S = 5.5
# Longer than any response of a live VM may take.
RESPONSE_TIMEOUT_S = 9.0
MEAN_PAUSE_S = 0.05
REVOKED_KEY_SHARE = 0.15
RECENT_REVOKED_KEYS = 5


class Caller:
    """Sends requests one at a time, over one connection to a ready VM until that ends."""

    def __init__(self, cluster: SoakCluster, number: int, seed: int):
        self._cluster = cluster
        self._number = number
        self._random = random.Random(f"{seed}/{number}")
        self._ids = itertools.count()
        self._connection: ClientConnection | None = None
        self._vm: VmProcess | None = None

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await self.send_request(self._random.choice(REQUEST_KINDS))
            await asyncio.sleep(self._random.uniform(0, 2 * MEAN_PAUSE_S))

    async def send_request(self, kind: str) -> Outcome | None:
        """Sends one request and records its outcome; None if there is no connection."""
        if not await self._connect():
            await asyncio.sleep(MEAN_PAUSE_S)
            return None
        id = f"c{self._number}-{next(self._ids)}"
        key, vm, sent_at = self._choose_key(), self._vm.name, time.monotonic()
        response = None
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await self._exchange(kind, id, key)
        except (BluebellpitchError, TimeoutError):
            self._disconnect()
        outcome = build_outcome(response, id=id, kind=kind, key=key, vm=vm, sent_at=sent_at)
        self._cluster.history.outcomes.append(outcome)
        return outcome

    def _choose_key(self) -> str:
        """Returns the valid key, or sometimes one that was revoked recently."""
        revoked = tuple(self._cluster.history.revoked_at_by_key)[-RECENT_REVOKED_KEYS:]
        use_revoked = revoked and self._random.random() < REVOKED_KEY_SHARE
        return self._random.choice(revoked) if use_revoked else self._cluster.keys[0]

    async def _connect(self) -> bool:
        if self._connection is not None:
            if self._connection.start_next_cycle() and not self._connection.is_stale():
                return True
            self._disconnect()
        vm = self._random.choice(self._cluster.vms)
        if not await self._cluster.is_ready(vm):
            return False
        try:
            self._connection = await ClientConnection.open(vm.caller_link.address, 1.0)
        except BluebellpitchError:
            return False
        self._vm = vm
        return True

    def _disconnect(self) -> None:
        self._connection.close()
        self._connection = None

    async def _exchange(self, kind: str, id: str, key: str) -> HttpResponse:
        headers = [("Host", HOST), ("Request-Id", id), ("Authorization", f"Bearer {key}")]
        deadline_s = STREAM_DEADLINE_S if kind in STREAM_KINDS else REQUEST_DEADLINE_S
        headers.append(("Deadline-Ms", str(int(deadline_s * 1000))))
        body = b"" if kind == "look" else id.encode()
        headers.append(("Content-Length", str(len(body))))
        if kind in STREAM_KINDS:
            headers += [("Model", "m"), ("Token-Usage", "100,20"), ("Prompt-Prefix", f"{id}:100")]
        method = "GET" if kind == "look" else "POST"
        connection = self._connection
        await connection.send_verbatim(method, f"/{kind}/{id}", headers, body)
        return await connection.read_response(RESPONSE_TIMEOUT_S)


def build_outcome(response: HttpResponse | None, **request_fields) -> Outcome:
    """Returns the outcome of a request; ``response`` is None if there was no complete one."""
    headers = dict(response.headers) if response else {}
    is_signed = "response-signature" in headers
    verdict = ""
    if response is not None and not is_signed and response.body:
        verdict = msgspec.json.decode(response.body).get("verdict", "")
    return Outcome(
        **request_fields,
        ended_at=time.monotonic(),
        status=response.status if response else 0,
        verdict=verdict,
        retry_after=headers.get("retry-after", ""),
        endpoint_answered=is_signed,
        body=response.body if response else b"",
    )
