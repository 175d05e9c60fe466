"""Decides which part of a prompt crashes endpoints, from what all VMs saw crash and survive.

An endpoint that crashes takes all its runs along, so every part of a young run is suspected. A part
is cleared of a crash by a run on it that began later and survived. What stays suspected of several
crashes is deadly. Parts that are suspected of the same crashes cannot be told apart: a prompt is
then deadly if it has all of them, until a run on some of them survives or crashes.
"""

import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

# A part that no run survived is deadly from this number of crashes on.
CRASHES_TO_REFUSE = 3
# A part that runs survived before its first crash.
CRASHES_TO_REFUSE_KNOWN = 5
MOMENTS_TO_REFUSE = 3
REQUESTS_TO_REFUSE = 2
# Crashes closer together than this may have one cause outside, such as a zone's loss of power.
MOMENT_S = 0.1
# A run that lasts this long after its first event has survived.
SURVIVAL_S = 1.0
REFUSAL_S = 120.0
EVIDENCE_TTL_S = 600.0
MAX_CRASHES = 64
MAX_SUSPECTS = 32
MAX_CLEARED_PARTS = 128


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """A young run that was lost in a crash. ``parts`` are those that other prompts may share."""

    request_id: str
    parts: tuple[str, ...]


@dataclass(slots=True)
class Crash:
    """A crash of an endpoint's incarnation, ``at`` this VM's time, with the runs that it cut."""

    at: float
    suspects_by_request: dict[str, SuspectRun] = field(default_factory=dict)
    cleared_parts: set[str] = field(default_factory=set)

    def requests_with(self, part: str) -> frozenset[str]:
        """Returns the ids of lost requests whose prompt has a part."""
        runs = self.suspects_by_request.values()
        return frozenset(run.request_id for run in runs if part in run.parts)

    def suspected_parts(self) -> set[str]:
        """Returns the parts of lost runs that no later run has cleared."""
        lost = {part for run in self.suspects_by_request.values() for part in run.parts}
        return lost - self.cleared_parts


@dataclass(frozen=True, slots=True)
class DeadlyParts:
    """A prompt with all of ``parts`` crashes endpoints, as ``crashes`` show, until ``ends_at``."""

    parts: frozenset[str]
    crashes: frozenset[str]
    ends_at: float


@dataclass(slots=True)
class CrashEvidence:
    """The crashes of the last minutes, by incarnation of the endpoint.

    Merging is commutative and repeatable, so VMs that hold the same evidence decide alike.
    """

    crashes_by_incarnation: dict[str, Crash] = field(default_factory=dict)
    known_parts: set[str] = field(default_factory=set)
    _deadly: tuple[DeadlyParts, ...] = ()
    _is_current: bool = True

    def record_crash(
        self,
        incarnation: str,
        at: float,
        suspects: Iterable[SuspectRun],
        cleared: Iterable[str] = (),
    ) -> bool:
        """Merges what a VM knows of a crash; returns whether anything is new."""
        known = self.crashes_by_incarnation.get(incarnation)
        crash = known or self.crashes_by_incarnation.setdefault(incarnation, Crash(at))
        size = len(crash.suspects_by_request) + len(crash.cleared_parts)
        if at < crash.at - MOMENT_S:
            self._is_current = False
        crash.at = min(crash.at, at)
        for run in suspects:
            if run.parts and len(crash.suspects_by_request) < MAX_SUSPECTS:
                crash.suspects_by_request.setdefault(run.request_id, run)
        crash.cleared_parts.update(
            itertools.islice(cleared, max(0, MAX_CLEARED_PARTS - len(crash.cleared_parts)))
        )
        is_new = known is None or len(crash.suspects_by_request) + len(crash.cleared_parts) > size
        if is_new:
            self._is_current = False
            self._drop_excess()
        return is_new

    def _drop_excess(self) -> None:
        while len(self.crashes_by_incarnation) > MAX_CRASHES:
            crashes = self.crashes_by_incarnation
            del crashes[
                min(crashes, key=lambda incarnation: (crashes[incarnation].at, incarnation))
            ]

    def record_known(self, parts: Iterable[str]) -> bool:
        """Records suspected parts that runs survived earlier; returns whether any is new."""
        new = ({*parts} & self.suspected_parts()) - self.known_parts
        if new:
            self.known_parts |= new
            self._is_current = False
        return bool(new)

    def suspected_parts(self) -> set[str]:
        """Returns the parts that some crash makes suspect."""
        crashes = self.crashes_by_incarnation.values()
        return {part for crash in crashes for part in crash.suspected_parts()}

    def find_deadly(self, parts: Iterable[str], now: float) -> DeadlyParts | None:
        """Returns why a prompt of these parts must not run, or None."""
        if not self.crashes_by_incarnation:
            return None
        held = {*parts}
        return next((deadly for deadly in self.deadly_parts(now) if deadly.parts <= held), None)

    def deadly_parts(self, now: float) -> tuple[DeadlyParts, ...]:
        """Returns what is deadly at ``now``."""
        if not self._is_current:
            self._deadly = tuple(self._find_sets())
            self._is_current = True
        return tuple(deadly for deadly in self._deadly if now < deadly.ends_at)

    def _find_sets(self) -> Iterator[DeadlyParts]:
        """Takes the most suspected parts first; crashes they explain count against no other."""
        unexplained = set(self.crashes_by_incarnation)
        while (parts := self._most_suspected(unexplained)) is not None:
            explained = {key for key in unexplained if self._explains(parts, key)}
            if not explained:
                return
            last_at = max(self.crashes_by_incarnation[key].at for key in explained)
            yield DeadlyParts(parts, frozenset(explained), last_at + REFUSAL_S)
            unexplained -= explained

    def _explains(self, parts: frozenset[str], incarnation: str) -> bool:
        crash = self.crashes_by_incarnation[incarnation]
        return any(parts <= {*run.parts} for run in crash.suspects_by_request.values())

    def _most_suspected(self, incarnations: set[str]) -> frozenset[str] | None:
        """Returns the parts with most evidence against them, or None if none has enough."""
        crashes_by_part: dict[str, set[str]] = {}
        for key in incarnations:
            for part in self.crashes_by_incarnation[key].suspected_parts():
                crashes_by_part.setdefault(part, set()).add(key)
        parts_by_crashes: dict[frozenset[str], set[str]] = {}
        for part, keys in crashes_by_part.items():
            if self._has_enough(part, keys):
                parts_by_crashes.setdefault(frozenset(keys), set()).add(part)
        if not parts_by_crashes:
            return None
        groups = (self._without_known(parts) for parts in parts_by_crashes.values())
        return min(groups, key=lambda parts: self._rank(parts, crashes_by_part))

    def _has_enough(self, part: str, incarnations: set[str]) -> bool:
        needed = CRASHES_TO_REFUSE_KNOWN if part in self.known_parts else CRASHES_TO_REFUSE
        if len(incarnations) < needed:
            return False
        crashes = [self.crashes_by_incarnation[key] for key in incarnations]
        moments = [(crash.at, crash.requests_with(part)) for crash in crashes]
        requests = {request for _, requests in moments for request in requests}
        return len(requests) >= REQUESTS_TO_REFUSE and count_moments(moments) >= MOMENTS_TO_REFUSE

    def _without_known(self, parts: set[str]) -> frozenset[str]:
        return frozenset(parts - self.known_parts or parts)

    def _rank(self, parts: frozenset[str], crashes_by_part: dict[str, set[str]]):
        first = min(parts)
        return first in self.known_parts, -len(crashes_by_part[first]), first

    def expire(self, now: float) -> None:
        """Drops crashes that are too old to count."""
        for key, crash in list(self.crashes_by_incarnation.items()):
            if now - crash.at >= EVIDENCE_TTL_S:
                del self.crashes_by_incarnation[key]
                self._is_current = False
        self.known_parts &= self.suspected_parts()


def count_moments(crashes: Iterable[tuple[float, frozenset[str]]]) -> int:
    """Returns how many of these crashes, as times and ids of lost requests, came one by one.

    A crash counts if it is ``MOMENT_S`` later than the one counted last, or if it lost a request
    that an earlier one had lost: that request was sent again in between.
    """
    count, last = 0, float("-inf")
    lost: set[str] = set()
    for at, requests in sorted(crashes, key=lambda crash: crash[0]):
        if at - last >= MOMENT_S or requests & lost:
            count, last = count + 1, at
        lost |= requests
    return count
