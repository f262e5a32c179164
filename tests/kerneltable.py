"""The kernel's list of TCP connections, read for a tenth of the time at most.

A reading takes 6 ms where 4,000 connections are listed and 130 ms where 42,000 are,
whichever of them are asked for. So all paths of a test's process share one, and it is
the older, the longer it takes.
"""

import time
from pathlib import Path

import msgspec

SYN_SENT = 2
"""The state of a connection that is being opened, as the kernel numbers them."""
PAUSE_S = 0.05
PAUSE_PER_READING = 9
"""The pause after a reading is at least so many times as long as that was."""


class KernelEntry(msgspec.Struct, frozen=True):
    """The state of a connection, and the bytes that its sender's kernel keeps."""

    state: int
    queued_bytes: int


class KernelTable:
    """The connections, by the port that they go to."""

    def __init__(self, path: Path = Path("/proc/net/tcp")) -> None:
        self._path = path
        self._entries: dict[int, list[KernelEntry]] = {}
        self._due_s = 0.0
        """When the next reading is due."""
        self.readings = 0

    def list_connections(self, port: int) -> list[KernelEntry]:
        """Return the connections to a port, as they were at the last reading."""
        began_s = time.monotonic()
        if began_s >= self._due_s:
            self._read()
            ended_s = time.monotonic()
            pause_s = max(PAUSE_S, PAUSE_PER_READING * (ended_s - began_s))
            self._due_s = ended_s + pause_s
        return self._entries.get(port, [])

    def _read(self) -> None:
        self.readings += 1
        self._entries = {}
        for line in self._path.read_bytes().splitlines()[1:]:
            fields = line.split(None, 5)
            port = int(fields[2].rpartition(b":")[2], 16)
            queued_bytes = int(fields[4].partition(b":")[0], 16)
            entry = KernelEntry(int(fields[3], 16), queued_bytes)
            self._entries.setdefault(port, []).append(entry)


TABLE = KernelTable()
"""The one that all paths of this process read."""
