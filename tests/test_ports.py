"""Ports for the processes of one federation, which bind them well after they were drawn."""

from testtools.assertions import assert_that
from testtools.matchers import HasLength

from fakes.ports import free_port


def test_no_port_is_drawn_twice():
    drawn = [free_port() for _ in range(2_000)]
    assert_that(set(drawn), HasLength(len(drawn)))
