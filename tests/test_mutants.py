"""Each mutant of ``make mutants`` still applies: the source contains the text it replaces."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains

from tests.mutants import MUTANTS, ROOT


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.what)
def test_source_contains_the_text_that_a_mutant_replaces(mutant):
    assert_that((ROOT / mutant.path).read_text(), Contains(mutant.old))
