"""The HTTP server for callers over real sockets: what is forwarded or refused."""

import asyncio

import pytest

from tests.edgesite import AUTHORIZATION, HOST, make_config, run


async def connect(site) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to the callers' address."""
    host, port = site.base_url.removeprefix("http://").split(":")
    return await asyncio.open_connection(host, int(port))


async def read_status(reader: asyncio.StreamReader) -> bytes:
    """Read the whole answer to a request with INCOMPLETE_HEAD; return its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(len(b"GET /o/x HTTP/1.1"))
    return head.split()[1]


def test_a_request_is_forwarded_unchanged_except_hop_by_hop_and_reserved_headers():
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
        request = site.runners[0].received[-1]
        assert request.body == b"some bytes \x00\xff"
        assert request.headers[b"tenant"] == b"acme"
        assert request.headers[b"expect-instance"] == b"i-0"
        assert request.headers[b"x-public"] == b"2"
        assert request.headers[b"host"] == HOST.encode()
        assert int(request.headers[b"deadline-remaining"]) <= 3_000
        for name in (b"authorization", b"x-private", b"request-urgency"):
            assert name not in request.headers

    run(scenario)


def test_the_target_is_not_rewritten():
    async def scenario(site):
        reader, writer = await connect(site)
        writer.write(
            b"GET /r/%41/./b//c?q=%2f HTTP/1.1\r\nHost: front.example\r\n"
            b"Request-Id: z\r\nAuthorization: Token secret-key\r\n\r\n"
        )
        await reader.readuntil(b"\r\n\r\n")
        assert site.runners[0].received[-1].line == b"GET /r/%41/./b//c?q=%2f HTTP/1.1"
        writer.close()

    run(scenario)


@pytest.mark.parametrize(
    ("path", "authorization", "status"),
    [
        ("/none/", AUTHORIZATION, 404),
        ("/u/x", "Token wrong", 401),
        ("/u/x", "", 401),
        ("/o/x", "", 200),
        ("/s/deep/x", AUTHORIZATION, 200),
    ],
)
def test_routes_and_keys_decide_the_status(path, authorization, status):
    async def scenario(site):
        actual, _, _ = await site.call("GET", path, Authorization=authorization)
        assert actual == status

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


def test_the_response_at_the_routes_timeout_is_504_and_on_time():
    async def script(request, writer):
        await asyncio.sleep(5)

    async def scenario(site):
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, _, _ = await site.call("GET", "/t/x")
        assert status == 504
        assert loop.time() - started < 0.6

    run(scenario, script=script)


def test_a_body_over_the_limit_is_413_and_the_next_request_is_served():
    async def scenario(site):
        assert (await site.call("POST", "/u/x", b"x" * 20_000))[0] == 413
        assert (await site.call("POST", "/u/x", b"x"))[0] == 200
        assert len(site.runners[0].received) == 1

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
def test_ambiguous_requests_are_400_and_close_the_connection(head):
    async def scenario(site):
        reader, writer = await connect(site)
        writer.write(
            b"POST /u/x HTTP/1.1\r\nHost: front.example\r\nRequest-Id: z\r\n"
            b"Authorization: Token secret-key\r\n" + head + b"\r\nabc"
        )
        response = await reader.read()
        assert response.split()[1] == b"400", response
        assert response.count(b"HTTP/1.") == 1
        assert not site.runners[0].received
        writer.close()

    run(scenario)


async def send_raw(site, *pieces: bytes, pause_s: float = 0.0) -> bytes:
    """Send pieces, each followed by a pause; return what is received until a close."""
    reader, writer = await connect(site)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(pause_s)
    response = await reader.read()
    writer.close()
    return response


def put_limits(site, **limits) -> None:
    """Store configuration version 2 with limits on what callers send."""
    all_limits = {"headerBytes": 2_000, "bodyBytes": 10_000, **limits}
    site.store.put("op/config", make_config(2, limits=all_limits))


async def wait_for_version(site, version: int) -> None:
    """Wait until a configuration's version is in force on the node."""
    edge = site.daemon.edge
    await site.wait_until(lambda: edge.view.routes.version == version)


INCOMPLETE_HEAD = b"GET /o/x HTTP/1.1\r\nHost: front.example\r\nRequest-Id: z\r\n"
CHUNKED_HEAD = INCOMPLETE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def test_a_head_over_the_configured_size_is_431():
    async def scenario(site):
        put_limits(site)
        await wait_for_version(site, 2)
        many_headers = b"".join(b"X-%d: %s\r\n" % (n, b"v" * 100) for n in range(30))
        response = await send_raw(site, INCOMPLETE_HEAD + many_headers + b"\r\n")
        assert response.split()[1] == b"431"
        response = await send_raw(site, INCOMPLETE_HEAD + many_headers)
        assert response.split()[1] == b"431"
        assert not site.runners[0].received
        assert (await site.call("GET", "/o/x"))[0] == 200

    run(scenario)


# Guards against refusals that are lost in a reset, as the caller was still sending.
@pytest.mark.parametrize(
    ("status", "start"),
    [
        (b"400", INCOMPLETE_HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n"),
        (b"400", b"POST /o/x HTTP/1.1\r\nBad Name: a\r\n"),
        (b"400", CHUNKED_HEAD + b"no size\r\n"),
        (b"431", INCOMPLETE_HEAD + b"X-Large: " + b"v" * 3_000),
        (b"408", INCOMPLETE_HEAD),
    ],
    ids=["two lengths", "bad name", "bad chunk", "large head", "slow head"],
)
def test_a_refused_caller_that_still_sends_reads_the_response_to_its_end(status, start):
    async def scenario(site):
        put_limits(site, headerTimeoutMs=200)
        await wait_for_version(site, 2)
        reader, writer = await connect(site)
        writer.write(start)
        response = await reader.read(1)
        for _ in range(5):
            writer.write(b"v" * 1_000)
            await asyncio.sleep(0.02)
        response += await reader.read()
        writer.close()
        assert response.split()[1] == status
        assert response.count(b"HTTP/1.") == 1
        assert b'"not_run"' in response
        assert not site.runners[0].received

    run(scenario)


def test_a_head_not_complete_within_the_configured_time_is_408():
    async def scenario(site):
        put_limits(site, headerTimeoutMs=200)
        await wait_for_version(site, 2)
        async with asyncio.timeout(2):
            response = await send_raw(site, INCOMPLETE_HEAD)
        assert response.split()[1] == b"408"
        assert b'"not_run"' in response
        response = await send_raw(
            site, INCOMPLETE_HEAD, b"Connection: close\r\n\r\n", pause_s=0.1
        )
        assert response.split()[1] == b"200"

    run(scenario)


def test_an_idle_connection_is_kept_for_the_configured_time():
    async def scenario(site):
        put_limits(site, idleTimeoutMs=600)
        await wait_for_version(site, 2)
        reader, writer = await connect(site)
        for _ in range(2):
            writer.write(INCOMPLETE_HEAD + b"\r\n")
            assert await read_status(reader) == b"200"
            await asyncio.sleep(0.4)
        async with asyncio.timeout(2):
            assert await reader.read() == b""
        writer.close()

    run(scenario)


# Guards against an idle time that ends in the middle of a head (LOST).
def test_a_head_that_began_within_the_idle_time_is_answered():
    async def scenario(site):
        put_limits(site, idleTimeoutMs=600)
        await wait_for_version(site, 2)
        reader, writer = await connect(site)
        for _ in range(2):
            writer.write(INCOMPLETE_HEAD)
            await asyncio.sleep(0.4)
            writer.write(b"\r\n")
            assert await read_status(reader) == b"200"
            await asyncio.sleep(0.4)
        async with asyncio.timeout(2):
            assert await reader.read() == b""
        writer.close()

    run(scenario)


# Guards against connections that are closed after the idle time of an earlier
# configuration. That time is longer than a change may take to be in force (2 s).
def test_an_open_connection_follows_a_longer_idle_time():
    async def scenario(site):
        put_limits(site, idleTimeoutMs=2_500)
        await wait_for_version(site, 2)
        reader, writer = await connect(site)
        for pause_s in (0.1, 3.0, 0.0):
            writer.write(INCOMPLETE_HEAD + b"\r\n")
            assert await read_status(reader) == b"200"
            limits = {"headerBytes": 2_000, "idleTimeoutMs": 9_000}
            site.store.put("op/config", make_config(3, limits=limits))
            await wait_for_version(site, 3)
            await asyncio.sleep(pause_s)
        writer.close()

    run(scenario)


# Guards against 403 for a request whose route or customer goes while it is read.
@pytest.mark.parametrize("change", [{"routes": []}, {"tenants": []}])
def test_a_request_that_a_new_configuration_overtakes_may_come_back(change):
    async def scenario(site):
        reader, writer = await connect(site)
        try:
            writer.write(
                b"POST /u/x HTTP/1.1\r\nHost: front.example\r\nRequest-Id: z\r\n"
                b"Authorization: Token secret-key\r\nContent-Length: 2\r\n\r\na"
            )
            await asyncio.sleep(0.1)
            site.store.put("op/config", make_config(2, **change))
            await wait_for_version(site, 2)
            writer.write(b"b")
            head = await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.close()
        assert head.split()[1] == b"503"
        assert b"retry-after" in head.lower()
        assert not site.runners[0].received

    run(scenario)
