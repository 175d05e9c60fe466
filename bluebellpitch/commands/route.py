"""``route``: runs an entry VM on the prepared platform."""

import asyncio
import time
from pathlib import Path

import typer

from bluebellpitch.environment import Environment
from bluebellpitch.errors import UsageError
from bluebellpitch.exits import ExitStatus
from bluebellpitch.logs import set_up_logs
from bluebellpitch.platform.settings_file import SETTINGS_VARIABLE, VmSettings, parse_settings


def read_boot_time() -> float:
    """Returns seconds since the boot; the time of a suspension counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def load_settings(environment: Environment) -> VmSettings:
    """Reads the settings file; raises UsageError."""
    path = environment.variables.get(SETTINGS_VARIABLE, "")
    if not path:
        raise UsageError(f"{SETTINGS_VARIABLE} is not set: it names the settings file")
    try:
        return parse_settings(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path} cannot be read: {error}") from error


def route(context: typer.Context) -> int:
    """Runs an entry VM to its end."""
    environment: Environment = context.obj
    settings = load_settings(environment)
    set_up_logs(environment.stdout, "INFO", settings.vm)
    try:
        asyncio.run(build_and_run(settings, environment))
    except OSError as error:
        raise UsageError(f"cannot listen: {error}") from error
    return ExitStatus.OK


async def build_and_run(settings: VmSettings, environment: Environment) -> None:
    """Builds the VM inside the event loop and runs it."""
    # Imported late: operators' commands need none of it.
    from bluebellpitch.entry import EntryVm

    await EntryVm(settings, lambda: load_settings(environment), read_boot_time).run()
