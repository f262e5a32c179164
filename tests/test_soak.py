"""A short soak by fixed seeds; `make soak` runs longer ones."""

import asyncio
import random

import pytest

from soak.clients import Call
from soak.cuts import list_cut
from soak.faults import Operator
from soak.main import run_seed
from soak.runners import Run
from tests.processsite import ProcessSite, VmProcess

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


# Guards against a soak that passes over cut streams, or finds those that may be cut.
@pytest.mark.parametrize(
    ("excuse", "found"),
    [("", 1), ("whole", 0), ("broken", 0), ("killed", 0), ("late", 0), ("stop", 0)],
)
def test_a_cut_stream_is_found_unless_something_excuses_it(excuse, found, tmp_path):
    async def scenario() -> None:
        site = ProcessSite(tmp_path)
        site.store.address = "127.0.0.1:1"
        operator = Operator(site, random.Random(1))
        now_s = asyncio.get_running_loop().time()
        vm = VmProcess(site, 0, [1] * 6)
        call = Call("c0-1", "s", "key-0", vm, now_s - 1.0)
        call.body = b"id: 1\ndata: v1\n\n"
        call.ended_s = now_s + 1.0
        run = Run("c0-1", "i-1", now_s, "key-0", False)
        operator.runs.append(run)
        if excuse == "whole":
            call.status = 200
        if excuse == "broken":
            run.broke_off = True
        if excuse == "killed":
            operator.disturbances.record_kill(vm.name)
        if excuse == "late":
            call.sent_s -= 5.0
        if excuse == "stop":
            operator.disturbances.terms_s[vm.name] = [now_s - 6.6]
        assert len(list_cut([call], operator)) == found

    asyncio.run(scenario())
