"""``status``, ``timeline``, ``explain`` and ``version``: inspect running entry VMs."""

import asyncio
from typing import Annotated

import msgspec
import typer

from bluebellpitch import __version__
from bluebellpitch.commands.options import AdminAddresses, StoreAddress, print_output
from bluebellpitch.environment import Environment
from bluebellpitch.errors import BluebellpitchError, UnreachableError, UsageError
from bluebellpitch.exit_status import ExitStatus
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

RENDERERS_BY_STYLE = {
    "text": render_text,
    "pairs": render_pairs,
    "svg": lambda events: [render_svg(events)],
}


async def resolve_admin_addresses(addresses: list[str], store_address: str) -> list[str]:
    """Returns the given admin addresses, or else those of all VMs registered in the store."""
    if addresses:
        return list(addresses)
    if not store_address:
        raise UsageError("either --vm or --store-address is required")
    client = StoreClient(store_address)
    try:
        records_by_vm = await read_vm_records(client)
    except BluebellpitchError as error:
        raise UnreachableError(f"the platform's store cannot be read: {error}") from error
    finally:
        client.close()
    return [record.admin for record in records_by_vm.values() if record.admin]


def report_unreachable_vms(environment: Environment, collected: CollectedResponses) -> int:
    """Prints the VMs that did not respond; returns the exit status."""
    for address in collected.unreachable:
        print(f"bluebellpitch: no response from {address}", file=environment.stderr)
    return ExitStatus.OK if collected.responses else ExitStatus.UNREACHABLE


def status(
    context: typer.Context,
    vm: AdminAddresses = (),
    store_address: StoreAddress = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> int:
    """Prints the status of all VMs."""

    async def run() -> CollectedResponses:
        return await collect_statuses(await resolve_admin_addresses(vm, store_address))

    collected = asyncio.run(run())
    if as_json:
        print_output(context, msgspec.json.encode(collected.responses).decode())
    else:
        for line in render_status(list(collected.responses), list(collected.unreachable)):
            print_output(context, line)
    return report_unreachable_vms(context.obj, collected)


def fetch_events(
    addresses: list[str], store_address: str, event_filter: EventFilter
) -> CollectedResponses:
    """Returns the events of all VMs that respond."""

    async def run() -> CollectedResponses:
        return await collect_events(
            await resolve_admin_addresses(addresses, store_address), event_filter
        )

    return asyncio.run(run())


def timeline(
    context: typer.Context,
    vm: AdminAddresses = (),
    store_address: StoreAddress = "",
    request: Annotated[str, typer.Option(help="Only events of this request.")] = "",
    member: Annotated[str, typer.Option(help="Only events of this member.")] = "",
    class_name: Annotated[str, typer.Option("--class", help="Only events of this class.")] = "",
    endpoint: Annotated[str, typer.Option(help="Only events of this endpoint.")] = "",
    on_vm: Annotated[str, typer.Option(help="Only events of the VM with this name.")] = "",
    since: Annotated[int, typer.Option(help="Earliest timestamp, in microseconds.")] = 0,
    until: Annotated[int, typer.Option(help="Latest timestamp, in microseconds.")] = 1 << 62,
    style: Annotated[str, typer.Option("--as", help="Output format: text, pairs or svg.")] = "text",
) -> int:
    """Prints the events of all VMs in order."""
    if style not in RENDERERS_BY_STYLE:
        raise UsageError(f"--as: {style!r} must be one of: {', '.join(RENDERERS_BY_STYLE)}")
    event_filter = EventFilter(request, member, class_name, endpoint, on_vm, since, until)
    collected = fetch_events(vm, store_address, event_filter)
    for line in RENDERERS_BY_STYLE[style](merge_events(collected.responses, event_filter)):
        print_output(context, line)
    return report_unreachable_vms(context.obj, collected)


def explain(
    context: typer.Context, request: str, vm: AdminAddresses = (), store_address: StoreAddress = ""
) -> int:
    """Prints what happened to one request."""
    collected = fetch_events(vm, store_address, EventFilter())
    for line in explain_request(merge_events(collected.responses, EventFilter()), request):
        print_output(context, line)
    return report_unreachable_vms(context.obj, collected)


def version(context: typer.Context) -> int:
    """Prints the version of the program."""
    print_output(context, __version__)
    return ExitStatus.OK
