"""The specifications: safety is proved, the goal is reachable, and a mutant violates safety.

Without a reachable goal a proof could hold only because no action is ever possible.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from models import at_most_once, limits, table
from models.__main__ import DEPTH
from models.checker import find_goal, find_violation, prove, replay_violation

MODULES = {"at_most_once": at_most_once, "table": table, "limits": limits}
QUICK_MUTANTS = {
    "at_most_once": "dispatch without holding",
    "table": "no base check",
    "limits": "no minimum",
}


@pytest.mark.parametrize("name", MODULES)
def test_specification_is_proved(name):
    assert_that(prove(MODULES[name].build()), Equals("proved"))


@pytest.mark.parametrize("name", MODULES)
def test_specification_reaches_its_goal(name):
    assert_that(find_goal(MODULES[name].build(), DEPTH), Not(Is(None)))


@pytest.mark.parametrize("name", MODULES)
def test_mutant_violates_safety(name):
    assert_that(find_violation(MODULES[name].build(QUICK_MUTANTS[name]), DEPTH), Not(Is(None)))


def test_schedule_violates_safety_only_in_its_mutant():
    schedule = limits.SCHEDULES["any epoch"]
    assert_that(replay_violation(limits.build("any epoch"), schedule), Equals(len(schedule)))
    assert_that(replay_violation(limits.build(), schedule), Is(None))
