"""The whole path, as separate processes."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from fakes import demo


def test_demo_is_all_right(run):
    assert_that(run(demo.main()), Equals(0))
