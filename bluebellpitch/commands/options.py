"""Flags that several commands share. Each can be set by an environment variable, too."""

from pathlib import Path
from typing import Annotated

import typer

from bluebellpitch.environment import Environment

VARIABLE_PREFIX = "BLUEBELLPITCH_"


def option(name: str, text: str):
    """Returns a flag with its environment variable."""
    variable = VARIABLE_PREFIX + name.strip("-").replace("-", "_").upper()
    return typer.Option(name, help=text, envvar=variable)


StoreAddress = Annotated[str, option("--store-address", "The platform's store, IP:port.")]
AdminAddresses = Annotated[
    list[str], typer.Option("--vm", help="Admin address of an entry VM; all listed ones if none.")
]
SheetPath = Annotated[Path, typer.Argument(help="The table as a CSV sheet.")]
Patience = Annotated[float, option("--patience-s", "How long to try, in seconds.")]
OntoCurrent = Annotated[bool, typer.Option(help="Take all present revisions as known.")]


def say(context: typer.Context, line: str, end: str = "\n") -> None:
    """Prints a line to the environment's standard output."""
    environment: Environment = context.obj
    print(line, end=end, file=environment.stdout)
