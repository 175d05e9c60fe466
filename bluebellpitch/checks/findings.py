"""What a check finds, and the changes between two versions, as data."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

# Path to a value, in the terms of the parsed entries: ``("routes", 3, "timeout_s")``.
Place = tuple[str | int, ...]


class Severity(StrEnum):
    """How bad a finding is."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a file."""

    severity: Severity
    place: Place
    message: str


def error(place: Place, message: str) -> Finding:
    """Returns a finding for what is refused, or what cannot be meant."""
    return Finding(Severity.ERROR, place, message)


def warning(place: Place, message: str) -> Finding:
    """Returns a finding for what has no effect, or only part of it."""
    return Finding(Severity.WARNING, place, message)


class ChangeKind(StrEnum):
    """What happens to an entry."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class Change:
    """What callers or operators notice of one entry that differs from the version in force."""

    kind: ChangeKind
    entry: str
    message: str


@dataclass(frozen=True, slots=True)
class Report:
    """Everything that a check has to say. ``changes`` is None if nothing was compared."""

    findings: tuple[Finding, ...]
    changes: tuple[Change, ...] | None = None

    def count(self, severity: Severity) -> int:
        """Returns the number of findings of a severity."""
        return sum(finding.severity is severity for finding in self.findings)


def build_report(findings: Iterable[Finding], changes: Iterable[Change] | None = None) -> Report:
    """Returns a report with the errors first."""
    ordered = sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR)
    return Report(tuple(ordered), None if changes is None else tuple(changes))
