"""The mutants of ``make mutants`` still fit the code that they take mechanisms out of."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains

from tests.mutants import MUTANTS, ROOT


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.what)
def test_mutant_fits_the_code(mutant):
    assert_that((ROOT / mutant.path).read_text(), Contains(mutant.old))
