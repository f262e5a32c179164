"""Calls of duties over real sockets: what is given up, and what is not written."""

import asyncio

import pytest

from plantainwood.core.clock import Clock, make_clock
from plantainwood.core.errors import NotAppliedError, StoreError
from plantainwood.core.flight import compute_flight_ms
from plantainwood.dutycalls import DutyCaller
from tests.tcppath import SMALL_WINDOW_BYTES, TcpPath

LONG_BODY = b"1" * 20_000_000
"""Longer than the kernel's buffers, so that a part waits in the process."""
SYN_RETRY_S = 1.0
FAR_MS = 60_000


class Receiver:
    """Count the whole requests that arrive; answer unless `silent`."""

    def __init__(self, silent: bool = False) -> None:
        self.whole_requests = 0
        self._silent = silent

    async def serve(self, reader, writer) -> None:
        """Read a connection's one request and answer it."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split()[0])
            while length:
                data = await reader.read(min(length, 1_000_000))
                if not data:
                    return
                length -= len(data)
            self.whole_requests += 1
            if self._silent:
                await asyncio.sleep(FAR_MS)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class SteppedClock(Clock):
    """The system's clock, which can be set forward as by a suspension of the VM."""

    __slots__ = ("_clock", "_ahead_ms")

    def __init__(self) -> None:
        self._clock = make_clock()
        self._ahead_ms = 0

    def now_ms(self) -> int:
        """Return the system's time and all steps."""
        return self._clock.now_ms() + self._ahead_ms

    def wall_ms(self) -> int:
        """Return the system's wall-clock time."""
        return self._clock.wall_ms()

    def step(self, by_ms: int) -> None:
        """Set the clock forward."""
        self._ahead_ms += by_ms


def run_with_path(scenario, receiver: Receiver, window_bytes: int = 0) -> None:
    """Run a scenario with a path to a receiver."""

    async def main() -> None:
        server = await asyncio.start_server(receiver.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        path = TcpPath(f"127.0.0.1:{port}", window_bytes)
        await path.start()
        try:
            async with asyncio.timeout(20):
                await scenario(path)
        finally:
            await path.stop()
            server.close()

    asyncio.run(main())


# Guards against ONE: a long report that was given up goes on to be sent, as the event
# loop writes what it holds before it closes a connection.
def test_the_rest_of_a_long_report_is_not_sent_once_it_is_given_up():
    receiver = Receiver()

    async def scenario(path: TcpPath) -> None:
        clock = make_clock()
        caller = DutyCaller(clock, 300)
        path.stop_reading()
        limit_ms = clock.now_ms() + FAR_MS
        with pytest.raises(NotAppliedError):
            await caller.post(
                f"http://{path.address}/", {}, LONG_BODY, limit_ms, limit_ms
            )
        path.heal()
        await asyncio.sleep(1.5)

    run_with_path(scenario, receiver, SMALL_WINDOW_BYTES)
    assert receiver.whole_requests == 0


def test_a_long_report_arrives_whole():
    receiver = Receiver()

    async def scenario(path: TcpPath) -> None:
        clock = make_clock()
        caller = DutyCaller(clock, 10_000)
        limit_ms = clock.now_ms() + FAR_MS
        url = f"http://{path.address}/"
        assert await caller.post(url, {}, LONG_BODY, limit_ms, limit_ms) == 200
        await asyncio.wait_for(caller.wait_until_quiet(), 0.01)

    run_with_path(scenario, receiver)
    assert receiver.whole_requests == 1


# Guards against ONE: on a slow path, a call written late in the lease arrives when
# another process may act; the handshake shows how slow the path is.
def test_nothing_is_written_on_a_path_too_slow_for_the_rest_of_the_lease():
    receiver = Receiver()

    async def scenario(path: TcpPath) -> None:
        clock = make_clock()
        caller = DutyCaller(clock, 5_000)
        path.cut()
        asyncio.get_running_loop().call_later(SYN_RETRY_S / 2, path.heal)
        now_ms = clock.now_ms()
        arrive_by_ms = now_ms + compute_flight_ms(round(SYN_RETRY_S * 1_000))
        with pytest.raises(NotAppliedError):
            await caller.post(
                f"http://{path.address}/", {}, b"{}", now_ms + FAR_MS, arrive_by_ms
            )
        await asyncio.sleep(0.2)

    run_with_path(scenario, receiver)
    assert receiver.whole_requests == 0


# Guards against ONE: a call under way while its VM was suspended was sent again after
# it, as the timers of the event loop had not counted the time.
def test_a_call_is_given_up_at_once_after_the_vm_was_suspended():
    async def scenario(path: TcpPath) -> None:
        clock = SteppedClock()
        caller = DutyCaller(clock, 5_000)
        limit_ms = clock.now_ms() + FAR_MS
        call = asyncio.create_task(
            caller.post(f"http://{path.address}/", {}, b"{}", limit_ms, limit_ms)
        )
        await asyncio.sleep(0.2)
        clock.step(FAR_MS)
        with pytest.raises(StoreError):
            await asyncio.wait_for(call, 0.3)

    run_with_path(scenario, Receiver(silent=True))


# Guards against ONE: the lease was released while a call that was given up without an
# answer could still arrive.
def test_a_caller_is_quiet_only_once_a_call_without_an_answer_cannot_arrive():
    async def scenario(path: TcpPath) -> None:
        clock = make_clock()
        caller = DutyCaller(clock, 100)
        began_ms = clock.now_ms()
        limit_ms = began_ms + FAR_MS
        with pytest.raises(StoreError):
            await caller.post(f"http://{path.address}/", {}, b"{}", limit_ms, limit_ms)
        await caller.wait_until_quiet()
        assert clock.now_ms() >= began_ms + compute_flight_ms(0)

    run_with_path(scenario, Receiver(silent=True))


# Guards against a task that ends again and again, and against calls to this machine: an
# address that can't be dialled, or none, is reported as not applied.
@pytest.mark.parametrize(
    "url",
    ["http:///x", "http://127.0.0.1:99999/x", "http://[::1/x", "http://a..b/x", "/x"],
)
def test_an_address_that_cannot_be_dialled_is_no_unexpected_error(url):
    async def main() -> None:
        clock = make_clock()
        limit_ms = clock.now_ms() + FAR_MS
        with pytest.raises(NotAppliedError):
            await DutyCaller(clock, 500).post(url, {}, b"{}", limit_ms, limit_ms)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("round_trip_ms", "flight_ms"), [(0, 700), (100, 1_000), (200, 1_700)]
)
def test_the_flight_time_grows_with_the_round_trip(round_trip_ms, flight_ms):
    assert compute_flight_ms(round_trip_ms) == flight_ms
