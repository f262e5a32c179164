"""The kernel's list of connections, as tests read it."""

import socket
from pathlib import Path

import pytest

from tests.kerneltable import PAUSE_S, SYN_SENT, KernelEntry, KernelTable

HEADING = "  sl  local_address rem_address   st tx_queue rx_queue tr\n"
CONNECTING = "   0: 0100007F:C001 0100007F:{port:04X} 02 00000001:00000000 01:0\n"
WAITING = "   1: 0100007F:C002 0100007F:{port:04X} 01 0000002A:00000000 00:0\n"
ASKED_EVERY_S = 0.002
PATHS = 14


class Clock:
    """A clock that goes on while the list is read."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        """Return the time."""
        return self.now_s


class SlowList(type(Path())):
    """A list that takes some time to read."""

    clock: Clock
    reading_s: float
    total_s = 0.0

    def read_bytes(self) -> bytes:
        """Return the list after its time."""
        self.clock.now_s += self.reading_s
        self.total_s += self.reading_s
        return super().read_bytes()


@pytest.fixture
def clock(monkeypatch):
    """Put a clock of the test's in the place of the process's."""
    clock = Clock()
    monkeypatch.setattr("tests.kerneltable.time", clock)
    return clock


# Guards against a store that doesn't answer, so that its VMs lose their leases: the
# paths of a busy machine's tests read all connections for each question of each path,
# and a list of 26,000 connections twenty times a second.
@pytest.mark.parametrize("reading_s", [0.0, 0.006, 0.1])
def test_readings_take_a_tenth_of_the_time_at_most(reading_s, tmp_path, clock):
    path = SlowList(tmp_path / "tcp")
    path.clock, path.reading_s = clock, reading_s
    path.write_text(HEADING)
    table = KernelTable(path)
    while clock.now_s < 110:
        for port in range(1, PATHS + 1):
            table.list_connections(port)
        clock.now_s += ASKED_EVERY_S
    assert 5 <= table.readings <= 201
    assert path.total_s <= 1.01


# Guards against a call that is taken for one under way after it has ended.
def test_what_is_listed_is_as_old_as_the_last_reading_at_most(tmp_path, clock):
    path = tmp_path / "tcp"
    path.write_text(HEADING + CONNECTING.format(port=81) + WAITING.format(port=82))
    table = KernelTable(path)
    assert table.list_connections(81) == [KernelEntry(SYN_SENT, 1)]
    assert table.list_connections(82) == [KernelEntry(1, 42)]
    assert table.list_connections(83) == []
    path.write_text(HEADING)
    clock.now_s += 1.01 * PAUSE_S
    assert table.list_connections(81) == []


# Guards against a list whose columns are read as others than the kernel's.
def test_a_connection_that_nobody_reads_from_keeps_its_bytes():
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)) as sender:
            assert not any(e.queued_bytes for e in KernelTable().list_connections(port))
            sender.setblocking(False)
            try:
                while True:
                    sender.send(b"x" * 65_536)
            except BlockingIOError:
                pass
            assert any(e.queued_bytes for e in KernelTable().list_connections(port))
