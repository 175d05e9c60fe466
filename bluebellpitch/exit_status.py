"""Exit statuses of the program."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """The status that the program returns to the shell."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    HAS_WARNINGS = 5
    HAS_ERRORS = 6
