"""The planned end of an entry VM: no request is lost that the platform still sends to it."""

import asyncio
from collections.abc import Callable

from bluebellpitch.http1 import HttpServer
from bluebellpitch.logs import log

DRAIN_POLL_S = 0.05
# The platform sends new connections until it has noticed that the VM is not ready.
REFUSE_REQUESTS_AFTER_S = 2.6
# Idle connections stay open a little longer for requests that are in transit.
STOP_LISTENING_AFTER_S = 3.2
GRACE_SHARE = 0.94


async def drain(
    http: HttpServer, grace_s: float, refuse: Callable[[], None], now: Callable[[], float]
) -> None:
    """Stops accepting requests once the platform sends none, and completes those in progress.

    ``refuse`` is called when new requests are to be refused. ``grace_s`` is all the time there is.
    """
    start = now()
    log("INFO", "draining", in_flight=http.in_flight)
    await asyncio.sleep(REFUSE_REQUESTS_AFTER_S)
    refuse()
    await asyncio.sleep(STOP_LISTENING_AFTER_S - REFUSE_REQUESTS_AFTER_S)
    http.stop_listening()
    while http.in_flight and now() - start < grace_s * GRACE_SHARE:
        await asyncio.sleep(DRAIN_POLL_S)
