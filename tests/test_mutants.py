"""Each mutant finds the text that it replaces exactly once, and its test exists."""

import pytest

from experiments.mutantcases import MUTANTS
from experiments.mutants import ROOT


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_the_text_that_a_mutant_replaces_occurs_once_in_its_file(mutant):
    assert (ROOT / mutant.file).read_text().count(mutant.before) == 1
    assert (ROOT / mutant.test.partition("::")[0]).exists()
