"""Tests of the event timeline: order despite clock skew, bounded memory, and rendering."""

import xml.etree.ElementTree as ElementTree

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from bluebellpitch.clock import HybridClock
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.logs import format_value
from bluebellpitch.operators.admin_server import EventPage
from bluebellpitch.operators.explain import explain_request
from bluebellpitch.operators.timeline import (
    EventFilter,
    merge_events,
    render_pairs,
    render_svg,
    render_text,
)

REQUEST = "a" * 32


def event_page(ring: EventRing) -> EventPage:
    return EventPage(ring.vm, ring.clock.stamp(), ring.dropped, tuple(ring.after(0)))


def make_skewed_rings() -> tuple[EventRing, EventRing]:
    """The second VM's clock is an hour behind, but observes the first's before its own event."""
    early = EventRing("vm-1", HybridClock(lambda: 10_000.0), 100)
    late = EventRing("vm-2", HybridClock(lambda: 6_400.0), 100)
    early.record(EventKind.ADMITTED, REQUEST, "m", "c")
    late.clock.observe(early.clock.stamp())
    late.record(EventKind.GRANTED, REQUEST, "m", "c", "e1")
    early.clock.observe(late.clock.stamp())
    early.record(EventKind.COMPLETED, REQUEST, "m", "c", "e1")
    return early, late


def test_events_are_in_causal_order_despite_clock_skew():
    events = merge_events((event_page(ring) for ring in make_skewed_rings()), EventFilter())
    kinds = [event.kind for event in events]
    assert_that(kinds, Equals([EventKind.ADMITTED, EventKind.GRANTED, EventKind.COMPLETED]))


def test_stamps_increase_while_the_wall_clock_is_frozen():
    clock = HybridClock(lambda: 5.0)
    stamps = [clock.stamp() for _ in range(5)]
    assert_that(sorted(set(stamps)), Equals(stamps))


def test_full_ring_drops_and_counts_the_oldest_events():
    ring = EventRing("vm", HybridClock(lambda: 1.0), 3)
    for number in range(5):
        ring.record(EventKind.QUEUED, str(number))
    assert_that([event.request for event in ring.after(0)], Equals(["2", "3", "4"]))
    assert_that(ring.dropped, Equals(2))


def test_event_filter_selects_by_vm_endpoint_and_member():
    pages = [event_page(ring) for ring in make_skewed_rings()]
    assert_that(merge_events(pages, EventFilter(vm="vm-2")), HasLength(1))
    assert_that(merge_events(pages, EventFilter(endpoint="e1")), HasLength(2))
    assert_that(merge_events(pages, EventFilter(member="other")), HasLength(0))


def test_all_renderers_show_every_event():
    events = merge_events((event_page(ring) for ring in make_skewed_rings()), EventFilter())
    assert_that(list(render_text(events)), HasLength(3))
    assert_that(next(render_pairs(events)), Contains("event=admitted"))
    image = ElementTree.fromstring(render_svg(events))
    circles = [node for node in image if node.tag.endswith("circle")]
    assert_that(circles, HasLength(3))
    assert_that(ElementTree.fromstring(render_svg([])).tag, Contains("svg"))


def test_explanation_describes_the_events_of_a_request():
    events = merge_events((event_page(ring) for ring in make_skewed_rings()), EventFilter())
    explanation = "\n".join(explain_request(events, REQUEST[:8]))
    assert_that(explanation, Contains("admitted for member m, class c"))
    assert_that(explanation, Contains("vm-2: got a slot at e1"))
    assert_that("\n".join(explain_request(events, "zz")), Contains("no VM that responded has"))


def test_quoted_log_values_contain_no_line_break():
    assert_that(format_value("plain"), Equals("plain"))
    assert_that(format_value("two words"), Equals('"two words"'))
    assert_that(format_value("line\nbreak"), Equals('"line\\nbreak"'))
    assert_that(format_value(""), Equals('""'))
