"""A bound on the processes that test files run side by side have at a time.

Each process that may run is a locked file in a folder that all workers share. The
kernel frees the locks of a worker that ends.
"""

import contextlib
import fcntl
import time
from pathlib import Path
from typing import IO, Iterator

PAUSE_S = 0.05


class ProcessBudget:
    """Room for so many processes, shared by all who name the same folder."""

    __slots__ = ("_folder", "_size")

    def __init__(self, folder: Path, size: int) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._size = size

    @contextlib.contextmanager
    def take(self, count: int) -> Iterator[None]:
        """Wait until there is room for `count` processes, and hold it.

        One that needs more than there is in all waits for all of it. One waits at a
        time, so that smaller ones don't go ahead of a large one for good.
        """
        with contextlib.ExitStack() as held:
            with (self._folder / "turn").open("w") as turn:
                fcntl.flock(turn, fcntl.LOCK_EX)
                self._lock_places(min(count, self._size), held)
            yield

    def _lock_places(self, count: int, held: contextlib.ExitStack) -> None:
        free = list(range(self._size))
        while count > 0:
            for place in list(free):
                file = (self._folder / str(place)).open("w")
                if count == 0 or not lock_file(file):
                    file.close()
                    continue
                held.enter_context(file)
                free.remove(place)
                count -= 1
            if count > 0:
                time.sleep(PAUSE_S)


def lock_file(file: IO[str]) -> bool:
    """Lock an open file; return False if another holder has locked it."""
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
