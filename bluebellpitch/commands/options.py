"""Options shared by several commands. Most can also be set by an environment variable."""

from pathlib import Path
from typing import Annotated

import typer

from bluebellpitch.environment import Environment

ENVIRONMENT_PREFIX = "BLUEBELLPITCH_"


def option(name: str, help_text: str):
    """Returns an option that can also be set by its environment variable."""
    variable = ENVIRONMENT_PREFIX + name.strip("-").replace("-", "_").upper()
    return typer.Option(name, help=help_text, envvar=variable)


StoreAddress = Annotated[
    str, option("--store-address", "Address of the platform's store, IP:port.")
]
AdminAddresses = Annotated[
    list[str],
    typer.Option(
        "--vm",
        help="Admin address of an entry VM. Default: all VMs registered in the store.",
    ),
]
SheetPath = Annotated[Path, typer.Argument(help="The table as a CSV file.")]
RetryTimeout = Annotated[float, option("--patience-s", "How long to retry, in seconds.")]
OntoCurrent = Annotated[
    bool,
    typer.Option(help="Apply to the current table even if it changed since the sheet was made."),
]


def print_output(context: typer.Context, text: str, end: str = "\n") -> None:
    """Prints to the standard output of the environment; escapes what its encoding lacks."""
    environment: Environment = context.obj
    # A closed standard output is None, and takes nothing.
    encoding = getattr(environment.stdout, "encoding", None) or "utf-8"
    encodable = text.encode(encoding, "backslashreplace").decode(encoding)
    print(encodable, end=end, file=environment.stdout)
