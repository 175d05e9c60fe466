"""The time line: order over VMs whose clocks differ, bounded memory, and what people see."""

import xml.etree.ElementTree as ElementTree

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from bluebellpitch.clock import HybridClock
from bluebellpitch.events import Kind, Ring
from bluebellpitch.logs import quote_value
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


def page(ring: Ring) -> EventPage:
    return EventPage(ring.vm, ring.clock.stamp(), ring.dropped, tuple(ring.since(0)))


def rings_with_skew() -> tuple[Ring, Ring]:
    """The second VM's clock is an hour behind; it hears of the first before it acts."""
    early = Ring("vm-1", HybridClock(lambda: 10_000.0), 100)
    late = Ring("vm-2", HybridClock(lambda: 6_400.0), 100)
    early.record(Kind.ADMITTED, REQUEST, "m", "c")
    late.clock.observe(early.clock.stamp())
    late.record(Kind.GRANTED, REQUEST, "m", "c", "e1")
    early.clock.observe(late.clock.stamp())
    early.record(Kind.COMPLETED, REQUEST, "m", "c", "e1")
    return early, late


def test_cause_stands_before_effect_though_clocks_differ():
    events = merge_events((page(ring) for ring in rings_with_skew()), EventFilter())
    kinds = [event.kind for event in events]
    assert_that(kinds, Equals([Kind.ADMITTED, Kind.GRANTED, Kind.COMPLETED]))


def test_stamps_increase_though_the_clock_stands_still():
    clock = HybridClock(lambda: 5.0)
    stamps = [clock.stamp() for _ in range(5)]
    assert_that(sorted(set(stamps)), Equals(stamps))


def test_ring_forgets_the_oldest_and_counts_them():
    ring = Ring("vm", HybridClock(lambda: 1.0), 3)
    for number in range(5):
        ring.record(Kind.QUEUED, str(number))
    assert_that([event.request for event in ring.since(0)], Equals(["2", "3", "4"]))
    assert_that(ring.dropped, Equals(2))


def test_filters():
    pages = [page(ring) for ring in rings_with_skew()]
    assert_that(merge_events(pages, EventFilter(vm="vm-2")), HasLength(1))
    assert_that(merge_events(pages, EventFilter(endpoint="e1")), HasLength(2))
    assert_that(merge_events(pages, EventFilter(member="other")), HasLength(0))


def test_renderings_show_every_event():
    events = merge_events((page(ring) for ring in rings_with_skew()), EventFilter())
    assert_that(list(render_text(events)), HasLength(3))
    assert_that(next(render_pairs(events)), Contains("event=admitted"))
    picture = ElementTree.fromstring(render_svg(events))
    circles = [node for node in picture if node.tag.endswith("circle")]
    assert_that(circles, HasLength(3))
    assert_that(ElementTree.fromstring(render_svg([])).tag, Contains("svg"))


def test_explanation_tells_the_story_of_a_request():
    events = merge_events((page(ring) for ring in rings_with_skew()), EventFilter())
    story = "\n".join(explain_request(events, REQUEST[:8]))
    assert_that(story, Contains("admitted for member m, class c"))
    assert_that(story, Contains("vm-2: got a slot at e1"))
    assert_that("\n".join(explain_request(events, "zz")), Contains("no VM that answered knows"))


def test_log_values_stay_on_one_line():
    assert_that(quote_value("plain"), Equals("plain"))
    assert_that(quote_value("two words"), Equals('"two words"'))
    assert_that(quote_value("line\nbreak"), Equals('"line\\nbreak"'))
    assert_that(quote_value(""), Equals('""'))
