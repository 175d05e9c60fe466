"""Applies all rules to a configuration, alone or against the one in force."""

from collections.abc import Iterator

from bluebellpitch.checks.changes import compare_configurations, find_old_version
from bluebellpitch.checks.findings import Finding, Report, build_report
from bluebellpitch.checks.limits import find_contradictions
from bluebellpitch.checks.reach import REACH_RULES
from bluebellpitch.decisions.catalogue import ConfigurationEntries


def check_configuration(
    entries: ConfigurationEntries,
    zones: frozenset[str] = frozenset(),
    in_force: ConfigurationEntries | None = None,
) -> Report:
    """Checks a configuration. ``zones``, if known, are all zones of the deployment."""
    findings = find_faults(entries, zones)
    if in_force is None:
        return build_report(findings)
    findings = (*findings, *find_old_version(entries, in_force))
    return build_report(findings, compare_configurations(entries, in_force))


def find_faults(entries: ConfigurationEntries, zones: frozenset[str]) -> Iterator[Finding]:
    """Yields the findings of all rules."""
    for rule in REACH_RULES:
        yield from rule(entries)
    yield from find_contradictions(entries, zones)
