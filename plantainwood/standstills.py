"""Beats of the awake clock, with a log and a metric of this process's standstills."""

import asyncio
import gc
import logging
import time
from typing import Any

import msgspec
from mode import Service

from plantainwood.core.awake import MAX_STEP_MS, AwakeClock
from plantainwood.guardedtask import guarded_task
from plantainwood.logs import log_event
from plantainwood.metrics import Metrics

BEAT_INTERVAL_MS = 100
LOGGED_STEP_MS = 250
LOG_INTERVAL_MS = 1_000
MAIN_SHARE = 0.5
"""The part of a standstill that its cause takes at least."""


class CollectionTimer:
    """Add up the processor time of this process's garbage collections.

    A process that is stopped within a collection doesn't collect meanwhile.
    """

    __slots__ = ("total_ns", "_began_ns")

    def __init__(self) -> None:
        self.total_ns = 0
        self._began_ns = 0

    def record(self, phase: str, _: dict[str, Any]) -> None:
        """Record the start or the end of a collection; gc calls this."""
        now_ns = time.thread_time_ns()
        if phase == "start":
            self._began_ns = now_ns
        else:
            self.total_ns += now_ns - self._began_ns


_collection_timer = CollectionTimer()


class UsedTime(msgspec.Struct, frozen=True):
    """What processor time was used for, in ms since an arbitrary origin."""

    cpu_ms: int
    gc_ms: int


def measure_used_time() -> UsedTime:
    """Return the processor time of this thread and of all collections."""
    if _collection_timer.record not in gc.callbacks:
        gc.callbacks.append(_collection_timer.record)
    return UsedTime(
        time.thread_time_ns() // 1_000_000, _collection_timer.total_ns // 1_000_000
    )


def find_cause(step_ms: int, cpu_ms: int, gc_ms: int) -> str:
    """Return why the loop took a step of some length.

    A process that used little processor time was stopped, had no share of the
    processor, or waited in a call that blocks.
    """
    if gc_ms >= MAIN_SHARE * step_ms:
        return "collection"
    if cpu_ms >= MAIN_SHARE * step_ms:
        return "long_step"
    return "not_running"


class StandstillRecorder:
    """Beat the awake clock, and record the beats that come late.

    At most one line is logged in LOG_INTERVAL_MS; it counts those left out before.
    """

    __slots__ = ("_awake_clock", "_metrics", "_before", "_logged_ms", "_left_out")

    def __init__(self, awake_clock: AwakeClock, metrics: Metrics) -> None:
        self._awake_clock = awake_clock
        self._metrics = metrics
        self._before = measure_used_time()
        self._logged_ms: int | None = None
        self._left_out = 0

    def beat(self) -> None:
        """Record that the loop runs."""
        step_ms = self._awake_clock.record_beat()
        before, self._before = self._before, measure_used_time()
        if step_ms <= MAX_STEP_MS:
            return
        cpu_ms = self._before.cpu_ms - before.cpu_ms
        gc_ms = self._before.gc_ms - before.gc_ms
        cause = find_cause(step_ms, cpu_ms, gc_ms)
        self._metrics.standstills.inc({"cause": cause})
        self._metrics.standstill_time.add({"cause": cause}, step_ms / 1_000)
        if step_ms < LOGGED_STEP_MS:
            return
        now_ms = self._awake_clock.now_ms()
        if self._logged_ms is not None and now_ms - self._logged_ms < LOG_INTERVAL_MS:
            self._left_out += 1
            return
        self._logged_ms = now_ms
        left_out, self._left_out = self._left_out, 0
        log_event(
            "stood_still",
            logging.WARNING,
            ms=step_ms,
            cpu_ms=cpu_ms,
            gc_ms=gc_ms,
            cause=cause,
            left_out=left_out,
        )


class Beats(Service):
    """Beat the awake clock of a daemon that has no shorter ticks."""

    def __init__(self, recorder: StandstillRecorder, **kwargs) -> None:
        self._recorder = recorder
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            self._recorder.beat()
            await asyncio.sleep(BEAT_INTERVAL_MS / 1_000)
