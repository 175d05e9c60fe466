"""Both demos end to end: as separate processes, and on fakes of the prepared platform."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from fakes import demo, prepared_demo


def test_demo_passes(run):
    assert_that(run(demo.main()), Equals(0))


def test_prepared_platform_demo_passes(run):
    assert_that(run(prepared_demo.main()), Equals(0))
