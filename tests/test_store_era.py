"""The platform's store comes back from an older copy of itself."""

import asyncio

from plantainwood.core.storeeras import get_era, get_store_revision, make_revision
from tests.edgesite import make_config, make_entry, run


def test_revisions_of_a_later_era_are_higher_and_keep_both_parts():
    first = make_revision(1, 900)
    second = make_revision(2, 20)
    assert first < second
    assert (get_era(second), get_store_revision(second)) == (2, 20)
    assert make_revision(0, 7) == 7


# Guards against CONFIG: the mirror took only higher revisions, so that nothing written
# after the store came back was seen until its revisions had passed the old ones.
def test_changes_after_the_store_came_back_are_in_force():
    async def scenario(site):
        copy = site.store.copy()
        for version in range(2, 12):
            site.store.put("op/config", make_config(version))
        mirror = site.daemon.edge.mirror
        await site.wait_until(lambda: mirror.revision == site.store.revision)
        site.store.come_back(copy)
        site.store.put("op/config", make_config(12, routes=[]))
        await site.wait_until(lambda: site.daemon.edge.view.routes.version == 12)
        assert (await site.call("GET", "/r/x"))[0] == 404

    run(scenario)


def test_an_older_configuration_of_the_copy_is_not_put_in_force():
    async def scenario(site):
        copy = site.store.copy()
        site.store.put("op/config", make_config(2, routes=[]))
        await site.wait_until(lambda: site.daemon.edge.view.routes.version == 2)
        site.store.come_back(copy)
        mirror = site.daemon.edge.mirror
        await site.wait_until(lambda: get_era(mirror.revision) == 1)
        assert site.daemon.edge.view.routes.version == 2

    run(scenario)


def test_a_write_expecting_a_revision_of_an_earlier_era_is_not_applied():
    """The store gave the same revision out again, for another value."""

    async def scenario(site):
        store = site.daemon.edge.driver.store
        copy = site.store.copy()
        expected = await store.compare_and_swap("x/key", b"old", 0)
        site.store.come_back(copy)
        site.store.put("x/key", b"of another writer")
        assert site.store.items["x/key"]["revision"] == expected
        mirror = site.daemon.edge.mirror
        await site.wait_until(lambda: get_era(mirror.revision) == 1)
        assert await store.compare_and_swap("x/key", b"new", expected) == 0
        found = await store.read("x/key")
        assert found.value == b"of another writer"
        assert await store.compare_and_swap("x/key", b"new", found.revision)

    run(scenario)


def test_a_runner_that_drained_after_the_copy_gets_nothing_new():
    """The copy says ready; the runner writes its entry again a moment later."""

    async def scenario(site):
        draining = site.runners[0]
        copy = site.store.copy()
        site.store.put("servers/i-0", make_entry(draining, state="draining"))
        await site.wait_until(lambda: site.usable_upstream_count == 1)
        site.store.come_back(copy)
        mirror = site.daemon.edge.mirror
        await site.wait_until(lambda: get_era(mirror.revision) == 1)
        await asyncio.sleep(0.2)
        before = len(draining.received)
        for _ in range(12):
            assert (await site.call("GET", "/r/x"))[0] == 200
        assert len(draining.received) == before
        site.store.put("servers/i-0", make_entry(draining, state="draining"))
        await asyncio.sleep(3)
        assert site.usable_upstream_count == 1

    run(scenario, runners=2)


def test_a_runner_missing_in_the_copy_is_used_until_it_is_back_or_gone():
    async def scenario(site):
        entry = make_entry(site.runners[1])
        site.store.remove("servers/i-1")
        await site.wait_until(lambda: site.usable_upstream_count == 1)
        copy = site.store.copy()
        site.store.put("servers/i-1", entry)
        await site.wait_until(lambda: site.usable_upstream_count == 2)
        site.store.come_back(copy)
        mirror = site.daemon.edge.mirror
        await site.wait_until(lambda: get_era(mirror.revision) == 1)
        assert site.usable_upstream_count == 2
        await site.wait_until(lambda: site.usable_upstream_count == 1)

    run(scenario, runners=2)


def test_a_vm_is_registered_again_after_the_store_came_back():
    async def scenario(site):
        await site.wait_until(lambda: "vms/vm-1" in site.store.items)
        copy = site.store.copy()
        del copy.items["vms/vm-1"]
        site.store.come_back(copy)
        await site.wait_until(lambda: "vms/vm-1" in site.store.items)

    run(scenario)
