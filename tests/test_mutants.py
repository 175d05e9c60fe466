"""Each mutant of ``make mutants`` still matches the source code that it edits."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains

from tests.mutants import MUTANTS, ROOT


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.what)
def test_mutant_matches_the_source(mutant):
    assert_that((ROOT / mutant.path).read_text(), Contains(mutant.old))
