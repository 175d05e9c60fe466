"""Verdicts: whether a request may have run, and why. Returned in place of raising errors."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DidNotRun:
    """No endpoint has run any part of the request, and none will."""

    reason: str
    status: int = 503
    retry_after_s: float | None = None
    name = "did_not_run"


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run once; its response is lost."""

    reason: str
    status: int = 502
    retry_after_s: float | None = None
    name = "may_have_run"


@dataclass(frozen=True, slots=True)
class Ran:
    """The request ran, and its complete response is known."""

    reason: str = "complete"
    status: int = 200
    retry_after_s: float | None = None
    name = "ran"


Verdict = DidNotRun | MayHaveRun | Ran
