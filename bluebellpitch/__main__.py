"""Runs the program: ``python -m bluebellpitch``."""

import os
import sys
from typing import TextIO

from bluebellpitch.exit_status import ExitStatus
from bluebellpitch.main import main


def run() -> None:
    """Runs the program and exits with its exit status.

    Does not finalize the interpreter: on a VM that is short of processor time, that would take
    longer than what is left of its grace period.
    """
    status = main()
    is_written = [flush(stream) for stream in (sys.stdout, sys.stderr)]
    os._exit(status if all(is_written) else status or ExitStatus.FAILED)


def flush(stream: TextIO | None) -> bool:
    """Returns whether all that was printed has left; a closed stream, None, takes nothing."""
    try:
        if stream is not None:
            stream.flush()
    except OSError:
        return False
    return True


if __name__ == "__main__":
    run()
