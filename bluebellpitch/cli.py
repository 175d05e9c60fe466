"""The command line, for running entry VMs and for operators."""

import typer

from bluebellpitch.commands import diagnostics, table
from bluebellpitch.commands.check import check
from bluebellpitch.commands.route import route
from bluebellpitch.commands.serve import serve


def build_app() -> typer.Typer:
    """Returns the command line application, to be called with an Environment as ``obj``."""
    app = typer.Typer(no_args_is_help=True, add_completion=False, rich_markup_mode=None)
    app.command(help="Runs an entry VM.")(serve)
    app.command(help="Runs an entry VM on the prepared platform.")(route)
    app.command(help="Checks a configuration or a sheet before it is sent.")(check)
    app.add_typer(build_table_app(), name="table")
    app.command(help="Shows VMs, brokers, endpoints and unresolved requests.")(diagnostics.status)
    app.command(help="Shows the events of all VMs in order.")(diagnostics.timeline)
    app.command(help="Shows what happened to one request.")(diagnostics.explain)
    app.command(help="Prints the version.")(diagnostics.version)
    return app


def build_table_app() -> typer.Typer:
    """Returns the ``table`` group of commands."""
    app = typer.Typer(no_args_is_help=True, help="Checks, shows and changes the table.")
    app.command(help="Checks a sheet and lists all its errors.")(table.check)
    app.command(help="Prints the table in force as a sheet.")(table.show)
    app.command(help="Shows what applying a sheet would change.")(table.diff)
    app.command(help="Applies a sheet. Safe to repeat.")(table.apply)
    return app
