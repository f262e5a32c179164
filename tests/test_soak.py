"""A short soak by fixed seeds; `make soak` runs longer ones."""

import asyncio
import random

import pytest

from soak.faults import Operator
from soak.main import run_seed
from tests.processsite import ProcessSite

SECONDS = 25
VMS = 4


# Guards against faults that only overlapping disruptions of real processes show.
@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_finds_nothing(seed):
    assert run_seed(seed, SECONDS, VMS) == []


# Guards against a finding that is none: the operator removed a runner that the store
# had lost, and then wrote its entry again as if it had not.
def test_a_runner_removed_after_the_stores_return_is_not_written_again(tmp_path):
    async def scenario() -> None:
        site = ProcessSite(tmp_path)
        operator = Operator(site, random.Random(1))
        store = site.store
        copy = store.copy()
        await operator.set_up(5)
        written = dict(store.items)
        store.come_back(copy)
        copied = dict(store.items)
        await operator._remove_a_runner()
        operator._store_faults._write_again(written, copied)
        for runner in site.runners:
            await runner.stop()
        (left,) = operator.left_s
        assert f"servers/{left}" not in store.items
        assert len(store.items) == 1 + 5

    asyncio.run(scenario())
