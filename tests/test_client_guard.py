"""Which connections the guard refuses or drops, and which it leaves alone."""

import asyncio
import socket

import pytest
from aiohttp import web

from plantainwood.bodyreading import read_whole_body
from plantainwood.bodyroom import BodyReservation, BodyRoom
from plantainwood.clientguard import (
    BODY_GRACE_MS,
    CHECK_MS,
    MIN_EVICTED_MS,
    QUIET_MS,
    ROOM_WAIT_S,
    SLOT_WAIT_MS,
    UNREAD_MS,
    ClientGuard,
    make_refusal,
)
from plantainwood.clienthandler import ClientServer
from plantainwood.core.catalogue import ServiceClass
from plantainwood.core.clientlimits import compute_client_limits
from plantainwood.core.dispatcher import Dispatcher
from plantainwood.core.dispatcheroptions import Options
from plantainwood.core.errors import ErrorCode, RequestError
from plantainwood.core.events import Arrival
from plantainwood.core.fairness import FifoQueue
from plantainwood.core.pools import Pool, TierQueue
from plantainwood.core.requests import Request
from plantainwood.metrics import Metrics
from tests.catalogues import ENGINES, make_catalogue
from tests.test_listener import MemoryTransport

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
LARGE_BYTES = 4_194_304


class ClientTransport(MemoryTransport):
    """A transport whose client may read nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.unread_bytes = 0

    def get_write_buffer_size(self) -> int:
        """Return what the client has not read."""
        return self.unread_bytes

    def abort(self) -> None:
        """Record that the transport was closed."""
        self.closed = True

    def can_write_eof(self) -> bool:
        """Return that one side can't be closed alone."""
        return False


class Site:
    """A server with a guard, and connections to it without sockets."""

    def __init__(self, memory_mb: float | None = 128, descriptors: int = 400) -> None:
        self.guard = ClientGuard(memory_mb, descriptors, Metrics())
        self.server = ClientServer(self._serve, self.guard, handler_cancellation=True)
        self.served = 0
        self.go_on = asyncio.Event()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        with BodyReservation(self.guard.body_room) as reservation:
            try:
                await read_whole_body(request, LARGE_BYTES, reservation)
            except RequestError as error:
                response = web.Response(status=error.status)
                response.force_close()
                return response
            self.served += 1
            await self.go_on.wait()
        return web.Response(text="ok")

    def connect(self):
        """Return the handler and the transport of a new connection."""
        handler = self.server()
        transport = ClientTransport()
        handler.connection_made(transport)
        return handler, transport

    async def check_for(self, period_ms: int) -> None:
        """Let the guard check as often as in a period."""
        for _ in range(period_ms // CHECK_MS):
            self.guard.check()
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)


def run(scenario, **options) -> None:
    """Run a scenario on a new site."""

    async def main() -> None:
        await scenario(Site(**options))

    asyncio.run(main())


# Guards against a body that comes a few bytes at a time and holds room until the
# timeout of its route.
def test_a_body_below_the_minimum_rate_is_408_and_gives_its_room_back():
    async def scenario(site):
        handler, transport = site.connect()
        handler.data_received(HEAD % LARGE_BYTES + b"x" * 10)
        await asyncio.sleep(0.02)
        assert site.guard.body_room.held_bytes > 0
        await site.check_for(BODY_GRACE_MS)
        assert not transport.written
        await site.check_for(2 * CHECK_MS)
        assert transport.written.startswith(b"HTTP/1.1 408")
        assert site.guard.body_room.held_bytes == 0
        assert site.served == 0

    run(scenario)


# Guards against a client that is blamed while this node does not read from it.
def test_a_body_that_this_node_does_not_read_is_not_slow():
    async def scenario(site):
        await site.guard.body_room.take(site.guard.body_room.capacity)
        handler, transport = site.connect()
        handler.data_received(HEAD % LARGE_BYTES + b"x" * 20_000)
        await asyncio.sleep(0.02)
        await site.check_for(4 * BODY_GRACE_MS)
        assert not transport.written and not transport.closed

    run(scenario)


# Guards against a quiet client that is refused though nobody waits for its room.
def test_a_quiet_body_gives_way_only_when_others_wait():
    async def scenario(site):
        handler, transport = site.connect()
        handler.data_received(HEAD % LARGE_BYTES + b"x" * 10)
        await asyncio.sleep(0.02)
        await site.check_for(2 * QUIET_MS)
        assert not transport.written
        capacity = site.guard.body_room.capacity
        waiting = asyncio.create_task(site.guard.body_room.take(capacity))
        await asyncio.sleep(ROOM_WAIT_S + 0.1)
        await site.check_for(2 * CHECK_MS)
        assert transport.written.startswith(b"HTTP/1.1 408")
        await asyncio.wait_for(waiting, 1)

    run(scenario)


# Guards against requests that were read and are dropped to make room for others.
def test_a_request_that_was_read_is_kept_when_connections_are_short():
    async def scenario(site):
        handler, transport = site.connect()
        handler.data_received(HEAD % 4 + b"body")
        _, silent = site.connect()
        await asyncio.sleep(0.02)
        await site.check_for(MIN_EVICTED_MS)
        others = []
        for _ in range(site.guard.limits.connections):
            others.append(site.connect()[1])
        await asyncio.sleep(0.02)
        assert silent.closed and not transport.closed
        site.go_on.set()
        await asyncio.sleep(0.02)
        assert transport.written.startswith(b"HTTP/1.1 200")

    run(scenario)


# Guards against a client that never reads and holds its response for good.
def test_a_client_that_does_not_read_is_dropped():
    async def scenario(site):
        _, transport = site.connect()
        transport.unread_bytes = 100_000
        await site.check_for(UNREAD_MS - CHECK_MS)
        assert not transport.closed
        await site.check_for(CHECK_MS)
        assert transport.closed

    run(scenario)


# Guards against chunk extensions that never end and cost only processor time.
def test_a_body_that_is_mostly_framing_is_400():
    async def scenario(site):
        handler, transport = site.connect()
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;"
        handler.data_received(head)
        for _ in range(20):
            handler.data_received(b"e" * 4_000)
        await asyncio.sleep(0.02)
        assert transport.written.startswith(b"HTTP/1.1 400")

    run(scenario)


def test_one_byte_chunks_are_not_mostly_framing():
    async def scenario(site):
        handler, transport = site.connect()
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        handler.data_received(head)
        for _ in range(200):
            handler.data_received(b"1\r\nx\r\n" * 500)
            await asyncio.sleep(0)
        handler.data_received(b"0\r\n\r\n")
        site.go_on.set()
        await asyncio.sleep(0.05)
        assert transport.written.startswith(b"HTTP/1.1 200")

    run(scenario)


# Guards against many small bodies that need no reservation and are not counted.
def test_small_bodies_are_refused_when_they_hold_too_much():
    async def scenario(site):
        for _ in range(site.guard.limits.connections - 20):
            handler, _ = site.connect()
            handler.data_received(HEAD % 65_000)
            await asyncio.sleep(0)
            for _ in range(4):
                handler.data_received(b"x" * 15_000)
                await asyncio.sleep(0.001)
        limits = site.guard.limits
        assert site.guard.body_room.counted_bytes <= limits.small_bytes
        assert site.guard.body_room.held_bytes <= (
            limits.small_bytes + limits.body_bytes
        )

    run(scenario)


# Guards against limits that the largest machine of the platform can't keep, or the
# smallest can't serve a largest body with.
def test_the_limits_follow_the_machine():
    small = compute_client_limits(128, 1_638)
    large = compute_client_limits(552, 10_250)
    assert LARGE_BYTES <= small.body_bytes < large.body_bytes
    assert small.connections < 1_638 and large.connections < 10_250
    for limits, memory_mb in ((small, 128), (large, 552)):
        held = 2 * limits.body_bytes + limits.answer_bytes
        held += limits.small_bytes + limits.unread_bytes
        assert held < (memory_mb - 50) * 1_048_576


# Guards against a bound that is no whole number where the settings give the memory as
# 128.0: dropping the connections beyond it failed then.
def test_connections_are_bounded_by_memory_from_the_settings():
    async def scenario(site: Site) -> None:
        limit = site.guard.limits.connections
        handlers = [site.connect()[0] for _ in range(limit)]
        await site.check_for(MIN_EVICTED_MS)
        for _ in range(3):
            site.connect()
        assert isinstance(limit, int)
        assert len(site.guard._connections) <= limit
        assert any(handler.transport is None for handler in handlers)

    run(scenario, memory_mb=97.0, descriptors=100_000)


# Guards against a refused body that keeps its place before others that wait for room.
def test_a_released_reservation_no_longer_waits_for_room():
    async def scenario() -> None:
        room = BodyRoom(capacity=1_048_576)
        holder, waiting = BodyReservation(room), BodyReservation(room)
        await holder.reserve(1_048_576)
        task = asyncio.ensure_future(waiting.reserve(1_048_576))
        await asyncio.sleep(0)
        waiting.release()
        await asyncio.wait_for(task, 1)
        assert not waiting.is_granted and room.compute_wait_s() == 0.0
        holder.release()
        assert room.held_bytes == 0

    asyncio.run(scenario())


# Guards against a client that is refused while its body waits for room, and learns it
# only once the room is free.
def test_a_body_that_is_refused_while_it_waits_for_room_is_answered_at_once():
    async def scenario(site):
        room = site.guard.body_room
        await room.take(room.capacity)
        handler, transport = site.connect()
        handler.data_received(HEAD % LARGE_BYTES + b"x" * 20_000)
        await asyncio.sleep(0.02)
        assert room.compute_wait_s() > 0 and not transport.written
        handler.refuse_body(make_refusal(ErrorCode.OVERLOADED))
        await asyncio.sleep(0.02)
        assert transport.written.startswith(b"HTTP/1.1 503")
        assert room.compute_wait_s() == 0 and site.served == 0

    run(scenario)


class ShortPool:
    """A pool whose slots are all taken while requests wait."""

    def __init__(self, running: list[str], waiting: int) -> None:
        self.running = dict.fromkeys(running)
        self._waiting = waiting

    def count_waiting(self) -> int:
        """Return how many requests wait."""
        return self._waiting


async def connect_reader(site: Site, call_id: str):
    """Return the transport of a client whose answer waits for it, and its handler."""
    handler, transport = site.connect()
    handler.data_received(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
    await asyncio.sleep(0.01)
    handler.call_id = call_id
    transport.unread_bytes = 100_000
    return handler, transport


# Guards against clients that hold all slots of the upstreams and do not read: ordinary
# requests waited for them up to UNREAD_MS.
def test_those_that_do_not_read_give_their_slots_to_as_many_as_wait():
    async def scenario(site):
        transports = []
        for name in ["a", "b", "c"]:
            transports.append((await connect_reader(site, name))[1])
            await site.check_for(CHECK_MS)
        await site.check_for(QUIET_MS)
        site.guard.list_short_pools = lambda wait_ms: [ShortPool(["a", "b", "c"], 2)]
        site.guard.check()
        assert [each.closed for each in transports] == [True, True, False]

    run(scenario)


# Guards against clients that are dropped though nobody gets a slot by that: they read,
# their attempts are over, or it is another pool that is short.
def test_those_that_read_or_hold_no_short_slot_stay():
    async def scenario(site):
        reading = await connect_reader(site, "reading")
        over = await connect_reader(site, "over")
        elsewhere = await connect_reader(site, "elsewhere")
        site.guard.list_short_pools = lambda wait_ms: [ShortPool(["reading"], 9)]
        for _ in range(4):
            await site.check_for(QUIET_MS - CHECK_MS)
            reading[1].unread_bytes -= 10_000
        assert not [each for _, each in (reading, over, elsewhere) if each.closed]

    run(scenario)


# Guards against slots that count as short after a moment's wait, or not at all.
def test_a_pool_is_short_once_a_request_has_been_queued_for_long():
    state = Dispatcher("vm-1", 1, Options()).state
    pool = Pool("pool")
    state.pools[pool.name] = pool
    assert not state.list_short_pools(SLOT_WAIT_MS, 10_000)
    for tier, queued_ms in ((1, 2_000), (2, 1_000), (3, 3_000)):
        queue = FifoQueue()
        pool.add_tier(TierQueue(tier, queue))
        arrival = Arrival(f"r{tier}", "c", "k", pool.name)
        queue.push(Request(arrival, ServiceClass(owner="", tier=tier), True, queued_ms))
    assert not state.list_short_pools(SLOT_WAIT_MS, 1_000 + SLOT_WAIT_MS)
    assert state.list_short_pools(SLOT_WAIT_MS, 1_001 + SLOT_WAIT_MS) == [pool]


# Guards against clients that are dropped, since they do not read for a moment, for a
# request that waits for no slot: the upstreams have pauses (LOST).
@pytest.mark.parametrize(("slots", "is_short"), [(8, False), (1, True)])
def test_a_pool_with_spare_slots_is_not_short(slots, is_short):
    dispatcher = Dispatcher("vm-1", 1, Options())
    dispatcher.apply_catalogue(make_catalogue(slots))
    for number in range(len(ENGINES)):
        arrival = Arrival(f"r{number}", "norte", "hint", "model/rounds")
        dispatcher.decide(arrival, 1_000)
    for load in dispatcher.state.loads.values():
        load.paused_until_ms = 10_000
    dispatcher.decide(Arrival("waits", "sur", "hint", "model/rounds"), 1_000)
    short = dispatcher.state.list_short_pools(SLOT_WAIT_MS, 2_000)
    assert bool(short) is is_short


async def read_and_check(site: Site, bytes_per_check: int) -> bool:
    """Read a long answer at a pace for 2 * UNREAD_MS; return whether it goes on."""

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(b"x" * 16_384)

    server = ClientServer(serve, site.guard, handler_cancellation=True)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, "127.0.0.1", 0)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    await loop.sock_connect(client, listener.sockets[0].getsockname())
    await loop.sock_sendall(client, b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
    await asyncio.sleep(0.5)
    for _ in range(2 * UNREAD_MS // CHECK_MS):
        left = bytes_per_check
        while left and server.connections:
            left -= len(await loop.sock_recv(client, left))
        await asyncio.sleep(0.005)
        site.guard.check()
    goes_on = bool(server.connections)
    client.close()
    listener.close()
    return goes_on


# Guards against a client that reads slowly and is dropped as if it read nothing: the
# kernel's buffer takes more from this node only once much of it is free.
def test_a_client_that_reads_slowly_is_not_dropped():
    async def scenario(site):
        assert await read_and_check(site, 4_096)

    run(scenario)


# Guards against clients that hold an answer for good, for a few bytes now and then.
@pytest.mark.parametrize("bytes_per_check", [0, 200])
def test_a_client_that_reads_next_to_nothing_is_dropped(bytes_per_check):
    async def scenario(site):
        assert not await read_and_check(site, bytes_per_check)

    run(scenario)
