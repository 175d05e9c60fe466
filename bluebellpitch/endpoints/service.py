"""One attempt of a request at a plain service."""

from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.decisions.buffer_budget import BufferShare
from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.errors import ConnectionLostError, NotSentError, ResponseTooLargeError
from bluebellpitch.http1 import Headers, HttpResponse
from bluebellpitch.platform.http_messages import Announcements, read_announcements
from bluebellpitch.verdicts import DidNotRun, MayHaveRun

DID_NOT_RUN_HEADER = "x-did-not-run"


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a service."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


async def call_service(
    connection_pool: ConnectionPool,
    address: str,
    call: ServiceCall,
    timeout_s: float,
    may_send: Callable[[], bool],
    on_announcements: Callable[[Announcements], None],
    buffer: BufferShare | None = None,
) -> HttpResponse | DidNotRun | MayHaveRun:
    """Sends the request once, on a new connection: on a stale one it could be lost.

    ``may_send`` is asked when everything else is ready; ``timeout_s`` limits the rest of the call.
    ``on_announcements`` is called with what the answer says of the endpoint's future. The body of
    the response is held in ``buffer``.
    """
    try:
        connection = await connection_pool.open(address)
    except NotSentError:
        return DidNotRun("endpoint_unreachable")
    try:
        if not may_send():
            return DidNotRun("endpoint_left")
        headers: Headers = [*call.headers, ("Connection", "close")]
        response = await connection.call(
            call.method, call.target, call.body, timeout_s, headers, buffer=buffer
        )
    except ResponseTooLargeError as error:
        return MayHaveRun(f"answer_too_large: {error}")
    except ConnectionLostError as error:
        return MayHaveRun(f"answer_lost: {error}")
    finally:
        connection.close()
    on_announcements(read_announcements(response.status, response.headers))
    if (DID_NOT_RUN_HEADER, "true") in response.headers:
        return DidNotRun("endpoint_did_not_run")
    return response
