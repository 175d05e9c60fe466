"""``status``, ``timeline`` and ``explain``: what the VMs do, and what they did."""

import asyncio
from typing import Annotated

import msgspec
import typer

from bluebellpitch import __version__
from bluebellpitch.commands.options import AdminAddresses, StoreAddress, say
from bluebellpitch.environment import Environment
from bluebellpitch.errors import BluebellpitchError, UnreachableError, UsageError
from bluebellpitch.exits import ExitStatus
from bluebellpitch.operators.explain import explain_request
from bluebellpitch.operators.status import render_status
from bluebellpitch.operators.timeline import (
    CollectedResponses,
    EventFilter,
    collect_events,
    collect_statuses,
    merge_events,
    render_pairs,
    render_svg,
    render_text,
)
from bluebellpitch.platform.store import StoreClient
from bluebellpitch.platform.vm_records import read_vm_records

RENDERERS = {
    "text": render_text,
    "pairs": render_pairs,
    "svg": lambda events: [render_svg(events)],
}


async def find_vms(vms: list[str], store_address: str) -> list[str]:
    """Returns admin addresses: those given, else those of all VMs with a record in the store."""
    if vms:
        return list(vms)
    if not store_address:
        raise UsageError("name VMs with --vm, or the platform's store with --store-address")
    client = StoreClient(store_address)
    try:
        records_by_vm = await read_vm_records(client)
    except BluebellpitchError as error:
        raise UnreachableError(f"the platform's store cannot be read: {error}") from error
    finally:
        client.close()
    return [record.admin for record in records_by_vm.values() if record.admin]


def report_missing(environment: Environment, collected: CollectedResponses) -> int:
    """Names the VMs that gave no answer; returns the exit status."""
    for address in collected.unreachable:
        print(f"bluebellpitch: no answer from {address}", file=environment.stderr)
    return ExitStatus.OK if collected.responses else ExitStatus.UNREACHABLE


def status(
    context: typer.Context,
    vm: AdminAddresses = (),
    store_address: StoreAddress = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> int:
    """Prints the state of all VMs."""

    async def run() -> CollectedResponses:
        return await collect_statuses(await find_vms(vm, store_address))

    collected = asyncio.run(run())
    if as_json:
        say(context, msgspec.json.encode(collected.responses).decode())
    else:
        for line in render_status(list(collected.responses), list(collected.unreachable)):
            say(context, line)
    return report_missing(context.obj, collected)


def collect(vm: list[str], store_address: str, wanted: EventFilter) -> CollectedResponses:
    """Returns events of the VMs that answer."""

    async def run() -> CollectedResponses:
        return await collect_events(await find_vms(vm, store_address), wanted)

    return asyncio.run(run())


def timeline(
    context: typer.Context,
    vm: AdminAddresses = (),
    store_address: StoreAddress = "",
    request: Annotated[str, typer.Option(help="Only this request.")] = "",
    member: Annotated[str, typer.Option(help="Only this member.")] = "",
    class_name: Annotated[str, typer.Option("--class", help="Only this class.")] = "",
    endpoint: Annotated[str, typer.Option(help="Only this endpoint.")] = "",
    on_vm: Annotated[str, typer.Option(help="Only events of this VM, by name.")] = "",
    since: Annotated[int, typer.Option(help="From this stamp on, in microseconds.")] = 0,
    until: Annotated[int, typer.Option(help="Up to this stamp, in microseconds.")] = 1 << 62,
    style: Annotated[str, typer.Option("--as", help="text, pairs or svg.")] = "text",
) -> int:
    """Prints events of all VMs."""
    if style not in RENDERERS:
        raise UsageError(f"--as: {style!r} must be one of: {', '.join(RENDERERS)}")
    wanted = EventFilter(request, member, class_name, endpoint, on_vm, since, until)
    collected = collect(vm, store_address, wanted)
    for line in RENDERERS[style](merge_events(collected.responses, wanted)):
        say(context, line)
    return report_missing(context.obj, collected)


def explain(
    context: typer.Context, request: str, vm: AdminAddresses = (), store_address: StoreAddress = ""
) -> int:
    """Prints the story of one request."""
    collected = collect(vm, store_address, EventFilter())
    for line in explain_request(merge_events(collected.responses, EventFilter()), request):
        say(context, line)
    return report_missing(context.obj, collected)


def version(context: typer.Context) -> int:
    """Prints the version."""
    say(context, __version__)
    return ExitStatus.OK
