"""``route``: runs an entry VM on the prepared platform."""

import asyncio
import time
from io import UnsupportedOperation
from pathlib import Path
from typing import Annotated

import typer

from bluebellpitch.commands.options import option
from bluebellpitch.environment import Environment
from bluebellpitch.errors import UsageError
from bluebellpitch.exit_status import ExitStatus
from bluebellpitch.logs import configure_logging, configure_rate_limited_logging
from bluebellpitch.platform.settings_file import SETTINGS_FILE_VARIABLE, VmSettings, parse_settings


def read_boottime_clock() -> float:
    """Returns the seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_settings_file(environment: Environment) -> VmSettings:
    """Reads the settings file named by the environment; raises UsageError."""
    path = environment.variables.get(SETTINGS_FILE_VARIABLE, "")
    if not path:
        raise UsageError(
            f"{SETTINGS_FILE_VARIABLE} is not set; it must be the path of the settings file"
        )
    try:
        return parse_settings(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path} cannot be read: {error}") from error


def route(
    context: typer.Context,
    metrics_port: Annotated[
        int,
        option("--metrics-port", "Port of the metrics endpoint on the VM's own address; 0: none."),
    ] = 0,
) -> int:
    """Runs an entry VM until it is stopped."""
    if not 0 <= metrics_port < 65_536:
        raise UsageError(f"--metrics-port: {metrics_port} must be from 0 to 65535")
    environment: Environment = context.obj
    settings = read_settings_file(environment)
    configure_stdout_logging(environment, settings.vm_name)
    try:
        asyncio.run(build_and_run(settings, environment, metrics_port))
    except OSError as error:
        raise UsageError(f"cannot listen: {error}") from error
    return ExitStatus.OK


def configure_stdout_logging(environment: Environment, vm: str) -> None:
    """Logs to standard output: non-blocking if it has a descriptor, else directly to the stream."""
    try:
        descriptor = environment.stdout.fileno()
    except (UnsupportedOperation, AttributeError):
        configure_logging(environment.stdout, "INFO", vm)
        return
    configure_rate_limited_logging(descriptor, "INFO", vm)


async def build_and_run(settings: VmSettings, environment: Environment, metrics_port: int) -> None:
    """Creates the entry VM inside the event loop and runs it."""
    # Imported here because the operators' commands do not need it.
    from bluebellpitch.entry_vm import EntryVm

    vm = EntryVm(
        settings, lambda: read_settings_file(environment), read_boottime_clock, metrics_port
    )
    await vm.run()
