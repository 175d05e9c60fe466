"""Exceptions, reported as lines on standard error or as a JSON error over HTTP."""

from bluebellpitch.exit_status import ExitStatus

REFUSED_RETRY_AFTER_S = 1.0


class BluebellpitchError(Exception):
    """Base class of all errors whose message is meant for operators or clients."""

    exit_status = ExitStatus.FAILED


class UsageError(BluebellpitchError):
    """A command-line option or environment variable is missing or invalid."""

    exit_status = ExitStatus.USAGE


class SheetError(BluebellpitchError):
    """A table sheet is invalid; ``problems`` lists all errors, one line each."""

    exit_status = ExitStatus.USAGE

    def __init__(self, problems: tuple[str, ...]):
        super().__init__("\n".join(problems))
        self.problems = problems


class ConflictError(BluebellpitchError):
    """Another operator has changed the same rows in the meantime."""

    exit_status = ExitStatus.CONFLICT


class UnreachableError(BluebellpitchError):
    """A VM or the platform did not answer."""

    exit_status = ExitStatus.UNREACHABLE


class BadRequestError(BluebellpitchError):
    """A client's request is refused before any part of it ran.

    ``reason`` is a short machine-readable word, ``status`` an HTTP status code, ``request_id`` the
    caller's own id if its head could be read. Work that is refused for want of resources (503) may
    come back after ``retry_after_s``.
    """

    def __init__(self, status: int, reason: str, message: str, request_id: str = ""):
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.request_id = request_id
        self.retry_after_s = REFUSED_RETRY_AFTER_S if status == 503 else None


class ProtocolError(BluebellpitchError):
    """A peer, an endpoint or the platform sent something malformed."""


class NotSentError(BluebellpitchError):
    """The request failed before this VM sent any byte of it."""


class ConnectionRefusedByServerError(NotSentError):
    """Nothing listens at the address of a server whose machine answers."""


class ConnectionLostError(BluebellpitchError):
    """The connection failed after bytes of the request may have been sent."""


class ReadTimeoutError(ConnectionLostError):
    """The server did not send the awaited data within the time limit."""


class ResponseTooLargeError(ConnectionLostError):
    """The server sent more bytes than any proper response has."""


class DisconnectedError(BluebellpitchError):
    """The client closed its connection or stopped reading."""


class StalledError(DisconnectedError):
    """The client was disconnected, because it did not read its response."""
