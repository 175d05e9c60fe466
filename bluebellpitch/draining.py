"""The planned end of an entry VM: no request is lost that the platform still sends to it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellpitch.decisions.shutdown import GRACE_SHARE, ShutdownSchedule
from bluebellpitch.http1 import HttpServer
from bluebellpitch.logs import log

DRAIN_POLL_S = 0.05
# The platform sends new connections until it has noticed that the VM is not ready.
REFUSE_REQUESTS_AFTER_S = 2.6
# Idle connections stay open a little longer for requests that are in transit.
STOP_LISTENING_AFTER_S = 3.2
# What connections delivered by then may still have to be read.
LAST_REQUESTS_S = 0.4
# Of a short grace period, the shares that these may take.
REFUSE_REQUESTS_SHARE = 0.4
STOP_LISTENING_SHARE = 0.5
LAST_REQUESTS_SHARE = 0.05


@dataclass(slots=True)
class Shutdown:
    """State of a planned stop, for the tasks that serve requests.

    ``is_refusing`` is set when new requests are refused, ``must_answer`` when the VM is about to
    end and open requests have to be answered.
    """

    schedule: ShutdownSchedule = field(default_factory=ShutdownSchedule)
    is_refusing: bool = False
    must_answer: asyncio.Event = field(default_factory=asyncio.Event)


def last_requests_s(grace_s: float) -> float:
    """Returns for how long what was delivered before listening stopped may still be read."""
    return min(LAST_REQUESTS_S, grace_s * LAST_REQUESTS_SHARE)


async def drain(
    http: HttpServer, shutdown: Shutdown, grace_s: float, now: Callable[[], float]
) -> None:
    """Stops accepting requests once the platform sends none, and completes those in progress.

    ``grace_s`` is all the time there is.
    """
    start, schedule = now(), shutdown.schedule
    schedule.begin(grace_s, start)
    log("INFO", "draining", in_flight=http.in_flight, grace_s=grace_s)
    refuse_after_s = min(REFUSE_REQUESTS_AFTER_S, grace_s * REFUSE_REQUESTS_SHARE)
    stop_after_s = min(STOP_LISTENING_AFTER_S, grace_s * STOP_LISTENING_SHARE)
    await asyncio.sleep(refuse_after_s)
    shutdown.is_refusing = True
    await asyncio.sleep(stop_after_s - refuse_after_s)
    http.stop_listening()
    await asyncio.sleep(last_requests_s(grace_s))
    await http.close_idle()
    while http.busy_connections and schedule.time_left_s(now()) > 0:
        await asyncio.sleep(DRAIN_POLL_S)
    shutdown.must_answer.set()
    while http.busy_connections and now() - start < grace_s * GRACE_SHARE:
        await asyncio.sleep(DRAIN_POLL_S)
    log("INFO", "drained", unanswered=http.in_flight, unfinished=http.busy_connections)
