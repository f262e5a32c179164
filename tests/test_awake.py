"""The time in which this process was running, and limits on others that use it."""

import asyncio
import gc
import socket
import time

import pytest

from plantainwood.awakewaits import limit_awake, wait_awake
from plantainwood.core.awake import MAX_STEP_MS, make_awake_clock
from plantainwood.core.clock import VirtualClock, make_clock
from plantainwood.metrics import Metrics
from plantainwood.standstills import (
    BEAT_INTERVAL_MS,
    LOG_INTERVAL_MS,
    CollectionTimer,
    StandstillRecorder,
    find_cause,
    measure_used_time,
)
from plantainwood.ticker import IDLE_TICK_MS
from tests.awakeclocks import beat
from tests.edgesite import run_site


@pytest.fixture
def clock():
    """Return a virtual clock that doesn't start at 0."""
    return VirtualClock(5_000, epoch_ms=70)


def test_regular_beats_count_in_full(clock):
    awake_clock = make_awake_clock(clock)
    began_ms = awake_clock.now_ms()
    for _ in range(20):
        clock.advance(MAX_STEP_MS)
        assert awake_clock.record_beat() == MAX_STEP_MS
    clock.advance(30)
    assert awake_clock.now_ms() - began_ms == 20 * MAX_STEP_MS + 30
    assert awake_clock.wall_ms() == clock.wall_ms()


# Timers run before the first beat after a standstill: they must not see all of it.
def test_a_standstill_counts_as_one_step_before_and_after_its_first_beat(clock):
    awake_clock = make_awake_clock(clock)
    began_ms = awake_clock.now_ms()
    clock.advance(60_000)
    assert awake_clock.now_ms() - began_ms == MAX_STEP_MS
    assert awake_clock.record_beat() == 60_000
    assert awake_clock.now_ms() - began_ms == MAX_STEP_MS
    clock.advance(10)
    assert awake_clock.now_ms() - began_ms == MAX_STEP_MS + 10


def test_the_awake_clock_never_goes_back(clock):
    awake_clock = make_awake_clock(clock)
    last_ms = awake_clock.now_ms()
    for step_ms in (0, 1, 149, 150, 151, 5_000, 0, 40, 3):
        clock.advance(step_ms)
        for _ in range(2):
            assert awake_clock.now_ms() >= last_ms
            last_ms = awake_clock.now_ms()
            awake_clock.record_beat()


def test_idle_processes_beat_within_a_step():
    assert IDLE_TICK_MS < MAX_STEP_MS
    assert BEAT_INTERVAL_MS < MAX_STEP_MS


def run_with_beats(scenario) -> None:
    """Run a scenario with an awake clock that beats."""

    async def main() -> None:
        awake_clock = make_awake_clock(make_clock())
        beats = asyncio.create_task(beat(awake_clock))
        try:
            await scenario(awake_clock)
        finally:
            beats.cancel()

    asyncio.run(main())


def stand_still_as_bytes_arrive(peer: socket.socket) -> None:
    """Block the loop; a peer sends its answer meanwhile."""
    time.sleep(0.3)
    peer.send(b"answer\n")
    time.sleep(0.6)


# asyncio.timeout cancels a read whose bytes arrived while this process stood still.
@pytest.mark.parametrize("limit_ms", [60, 600])
def test_bytes_that_arrived_in_a_standstill_are_read_before_a_limit_ends_it(limit_ms):
    async def scenario(awake_clock) -> None:
        own, peer = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=own)
        loop = asyncio.get_running_loop()
        loop.call_later(0.02, stand_still_as_bytes_arrive, peer)
        line = await wait_awake(reader.readline(), limit_ms, awake_clock)
        assert line == b"answer\n"
        writer.close()
        peer.close()

    run_with_beats(scenario)


def test_a_limit_ends_what_stays_silent_while_this_process_runs():
    async def scenario(awake_clock) -> None:
        began_ms = awake_clock.now_ms()
        with pytest.raises(TimeoutError):
            await wait_awake(asyncio.Event().wait(), 200, awake_clock)
        assert 200 <= awake_clock.now_ms() - began_ms < 1_000

    run_with_beats(scenario)


# A peer that is silent for the rest of the limit too is judged, but only then.
def test_a_standstill_within_a_limit_puts_its_end_off():
    async def scenario(awake_clock) -> None:
        began_s = time.monotonic()
        asyncio.get_running_loop().call_later(0.02, time.sleep, 0.8)
        with pytest.raises(TimeoutError):
            await wait_awake(asyncio.Event().wait(), 400, awake_clock)
        assert time.monotonic() - began_s >= 0.8 + 0.2

    run_with_beats(scenario)


def test_no_limit_waits_and_errors_and_cancellations_pass_through():
    async def scenario(awake_clock) -> None:
        assert await wait_awake(asyncio.sleep(0.02, "done"), None, awake_clock)
        with pytest.raises(ValueError):
            async with limit_awake(100, awake_clock):
                raise ValueError
        task = asyncio.create_task(
            wait_awake(asyncio.Event().wait(), 5_000, awake_clock)
        )
        await asyncio.sleep(0.02)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run_with_beats(scenario)


class FakeLog:
    """Hold the events that were logged, with their fields."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict]] = []

    def log(self, event, _=0, **fields) -> None:
        """Record an event."""
        self.events.append((event, fields))


@pytest.fixture
def log(monkeypatch):
    """Return the log of standstills."""
    fake = FakeLog()
    monkeypatch.setattr("plantainwood.standstills.log_event", fake.log)
    return fake


def test_standstills_are_logged_within_bounds_and_counted(clock, log):
    metrics = Metrics()
    awake_clock = make_awake_clock(clock)
    recorder = StandstillRecorder(awake_clock, metrics)
    for step_ms in (25, 100, 2_200, 2_200, 2_200):
        clock.advance(step_ms)
        recorder.beat()
    for _ in range(LOG_INTERVAL_MS // 100):
        clock.advance(100)
        recorder.beat()
    clock.advance(300)
    recorder.beat()
    fields = [(event, fields["ms"], fields["left_out"]) for event, fields in log.events]
    assert fields == [("stood_still", 2_200, 0), ("stood_still", 300, 2)]
    assert log.events[0][1]["cause"] == "not_running"
    assert metrics.standstills.get({"cause": "not_running"}) == 4
    assert metrics.standstill_time.get({"cause": "not_running"}) == pytest.approx(6.9)


def test_the_cause_tells_long_steps_and_collections_from_a_stop():
    assert find_cause(2_200, 3, 0) == "not_running"
    assert find_cause(400, 380, 20) == "long_step"
    assert find_cause(400, 390, 350) == "collection"


def test_used_time_counts_work_and_collections_but_no_sleep():
    before = measure_used_time()
    time.sleep(0.2)
    slept = measure_used_time()
    assert slept.cpu_ms - before.cpu_ms < 100
    garbage = [[] for _ in range(400_000)]
    for _ in range(30):
        gc.collect()
    after = measure_used_time()
    assert garbage and after.gc_ms > slept.gc_ms
    assert after.cpu_ms - slept.cpu_ms >= (after.gc_ms - slept.gc_ms) // 2


def test_a_daemon_beats_and_logs_its_own_long_steps(log):
    async def scenario() -> None:
        async with run_site(None) as site:
            edge = site.daemon.edge
            began_ms = edge.awake_clock.now_ms()
            await asyncio.sleep(0.3)
            assert edge.awake_clock.now_ms() - began_ms > 200
            began_ms = edge.awake_clock.now_ms()
            time.sleep(0.7)
            assert edge.awake_clock.now_ms() - began_ms <= MAX_STEP_MS
            await asyncio.sleep(0.15)
        assert any(
            event == "stood_still" and fields["ms"] >= 700
            for event, fields in log.events
        )

    asyncio.run(scenario())


# Guards against a stop that the log takes for a collection.
def test_a_collection_is_timed_by_what_it_used_of_the_processor():
    timer = CollectionTimer()
    timer.record("start", {})
    time.sleep(0.2)
    timer.record("stop", {})
    assert timer.total_ns < 100_000_000
