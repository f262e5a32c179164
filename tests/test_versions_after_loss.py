"""Streams that callers take up after all VMs were lost while versions were replaced."""

import base64

import aiohttp
import msgspec
import pytest

from plantainwood.core.confirmation import MAX_CONFIRM_AGE_MS
from plantainwood.core.streamversions import VERSION_LIFETIME_MS, StreamVersions
from tests.edgesite import make_entry, reset_unless_resumed, run
from tests.largefleet import LargeFleet
from tests.test_begun_streams import NOW_MS, POOL, make_versions
from tests.test_stream_versions import find_runners, list_versions

RECORD_KEY = f"stream-versions/{POOL}"
TAKE_UP = {"Resumes": "r-first", "Last-Event-Id": "3"}


async def begin_stream(site) -> None:
    """Let a caller begin a stream that breaks off."""
    with pytest.raises(aiohttp.ClientError):
        await site.call("POST", "/s/x", b"b", Request_Id="r-first")
    assert find_runners(site, "r-first", resumed=False) == [0]


def read_record(site) -> list[str]:
    """Return the versions that the store records for the pool."""
    item = site.store.items.get(RECORD_KEY)
    if item is None:
        return []
    return msgspec.json.decode(base64.b64decode(item["value"]))


async def replace_the_runner(site) -> None:
    """Let the runner of v1 leave, and the one of v2 come."""
    site.store.remove("servers/i-0")
    site.store.put("servers/i-1", make_entry(site.runners[1], version="v2"))


# Guards against one text of two versions after a loss of all VMs (ORDER).
def test_a_stream_of_a_version_that_left_while_all_vms_were_lost_is_refused():
    async def scenario(site):
        site.store.remove("servers/i-1")
        await site.wait_until(lambda: list_versions(site) == ["v1"])
        await site.wait_until(lambda: read_record(site) == ["v1"])
        await begin_stream(site)
        await site.lose_vm()
        await replace_the_runner(site)
        await site.start_vm()
        assert list_versions(site) == ["v2"]
        status, answered, _ = await site.call("POST", "/s/x", b"b", **TAKE_UP)
        assert status == 503 and float(answered["Retry-After"]) > 0
        assert not site.runners[1].received

    run(scenario, script=reset_unless_resumed, runners=2)


def test_a_stream_of_a_version_that_left_just_before_the_loss_is_refused():
    async def scenario(site):
        site.store.remove("servers/i-1")
        await site.wait_until(lambda: list_versions(site) == ["v1"])
        await begin_stream(site)
        await replace_the_runner(site)
        await site.wait_until(lambda: read_record(site) == ["v1", "v2"])
        await site.lose_vm()
        await site.start_vm()
        status, _, _ = await site.call("POST", "/s/x", b"b", **TAKE_UP)
        assert status == 503
        assert not site.runners[1].received

    run(scenario, script=reset_unless_resumed, runners=2)


# Guards against refusing all streams after a loss of all VMs (LOST).
def test_a_stream_of_the_only_version_continues_after_a_loss_of_all_vms():
    async def scenario(site):
        await site.wait_until(lambda: read_record(site) == ["v1"])
        await site.lose_vm()
        await site.start_vm()
        status, _, _ = await site.call("POST", "/s/x", b"b", **TAKE_UP)
        assert status == 200

    run(scenario, script=reset_unless_resumed, runners=2)


def test_a_record_lost_with_an_older_copy_of_the_store_is_written_again():
    async def scenario(site):
        site.store.remove("servers/i-1")
        await site.wait_until(lambda: read_record(site) == ["v1"])
        copy = site.store.copy()
        site.store.put("servers/i-1", make_entry(site.runners[1], version="v2"))
        await site.wait_until(lambda: read_record(site) == ["v1", "v2"])
        site.store.come_back(copy)
        assert read_record(site) == ["v1"]
        await site.wait_until(lambda: read_record(site) == ["v1", "v2"])

    run(scenario, script=reset_unless_resumed, runners=2)


def test_an_unreadable_record_is_replaced():
    async def scenario(site):
        await site.wait_until(lambda: read_record(site) == ["v1"])
        site.store.put(RECORD_KEY, b"\xff{")
        await site.wait_until(
            lambda: site.store.items[RECORD_KEY]["value"]
            == base64.b64encode(b'["v1"]').decode()
        )

    run(scenario, script=reset_unless_resumed, runners=1)


def test_a_recorded_version_counts_for_a_limited_time():
    versions = make_versions("v2")
    versions.add_recorded(POOL, {"v1", "v2"}, NOW_MS)
    assert versions.find("unknown", POOL, NOW_MS + VERSION_LIFETIME_MS - 1) is None
    assert versions.find("unknown", POOL, NOW_MS + VERSION_LIFETIME_MS) == "v2"


def test_a_record_that_arrives_again_does_not_prolong_a_version():
    versions = make_versions("v1", "v2")
    versions.set_versions({POOL: {"v2"}}, NOW_MS)
    versions.add_recorded(POOL, {"v1", "v2"}, NOW_MS + 1_000)
    assert versions.list_recent(POOL, NOW_MS + VERSION_LIFETIME_MS) == {"v2"}


def test_a_version_that_is_recorded_before_it_registers_serves_as_current():
    versions = StreamVersions()
    versions.add_recorded(POOL, {"v1"}, NOW_MS)
    versions.set_versions({POOL: {"v1"}}, NOW_MS)
    later_ms = NOW_MS + 2 * VERSION_LIFETIME_MS
    assert versions.list_recent(POOL, later_ms) == {"v1"}


# Guards against a guess at a VM that a release has passed by (ORDER).
def test_a_vm_cut_off_from_store_and_vms_continues_no_unknown_stream():
    fleet = LargeFleet(4)
    edge = fleet.edges["vm-0"]
    edge.mirror.confirm(1, fleet.clock.now_ms())
    versions = edge.broker.dispatcher.state.stream_versions
    versions.set_versions({POOL: {"v1"}}, fleet.clock.now_ms())
    fleet.run(1)
    assert versions.find("unknown", POOL, fleet.clock.now_ms()) == "v1"
    for name in ("vm-1", "vm-2", "vm-3"):
        fleet.kill(name)
    fleet.clock.advance(2 * MAX_CONFIRM_AGE_MS)
    fleet.run(1)
    assert versions.find("unknown", POOL, fleet.clock.now_ms()) is None


# Guards against refusing streams while the store is down for all VMs (LOST).
def test_vms_that_hear_each_other_continue_streams_without_the_store():
    fleet = LargeFleet(4)
    edge = fleet.edges["vm-0"]
    versions = edge.broker.dispatcher.state.stream_versions
    versions.set_versions({POOL: {"v1"}}, fleet.clock.now_ms())
    fleet.run(3)
    assert edge.mirror.compute_age_ms(fleet.clock.now_ms()) is None
    assert versions.find("unknown", POOL, fleet.clock.now_ms()) == "v1"
