"""Event time line: events of all VMs, merged in the order of their hybrid clocks."""

import asyncio
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from html import escape

import msgspec

from bluebellpitch.clock import MICROSECONDS_PER_S
from bluebellpitch.decoding import DECODE_ERRORS
from bluebellpitch.errors import BluebellpitchError
from bluebellpitch.events import Event, EventKind
from bluebellpitch.http1 import fetch
from bluebellpitch.logs import format_value
from bluebellpitch.operators.admin_server import EventPage
from bluebellpitch.operators.status import VmStatus

EVENT_FIELDS = ("request", "member", "class_name", "endpoint", "detail")
LANE_HEIGHT = 26
SVG_WIDTH = 1400
LEFT_MARGIN = 190
KIND_COLOURS = {
    EventKind.REFUSED: "#b00020",
    EventKind.STRIKE: "#b00020",
    EventKind.PREEMPTED: "#d17b00",
    EventKind.RETRIED: "#d17b00",
    EventKind.RESUMED: "#7a4fb5",
    EventKind.COMPLETED: "#1b7f3b",
    EventKind.OUTCOME: "#1b7f3b",
    EventKind.FIRST_TOKEN: "#1565c0",
}


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Selects events; empty fields match all. Stamps are in microseconds."""

    request: str = ""
    member: str = ""
    class_name: str = ""
    endpoint: str = ""
    vm: str = ""
    since: int = 0
    until: int = 1 << 62

    def matches(self, event: Event) -> bool:
        """Returns whether the filter selects an event."""
        if not self.since <= event.stamp <= self.until:
            return False
        names = ("request", "member", "class_name", "endpoint", "vm")
        pairs = ((getattr(self, name), getattr(event, name)) for name in names)
        return all(not expected or value == expected for expected, value in pairs)


@dataclass(frozen=True, slots=True)
class CollectedResponses:
    """Responses of VMs, and the addresses that sent none."""

    responses: tuple
    unreachable: tuple[str, ...]


async def query_all(addresses: Iterable[str], path: str, response_type: type) -> CollectedResponses:
    """Queries all admin addresses concurrently."""
    addresses = tuple(addresses)
    results = await asyncio.gather(
        *(query_vm(address, path, response_type) for address in addresses)
    )
    responses = tuple(result for result in results if result is not None)
    unreachable = tuple(a for a, result in zip(addresses, results, strict=True) if result is None)
    return CollectedResponses(responses, unreachable)


async def query_vm(address: str, path: str, response_type: type):
    """Returns the decoded response of one VM, or None after a failure."""
    try:
        response = await fetch(address, "GET", path)
        return msgspec.json.decode(response.body, type=response_type)
    except (BluebellpitchError, *DECODE_ERRORS):
        return None


async def collect_statuses(addresses: Iterable[str]) -> CollectedResponses:
    """Returns the status of all VMs that respond."""
    return await query_all(addresses, "/status", VmStatus)


async def collect_events(addresses: Iterable[str], event_filter: EventFilter) -> CollectedResponses:
    """Returns the events of all VMs that respond."""
    return await query_all(addresses, f"/events?since={max(0, event_filter.since - 1)}", EventPage)


def merge_events(pages: Iterable[EventPage], event_filter: EventFilter) -> list[Event]:
    """Returns the matching events of all VMs in order of time."""
    events = (event for page in pages for event in page.events if event_filter.matches(event))
    return sorted(events, key=lambda event: (event.stamp, event.vm))


def format_time(stamp: int) -> str:
    """Formats a stamp as UTC time of day."""
    return datetime.fromtimestamp(stamp / MICROSECONDS_PER_S, UTC).strftime("%H:%M:%S.%f")


def render_text(events: Iterable[Event]) -> Iterator[str]:
    """Yields a human-readable line for each event."""
    for event in events:
        endpoint = f" @{event.endpoint}" if event.endpoint else ""
        request = f" {event.request[:8]} {event.member}/{event.class_name}" if event.request else ""
        time = format_time(event.stamp)
        yield f"{time} {event.vm:<12} {event.kind:<13}{request}{endpoint} {event.detail}"


def render_pairs(events: Iterable[Event]) -> Iterator[str]:
    """Yields a machine-readable line of key=value pairs for each event."""
    for event in events:
        pairs = ((name, getattr(event, name)) for name in EVENT_FIELDS)
        suffix = "".join(f" {name}={format_value(value)}" for name, value in pairs if value)
        yield f"stamp={event.stamp} vm={event.vm} event={event.kind}{suffix}"


def render_svg(events: list[Event]) -> str:
    """Renders an SVG image with a lane for each VM and a circle for each event."""
    vms = sorted({event.vm for event in events})
    first_stamp = events[0].stamp if events else 0
    duration = max(1, (events[-1].stamp - first_stamp) if events else 1)
    height = LANE_HEIGHT * (len(vms) + 2)
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{SVG_WIDTH}" height="{height}"'
        ' font-family="monospace" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
    ]
    for lane, vm in enumerate(vms):
        y = LANE_HEIGHT * (lane + 1)
        lines.append(f'<text x="6" y="{y + 4}">{escape(vm)}</text>')
        lines.append(
            f'<line x1="{LEFT_MARGIN}" x2="{SVG_WIDTH - 10}" y1="{y}" y2="{y}" stroke="#ccc"/>'
        )
    width = SVG_WIDTH - LEFT_MARGIN - 20
    for event in events:
        x = LEFT_MARGIN + width * (event.stamp - first_stamp) / duration
        y = LANE_HEIGHT * (vms.index(event.vm) + 1)
        title = escape(next(render_pairs([event])))
        colour = KIND_COLOURS.get(event.kind, "#555")
        lines.append(
            f'<circle cx="{x:.1f}" cy="{y}" r="4" fill="{colour}" fill-opacity="0.7">'
            f"<title>{title}</title></circle>"
        )
    footer_y = height - 8
    start_time, end_time = format_time(first_stamp), format_time(first_stamp + duration)
    lines.append(f'<text x="{LEFT_MARGIN}" y="{footer_y}">{start_time}</text>')
    lines.append(f'<text x="{SVG_WIDTH - 130}" y="{footer_y}">{end_time}</text></svg>')
    return "\n".join(lines)
