"""Streams go on only at the software version that began them, over real sockets."""

import aiohttp
import pytest

from tests.edgesite import STREAM, make_entry, reset_unless_resumed, run

ROUNDS = 6


def register_versions(site, versions: list[str]) -> None:
    """Write the version of each runner to the registry."""
    for number, version in enumerate(versions):
        entry = make_entry(site.runners[number], version=version)
        site.store.put(f"servers/i-{number}", entry)


def list_versions(site) -> list[str]:
    """Return the versions that the node knows, sorted."""
    upstreams = site.daemon.edge.view.catalogue.upstreams.values()
    return sorted(upstream.version for upstream in upstreams)


def find_runners(site, request_id: str, resumed: bool) -> list[int]:
    """Return the numbers of the runners that got a request, to begin or to resume."""
    found: list[int] = []
    for number, runner in enumerate(site.runners):
        for item in runner.received:
            if item.request_id.decode() != request_id:
                continue
            if (b"last-event-id" in item.headers) == resumed:
                found.append(number)
    return found


# Guards against one answer with events of two software versions (ORDER).
def test_a_broken_stream_does_not_continue_at_another_version():
    async def scenario(site):
        register_versions(site, ["v1", "v2"])
        await site.wait_until(lambda: list_versions(site) == ["v1", "v2"])
        for number in range(ROUNDS):
            request_id = f"r-{number}"
            with pytest.raises(aiohttp.ClientError):
                await site.call("POST", "/s/x", b"b", Request_Id=request_id)
            assert find_runners(site, request_id, resumed=True) == []

    run(scenario, script=reset_unless_resumed, runners=2)


def test_a_broken_stream_continues_at_a_runner_of_its_version():
    async def scenario(site):
        versions = ["v1", "v2", "v1", "v2"]
        register_versions(site, versions)
        await site.wait_until(lambda: list_versions(site) == sorted(versions))
        for number in range(ROUNDS):
            request_id = f"r-{number}"
            result = await site.call("POST", "/s/x", b"b", Request_Id=request_id)
            assert (result[0], result[2]) == (200, STREAM)
            (began,) = find_runners(site, request_id, resumed=False)
            (resumed,) = find_runners(site, request_id, resumed=True)
            assert versions[began] == versions[resumed]

    run(scenario, script=reset_unless_resumed, runners=4)


# Guards against a caller's tries that bring events of two software versions (ORDER).
def test_a_stream_that_a_caller_takes_up_continues_at_its_version():
    async def scenario(site):
        versions = ["v1", "v2"]
        register_versions(site, versions)
        await site.wait_until(lambda: list_versions(site) == versions)
        for number in range(ROUNDS):
            first = f"r-{number}"
            with pytest.raises(aiohttp.ClientError):
                await site.call("POST", "/s/x", b"b", Request_Id=first)
            (began,) = find_runners(site, first, resumed=False)
            again = f"again-{number}"
            headers = {"Resumes": first, "Last-Event-Id": "3"}
            status, _, _ = await site.call(
                "POST", "/s/x", b"b", Request_Id=again, **headers
            )
            assert status in (200, 503)
            assert find_runners(site, again, resumed=True) in ([began], [])

    run(scenario, script=reset_unless_resumed, runners=2)


# Guards against losing the streams that callers take up (LOST).
def test_a_stream_that_a_caller_takes_up_is_served_while_its_version_serves():
    async def scenario(site):
        versions = ["v1", "v2", "v1", "v2"]
        register_versions(site, versions)
        await site.wait_until(lambda: list_versions(site) == sorted(versions))
        await site.call("POST", "/s/x", b"b", Request_Id="r-first")
        (began,) = find_runners(site, "r-first", resumed=False)
        for number in range(ROUNDS):
            again = f"again-{number}"
            headers = {"Resumes": "r-first", "Last-Event-Id": "3"}
            status, _, _ = await site.call(
                "POST", "/s/x", b"b", Request_Id=again, **headers
            )
            assert status == 200
            (resumed,) = find_runners(site, again, resumed=True)
            assert versions[resumed] == versions[began]

    run(scenario, script=reset_unless_resumed, runners=4)


# Guards against a guess where nothing tells which version began a stream (ORDER).
def test_an_unknown_stream_is_not_continued_while_several_versions_serve():
    async def scenario(site):
        register_versions(site, ["v1", "v2"])
        await site.wait_until(lambda: list_versions(site) == ["v1", "v2"])
        headers = {"Resumes": "never-seen", "Last-Event-Id": "3"}
        status, answered, _ = await site.call("POST", "/s/x", b"b", **headers)
        assert status == 503 and float(answered["Retry-After"]) > 0
        assert not any(runner.received for runner in site.runners)

    run(scenario, script=reset_unless_resumed, runners=2)


def test_an_unknown_stream_is_continued_while_a_single_version_serves():
    async def scenario(site):
        headers = {"Resumes": "never-seen", "Last-Event-Id": "3"}
        status, _, _ = await site.call("POST", "/s/x", b"b", **headers)
        assert status == 200

    run(scenario, script=reset_unless_resumed, runners=2)
