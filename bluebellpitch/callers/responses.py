"""Responses that this system generates itself: refusals with a verdict, and JSON."""

import msgspec

from bluebellpitch.errors import BadRequestError, DisconnectedError
from bluebellpitch.http1 import Headers, ServerConnection
from bluebellpitch.verdicts import DidNotRun, MayHaveRun

REQUEST_ID_HEADER = "X-Request-Id"
VERDICT_HEADER = "X-Bluebellpitch-Verdict"
VM_HEADER = "X-Bluebellpitch-Vm"
ENDPOINT_HEADER = "X-Bluebellpitch-Endpoint"
REPLAYED_HEADER = "X-Bluebellpitch-Replayed"


class ErrorDetail(msgspec.Struct, frozen=True):
    """The error object of the OpenAI API, which its clients display."""

    message: str
    type: str
    code: str


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of a refusal."""

    error: ErrorDetail
    verdict: str
    reason: str
    request_id: str


def encode_error_body(verdict: DidNotRun | MayHaveRun, request_id: str, message: str = "") -> bytes:
    """Returns the JSON error body for a verdict."""
    text = message or f"{verdict.reason.replace('_', ' ')}; the request {verdict.name}"
    detail = ErrorDetail(text.replace("did_not_run", "did not run"), verdict.name, verdict.reason)
    return msgspec.json.encode(ErrorBody(detail, verdict.name, verdict.reason, request_id))


def verdict_headers(verdict: DidNotRun | MayHaveRun, request_id: str) -> Headers:
    """Returns the headers of a refusal."""
    headers = [
        ("Content-Type", "application/json"),
        (REQUEST_ID_HEADER, request_id),
        (VERDICT_HEADER, verdict.name),
    ]
    if verdict.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(verdict.retry_after_s)))))
    return headers


async def send_verdict(
    connection: ServerConnection,
    verdict: DidNotRun | MayHaveRun,
    request_id: str,
    message: str = "",
) -> None:
    """Sends a refusal with the verdict in its headers and body."""
    body = encode_error_body(verdict, request_id, message)
    await connection.respond(verdict.status, verdict_headers(verdict, request_id), body)


async def send_shutdown_verdict(connection: ServerConnection) -> None:
    """Answers a request that is open when the VM has to end; raises DisconnectedError in a stream.

    It may have run: whether it was sent to an endpoint is no longer looked at.
    """
    if connection.has_response_started():
        raise DisconnectedError("a response that has started cannot be completed")
    await send_verdict(connection, MayHaveRun("shutting_down", 504), "none")


async def send_bad_request(
    connection: ServerConnection, error: BadRequestError, request_id: str = ""
) -> None:
    """Refuses a bad request; closes the connection if the request could not be parsed."""
    verdict = DidNotRun(error.reason, error.status, error.retry_after_s)
    headers = verdict_headers(verdict, request_id)
    if not request_id:
        headers.append(("Connection", "close"))
    await connection.respond(
        error.status, headers, encode_error_body(verdict, request_id, str(error))
    )


async def send_json(connection: ServerConnection, value: object, status: int = 200) -> None:
    """Sends a value as a JSON response."""
    headers = [("Content-Type", "application/json")]
    await connection.respond(status, headers, msgspec.json.encode(value))
