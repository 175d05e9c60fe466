"""Exit statuses of the program."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the program tells the shell."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
