"""An edge node over real sockets: store updates, retries, streams, drains."""

import asyncio

import aiohttp
import pytest

from fakes.runner import make_response, reset_connection
from tests.edgesite import (
    STREAM,
    answer_stream,
    make_config,
    make_entry,
    reset_unless_resumed,
    run,
)


def test_a_withdrawn_key_and_a_removed_route_are_refused_after_the_update():
    async def scenario(site):
        site.store.put("op/config", make_config(2, tenants=[]))
        await site.wait_until(lambda: site.daemon.edge.view.routes.version == 2)
        assert (await site.call("GET", "/r/x"))[0] == 401
        site.store.put("op/config", make_config(3, routes=[]))
        await site.wait_until(lambda: site.daemon.edge.view.routes.version == 3)
        assert (await site.call("GET", "/r/x"))[0] == 404

    run(scenario)


def test_an_older_version_never_replaces_a_newer_one():
    async def scenario(site):
        site.store.put("op/config", make_config(5))
        await site.wait_until(lambda: site.daemon.edge.view.routes.version == 5)
        revision = site.store.put("op/config", make_config(4, routes=[]))
        mirror = site.daemon.edge.mirror
        await site.wait_until(lambda: mirror.revision >= revision)
        assert site.daemon.edge.view.routes.version == 5

    run(scenario)


def test_invalid_and_foreign_entries_add_no_upstream_and_affect_no_other():
    async def scenario(site):
        runner = site.runners[0]
        site.store.put("servers/x1", b"\xff\x00")
        site.store.put("servers/x2", b"[1, 2]")
        site.store.put("servers/x3", make_entry(runner, slots="many"))
        site.store.put("servers/x4", make_entry(runner, service="other"))
        site.store.put("servers/x5", make_entry(runner, state="strange"))
        revision = site.store.put("servers/x6", make_entry(runner, address="nowhere"))
        mirror = site.daemon.edge.mirror
        await site.wait_until(lambda: mirror.revision >= revision)
        assert site.usable_upstream_count == 1
        assert (await site.call("GET", "/r/x"))[0] == 200

    run(scenario)


def test_a_draining_runner_gets_no_new_requests():
    async def scenario(site):
        draining = site.runners[0]
        site.store.put("servers/i-0", make_entry(draining, state="draining"))
        await site.wait_until(lambda: site.usable_upstream_count == 1)
        before = len(draining.received)
        for _ in range(12):
            assert (await site.call("GET", "/r/x"))[0] == 200
        assert len(draining.received) == before

    run(scenario, runners=2)


def test_a_runner_restarted_under_its_id_serves_again():
    async def scenario(site):
        runner = site.runners[0]
        site.store.put("servers/i-0", make_entry(runner, state="draining"))
        await site.wait_until(lambda: site.usable_upstream_count == 0)
        site.store.put("servers/i-0", make_entry(runner, born=2_000))
        await site.wait_until(lambda: site.usable_upstream_count == 1)
        assert (await site.call("GET", "/r/x"))[0] == 200

    run(scenario)


def test_a_full_read_replaces_a_compacted_history():
    async def scenario(site):
        site.store.put("op/config", make_config(2))
        site.store.compact()
        await site.wait_until(lambda: site.daemon.edge.view.routes.version == 2)

    run(scenario)


def test_a_refusal_that_proves_that_nothing_ran_is_retried_on_another_runner():
    async def script(request, writer):
        if request.headers[b"expect-instance"] == b"i-0":
            writer.write(make_response(request, b"", 503, "Not-Executed: 1\r\n"))
        else:
            writer.write(make_response(request, b"ok"))

    async def scenario(site):
        for _ in range(6):
            status, _, body = await site.call("POST", "/u/x", b"b")
            assert (status, body) == (200, b"ok")

    run(scenario, script=script, runners=2)


def test_a_refusal_by_another_process_at_the_address_is_retried():
    async def script(request, writer):
        if request.headers[b"expect-instance"] == b"i-0":
            writer.write(make_response(request, b"", 421))
        else:
            writer.write(make_response(request, b"ok"))

    async def scenario(site):
        for _ in range(4):
            assert (await site.call("POST", "/u/x", b"b"))[0] == 200

    run(scenario, script=script, runners=2)


def test_an_unsafe_call_whose_response_is_lost_is_502_and_not_retried():
    async def script(request, writer):
        reset_connection(writer)

    async def scenario(site):
        status, _, _ = await site.call("POST", "/u/x", b"b")
        assert status == 502
        assert sum(len(runner.received) for runner in site.runners) == 1

    run(scenario, script=script, runners=2)


def test_a_safe_call_whose_response_is_lost_is_retried_on_another_runner():
    async def script(request, writer):
        if request.headers[b"expect-instance"] == b"i-0":
            reset_connection(writer)
        else:
            writer.write(make_response(request, b"ok"))

    async def scenario(site):
        for _ in range(4):
            assert (await site.call("GET", "/r/x"))[0] == 200

    run(scenario, script=script, runners=2)


def test_a_stream_is_relayed_completely():
    async def scenario(site):
        status, headers, body = await site.call("POST", "/s/x", b"b")
        assert (status, body) == (200, STREAM)
        assert headers["Response-Seal"] == "i-0"

    run(scenario, script=answer_stream)


def test_a_caller_resumes_after_the_last_event_it_received():
    async def scenario(site):
        _, _, body = await site.call("POST", "/s/x", b"b", Last_Event_Id="4")
        assert body == b"id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n"

    run(scenario, script=answer_stream)


def test_a_broken_stream_continues_from_another_runner_in_the_same_response():
    async def scenario(site):
        status, headers, body = await site.call("POST", "/s/x", b"b")
        assert (status, body) == (200, STREAM)
        assert headers["Response-Seal"] == "first"
        received = [item for runner in site.runners for item in runner.received]
        assert sorted(item.headers.get(b"last-event-id", b"") for item in received) == [
            b"",
            b"3",
        ]

    run(scenario, script=reset_unless_resumed, runners=2)


def test_a_broken_stream_that_may_not_be_resumed_does_not_look_complete():
    async def scenario(site):
        with pytest.raises(aiohttp.ClientError):
            await site.call("POST", "/n/x", b"b")
        assert sum(len(runner.received) for runner in site.runners) == 1

    run(scenario, script=reset_unless_resumed, runners=2)


def test_a_caller_that_leaves_cancels_its_request():
    async def script(request, writer):
        await asyncio.sleep(5)

    async def scenario(site):
        runner = site.runners[0]
        task = asyncio.ensure_future(site.call("POST", "/s/x", b"b"))
        await site.wait_until(lambda: len(runner.received) == 1)
        task.cancel()
        await site.wait_until(lambda: runner.closed_by_caller == 1)
        await site.wait_until(lambda: not site.daemon.edge.broker.active_requests)

    run(scenario, script=script)


def test_started_requests_are_counted_once_for_their_customer():
    async def scenario(site):
        for _ in range(3):
            await site.call("GET", "/r/x")
        await site.call("GET", "/o/x", Authorization="")
        totals: dict[str, int] = {}
        for record in site.daemon.edge.start_counter.list_records():
            for name, count in record.counts.items():
                totals[name] = totals.get(name, 0) + count
        assert totals == {"acme": 3}

    run(scenario)


def test_the_directory_lists_ready_nodes_and_removes_a_leaving_one():
    async def scenario(site):
        settings = site.daemon.edge.settings
        url = f"http://{settings.addresses.directory}/plantainwood/resolve?name=x"
        async with site.session.get(url) as response:
            body = await response.json()
            assert body["addresses"] == [settings.addresses.callers]
        draining = asyncio.ensure_future(site.daemon.drain())
        await asyncio.sleep(0.05)
        async with site.session.get(url) as response:
            assert response.status == 503
        ready_url = f"http://{settings.addresses.ready}/plantainwood/ready"
        async with site.session.get(ready_url) as response:
            assert response.status == 503
        status, headers, _ = await site.call("GET", "/r/x")
        assert status == 200
        assert headers["Connection"] == "close"
        draining.cancel()

    run(scenario)


def test_a_drain_finishes_running_requests_and_serves_late_ones():
    async def script(request, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(1, 9):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.5)
        writer.write(b"0\r\n\r\n")

    async def scenario(site):
        stream = asyncio.ensure_future(site.call("POST", "/n/x", b"b"))
        await site.wait_until(lambda: len(site.runners[0].received) == 1)
        draining = asyncio.ensure_future(site.daemon.drain())
        await asyncio.sleep(0.1)
        late = asyncio.ensure_future(site.call("POST", "/n/x", b"b"))
        status, headers, body = await stream
        assert (status, body.count(b"id:")) == (200, 8)
        status, headers, body = await late
        assert (status, body.count(b"id:")) == (200, 8)
        await draining
        status, _, _ = await site.call("GET", "/r/x")
        assert status == 503

    run(scenario, script=script)


def make_unframed_script(events: bytes):
    """Return a script whose first answer has no length, and ends after `events`."""
    used: list[bytes] = []

    async def script(request, writer):
        if used:
            await answer_stream(request, writer)
            return
        used.append(request.line)
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: first\r\nContent-Type: text/event-stream\r\n\r\n" + events
        )
        await writer.drain()
        writer.close()

    return script


# Guards against an empty or cut stream that looks complete, where a runner's answer
# has neither a length nor chunks.
@pytest.mark.parametrize("end", [b"", b"id: 1", b"id: 1\ndata: one\n\nid: 2\nda"])
def test_a_stream_without_a_length_that_ends_inside_an_event_goes_on(end):
    events = end.replace(b"one", b"piece 1")

    async def scenario(site):
        status, _, body = await site.call("POST", "/s/x", b"b")
        assert (status, body) == (200, STREAM)

    run(scenario, script=make_unframed_script(events), runners=2)


def test_a_stream_without_a_length_that_ends_after_its_last_event_is_complete():
    async def scenario(site):
        status, headers, body = await site.call("POST", "/s/x", b"b")
        assert (status, body) == (200, STREAM)
        assert headers["Response-Seal"] == "first"
        assert sum(len(runner.received) for runner in site.runners) == 1

    run(scenario, script=make_unframed_script(STREAM), runners=2)


def test_an_answer_of_another_process_says_nothing_of_the_upstreams_limit():
    async def script(request, writer):
        if request.line.startswith(b"GET /r/limited"):
            writer.write(make_response(request, b"ok", 200, "Server-Limit: 50\r\n"))
        else:
            writer.write(make_response(request, b"", 421))

    async def scenario(site):
        assert (await site.call("GET", "/r/limited"))[0] == 200
        state = site.daemon.edge.broker.dispatcher.state
        (name,) = state.loads
        assert state.upstream_limits.find_limit(name) == 50.0
        await asyncio.sleep(0.1)
        assert (await site.call("GET", "/r/other"))[0] == 503
        assert state.upstream_limits.find_limit(name) == 50.0

    run(scenario, script=script)
