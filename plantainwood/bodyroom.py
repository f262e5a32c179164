"""Memory for the bodies of requests: those that don't fit wait before they are read."""

import asyncio
from collections import deque

FREE_BYTES = 65_536
"""A body up to this size needs no room."""
MAX_BODY_BYTES = 16_777_216
"""The bodies that a node holds at once, small ones not counted."""


class BodyRoom:
    """Bytes that bodies may occupy together; a single larger one gets all of it."""

    __slots__ = ("_free_bytes", "_waiting")

    def __init__(self) -> None:
        self._free_bytes = MAX_BODY_BYTES
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    async def take(self, needed: int) -> None:
        """Wait until this many bytes are free, in order, and take them."""
        if not self._waiting and needed <= self._free_bytes:
            self._free_bytes -= needed
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((needed, granted))
        try:
            await granted
        except asyncio.CancelledError:
            was_granted = granted.done() and not granted.cancelled()
            self.give_back(needed if was_granted else 0)
            raise

    def give_back(self, taken: int) -> None:
        """Free bytes, and grant room to those that wait longest."""
        self._free_bytes += taken
        while self._waiting:
            needed, granted = self._waiting[0]
            if granted.done():
                self._waiting.popleft()
                continue
            if needed > self._free_bytes:
                return
            self._waiting.popleft()
            self._free_bytes -= needed
            granted.set_result(None)


class BodyReservation:
    """The room of one request's body, given back when its block ends."""

    __slots__ = ("_room", "_taken")

    def __init__(self, room: BodyRoom) -> None:
        self._room = room
        self._taken = 0

    def __enter__(self) -> "BodyReservation":
        return self

    def __exit__(self, *error: object) -> None:
        self._room.give_back(self._taken)

    async def reserve(self, size_bytes: int) -> None:
        """Wait for room for a body of at most this size; do nothing if it has it."""
        needed = min(size_bytes, MAX_BODY_BYTES)
        if needed <= FREE_BYTES or self._taken:
            return
        await self._room.take(needed)
        self._taken = needed
