"""``serve``: runs an entry VM."""

import asyncio
from typing import Annotated

import typer

from bluebellpitch.commands.options import StoreAddress, option
from bluebellpitch.constants import HORIZON_S
from bluebellpitch.environment import Environment
from bluebellpitch.errors import UsageError
from bluebellpitch.exit_status import ExitStatus
from bluebellpitch.http1 import HttpLimits
from bluebellpitch.logs import configure_logging
from bluebellpitch.settings import Settings, check_settings

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def serve(
    context: typer.Context,
    vm: Annotated[str, option("--vm-name", "Name of this VM.")],
    zone: Annotated[str, option("--zone", "Availability zone of this VM.")],
    region: Annotated[str, option("--region", "Region of this VM.")],
    listen: Annotated[str, option("--listen", "Address to serve callers on, IP:port.")],
    admin: Annotated[
        str, option("--admin", "Address to serve operators and the load balancer on.")
    ],
    bus: Annotated[str, option("--bus", "Address at which other entry VMs reach this one.")],
    store_address: StoreAddress,
    bus_bind: Annotated[
        str, option("--bus-bind", "Address to listen on for other entry VMs. Default: --bus.")
    ] = "",
    peer: Annotated[list[str], option("--peer", "Bus address of another entry VM.")] = (),
    stall_s: Annotated[float, option("--stall-s", "Idle timeout of a stream.")] = 2.0,
    service_timeout_s: Annotated[
        float, option("--service-timeout-s", "Timeout of a call to a plain service.")
    ] = 30.0,
    horizon_s: Annotated[
        float, option("--horizon-s", "Retention time of idempotency keys.")
    ] = HORIZON_S,
    snapshot_every_s: Annotated[
        float, option("--snapshot-every-s", "Write a snapshot when the newest is older than this.")
    ] = 120.0,
    drain_notice_s: Annotated[
        float, option("--drain-notice-s", "Time the load balancer needs to notice a drain.")
    ] = 3.0,
    grace_s: Annotated[
        float, option("--grace-s", "Time after SIGTERM within which the process has to end.")
    ] = 30.0,
    header_bytes: Annotated[
        int, option("--header-bytes", "Maximum size of a request head.")
    ] = 16_384,
    body_bytes: Annotated[
        int, option("--body-bytes", "Maximum size of a request body.")
    ] = 4_194_304,
    receive_s: Annotated[float, option("--receive-s", "Timeout for receiving a request.")] = 10.0,
    connections: Annotated[
        int, option("--connections", "Maximum number of open connections.")
    ] = 2_000,
    memory_mb: Annotated[
        float, option("--memory-mb", "Memory that the process may take, in MiB.")
    ] = 300.0,
    log_level: Annotated[str, option("--log-level", "DEBUG, INFO, WARNING, ERROR.")] = "INFO",
) -> int:
    """Runs an entry VM until it is stopped."""
    settings = Settings(
        vm=vm,
        zone=zone,
        region=region,
        listen=listen,
        admin=admin,
        bus=bus,
        store_address=store_address,
        bus_bind=bus_bind or bus,
        peers=tuple(peer),
        stall_s=stall_s,
        service_timeout_s=service_timeout_s,
        horizon_s=horizon_s,
        snapshot_every_s=snapshot_every_s,
        drain_notice_s=drain_notice_s,
        grace_s=grace_s,
        memory_mb=memory_mb,
        http=HttpLimits(
            header_bytes=header_bytes,
            body_bytes=body_bytes,
            receive_s=receive_s,
            connections=connections,
        ),
    )
    return run_node(check_settings(settings), context.obj, log_level)


def run_node(settings: Settings, environment: Environment, log_level: str) -> int:
    """Configures logging and runs the node; raises UsageError for a bad log level or address."""
    if log_level not in LOG_LEVELS:
        raise UsageError(f"--log-level: {log_level!r} must be one of: {', '.join(LOG_LEVELS)}")
    configure_logging(environment.stderr, log_level, settings.vm)
    try:
        asyncio.run(build_and_run(settings, environment))
    except OSError as error:
        raise UsageError(f"cannot listen: {error}") from error
    return ExitStatus.OK


async def build_and_run(settings: Settings, environment: Environment) -> None:
    """Creates the node inside the event loop and runs it."""
    # Imported here because the operators' commands do not need it.
    from bluebellpitch.decisions.class_scheduling import SchedulingPolicy
    from bluebellpitch.node import Node

    await Node(settings, environment, SchedulingPolicy()).run()
