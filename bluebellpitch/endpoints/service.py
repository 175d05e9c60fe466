"""One attempt of a request at a plain service."""

from dataclasses import dataclass

from bluebellpitch.endpoints.connections import ConnectionPool
from bluebellpitch.errors import ConnectionLostError, NotSentError
from bluebellpitch.http1 import Headers, HttpResponse
from bluebellpitch.verdicts import DidNotRun, MayHaveRun

DID_NOT_RUN_HEADER = "x-did-not-run"
MAX_RESPONSE_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a service."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


async def call_service(
    connection_pool: ConnectionPool, address: str, call: ServiceCall, timeout_s: float
) -> HttpResponse | DidNotRun | MayHaveRun:
    """Sends the request once, on a new connection: on a stale one it could be lost."""
    try:
        connection = await connection_pool.open(address)
    except NotSentError:
        return DidNotRun("endpoint_unreachable")
    try:
        headers: Headers = [*call.headers, ("Connection", "close")]
        await connection.send(call.method, call.target, headers, call.body)
        response = await connection.read_response(timeout_s)
    except ConnectionLostError as error:
        return MayHaveRun(f"answer_lost: {error}")
    finally:
        connection.close()
    if (DID_NOT_RUN_HEADER, "true") in response.headers:
        return DidNotRun("endpoint_did_not_run")
    return response
