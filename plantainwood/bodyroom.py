"""Memory for bodies of requests and answers: what does not fit waits to be read."""

import asyncio
from collections import deque
from typing import Callable

FREE_BYTES = 65_536
"""A body up to this size needs no room."""
MAX_BODY_BYTES = 16_777_216
"""The bodies that a node holds at once if its memory is not known."""
SMALL_PART = 8
"""What needs at most this part of the room does not wait behind what needs more."""
TIGHT_FREE_BYTES = 8_192
"""A body up to this size needs no room while small bodies hold much."""
KEPT_PART = 4
"""What needs more leaves this part of the room free."""

Waiting = deque[tuple[int, asyncio.Future[None], float]]


class BodyRoom:
    """Bytes that bodies may occupy together; a single larger one gets all of it."""

    __slots__ = (
        "capacity",
        "counted_bytes",
        "small_bytes",
        "on_counted",
        "_free_bytes",
        "_queues",
    )

    def __init__(self, capacity: int = MAX_BODY_BYTES) -> None:
        self.capacity = capacity
        self.counted_bytes = 0
        """Bytes that are held without a reservation."""
        self.small_bytes = capacity
        """What bodies without a reservation may hold together."""
        self.on_counted: Callable[[], None] | None = None
        """Called when counted_bytes has grown."""
        self._free_bytes = capacity
        self._queues: tuple[Waiting, Waiting] = (deque(), deque())
        """Those that need little, and the others; each in order."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held now, with and without a reservation."""
        return self.capacity - self._free_bytes + self.counted_bytes

    def compute_wait_s(self) -> float:
        """Return how long the longest waiting reservation has waited, 0 if none."""
        self._drop_ended()
        since = [queue[0][2] for queue in self._queues if queue]
        return asyncio.get_running_loop().time() - min(since) if since else 0.0

    def ask(self, needed: int) -> asyncio.Future[None]:
        """Return a future that is done once this many bytes are taken, in order.

        Whoever does not wait for its end any more withdraws it.
        """
        loop = asyncio.get_running_loop()
        granted: asyncio.Future[None] = loop.create_future()
        queue = self._queues[not self._is_small(needed)]
        if not queue and self._fits(needed):
            self._free_bytes -= needed
            granted.set_result(None)
        else:
            queue.append((needed, granted, loop.time()))
        return granted

    def withdraw(self, needed: int, granted: asyncio.Future[None]) -> None:
        """Ask for bytes no more; give them back if they were taken meanwhile."""
        if granted.done() and not granted.cancelled():
            self.give_back(needed)
            return
        granted.cancel()
        self.give_back(0)

    async def take(self, needed: int) -> None:
        """Wait until this many bytes are free, in order, and take them."""
        granted = self.ask(needed)
        try:
            await granted
        except asyncio.CancelledError:
            self.withdraw(needed, granted)
            raise

    def give_back(self, taken: int) -> None:
        """Free bytes, and grant room to those that wait longest."""
        self._free_bytes += taken
        self._drop_ended()
        for queue in self._queues:
            while queue and self._fits(queue[0][0]):
                needed, granted, _ = queue.popleft()
                if granted.done():
                    continue
                self._free_bytes -= needed
                granted.set_result(None)

    def find_free_size(self) -> int:
        """Return the size of a body, in bytes, that needs no reservation now."""
        if self.counted_bytes > self.small_bytes // 2:
            return TIGHT_FREE_BYTES
        return FREE_BYTES

    def count(self, change: int) -> None:
        """Count bytes that are held without a reservation, or are no longer."""
        self.counted_bytes += change
        if change > 0 and self.on_counted is not None:
            self.on_counted()

    def _is_small(self, needed: int) -> bool:
        return needed <= self.capacity // SMALL_PART

    def _fits(self, needed: int) -> bool:
        if self._is_small(needed) or self._free_bytes == self.capacity:
            return needed <= self._free_bytes
        return needed <= self._free_bytes - self.capacity // KEPT_PART

    def _drop_ended(self) -> None:
        for queue in self._queues:
            while queue and queue[0][1].done():
                queue.popleft()


class BodyReservation:
    """The room of one request's body, given back when its block ends."""

    __slots__ = ("_room", "_taken", "_counted", "_is_released", "_waiting")

    def __init__(self, room: BodyRoom) -> None:
        self._room = room
        self._taken = 0
        self._counted = 0
        self._is_released = False
        self._waiting: asyncio.Future[None] | None = None
        """Is done once room is granted."""

    def __enter__(self) -> "BodyReservation":
        return self

    def __exit__(self, *error: object) -> None:
        self.release()

    @property
    def is_granted(self) -> bool:
        """Return whether room is reserved."""
        return self._taken > 0

    async def reserve(self, size_bytes: int) -> None:
        """Wait for room for a body of at most this size; do nothing if it has it."""
        needed = min(size_bytes, self._room.capacity)
        if self._taken or self._is_released:
            return
        if needed <= self._room.find_free_size():
            return
        if not await self._wait_for_room(needed):
            return
        self._taken = needed
        self._room.count(-self._counted)
        self._counted = 0

    async def _wait_for_room(self, needed: int) -> bool:
        """Return whether room was taken: not if the reservation was released."""
        granted = self._room.ask(needed)
        self._waiting = granted
        try:
            await granted
        except asyncio.CancelledError:
            self._room.withdraw(needed, granted)
            task = asyncio.current_task()
            if not self._is_released or (task is not None and task.cancelling()):
                raise
            return False
        finally:
            self._waiting = None
        if self._is_released:
            self._room.give_back(needed)
            return False
        return True

    @property
    def free_size(self) -> int:
        """Return the size of a body, in bytes, that needs no reservation now."""
        return self._room.find_free_size()

    def count(self, size_bytes: int) -> None:
        """Count bytes that were read, unless room is reserved for them."""
        if self._taken or self._is_released:
            return
        self._counted += size_bytes
        self._room.count(size_bytes)

    def release(self) -> None:
        """Give everything back; the bytes are no longer held."""
        self._is_released = True
        if self._waiting is not None:
            self._waiting.cancel()
        self._room.count(-self._counted)
        self._counted = 0
        taken, self._taken = self._taken, 0
        self._room.give_back(taken)
