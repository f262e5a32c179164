"""Watch over the silence of an attempt's upstream while the attempt goes on reading."""

import asyncio
import contextlib
import logging
from abc import ABC, abstractmethod
from typing import Iterator

from plantainwood.awakewaits import READ_TURNS
from plantainwood.core.clock import Clock
from plantainwood.core.stalls import NO_STALL_LIMIT_MS
from plantainwood.logs import log_event

REPORT_INTERVAL_MS = 500
"""How often a silence that lasts is reported again."""


class SilenceObserver(ABC):
    """Be told of an attempt's silence."""

    @abstractmethod
    async def examine_silence(self) -> None:
        """Find out once per silence, before its first report, what may cause it."""

    @abstractmethod
    def report_silence(self, silent_ms: int) -> None:
        """Record that the attempt is still silent."""


class SilenceWatch:
    """Measure how long one attempt waits for its upstream, and report long waits.

    Nothing is cancelled here: the attempt reads on, and whatever comes ends the wait.
    The clock must leave out the standstills of this process.
    """

    __slots__ = (
        "_clock",
        "_observer",
        "_limit_ms",
        "_since_ms",
        "_wait_count",
        "_timer",
        "_due_ms",
        "_report",
    )

    def __init__(self, clock: Clock, observer: SilenceObserver) -> None:
        self._clock = clock
        self._observer = observer
        self._limit_ms = NO_STALL_LIMIT_MS
        self._since_ms: int | None = None
        """When the present wait began; None while the attempt waits for nothing."""
        self._wait_count = 0
        """Tells one wait from the next."""
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = 0
        self._report: asyncio.Task | None = None

    @contextlib.contextmanager
    def watch(self, limit_ms: int) -> Iterator[None]:
        """Report a wait in this block that takes longer than `limit_ms`.

        With NO_STALL_LIMIT_MS, none is reported.
        """
        self._limit_ms = limit_ms
        self._begin()
        try:
            yield
        finally:
            self._since_ms = None

    @contextlib.contextmanager
    def suspend(self) -> Iterator[None]:
        """Leave out a block in which the attempt waits for something of its own."""
        self._since_ms = None
        try:
            yield
        finally:
            self._begin()

    def close(self) -> None:
        """Report nothing any more."""
        self._since_ms = None
        if self._timer is not None:
            self._timer.cancel()
        if self._report is not None:
            self._report.cancel()

    def _begin(self) -> None:
        self._since_ms = self._clock.now_ms()
        self._wait_count += 1
        if self._limit_ms != NO_STALL_LIMIT_MS and self._report is None:
            self._schedule(self._limit_ms)

    def _schedule(self, pause_ms: int) -> None:
        """Look at the wait after a pause, unless that is to happen sooner anyway."""
        due_ms = self._clock.now_ms() + pause_ms
        if self._timer is not None:
            if self._due_ms <= due_ms:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_ms / 1_000, self._look)

    def _look(self) -> None:
        """Start the reports if the limit has passed; otherwise look again when due."""
        self._timer = None
        if self._since_ms is None or self._limit_ms == NO_STALL_LIMIT_MS:
            return
        left_ms = self._limit_ms - (self._clock.now_ms() - self._since_ms)
        if left_ms > 0:
            self._schedule(left_ms)
            return
        self._report = asyncio.create_task(self._report_wait(self._wait_count))

    async def _report_wait(self, wait: int) -> None:
        """Report a wait until it ends, then watch for the next one."""
        try:
            await self._read_sockets()
            if self._is_waiting(wait):
                await self._observer.examine_silence()
            while self._is_waiting(wait):
                assert self._since_ms is not None
                silent_ms = self._clock.now_ms() - self._since_ms
                self._observer.report_silence(silent_ms)
                await asyncio.sleep(REPORT_INTERVAL_MS / 1_000)
                await self._read_sockets()
        except Exception as error:
            log_event("silence_error", logging.ERROR, error=repr(error))
            await asyncio.sleep(REPORT_INTERVAL_MS / 1_000)
        finally:
            self._report = None
        self._look()

    async def _read_sockets(self) -> None:
        for _ in range(READ_TURNS):
            await asyncio.sleep(0)

    def _is_waiting(self, wait: int) -> bool:
        return self._since_ms is not None and self._wait_count == wait
