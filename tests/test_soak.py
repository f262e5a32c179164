"""A short soak by fixed seeds; `make soak` runs longer ones."""

import pytest

from soak.main import run_seed

SECONDS = 25
VMS = 4


# Guards against faults that only overlapping disruptions of real processes show.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_finds_nothing(seed):
    assert run_seed(seed, SECONDS, VMS) == []
