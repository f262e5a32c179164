"""Streams that another VM serves go on, after its end, at their own version only."""

import asyncio

import aiohttp

from plantainwood.core import events as ev
from plantainwood.core.servingvms import VM_PREFIX
from tests.edgesite import make_entry
from tests.fleetsite import FleetSite, LostPath, run_fleet
from tests.test_serving_vms import make_dispatcher, make_serving_vm

STREAMS = 12
EVENTS = 60
EVENT_S = 0.1
VERSIONS = ["v1", "v2", "v1", "v2"]


def make_script(version_by_instance: dict[bytes, bytes]):
    """Return a script whose events name the version of their upstream."""

    async def answer(request, writer) -> None:
        version = version_by_instance[request.headers[b"expect-instance"]]
        last_id = int(request.headers.get(b"last-event-id", b"0"))
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(last_id + 1, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, version)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    return answer


async def read_stream(site: FleetSite, vm: int, name: str) -> bytes:
    """Return what a caller gets of a stream, also if it breaks off."""
    address = site.daemons[vm].settings.addresses.callers
    headers = {
        "Host": "front.example",
        "Request-Id": name,
        "Authorization": "Token secret-key",
        "Deadline-Remaining": "15000",
    }
    body = b""
    try:
        async with site.session.post(
            f"http://{address}/s/x", data=b"b", headers=headers
        ) as response:
            async for chunk in response.content.iter_any():
                body += chunk
    except aiohttp.ClientError:
        pass
    return body


# Guards against one answer with events of two versions, when the VM that served the
# stream in this one's place is gone and this one has its path again (ORDER).
def test_a_stream_served_by_a_lost_vm_goes_on_at_its_version_only():
    instances = {b"i-%d" % number: VERSIONS[number].encode() for number in range(4)}

    async def scenario(site: FleetSite) -> None:
        for number, version in enumerate(VERSIONS):
            entry = make_entry(site.runners[number], version=version, slots=64)
            site.store.put(f"servers/i-{number}", entry)
        config = site.daemons[0].edge.view
        assert config.routes is not None
        await asyncio.sleep(0.5)
        site.lose_path(0, LostPath.RESET)
        # The first request finds out that the path is lost.
        await site.call(0, "GET", "/r/x", Request_Id="first")
        names = [f"s-{number}" for number in range(STREAMS)]
        reading = [asyncio.create_task(read_stream(site, 0, name)) for name in names]
        await asyncio.sleep(1.0)
        site.paths[0].regain()
        state = site.daemons[0].edge.broker.dispatcher.state
        await site.wait_until(lambda: not state.path_lost)
        await asyncio.sleep(0.3)
        await site.daemons[1].stop()
        mixed = []
        for name, body in zip(names, await asyncio.gather(*reading), strict=True):
            if b"v1" in body and b"v2" in body:
                mixed.append(name)
            assert b"data: " in body, name
        assert mixed == []

    run_fleet(scenario, make_script(instances), runners=4, vms=2)


def start_stream(dispatcher, served_by: str) -> ev.Dispatch:
    """Let a stream begin through another VM; return its attempt."""
    arrival = ev.Arrival(
        "r1", "norte", "hint", "model/rounds", stream="s-1", max_attempts=3
    )
    dispatch = dispatcher.decide(arrival, 1_000)[0]
    assert dispatch.upstream.startswith(VM_PREFIX)
    dispatcher.decide(ev.AttemptStarted("r1", dispatch.attempt, served_by), 1_010)
    return dispatch


# Guards against a guess for a stream of an upstream that is not known here (ORDER).
def test_a_stream_of_an_unknown_upstream_goes_on_only_if_its_version_is_told():
    for told, expected in ((False, ev.Refuse), (True, ev.Dispatch)):
        dispatcher = make_dispatcher(x=make_serving_vm())
        versions = dispatcher.state.stream_versions
        versions.set_versions({"model/rounds": {""}}, 1_000)
        dispatch = start_stream(dispatcher, "i-unknown")
        if told:
            versions.record_remote({"": ["s-1"]}, 1_020)
        dispatcher.decide(ev.PathProbed(lost=False), 1_030)
        failed = ev.AttemptFailed("r1", dispatch.attempt, False, False)
        assert isinstance(dispatcher.decide(failed, 1_040)[0], expected)
