"""The platform's door over real sockets: store, runners, one node in this process."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest

from bridge.daemon import Daemon
from fakes.runner import Runner, make_answer, reset
from fakes.store import MetaStore
from plantainwood.edgesettings import (
    EdgeAddresses,
    EdgeSettings,
    EdgeStore,
)

KEY = "Token secret-key"
HOST = "front.example"
WAIT_S = 15


def make_config(version: int = 1, **changes) -> bytes:
    """Return a configuration with a stream, an unsafe, a safe and an open route."""
    base = {
        "host": HOST,
        "timeoutMs": 3_000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "pool",
        "attempts": 2,
        "public": False,
    }
    routes = [
        {**base, "name": "r1", "prefix": "/s/", "kind": "stream", "resumable": True},
        {**base, "name": "r2", "prefix": "/u/", "kind": "unsafe", "attempts": 1},
        {**base, "name": "r3", "prefix": "/r/", "kind": "safe"},
        {**base, "name": "r4", "prefix": "/o/", "kind": "safe", "public": True},
        {**base, "name": "r5", "prefix": "/t/", "kind": "safe", "timeoutMs": 300},
        {**base, "name": "r6", "prefix": "/s/deep/", "kind": "safe"},
        {**base, "name": "r7", "prefix": "/n/", "kind": "stream", "timeoutMs": 9_000},
    ]
    config = {
        "version": version,
        "routes": routes,
        "services": [{"name": "pool", "healthPath": "/health"}],
        "limits": {"headerBytes": 16_384, "bodyBytes": 10_000},
        "tenants": [{"name": "acme", "apiKeys": ["secret-key"]}],
        **changes,
    }
    return msgspec.json.encode(config)


def make_entry(runner: Runner, **changes) -> bytes:
    """Return a runner's entry in the store."""
    entry = {
        "service": "pool",
        "address": runner.address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1_000,
        **changes,
    }
    return msgspec.json.encode(entry)


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    import socket

    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Site:
    """A store, two runners and a node."""

    def __init__(self) -> None:
        self.store = MetaStore()
        self.runners: list[Runner] = []
        self.daemon: Daemon
        self.base = ""
        self.session: aiohttp.ClientSession

    async def call(self, method: str, path: str, body: bytes = b"", **headers):
        """Send a caller's request; return (status, headers, body)."""
        given = {
            "Host": HOST,
            "Request-Id": "id-1",
            "Authorization": KEY,
            "Deadline-Remaining": "9000",
        }
        given.update({name.replace("_", "-"): text for name, text in headers.items()})
        async with self.session.request(
            method, self.base + path, data=body or None, headers=given
        ) as response:
            return response.status, response.headers, await response.read()

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(0.01)

    @property
    def upstreams(self) -> int:
        """Return how many upstreams may be sent work."""
        return len(self.daemon.edge.view.catalogue.upstreams)


@contextlib.asynccontextmanager
async def run_site(script, runners: int = 1, configured: bool = True):
    """Run a site whose runners answer as a script says."""
    site = Site()
    await site.store.start()
    for number in range(runners):
        runner = Runner(script)
        await runner.start()
        site.runners.append(runner)
        site.store.put(f"servers/i-{number}", make_entry(runner))
    if configured:
        site.store.put("op/config", make_config())
    ports = find_free_ports(5)
    addresses = [f"127.0.0.1:{port}" for port in ports]
    settings = EdgeSettings(
        node="vm-1",
        domain="a",
        domains=["a"],
        addresses=EdgeAddresses(*addresses[:4], metrics_port=ports[4]),
        store=EdgeStore(site.store.address, "127.0.0.1:1"),
        fleet="0123456789abcdef",
    )
    site.daemon = Daemon(settings)
    site.base = f"http://{addresses[0]}"
    site.session = aiohttp.ClientSession()
    await site.daemon.start()
    try:
        async with asyncio.timeout(WAIT_S):
            if configured:
                await site.wait_until(lambda: site.upstreams == runners)
            yield site
    finally:
        await site.session.close()
        await site.daemon.stop()
        for runner in site.runners:
            await runner.stop()
        await site.store.stop()


async def echo(seen, writer) -> None:
    """Answer with the request's line."""
    writer.write(make_answer(seen, seen.line))


def run(scenario, script=echo, **options) -> None:
    """Run a scenario on a site."""

    async def main() -> None:
        async with run_site(script, **options) as site:
            await scenario(site)

    asyncio.run(main())


def test_a_request_goes_on_byte_for_byte_with_only_our_headers_added():
    async def scenario(site):
        status, headers, body = await site.call(
            "POST",
            "/u/a%2Fb/../c?x=%20&y",
            b"some bytes \x00\xff",
            Tenant="mallory",
            Expect_Instance="i-9",
            Request_Urgency="0",
            Connection="X-Private",
            X_Private="1",
            X_Public="2",
        )
        assert status == 200
        assert headers["Response-Seal"] == "seal-id-1"
        seen = site.runners[0].seen[-1]
        assert seen.body == b"some bytes \x00\xff"
        assert seen.headers[b"tenant"] == b"acme"
        assert seen.headers[b"expect-instance"] == b"i-0"
        assert seen.headers[b"x-public"] == b"2"
        assert seen.headers[b"host"] == HOST.encode()
        assert int(seen.headers[b"deadline-remaining"]) <= 3_000
        for name in (b"authorization", b"x-private", b"request-urgency"):
            assert name not in seen.headers

    run(scenario)


def test_the_target_is_not_rewritten():
    async def scenario(site):
        host, port = site.base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /r/%41/./b//c?q=%2f HTTP/1.1\r\nHost: front.example\r\n"
            b"Request-Id: z\r\nAuthorization: Token secret-key\r\n\r\n"
        )
        await reader.readuntil(b"\r\n\r\n")
        assert site.runners[0].seen[-1].line == b"GET /r/%41/./b//c?q=%2f HTTP/1.1"
        writer.close()

    run(scenario)


@pytest.mark.parametrize(
    ("path", "authorization", "status"),
    [
        ("/none/", KEY, 404),
        ("/u/x", "Token wrong", 401),
        ("/u/x", "", 401),
        ("/o/x", "", 200),
        ("/s/deep/x", KEY, 200),
    ],
)
def test_routes_and_keys_decide_the_status(path, authorization, status):
    async def scenario(site):
        found, _, _ = await site.call("GET", path, Authorization=authorization)
        assert found == status

    run(scenario)


def test_a_node_without_a_configuration_answers_503():
    async def scenario(site):
        status, headers, _ = await site.call("GET", "/r/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    run(scenario, configured=False)


def test_an_unknown_key_is_not_denied_while_the_configuration_is_unconfirmed():
    async def scenario(site):
        site.store.faults.down = True
        await asyncio.sleep(1.2)
        status, _, _ = await site.call("GET", "/r/x", Authorization="Token newer")
        assert status == 503
        status, _, _ = await site.call("GET", "/r/x")
        assert status == 200

    run(scenario)


def test_a_withdrawn_key_and_a_dropped_route_stop_within_the_bound():
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


def test_broken_and_foreign_entries_name_no_upstream_and_harm_no_other():
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
        assert site.upstreams == 1
        assert (await site.call("GET", "/r/x"))[0] == 200

    run(scenario)


def test_a_draining_runner_gets_nothing_new():
    async def scenario(site):
        draining = site.runners[0]
        site.store.put("servers/i-0", make_entry(draining, state="draining"))
        await site.wait_until(lambda: site.upstreams == 1)
        before = len(draining.seen)
        for _ in range(12):
            assert (await site.call("GET", "/r/x"))[0] == 200
        assert len(draining.seen) == before

    run(scenario, runners=2)


def test_a_runner_reborn_under_its_id_serves_again():
    async def scenario(site):
        runner = site.runners[0]
        site.store.put("servers/i-0", make_entry(runner, state="draining"))
        await site.wait_until(lambda: site.upstreams == 0)
        site.store.put("servers/i-0", make_entry(runner, born=2_000))
        await site.wait_until(lambda: site.upstreams == 1)
        assert (await site.call("GET", "/r/x"))[0] == 200

    run(scenario)


def test_lost_history_is_read_anew():
    async def scenario(site):
        site.store.put("op/config", make_config(2))
        site.store.compact()
        await site.wait_until(lambda: site.daemon.edge.view.routes.version == 2)

    run(scenario)


def test_a_refusal_that_proves_not_to_have_run_is_tried_elsewhere():
    async def script(seen, writer):
        if seen.headers[b"expect-instance"] == b"i-0":
            writer.write(make_answer(seen, b"", 503, "Not-Executed: 1\r\n"))
        else:
            writer.write(make_answer(seen, b"ok"))

    async def scenario(site):
        for _ in range(6):
            status, _, body = await site.call("POST", "/u/x", b"b")
            assert (status, body) == (200, b"ok")

    run(scenario, script=script, runners=2)


def test_another_process_at_the_address_is_tried_elsewhere():
    async def script(seen, writer):
        if seen.headers[b"expect-instance"] == b"i-0":
            writer.write(make_answer(seen, b"", 421))
        else:
            writer.write(make_answer(seen, b"ok"))

    async def scenario(site):
        for _ in range(4):
            assert (await site.call("POST", "/u/x", b"b"))[0] == 200

    run(scenario, script=script, runners=2)


def test_an_unsafe_call_whose_answer_is_lost_is_502_and_never_sent_again():
    async def script(seen, writer):
        reset(writer)

    async def scenario(site):
        status, _, _ = await site.call("POST", "/u/x", b"b")
        assert status == 502
        assert sum(len(runner.seen) for runner in site.runners) == 1

    run(scenario, script=script, runners=2)


def test_a_safe_call_whose_answer_is_lost_is_sent_to_another_runner():
    async def script(seen, writer):
        if seen.headers[b"expect-instance"] == b"i-0":
            reset(writer)
        else:
            writer.write(make_answer(seen, b"ok"))

    async def scenario(site):
        for _ in range(4):
            assert (await site.call("GET", "/r/x"))[0] == 200

    run(scenario, script=script, runners=2)


def test_the_answer_at_the_routes_timeout_is_504_and_in_time():
    async def script(seen, writer):
        await asyncio.sleep(5)

    async def scenario(site):
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, _, _ = await site.call("GET", "/t/x")
        assert status == 504
        assert loop.time() - began < 0.6

    run(scenario, script=script)


def test_a_body_over_the_limit_is_413_and_the_next_request_is_served():
    async def scenario(site):
        assert (await site.call("POST", "/u/x", b"x" * 20_000))[0] == 413
        assert (await site.call("POST", "/u/x", b"x"))[0] == 200
        assert len(site.runners[0].seen) == 1

    run(scenario)


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Content-Length: -3\r\n",
        b"X-Folded: a\r\n b\r\n",
        b"Bad Name: a\r\n",
    ],
)
def test_ambiguous_requests_are_400_and_the_connection_ends(head):
    async def scenario(site):
        host, port = site.base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /u/x HTTP/1.1\r\nHost: front.example\r\nRequest-Id: z\r\n"
            b"Authorization: Token secret-key\r\n" + head + b"\r\nabc"
        )
        answer = await reader.read()
        assert answer.split()[1] == b"400", answer
        assert answer.count(b"HTTP/1.") == 1
        assert not site.runners[0].seen
        writer.close()

    run(scenario)


STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))


async def stream_all(seen, writer) -> None:
    """Answer a stream from the event after the one that the request names."""
    last = int(seen.headers.get(b"last-event-id", b"0"))
    events = [e + b"\n\n" for e in STREAM.split(b"\n\n") if e][last:]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + seen.request_id + b"\r\n"
        b"Response-Seal: " + seen.headers[b"expect-instance"] + b"\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    for event in events:
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.005)
    writer.write(b"0\r\n\r\n")


def test_a_stream_is_passed_on_whole():
    async def scenario(site):
        status, headers, body = await site.call("POST", "/s/x", b"b")
        assert (status, body) == (200, STREAM)
        assert headers["Response-Seal"] == "i-0"

    run(scenario, script=stream_all)


def test_a_caller_resumes_with_the_last_event_it_has():
    async def scenario(site):
        _, _, body = await site.call("POST", "/s/x", b"b", Last_Event_Id="4")
        assert body == b"id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n"

    run(scenario, script=stream_all)


async def break_off_first(seen, writer) -> None:
    """Break off within the fourth event, unless the stream is resumed."""
    if b"last-event-id" in seen.headers:
        await stream_all(seen, writer)
        return
    part = STREAM[: STREAM.index(b"id: 4") + 9]
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + seen.request_id + b"\r\n"
        b"Response-Seal: first\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%s\r\n" % (len(part), part)
    )
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


def test_a_broken_stream_goes_on_elsewhere_in_the_same_answer():
    async def scenario(site):
        status, headers, body = await site.call("POST", "/s/x", b"b")
        assert (status, body) == (200, STREAM)
        assert headers["Response-Seal"] == "first"
        seen = [item for runner in site.runners for item in runner.seen]
        assert sorted(item.headers.get(b"last-event-id", b"") for item in seen) == [
            b"",
            b"3",
        ]

    run(scenario, script=break_off_first, runners=2)


def test_a_broken_stream_that_may_not_be_resumed_does_not_look_whole():
    async def scenario(site):
        with pytest.raises(aiohttp.ClientError):
            await site.call("POST", "/n/x", b"b")
        assert sum(len(runner.seen) for runner in site.runners) == 1

    run(scenario, script=break_off_first, runners=2)


def test_a_caller_that_leaves_ends_the_work():
    async def script(seen, writer):
        await asyncio.sleep(5)

    async def scenario(site):
        runner = site.runners[0]
        task = asyncio.ensure_future(site.call("POST", "/s/x", b"b"))
        await site.wait_until(lambda: len(runner.seen) == 1)
        task.cancel()
        await site.wait_until(lambda: runner.closed_early == 1)
        await site.wait_until(lambda: not site.daemon.edge.board.tickets)

    run(scenario, script=script)


def test_started_requests_are_counted_once_for_their_customer():
    async def scenario(site):
        for _ in range(3):
            await site.call("GET", "/r/x")
        await site.call("GET", "/o/x", Authorization="")
        totals: dict[str, int] = {}
        for record in site.daemon.edge.starts.records():
            for name, count in record.counts.items():
                totals[name] = totals.get(name, 0) + count
        assert totals == {"acme": 3}

    run(scenario)


def test_the_directory_names_ready_nodes_and_drops_a_leaving_one():
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
        ready = f"http://{settings.addresses.ready}/plantainwood/ready"
        async with site.session.get(ready) as response:
            assert response.status == 503
        status, headers, _ = await site.call("GET", "/r/x")
        assert status == 200
        assert headers["Connection"] == "close"
        draining.cancel()

    run(scenario)


def test_a_drain_finishes_what_runs_and_serves_callers_that_still_come():
    async def script(seen, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + seen.request_id + b"\r\n"
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
        await site.wait_until(lambda: len(site.runners[0].seen) == 1)
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
