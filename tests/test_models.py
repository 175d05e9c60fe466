"""The specifications: safety is proved, the goal is reachable, and a mutant violates safety.

Without a reachable goal a proof could hold only because no action is ever possible.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from models import at_most_once, limits, table
from models.__main__ import MAX_STEPS
from models.checker import find_goal, find_violation, prove, replay_violation

MODELS = {"at_most_once": at_most_once, "table": table, "limits": limits}
FAST_MUTANTS = {
    "at_most_once": "dispatch without owning",
    "table": "no revision check",
    "limits": "no minimum",
}


@pytest.mark.parametrize("name", MODELS)
def test_specification_is_proved(name):
    assert_that(prove(MODELS[name].build()), Equals("proved"))


@pytest.mark.parametrize("name", MODELS)
def test_specification_reaches_its_goal(name):
    assert_that(find_goal(MODELS[name].build(), MAX_STEPS), Not(Is(None)))


@pytest.mark.parametrize("name", MODELS)
def test_mutant_violates_safety(name):
    assert_that(find_violation(MODELS[name].build(FAST_MUTANTS[name]), MAX_STEPS), Not(Is(None)))


def test_schedule_violates_safety_only_in_its_mutant():
    schedule = limits.SCHEDULES["loan of old epoch"]
    assert_that(
        replay_violation(limits.build("loan of old epoch"), schedule), Equals(len(schedule))
    )
    assert_that(replay_violation(limits.build(), schedule), Is(None))
