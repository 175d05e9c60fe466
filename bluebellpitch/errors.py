"""Exceptions of the program. Each one becomes a clear line or a JSON error."""

from bluebellpitch.exit_status import ExitStatus


class BluebellpitchError(Exception):
    """Base of all errors that an operator can be shown."""

    exit_status = ExitStatus.FAILED


class UsageError(BluebellpitchError):
    """A flag or environment variable is missing or wrong."""

    exit_status = ExitStatus.USAGE


class SheetError(BluebellpitchError):
    """A table sheet has errors; ``problems`` holds all of them, one line each."""

    exit_status = ExitStatus.USAGE

    def __init__(self, problems: tuple[str, ...]):
        super().__init__("\n".join(problems))
        self.problems = problems


class ConflictError(BluebellpitchError):
    """Another operator changed the same rows first."""

    exit_status = ExitStatus.CONFLICT


class UnreachableError(BluebellpitchError):
    """A VM or the platform did not answer."""

    exit_status = ExitStatus.UNREACHABLE


class BadRequestError(BluebellpitchError):
    """A caller's request is refused before anything ran.

    ``reason`` is a short machine-readable word, ``status`` an HTTP status.
    """

    def __init__(self, status: int, reason: str, message: str):
        super().__init__(message)
        self.status = status
        self.reason = reason


class ProtocolError(BluebellpitchError):
    """A peer, an endpoint or the platform sent something malformed."""


class NotSentError(BluebellpitchError):
    """The request failed before any byte of it left this VM."""


class ConnectionLostError(BluebellpitchError):
    """The connection failed after bytes of the request may have left this VM."""


class ReadTimeoutError(ConnectionLostError):
    """The other end sent nothing for longer than allowed."""


class DisconnectedError(BluebellpitchError):
    """The caller closed its connection."""
