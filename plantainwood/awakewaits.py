"""Time limits on others that leave out the time in which this process stood still."""

import asyncio
from typing import Awaitable, TypeVar

from plantainwood.core.clock import Clock

READ_TURNS = 3
"""Turns of the loop in which it reads what has arrived and runs the tasks it wakes."""

Result = TypeVar("Result")


class AwakeTimeout:
    """Limit a block as asyncio.timeout does, but in the time of an awake clock.

    asyncio.timeout cancels a read whose bytes have arrived if both are due in the same
    turn of the loop. Once this limit has passed, the loop reads its sockets before the
    block is cancelled. The block raises TimeoutError then.
    """

    __slots__ = (
        "_awake_clock",
        "_limit_ms",
        "_ends_ms",
        "_timeout",
        "_handle",
        "_turns",
    )

    def __init__(self, limit_ms: int | None, awake_clock: Clock) -> None:
        self._awake_clock = awake_clock
        self._limit_ms = limit_ms
        self._ends_ms = 0
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None
        self._turns = READ_TURNS

    async def __aenter__(self) -> None:
        """Start the limit; None is no limit."""
        await self._timeout.__aenter__()
        if self._limit_ms is not None:
            self._ends_ms = self._awake_clock.now_ms() + self._limit_ms
            self._check()

    async def __aexit__(self, *exc_info) -> bool | None:
        """Stop the limit; raise TimeoutError if it has cancelled the block."""
        if self._handle is not None:
            self._handle.cancel()
        return await self._timeout.__aexit__(*exc_info)

    def _check(self) -> None:
        """Cancel the block if the limit has passed and the sockets have been read."""
        loop = asyncio.get_running_loop()
        left_ms = self._ends_ms - self._awake_clock.now_ms()
        if left_ms > 0:
            self._handle = loop.call_later(left_ms / 1_000, self._check)
            return
        if self._turns:
            self._turns -= 1
            self._handle = loop.call_soon(self._check)
            return
        self._timeout.reschedule(loop.time())


def limit_awake(limit_ms: int | None, awake_clock: Clock) -> AwakeTimeout:
    """Return a context manager that limits its block; None is no limit."""
    return AwakeTimeout(limit_ms, awake_clock)


async def wait_awake(
    awaitable: Awaitable[Result], limit_ms: int | None, awake_clock: Clock
) -> Result:
    """Return an awaitable's result; raise TimeoutError once the limit has passed."""
    async with AwakeTimeout(limit_ms, awake_clock):
        return await awaitable
