"""Experiment: streams through processes while something disturbs them, at full length.

python -m experiments.streamplays [--root TREE] [--folder LOGS] [ROW ...] plays the
rows that are named, or all of them. Run it with PYTHONPATH=platform.
"""

import argparse
import os
import sys
import tempfile
from pathlib import Path

from tests.playedstreams import Plan
from tests.processsite import ROOT
from tests.streamdisruptions import (
    configure,
    hang_up,
    join,
    release,
    silence,
    stop_vms,
    trouble_store,
    withdraw,
)
from tests.streamplay import Disruption, StreamPlay, run_play

VMS = 4
RUNNERS = 6
ALL = list(range(RUNNERS))
TWICE_S = [6.0, 13.0]
LONG = {"seconds": 20.0}
MAX_PRINTED = 4

Row = tuple[Disruption | None, dict]

ROWS: dict[str, Row] = {
    "nothing": (None, {}),
    "configurations": (configure(), {}),
    "configurations, 3,000 routes in turn": (configure(many_routes=True), {}),
    "all silent 1.7 s": (silence(1.7, ALL, TWICE_S), {}),
    "all silent 1.7 s, configurations": (
        join(silence(1.7, ALL, TWICE_S), configure()),
        {},
    ),
    "all silent 2.2 s, configurations": (
        join(silence(2.2, ALL, TWICE_S), configure()),
        {},
    ),
    "two silent 1.7 s, configurations": (
        join(silence(1.7, [0, 1], TWICE_S), configure()),
        {},
    ),
    "two VMs stopped 2.2 s, configurations": (
        join(stop_vms(2.2, [0, 1], TWICE_S), configure()),
        {},
    ),
    "SIGHUPs, configurations": (join(hang_up(0.4), configure()), {}),
    "release, configurations": (join(release(3.0), configure()), {}),
    "release, last of v1 silent 1.7 s": (release(3.0, silent_s=1.7), {}),
    "store trouble, configurations": (join(trouble_store(), configure()), {}),
    "store trouble, all silent 1.7 s": (
        join(trouble_store(), silence(1.7, ALL, TWICE_S)),
        {},
    ),
    "through others": (None, {"through_others": True}),
    "through others, configurations": (configure(), {"through_others": True}),
    "through others, all silent 1.7 s": (
        silence(1.7, ALL, TWICE_S),
        {"through_others": True},
    ),
    "through others, one of these stopped 2.2 s": (
        stop_vms(2.2, [1], TWICE_S),
        {"through_others": True},
    ),
    "all silent 1.7 s, taken up twice": (
        silence(1.7, ALL, TWICE_S),
        {"take_ups": 2},
    ),
    "three attempts, all silent 1.7 s three times": (
        silence(1.7, ALL, [6.0, 9.0, 12.0]),
        {"attempts": 3},
    ),
    "all bodies in chunks, configurations": (configure(), {"chunked_of_5": 5}),
    "routes withdrawn": (withdraw("routes", 8.0), {}),
    "key withdrawn": (withdraw("key", 8.0), {}),
    "customer withdrawn": (withdraw("customer", 8.0), {}),
    "service withdrawn": (withdraw("service", 8.0), {}),
}


def render(name: str, play: StreamPlay) -> str:
    """Return a row of the table."""
    counts = play.count()
    pauses = [
        round(1_000 * (each.ended_s - each.last_event_s))
        for each in play.streams
        if each.outcome == "cut" and each.body
    ]
    span = f"{min(pauses)} to {max(pauses)}" if pauses else "-"
    other = counts["refused"] + counts["closed before a head"]
    mixed = len(play.list_mixed())
    return (
        f"| {name} | {counts['whole']} | {counts['cut']} | {other} | {span} | {mixed} |"
    )


def main() -> None:
    """Play rows and print them, with what is known of the first cut ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=Path, default=ROOT)
    parser.add_argument("--folder", type=Path)
    parser.add_argument("rows", nargs="*")
    options = parser.parse_args()
    folder = options.folder or Path(tempfile.mkdtemp(prefix="plantainwood-plays-"))
    for number, name in enumerate(options.rows or ROWS):
        disturb, changes = ROWS[name]
        logs = folder / f"{number}-{os.getpid()}"
        logs.mkdir(parents=True)
        play = run_play(
            Plan(**LONG, **changes),
            disturb,
            logs,
            vms=VMS,
            runners=RUNNERS,
            roots=[options.root],
        )
        print(render(name, play), f"load {os.getloadavg()[0]:.0f}", flush=True)
        for text in play.list_cut()[:MAX_PRINTED] + play.list_mixed()[:MAX_PRINTED]:
            print(f"    {text}", flush=True)
    print(f"logs: {folder}")


if __name__ == "__main__":
    sys.exit(main())
