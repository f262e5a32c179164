"""Only the gossip part of a daemon: peer links, members, gossip and catalogue updates.

experiments.exchange starts many of these; each prints its observations as JSON lines.
"""

import asyncio
import json
import resource
import signal
import time

from absl import app, flags

from plantainwood.core.clock import SystemClock
from plantainwood.links import PeerLinks
from plantainwood.metrics import Metrics
from plantainwood.node import Clients, Node
from plantainwood.poller import CHANGED_LOAD_INTERVAL_MS, make_load_notice
from plantainwood.procedures import Driver
from plantainwood.settings import load_settings

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the YAML settings.")
_UPSTREAMS = flags.DEFINE_integer(
    "upstreams", 0, "Number of upstreams whose load changes."
)
CHECK_INTERVAL_MS = 100


def print_line(kind: str, **fields) -> None:
    """Print one observation as a JSON line with the wall time in ms."""
    line = {"kind": kind, "wall_ms": time.time_ns() // 1_000_000, **fields}
    print(json.dumps(line), flush=True)


async def report_changes(node: Node, stop: asyncio.Event) -> None:
    """Print the catalogue revision and the number of live nodes when they change."""
    reported: dict[str, int] = {}
    while not stop.is_set():
        await asyncio.sleep(CHECK_INTERVAL_MS / 1_000)
        live_count = len(node.members.list_live(node.clock.now_ms())) + 1
        current = {"revision": node.catalogue.revision, "alive": live_count}
        for name, value in current.items():
            if reported.get(name) != value:
                print_line(name, value=value)
        reported = current


async def change_loads(node: Node, count: int) -> None:
    """Report a changed load of `count` upstreams every CHANGED_LOAD_INTERVAL_MS."""
    step = 0
    while True:
        await asyncio.sleep(CHANGED_LOAD_INTERVAL_MS / 1_000)
        step += 1
        for number in range(count):
            upstream = f"{node.settings.node}-e{number}"
            notice = make_load_notice(node, upstream, (step % 8, 0, 0, 1))
            node.apply_gossip_record(notice, "")


def read_counters(node: Node) -> dict[str, float]:
    """Return the link bytes and messages so far and the CPU seconds used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    counters: dict[str, float] = {"cpu_s": usage.ru_utime + usage.ru_stime}
    for direction in ("out", "in"):
        labels = {"direction": direction}
        counters[f"bytes_{direction}"] = node.metrics.link_bytes.get(labels)
        counters[f"messages_{direction}"] = node.metrics.link_messages.get(labels)
    return counters


async def serve(settings_path: str, upstreams: int) -> None:
    """Exchange gossip until SIGTERM; print the counters at each SIGUSR1."""
    node = Node(load_settings(settings_path), SystemClock(), Metrics())
    node.clients = Clients(Driver(None, None), None, None)  # type: ignore[arg-type]
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(
        signal.SIGUSR1, lambda: print_line("count", **read_counters(node))
    )
    links = PeerLinks(node)
    await links.start()
    tasks = [loop.create_task(report_changes(node, stop))]
    if upstreams:
        tasks.append(loop.create_task(change_loads(node, upstreams)))
    await stop.wait()
    for task in tasks:
        task.cancel()
    await links.stop()


def main(_: list[str]) -> None:
    """Run the process that the flags describe until SIGTERM."""
    asyncio.run(serve(_SETTINGS.value, _UPSTREAMS.value))


if __name__ == "__main__":
    app.run(main)
