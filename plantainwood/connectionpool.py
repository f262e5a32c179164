"""A pool of idle connections to upstreams, which opens new ones on demand."""

import asyncio
from typing import Callable

from plantainwood.attempterrors import AttemptError, make_unreached_error
from plantainwood.awakewaits import limit_awake
from plantainwood.connections import Connection
from plantainwood.core.clock import Clock

CONNECT_TIMEOUT_MS = 350
PROBE_TIMEOUT_MS = 80
CLOCK_STEP_MS = 1


class ConnectionPool:
    """Keep idle connections to upstreams; the most recently used is reused first.

    How long an upstream may take is measured with `awake_clock`, in real time without
    one.
    """

    def __init__(self, clock: Clock, awake_clock: Clock | None = None) -> None:
        self._clock = clock
        self._awake_clock = awake_clock or clock
        self._idle: dict[str, list[Connection]] = {}
        self.opened_count = 0
        self.on_connected: Callable[[str, float], None] | None = None
        """Is told the address and the time in ms of each connection opened.

        Not if this process stood still meanwhile.
        """

    async def acquire(self, address: str, fresh: bool = False) -> Connection:
        """Return an idle or new connection; raise AttemptError if connecting fails.

        With `fresh`, always open a new connection.
        """
        idle = self._idle.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if connection.usable and self._clock.now_ms() < connection.idle_until_ms:
                return connection
            connection.close()
        return await self._connect(address)

    async def _connect(self, address: str) -> Connection:
        """Open a connection; an address that can't be dialled is one not reached."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        began_s = loop.time()
        began_ms = self._awake_clock.now_ms()
        try:
            async with limit_awake(CONNECT_TIMEOUT_MS, self._awake_clock):
                _, connection = await loop.create_connection(
                    lambda: Connection(address, self._clock), host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise make_unreached_error(repr(error)) from error
        took_ms = 1_000 * (loop.time() - began_s)
        awake_ms = self._awake_clock.now_ms() - began_ms
        if self.on_connected is not None and took_ms <= awake_ms + CLOCK_STEP_MS:
            self.on_connected(address, took_ms)
        return connection

    async def probe_refused(self, address: str) -> bool:
        """Return whether nothing listens at an address any more, as after a crash.

        No connection within PROBE_TIMEOUT_MS counts as refused.
        """
        try:
            async with limit_awake(PROBE_TIMEOUT_MS, self._awake_clock):
                connection = await self.acquire(address, fresh=True)
        except (AttemptError, TimeoutError):
            return True
        connection.close()
        return False

    def release(self, connection: Connection) -> None:
        """Take a connection back after a request; close it if not reusable."""
        connection.finish()
        if connection.usable:
            self._idle.setdefault(connection.address, []).append(connection)

    def close_idle(self) -> None:
        """Close idle connections that are lost or that upstreams are about to close."""
        now_ms = self._clock.now_ms()
        for address, idle in list(self._idle.items()):
            still_idle: list[Connection] = []
            for connection in idle:
                if connection.usable and now_ms < connection.idle_until_ms:
                    still_idle.append(connection)
                    continue
                connection.close()
            if still_idle:
                self._idle[address] = still_idle
            else:
                del self._idle[address]

    def list_idle_addresses(self) -> list[str]:
        """Return the addresses with idle connections."""
        return list(self._idle)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
