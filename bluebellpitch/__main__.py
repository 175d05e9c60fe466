"""Runs the program: ``python -m bluebellpitch``."""

import os
import sys

from bluebellpitch.main import main


def run() -> None:
    """Runs the program and exits with its exit status.

    Exits at once: taking the interpreter apart takes a VM that is short of processor time longer
    than what is left of its grace period.
    """
    status = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    run()
