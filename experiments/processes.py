"""CPU time and memory of other processes, read from /proc."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Return the CPU seconds, user and system, that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, or 0 if /proc gives none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_000
    return 0.0
