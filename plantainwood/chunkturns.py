"""Turns of the connections whose bodies come in tiny chunks.

Parsing costs about the same for each chunk, however small, so a read of such bytes
takes many times the processor time of others. If all such connections were read in each
turn of the event loop, a thousand of them would let nobody else be served for seconds.
"""

import asyncio
from abc import ABC, abstractmethod
from collections import deque

TURN_S = 0.002
"""The pause before each turn while others wait, longer than a turn takes."""


class TurnTaker(ABC):
    """A connection that is read in turn."""

    __slots__ = ()

    @abstractmethod
    def take_turn(self) -> bool:
        """Parse some chunks; return whether the connection still waited for that."""


class ChunkTurns:
    """Let one connection at a time be read; a single one does not wait."""

    __slots__ = ("_waiting", "_timer")

    def __init__(self) -> None:
        self._waiting: deque[TurnTaker] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def wait(self, connection: TurnTaker) -> None:
        """Let a connection have a turn after those that wait."""
        self._waiting.append(connection)
        if self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        pause_s = TURN_S if len(self._waiting) > 1 else 0.0
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._give_turn)

    def _give_turn(self) -> None:
        self._timer = None
        while self._waiting:
            if self._waiting.popleft().take_turn():
                break
        if self._waiting:
            self._schedule()
