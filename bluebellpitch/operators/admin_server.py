"""HTTP server for operators and the load balancer: health, metrics, status and events."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from bluebellpitch.callers import responses
from bluebellpitch.errors import BadRequestError
from bluebellpitch.events import Event, EventRing
from bluebellpitch.http1 import HttpLimits, HttpRequest, HttpServer, ServerConnection
from bluebellpitch.metrics import Metrics
from bluebellpitch.operators.status import VmStatus

MAX_STAMP_DIGITS = 20
TEXT_HEADERS = [("Content-Type", "text/plain; version=0.0.4; charset=utf-8")]


class EventPage(msgspec.Struct, frozen=True):
    """Events of one VM. ``stamp`` is the time of its hybrid clock at the response."""

    vm: str
    stamp: int
    dropped: int
    events: tuple[Event, ...]


class AdminServer:
    """Serves the admin address, also while the VM drains."""

    def __init__(
        self,
        ring: EventRing,
        metrics: Metrics,
        get_status: Callable[[], VmStatus],
        is_ready: Callable[[], bool],
    ):
        self._ring = ring
        self._metrics = metrics
        self._get_status = get_status
        self._is_ready = is_ready
        self.http = HttpServer(self._handle, responses.send_bad_request, HttpLimits())

    async def _handle(self, connection: ServerConnection, request: HttpRequest) -> None:
        path, _, query = request.target.partition("?")
        match path:
            case "/healthz":
                await connection.respond(200, TEXT_HEADERS, b"ok\n")
            case "/readyz":
                ready = self._is_ready()
                body = b"ready\n" if ready else b"not ready\n"
                await connection.respond(200 if ready else 503, TEXT_HEADERS, body)
            case "/metrics":
                await connection.respond(200, TEXT_HEADERS, self._metrics.render())
            case "/status":
                await responses.send_json(connection, self._get_status())
            case "/events":
                await responses.send_json(connection, self._event_page(query))
            case _:
                error = BadRequestError(404, "no_such_path", f"there is no {path}")
                await responses.send_bad_request(connection, error, "none")

    def _event_page(self, query: str) -> EventPage:
        text = parse_qs(query).get("since", ["0"])[0]
        is_stamp = text.isascii() and text.isdigit() and len(text) <= MAX_STAMP_DIGITS
        since = int(text) if is_stamp else 0
        events = tuple(self._ring.after(since))
        return EventPage(self._ring.vm, self._ring.clock.stamp(), self._ring.dropped, events)
