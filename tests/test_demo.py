"""The whole path: as separate processes, and on the stand-ins of the prepared platform."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from fakes import demo, prepared_demo


def test_demo_is_all_right(run):
    assert_that(run(demo.main()), Equals(0))


def test_demo_on_the_prepared_platform(run):
    assert_that(run(prepared_demo.main()), Equals(0))
