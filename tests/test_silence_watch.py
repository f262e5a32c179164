"""The watch over an attempt's silence, with a real loop and socket."""

import asyncio
import signal
import socket
import time

import pytest

from plantainwood.core.clock import make_clock
from plantainwood.core.stalls import NO_STALL_LIMIT_MS
from plantainwood.silence import REPORT_INTERVAL_MS, SilenceObserver, SilenceWatch
from tests.edgesite import AUTHORIZATION, HOST, make_config
from tests.processsite import ProcessSite, run_processes

LIMIT_MS = 100
STANDSTILL_S = 2.2
STREAMS = 8
EVENTS = 100
EVENT_S = 0.05


class Recorder(SilenceObserver):
    """Record what is reported."""

    def __init__(self) -> None:
        self.examined = 0
        self.reports_ms: list[int] = []
        self.error: Exception | None = None

    async def examine_silence(self) -> None:
        """Count the call, or fail."""
        self.examined += 1
        if self.error is not None:
            raise self.error

    def report_silence(self, silent_ms: int) -> None:
        """Record the report."""
        self.reports_ms.append(silent_ms)


@pytest.fixture
def recorder():
    """Return a recorder without reports."""
    return Recorder()


def run_watch(recorder: Recorder, scenario) -> None:
    """Run a scenario with a watch, which is closed after it."""

    async def main() -> None:
        watch = SilenceWatch(make_clock(), recorder)
        try:
            await scenario(watch)
        finally:
            watch.close()
        reported = len(recorder.reports_ms)
        await asyncio.sleep(REPORT_INTERVAL_MS / 1_000 + 0.1)
        assert len(recorder.reports_ms) == reported, "reports after the end"

    asyncio.run(main())


def test_a_silence_is_examined_once_and_reported_while_it_lasts(recorder):
    async def scenario(watch: SilenceWatch) -> None:
        with watch.watch(LIMIT_MS):
            await asyncio.sleep((LIMIT_MS + 2.5 * REPORT_INTERVAL_MS) / 1_000)

    run_watch(recorder, scenario)
    assert recorder.examined == 1
    assert len(recorder.reports_ms) == 3
    assert recorder.reports_ms[0] >= LIMIT_MS
    assert recorder.reports_ms == sorted(recorder.reports_ms)


def test_short_waits_and_those_without_a_limit_are_not_reported(recorder):
    async def scenario(watch: SilenceWatch) -> None:
        for _ in range(6):
            with watch.watch(LIMIT_MS):
                await asyncio.sleep(LIMIT_MS / 2_000)
            # The attempt waits for its caller.
            await asyncio.sleep(LIMIT_MS / 1_000)
        with watch.watch(NO_STALL_LIMIT_MS):
            await asyncio.sleep(3 * LIMIT_MS / 1_000)

    run_watch(recorder, scenario)
    assert recorder.reports_ms == []


def test_a_second_silence_is_reported_too(recorder):
    async def scenario(watch: SilenceWatch) -> None:
        for _ in range(2):
            with watch.watch(LIMIT_MS):
                await asyncio.sleep(2 * LIMIT_MS / 1_000)
            await asyncio.sleep(REPORT_INTERVAL_MS / 1_000 + 0.1)

    run_watch(recorder, scenario)
    assert recorder.examined == 2
    assert len(recorder.reports_ms) == 2


def test_a_silence_that_begins_between_two_reports_is_reported(recorder):
    async def scenario(watch: SilenceWatch) -> None:
        with watch.watch(LIMIT_MS):
            await asyncio.sleep(2 * LIMIT_MS / 1_000)
        with watch.watch(LIMIT_MS):
            await asyncio.sleep((LIMIT_MS + 2 * REPORT_INTERVAL_MS) / 1_000)

    run_watch(recorder, scenario)
    assert recorder.examined == 2


def test_a_shorter_limit_holds_at_once(recorder):
    async def scenario(watch: SilenceWatch) -> None:
        with watch.watch(50 * LIMIT_MS):
            await asyncio.sleep(LIMIT_MS / 1_000)
        with watch.watch(LIMIT_MS):
            await asyncio.sleep(2 * LIMIT_MS / 1_000)

    run_watch(recorder, scenario)
    assert len(recorder.reports_ms) == 1


# Guards against a sound attempt that is given up while this VM has no room (LOST).
def test_a_wait_for_own_room_is_no_silence(recorder):
    async def scenario(watch: SilenceWatch) -> None:
        with watch.watch(LIMIT_MS):
            with watch.suspend():
                await asyncio.sleep(3 * LIMIT_MS / 1_000)
            await asyncio.sleep(LIMIT_MS / 2_000)

    run_watch(recorder, scenario)
    assert recorder.reports_ms == []


def test_an_error_of_the_examination_ends_no_watch(recorder):
    recorder.error = ValueError("unexpected")

    async def scenario(watch: SilenceWatch) -> None:
        with watch.watch(LIMIT_MS):
            await asyncio.sleep((LIMIT_MS + 1.5 * REPORT_INTERVAL_MS) / 1_000)

    run_watch(recorder, scenario)
    assert recorder.examined == 2


# Guards against a silence that is found after a standstill of this process, though the
# upstream's bytes wait in the socket (LOST).
def test_bytes_that_wait_are_read_before_a_silence_is_reported(recorder):
    async def scenario(watch: SilenceWatch) -> None:
        near, far = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=near)
        with far:
            for _ in range(3):
                reading = asyncio.create_task(reader.readexactly(1))
                with watch.watch(LIMIT_MS):
                    await asyncio.sleep(0.01)
                    far.send(b"x")
                    time.sleep(3 * LIMIT_MS / 1_000)
                    assert await reading == b"x"
        writer.close()

    run_watch(recorder, scenario)
    assert recorder.reports_ms == []


async def answer_slowly(request, writer) -> None:
    """Answer a stream with events at short intervals."""
    last_id = int(request.headers.get(b"last-event-id", b"0"))
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
        b"Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    for number in range(last_id + 1, EVENTS + 1):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")


# Guards against streams that all end, or move, after a standstill of their VM (LOST).
def test_a_vm_that_stood_still_finds_no_upstream_silent(tmp_path):
    async def read(site: ProcessSite, name: str) -> bytes:
        headers = {
            "Host": HOST,
            "Request-Id": name,
            "Authorization": AUTHORIZATION,
            "Deadline-Remaining": "15000",
        }
        async with site.session.post(
            f"{site.vms[0].caller_url}/s/x", data=b"b", headers=headers
        ) as response:
            return await response.read()

    async def scenario(site: ProcessSite) -> None:
        (vm,) = site.vms
        config = make_config(version=2).replace(
            b'"timeoutMs":3000', b'"timeoutMs":15000'
        )
        site.store.put("op/config", config)
        while not any(
            " version=2 " in f"{x} " for x in vm.list_events("config_in_force")
        ):
            await asyncio.sleep(0.05)
        names = [f"s-{number}" for number in range(STREAMS)]
        reading = [asyncio.create_task(read(site, name)) for name in names]
        await asyncio.sleep(10 * EVENT_S)
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(STANDSTILL_S)
        vm.signal(signal.SIGCONT)
        for body in await asyncio.gather(*reading):
            assert body.count(b"\n\n") == EVENTS
        assert vm.list_events("attempt_silent") == []
        assert len(vm.list_events("dispatched")) == STREAMS

    run_processes(scenario, answer_slowly, tmp_path, runners=3, vms=1)
