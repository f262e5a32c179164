"""Measure the gossip between many daemons that run as separate processes.

For each fleet size: bytes, messages, CPU time and memory per node (mean and busiest);
the time until a catalogue change is in force on all nodes, also when a third of the
nodes was just replaced; and the time until all nodes have detected a node's death.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import pynng
import yaml

from experiments.processes import read_rss_mb
from plantainwood.core.catalogue import Catalogue, apply_changes, encode_catalogue
from plantainwood.core.frames import encode_frame
from plantainwood.core.messages import CatalogueUpdate
from standins.fleet import ADMIN_KEY, LINK_SECRET, ROOT
from standins.ports import find_ports
from tests.catalogues import make_changes

SIZES = (7, 40, 80, 160, 220)
DOMAIN_COUNT = 8
SETTLE_S = 20
COUNTING_S = 20
WAIT_TIMEOUT_S = 60
UPSTREAMS_PER_NODE = 4
"""Upstreams that a node polls: 600, each polled from 2 domains, over 320 nodes."""


class Result(msgspec.Struct):
    """Measurements at one fleet size.

    Bytes and messages are per node and second, in and out together. `spread_ms` is the
    time until a catalogue change is in force on all nodes, `notice_ms` the time until
    all have detected a killed node, and `replaced_ms` the time until a change is in
    force on all when a third of the nodes was just replaced.
    """

    nodes: int
    bytes_mean: float
    bytes_max: float
    messages_mean: float
    messages_max: float
    cpu_percent_mean: float
    cpu_percent_max: float
    rss_mb_mean: float
    spread_ms: int
    notice_ms: int
    replaced_ms: int


class ExchangeFleet:
    """Processes that each run only the gossip part of a daemon."""

    def __init__(self, count: int) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="plantainwood-exchange-"))
        self.names = [f"vm-{index + 1}" for index in range(count)]
        ports = find_ports(count)
        self.ports = dict(zip(self.names, ports, strict=True))
        self.processes: dict[str, subprocess.Popen] = {}

    def start(self, name: str) -> None:
        """Start one process with at most 8 peers, as an outdated VM list would give."""
        index = self.names.index(name)
        peers = []
        for step in range(1, 9):
            other = self.names[(index + step * step) % len(self.names)]
            if other == name or any(peer["node"] == other for peer in peers):
                continue
            domain = f"d{self.names.index(other) % DOMAIN_COUNT}"
            address = f"tcp://127.0.0.1:{self.ports[other]}"
            peers.append({"node": other, "domain": domain, "link_address": address})
        settings = {
            "node": name,
            "domain": f"d{index % DOMAIN_COUNT}",
            "callers": {"host": "127.0.0.1", "port": 1},
            "admin": {"host": "127.0.0.1", "port": 1, "key": ADMIN_KEY},
            "links": {
                "host": "127.0.0.1",
                "port": self.ports[name],
                "secret": LINK_SECRET,
            },
            "store": {"endpoints": []},
            "peers": peers,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "experiments.exchange_node",
                    f"--settings={path}",
                    f"--upstreams={UPSTREAMS_PER_NODE}",
                ],
                cwd=ROOT,
                env={**os.environ, "NNG_NUM_TASKQ_THREADS": "2"},
                stdout=log,
                stderr=subprocess.DEVNULL,
            )

    def read_lines(self, name: str) -> list[dict]:
        """Return the JSON lines that a process has printed."""
        text = (self.folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines()]

    def find_last(self, name: str, kind: str) -> dict | None:
        """Return the last line of a kind, or None."""
        found = [line for line in self.read_lines(name) if line["kind"] == kind]
        return found[-1] if found else None

    def wait_until_all(
        self, kind: str, value: int, names: list[str] | None = None
    ) -> int:
        """Wait until the last line of a kind has the given value in all processes.

        If `names` is given, wait for these processes only. Return the wall time in ms
        at which the last of them printed it; raise TimeoutError after WAIT_TIMEOUT_S.
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        names = names or list(self.processes)
        while time.monotonic() < deadline:
            lines = [self.find_last(name, kind) for name in names]
            if all(line is not None and line["value"] == value for line in lines):
                return max(line["wall_ms"] for line in lines if line is not None)
            time.sleep(0.3)
        last_values = [line["value"] if line else None for line in lines]
        raise TimeoutError(f"{kind} {value} not reached by all: {last_values}")

    def measure_rates(self) -> dict[str, list[float]]:
        """Return each counter's rate per second over COUNTING_S, one per process."""
        for process in self.processes.values():
            process.send_signal(signal.SIGUSR1)
        time.sleep(COUNTING_S)
        for process in self.processes.values():
            process.send_signal(signal.SIGUSR1)
        time.sleep(1)
        rates: dict[str, list[float]] = {}
        for name in self.processes:
            lines = [line for line in self.read_lines(name) if line["kind"] == "count"]
            first, second = lines[-2:]
            passed_s = (second["wall_ms"] - first["wall_ms"]) / 1_000
            for key in first:
                if key in ("kind", "wall_ms"):
                    continue
                rate = (second[key] - first[key]) / passed_s
                rates.setdefault(key, []).append(rate)
        return rates

    def publish(self, revision: int) -> int:
        """Send a new catalogue to the first node; return when, as wall time in ms.

        The 200 ms pause that lets the socket send is subtracted from that time.
        """
        catalogue = Catalogue(revision - 1)
        catalogue = apply_changes(catalogue, make_changes(), f"r{revision}")
        update = CatalogueUpdate("operator", encode_catalogue(catalogue))
        with pynng.Push0(dial=f"tcp://127.0.0.1:{self.ports[self.names[0]]}") as push:
            push.send(encode_frame(update, LINK_SECRET.encode()))
            time.sleep(0.2)
        return time.time_ns() // 1_000_000 - 200

    def kill(self, names: list[str]) -> int:
        """Kill some processes; return the wall time in ms when all have ended."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes.pop(name).wait()
        return time.time_ns() // 1_000_000

    def stop(self) -> None:
        """Kill the remaining processes."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()


def measure(size: int) -> Result:
    """Start a fleet of `size` processes, measure it and stop it."""
    fleet = ExchangeFleet(size)
    try:
        for name in fleet.names:
            fleet.start(name)
        fleet.wait_until_all("alive", size)
        time.sleep(SETTLE_S)
        rates = fleet.measure_rates()
        sent_ms = fleet.publish(1)
        spread_ms = fleet.wait_until_all("revision", 1) - sent_ms
        killed_ms = fleet.kill(fleet.names[-1:])
        notice_ms = fleet.wait_until_all("alive", size - 1) - killed_ms
        rss_mb = [read_rss_mb(process.pid) for process in fleet.processes.values()]
        replaced = fleet.names[1 : 1 + max(1, size // 3)]
        fleet.kill(replaced)
        for name in replaced:
            fleet.start(name)
        sent_ms = fleet.publish(2)
        replaced_ms = fleet.wait_until_all("revision", 2) - sent_ms
    finally:
        fleet.stop()
    bytes_per_s = [
        a + b for a, b in zip(rates["bytes_out"], rates["bytes_in"], strict=True)
    ]
    messages_per_s = [
        a + b for a, b in zip(rates["messages_out"], rates["messages_in"], strict=True)
    ]
    cpu_percents = [value * 100 for value in rates["cpu_s"]]
    return Result(
        nodes=size,
        bytes_mean=sum(bytes_per_s) / size,
        bytes_max=max(bytes_per_s),
        messages_mean=sum(messages_per_s) / size,
        messages_max=max(messages_per_s),
        cpu_percent_mean=sum(cpu_percents) / size,
        cpu_percent_max=max(cpu_percents),
        rss_mb_mean=sum(rss_mb) / len(rss_mb),
        spread_ms=spread_ms,
        notice_ms=notice_ms,
        replaced_ms=replaced_ms,
    )


def measure_all(sizes: tuple[int, ...] = SIZES) -> list[Result]:
    """Measure all sizes, one after the other."""
    results: list[Result] = []
    for size in sizes:
        results.append(measure(size))
        print(results[-1], flush=True)
    return results


if __name__ == "__main__":
    measure_all(tuple(int(text) for text in sys.argv[1:]) or SIZES)
