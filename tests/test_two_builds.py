"""VMs of this build and of an earlier one, as processes side by side."""

import subprocess
from pathlib import Path

import pytest

from tests.processsite import ROOT, ProcessSite, run_processes
from tests.test_odd_entries import (
    ODD_ENTRIES,
    answer,
    change_all,
    count_mistakes,
    write_odd_entries,
)

EARLIER_BUILDS = ("e970768", "f447cae", "18edd98", "aa13c7c")
"""The last build whose reading of the store ends at entries that can't be read, the
landing after it, and the last ones whose heartbeats say nothing of cold upstreams and
engines' timings, and nothing of customers' work."""


def unpack_build(root: Path, commit: str) -> Path:
    """Unpack the source tree of an earlier build from the repository's history."""
    archive = subprocess.run(
        ["git", "archive", commit, "plantainwood", "platform"],
        cwd=ROOT,
        check=True,
        stdout=subprocess.PIPE,
    )
    subprocess.run(["tar", "-x", "-C", str(root)], input=archive.stdout, check=True)
    return root


@pytest.fixture(scope="module", params=EARLIER_BUILDS)
def earlier_root(tmp_path_factory, request) -> Path:
    """Return the source tree of an earlier build."""
    return unpack_build(tmp_path_factory.mktemp("earlier"), request.param)


def assert_all_understood(site: ProcessSite) -> None:
    """Assert that no VM dropped or could not read what another one sent."""
    for vm in site.vms:
        for event in ("frame_dropped", "config_unreadable", "versions_unreadable"):
            assert vm.list_events(event) == []


# Guards against items of the store that one build passes on and the other can't apply.
@pytest.mark.parametrize("earlier_first", [True, False])
def test_both_builds_follow_the_store(earlier_first, earlier_root, tmp_path):
    async def scenario(site: ProcessSite) -> None:
        await write_odd_entries(site, ODD_ENTRIES["no_text"])
        await change_all(site)
        mistakes = await count_mistakes(site)
        assert not any(mistakes.values()), mistakes
        assert_all_understood(site)
        # Replace a VM of each build by one of the other.
        for vm, root in zip(site.vms, (ROOT, earlier_root), strict=False):
            await vm.kill()
            vm.root = root
            await vm.start()
        mistakes = await count_mistakes(site)
        assert not any(mistakes.values()), mistakes
        assert_all_understood(site)

    roots = [earlier_root, ROOT] if earlier_first else [ROOT, earlier_root]
    run_processes(scenario, answer, tmp_path, roots=roots)


# Guards against odd entries that VMs of this build pass on to those of the earlier one.
def test_vms_of_the_earlier_build_follow_the_store_through_those_of_this(
    earlier_root, tmp_path
):
    async def scenario(site: ProcessSite) -> None:
        await write_odd_entries(site, ODD_ENTRIES["deeply_nested"])
        await change_all(site)
        mistakes = await count_mistakes(site)
        assert not any(mistakes.values()), mistakes
        assert_all_understood(site)

    run_processes(scenario, answer, tmp_path, roots=[ROOT, earlier_root])
