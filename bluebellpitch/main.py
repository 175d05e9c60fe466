"""Runs a command; reports errors on standard error and as the exit status."""

import sys

import click

from bluebellpitch.cli import build_app
from bluebellpitch.environment import Environment
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.exit_status import ExitStatus


def main(arguments: list[str] | None = None, environment: Environment | None = None) -> ExitStatus:
    """Runs the program; returns its exit status.

    ``arguments`` defaults to the command line, ``environment`` to the streams and variables of the
    process.
    """
    environment = environment or Environment()
    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        status = build_app()(arguments, standalone_mode=False, obj=environment)
    except BluebellpitchError as error:
        for line in str(error).splitlines():
            print(f"bluebellpitch: {line}", file=environment.stderr)
        return error.exit_status
    except click.ClickException as error:
        print(f"bluebellpitch: {error.format_message()}", file=environment.stderr)
        return ExitStatus.USAGE
    except (KeyboardInterrupt, click.Abort):
        return ExitStatus.FAILED
    return ExitStatus(status) if isinstance(status, int) else ExitStatus.OK
