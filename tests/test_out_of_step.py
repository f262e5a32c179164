"""Streams that callers take up at a VM which is out of step while a version comes."""

import asyncio
import signal

import aiohttp
import pytest

from plantainwood.core.errors import StoreError
from plantainwood.edge import make_edge
from tests.edgesite import make_entry, reset_unless_resumed
from tests.fleetsite import FleetSite, run_fleet
from tests.processsite import ProcessSite, run_processes
from tests.samples import SETTINGS

STREAMS = 6
STANDSTILL_S = 2.5
CUT_OFF_S = 1.0
CALLERS_PATIENCE_MS = 2_000
"""How long callers wait for a stream's next event at least."""
EARLIER = "v1"
LATER = "v2"


def cut_off(site: FleetSite, vm: int) -> None:
    """Cut a VM off from the other VMs and from the store; callers still reach it."""
    daemon = site.daemons[vm]

    async def fail(*_arguments, **_options):
        raise StoreError("cut off")

    daemon._store._call = fail
    daemon._fleet_links.handle_message = lambda message: None
    daemon._fleet_links._messenger.send = lambda addresses, message: 0


def count_resumed(site, version_by_runner: list[str]) -> dict[str, int]:
    """Return how often runners of each version were to go on with a stream."""
    counts = dict.fromkeys(version_by_runner, 0)
    for runner, version in zip(site.runners, version_by_runner, strict=True):
        for request in runner.received:
            counts[version] += b"last-event-id" in request.headers
    return counts


def list_versions(site: FleetSite, vm: int) -> set[str]:
    """Return the versions that a VM of the site knows."""
    upstreams = site.daemons[vm].edge.view.catalogue.upstreams.values()
    return {upstream.version for upstream in upstreams}


async def take_up(call, stream: str) -> int:
    """Take a stream up after its third event; return the status."""
    headers = {"Resumes": stream, "Last-Event-Id": "3"}
    try:
        return (await call(f"again-{stream}", **headers))[0]
    except aiohttp.ClientError:
        return 0


# Guards against one text of two versions at a VM that a release passes by (ORDER).
def test_a_vm_that_is_cut_off_continues_no_stream_of_a_version_it_does_not_know():
    async def scenario(site: FleetSite) -> None:
        await asyncio.sleep(0.5)
        cut_off(site, 0)
        site.store.put("servers/i-1", make_entry(site.runners[1], version=LATER))
        await site.wait_until(lambda: list_versions(site, 1) == {EARLIER, LATER})
        streams = []
        for number in range(2 * STREAMS):
            with pytest.raises(aiohttp.ClientError):
                await site.call(1, "POST", "/s/x", b"b", Request_Id=f"s-{number}")
            streams.append(f"s-{number}")
        begun_later = {
            request.request_id.decode() for request in site.runners[1].received
        }
        assert list_versions(site, 0) == {EARLIER}
        for stream in sorted(begun_later):

            async def call(request_id, **headers):
                return await site.call(
                    0, "POST", "/s/x", b"b", Request_Id=request_id, **headers
                )

            assert await take_up(call, stream) == 503
        assert begun_later
        assert count_resumed(site, [EARLIER, LATER])[EARLIER] == 0

    run_fleet(scenario, reset_unless_resumed, runners=2)


# Guards against the same at a VM that stood still and is asked as it wakes up (ORDER).
def test_a_vm_that_stood_still_continues_no_stream_at_an_earlier_version(tmp_path):
    async def scenario(site: ProcessSite) -> None:
        await asyncio.sleep(1.0)
        frozen, other = site.vms[0], site.vms[1]
        frozen.signal(signal.SIGSTOP)
        await site.add_runner(reset_unless_resumed, version=LATER)
        await asyncio.sleep(1.0)
        for number in range(3 * STREAMS):
            with pytest.raises(aiohttp.ClientError):
                await site.call(other, "/s/x", f"s-{number}")
        begun_later = [
            request.request_id.decode() for request in site.runners[1].received
        ]
        assert begun_later

        async def call(request_id, **headers):
            return await site.call(frozen, "/s/x", request_id, **headers)

        asked = [asyncio.create_task(take_up(call, name)) for name in begun_later]
        await asyncio.sleep(STANDSTILL_S - 1.0)
        frozen.signal(signal.SIGCONT)
        await asyncio.gather(*asked)
        assert count_resumed(site, [EARLIER, LATER])[EARLIER] == 0

    run_processes(scenario, reset_unless_resumed, tmp_path, runners=1)


# Guards against an update that waited while the VM stood still and counts as new.
def test_an_update_counts_from_when_it_was_sent():
    edge = make_edge(SETTINGS)
    edge.vms.learn_address("vm-2", "tcp://127.0.0.1:1")
    asked_ms = edge.clock.now_ms()
    agreed_ms = edge.agreed_time.now(asked_ms)
    edge.note_update(agreed_ms - 2_000, 100)
    assert not edge.is_registry_confirmed(asked_ms)
    edge.note_update(agreed_ms, 100)
    assert not edge.is_registry_confirmed(asked_ms)
    edge.note_update(agreed_ms + 200, 100)
    assert edge.is_registry_confirmed(asked_ms - 100)


# Guards against refusing the streams of the only version, or holding them (LOST).
def test_a_vm_in_step_continues_unknown_streams_of_the_only_version():
    async def scenario(site: FleetSite) -> None:
        clock = site.daemons[0].edge.clock
        for number in range(STREAMS):

            async def call(request_id, **headers):
                return await site.call(
                    number % 3, "POST", "/s/x", b"b", Request_Id=request_id, **headers
                )

            began_ms = clock.now_ms()
            assert await take_up(call, f"unknown-{number}") == 200
            assert clock.now_ms() - began_ms < CALLERS_PATIENCE_MS

    run_fleet(scenario, reset_unless_resumed, runners=2)


# Guards against refusing them while no VM reaches the store (LOST).
def test_vms_that_hear_each_other_continue_such_streams_without_the_store():
    async def scenario(site: FleetSite) -> None:
        site.store.faults.down = True
        await asyncio.sleep(CUT_OFF_S)

        async def call(request_id, **headers):
            return await site.call(
                0, "POST", "/s/x", b"b", Request_Id=request_id, **headers
            )

        assert await take_up(call, "unknown") == 200

    run_fleet(scenario, reset_unless_resumed, runners=2)
