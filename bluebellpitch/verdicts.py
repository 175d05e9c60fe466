"""Verdicts: whether a request may have run, with the reason. Used as sentinels for errors."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DidNotRun:
    """No endpoint ran any part of the request, and none will."""

    reason: str
    status: int = 503
    retry_after_s: float | None = None
    name = "did_not_run"


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have run once; its answer is lost."""

    reason: str
    status: int = 502
    retry_after_s: float | None = None
    name = "may_have_run"


@dataclass(frozen=True, slots=True)
class Ran:
    """The request ran and its complete answer is known."""

    reason: str = "complete"
    status: int = 200
    retry_after_s: float | None = None
    name = "ran"


Verdict = DidNotRun | MayHaveRun | Ran
