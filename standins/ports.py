"""Loopback ports for the processes of tests and measurements that run side by side."""

import os
import random
import socket

PORTS = range(15_000, 32_000)
"""Below the range of ephemeral ports."""
PORT_BLOCKS = 40
PORTS_PER_BLOCK = len(PORTS) // PORT_BLOCKS


class PortClaims:
    """Blocks of ports that no other process takes while this one lives.

    The first port of each is held open, and is never given out.
    """

    __slots__ = ("_holders", "_ports")

    def __init__(self) -> None:
        self._holders: list[socket.socket] = []
        self._ports: list[int] = []
        """Those given out last at the end: their users may not listen yet."""

    def find(self, count: int) -> list[int]:
        """Return free ports, of further blocks if needed; raise OSError if none is."""
        while True:
            free: list[int] = []
            for port in self._ports:
                if len(free) < count and is_free(port):
                    free.append(port)
            if len(free) == count:
                given = set(free)
                self._ports = [port for port in self._ports if port not in given] + free
                return free
            self._claim_block()

    def _claim_block(self) -> None:
        for step in range(PORT_BLOCKS):
            first = (os.getpid() + step) % PORT_BLOCKS * PORTS_PER_BLOCK
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", PORTS[first]))
                holder.listen(1)
            except OSError:
                holder.close()
                continue
            self._holders.append(holder)
            ports = list(PORTS[first + 1 : first + PORTS_PER_BLOCK])
            random.shuffle(ports)
            self._ports += ports
            return
        raise OSError("no block of ports is free")


def is_free(port: int) -> bool:
    """Return whether nothing listens on a loopback port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


CLAIMS = PortClaims()


def find_ports(count: int) -> list[int]:
    """Return free ports that no other process finds; raise OSError if too few are."""
    return CLAIMS.find(count)
