"""Ports of tests that run side by side."""

import subprocess
import sys

from standins.fleet import ROOT
from standins.ports import PortClaims, find_ports

PROCESSES = 3
PORTS = 100
MANY_PORTS = 1_000
FLEETS = 20
PORTS_PER_FLEET = 18
SCRIPT = f"""
import os, sys
os.getpid = lambda: 7
from standins.ports import find_ports
print(*find_ports({PORTS}), flush=True)
sys.stdin.read()
"""
"""Finds ports as a process with the id of the others, and lives on."""


# Guards against daemons that find their port taken at their start: processes whose ids
# agreed modulo the number of blocks took ports from the same block.
def test_processes_side_by_side_find_different_ports():
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", SCRIPT],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(PROCESSES)
    ]
    try:
        found = [set(process.stdout.readline().split()) for process in processes]
    finally:
        for process in processes:
            process.communicate()
    assert [len(ports) for ports in found] == [PORTS] * PROCESSES
    assert len(set.union(*found)) == PROCESSES * PORTS


# Guards against a large fleet that finds too few ports in a block.
def test_a_fleet_finds_more_ports_than_a_block_has():
    assert len(set(find_ports(MANY_PORTS))) == MANY_PORTS


# Guards against a daemon whose port is taken at its start (AddressInUse): a second
# fleet of the same process got ports of the first, whose daemons did not listen yet.
def test_ports_whose_users_do_not_listen_yet_are_not_given_again():
    claims = PortClaims()
    found: list[int] = []
    for _ in range(FLEETS):
        found += claims.find(PORTS_PER_FLEET)
    assert len(set(found)) == FLEETS * PORTS_PER_FLEET
