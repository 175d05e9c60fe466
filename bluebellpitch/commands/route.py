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
from bluebellpitch.exits import ExitStatus
from bluebellpitch.logs import set_up_bounded_logs, set_up_logs
from bluebellpitch.platform.settings_file import SETTINGS_FILE_VARIABLE, VmSettings, parse_settings


def read_boot_time() -> float:
    """Returns seconds since the boot; the time of a suspension counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def load_settings(environment: Environment) -> VmSettings:
    """Reads the settings file; raises UsageError."""
    path = environment.variables.get(SETTINGS_FILE_VARIABLE, "")
    if not path:
        raise UsageError(f"{SETTINGS_FILE_VARIABLE} is not set: it names the settings file")
    try:
        return parse_settings(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path} cannot be read: {error}") from error


def route(
    context: typer.Context,
    metrics_port: Annotated[
        int, option("--metrics-port", "Port of the metrics, on the VM's own address; 0: none.")
    ] = 0,
) -> int:
    """Runs an entry VM to its end."""
    if not 0 <= metrics_port < 65_536:
        raise UsageError(f"--metrics-port: {metrics_port} must be from 0 to 65535")
    environment: Environment = context.obj
    settings = load_settings(environment)
    send_logs(environment, settings.vm_name)
    try:
        asyncio.run(build_and_run(settings, environment, metrics_port))
    except OSError as error:
        raise UsageError(f"cannot listen: {error}") from error
    return ExitStatus.OK


def send_logs(environment: Environment, vm: str) -> None:
    """Sends logs to standard output; a stream without a descriptor is written to directly."""
    try:
        descriptor = environment.stdout.fileno()
    except (UnsupportedOperation, AttributeError):
        set_up_logs(environment.stdout, "INFO", vm)
        return
    set_up_bounded_logs(descriptor, "INFO", vm)


async def build_and_run(settings: VmSettings, environment: Environment, metrics_port: int) -> None:
    """Builds the VM inside the event loop and runs it."""
    # Imported late: operators' commands need none of it.
    from bluebellpitch.entry_vm import EntryVm

    vm = EntryVm(settings, lambda: load_settings(environment), read_boot_time, metrics_port)
    await vm.run()
