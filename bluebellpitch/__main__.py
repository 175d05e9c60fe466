"""Runs the program: ``python -m bluebellpitch``."""

import sys

from bluebellpitch.main import main


def run() -> None:
    """Runs the program and exits with its exit status."""
    sys.exit(main())


if __name__ == "__main__":
    run()
