"""One edit of the source that some test must notice."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Mutant:
    """One edit: the mechanism it removes, the file, and the test or soak run that must fail."""

    what: str
    path: str
    old: str
    new: str
    test: str
