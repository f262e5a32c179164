"""Compute docs/CAPACITY.md from measured slopes and the planned fleet sizes.

Each run regenerates the tables from docs/measurements/slopes.json and bench.json.
"""

import json
from pathlib import Path

import msgspec

from experiments.bench import DATA as BENCH
from experiments.exchange import Result
from experiments.figures import render_markdown
from experiments.roles import (
    NON_REPEATABLE_SHARE,
    SIZES,
    Cost,
    Measurements,
    Size,
    estimate_role_costs,
)
from experiments.slopes import OUTPUT as SLOPES

PAGE = Path(__file__).resolve().parent.parent / "docs/CAPACITY.md"

CPU_BOUND_PERCENT = 2.8
MEMORY_BOUND_MB = 128
BYTES_BOUND = 24_000
WRITES_BOUND = 500
READS_BOUND = 2_000


def sum_field(costs: list[Cost], field: str) -> float:
    """Return the sum of a field over the roles."""
    return sum(getattr(cost, field) for cost in costs)


def render_size(measurements: Measurements, size: Size) -> list[str]:
    """Return the tables of one fleet size, for the mean and the busiest node."""
    text = [f"### {size.label}: {size.nodes} nodes, {size.upstreams} runners", ""]
    for busiest in (False, True):
        costs = estimate_role_costs(measurements, size, busiest)
        rows: list[list] = []
        for cost in costs:
            rows.append(
                [
                    cost.role,
                    cost.mechanism,
                    cost.state,
                    cost.messages,
                    cost.bytes / 1_000,
                    cost.reads,
                    cost.writes,
                    cost.cpu_percent,
                    cost.memory_mb,
                ]
            )
        fields = ("messages", "bytes", "reads", "writes", "cpu_percent", "memory_mb")
        sums = [sum_field(costs, field) for field in fields]
        sums[1] /= 1_000
        rows.append(["**sum**", "", "", *sums])
        names = ["role", "mechanism and module", "state", "messages/s", "KB/s"]
        names += ["KV reads/s", "KV writes/s", "% of a core", "MB"]
        label = "The busiest node" if busiest else "The mean node"
        text += [f"{label}:", "", render_markdown(names, rows), ""]
    return text


def render_bounds(measurements: Measurements) -> list[str]:
    """Return the table that compares each estimate with its bound."""
    rows: list[list] = []
    for size in SIZES:
        mean_costs = estimate_role_costs(measurements, size, False)
        busiest_costs = estimate_role_costs(measurements, size, True)
        nodes = size.nodes
        entries = [
            ("% of a core", "cpu_percent", 1.0, CPU_BOUND_PERCENT),
            ("KB/s, in and out", "bytes", 1_000.0, BYTES_BOUND / 1_000),
            ("KB/s, sent", "bytes", 2_000.0, BYTES_BOUND / 1_000),
            ("MB", "memory_mb", 1.0, MEMORY_BOUND_MB),
        ]
        for label, field, divisor, bound in entries:
            values = [
                sum_field(costs, field) / divisor
                for costs in (mean_costs, busiest_costs)
            ]
            verdict = "held" if max(values) <= bound else "**broken at the busiest**"
            if values[0] > bound:
                verdict = "**broken**"
            rows.append([size.label, label, values[0], values[1], bound, verdict])
        for label, field, bound in (
            ("KV reads/s of the fleet", "reads", READS_BOUND),
            ("KV writes/s of the fleet", "writes", WRITES_BOUND),
        ):
            value = sum_field(mean_costs, field) * nodes
            verdict = "held" if value <= bound else "**broken**"
            rows.append([size.label, label, value, "", bound, verdict])
    names = ["size", "figure", "mean node", "busiest node", "bound", "verdict"]
    return [render_markdown(names, rows), ""]


def render_failure_scenarios(measurements: Measurements) -> list[str]:
    """Return what failures and mass events cost at 320 nodes."""
    document_kb = measurements.get_median("document of 980 customers and 600 upstreams")
    nodes = 320
    reads_per_s = nodes * 1.0 / 5.0
    spread_ms = measurements.estimate_exchange("spread_ms", nodes)
    notice_ms = measurements.estimate_exchange("notice_ms", nodes)
    peers_kb = nodes * (measurements.get_median("bytes of a beat") + 75) / 1_000
    loads_kb = 150 * measurements.get_median("bytes of a load report") / 1_000
    rows = [
        [
            "170 VMs replaced in a day",
            f"one each {86_400 / 170:.0f} s; each takes one document of "
            f"{document_kb:.0f} KB and {peers_kb + loads_kb:.0f} KB of digests from a "
            "partner",
            f"{(document_kb + peers_kb + loads_kb) * 170 / 86_400:.1f} KB/s over the "
            "fleet",
        ],
        [
            "a rack at once (20 nodes)",
            f"noticed after {notice_ms / 1_000:.0f} s; rings close by themselves; "
            "usage of the last copy interval (1 s) is lost",
            "20 deaths in one round, no extra messages",
        ],
        [
            "a failure domain (40 nodes)",
            "each of its upstreams is served from another domain as well; its "
            "customers' homes move; shares restart at the floor",
            "40 nodes' callers ask the others: 14% more each",
        ],
        [
            "regions parted for an hour",
            "the side that reaches the key-value service serves on; the other refuses "
            "once it hears half of the nodes or fewer, and serves on if it hears more "
            "(see PROOFS.md, point 5)",
            "no extra messages",
        ],
        [
            "key-value service away for an hour, then back",
            "each node retries every 5 s at most, with jitter",
            f"{reads_per_s:.0f} reads/s on return, bound {READS_BOUND}; usage: "
            f"{nodes} records within 10 s, {nodes / 10:.0f} writes/s",
        ],
        [
            "every caller asks for a new address",
            "answered from memory by any VM",
            "at 1,200 requests/s: 3.75/s for each node, as at any peak",
        ],
    ]
    text = [render_markdown(["day", "what happens", "cost"], rows), ""]
    text += [
        f"A catalogue change is in force everywhere after {spread_ms:.0f} ms by the "
        "line through the measured sizes, plus at most 0.5 s until a watcher reads an "
        "edit that was accepted elsewhere; the bound is 3 s.",
        "",
    ]
    return text


HEADER = """# Capacity

Made by `make capacity` (experiments/slopes.py, experiments/exchange.py,
experiments/capacity.py) from slopes measured on one machine of 8 cores; no figure
in the tables is written by hand. Sizes beyond 220 nodes lie on the line through the
measured ones and were not run.

What is assumed: requests spread evenly over the nodes, the busiest has three times
the mean; {share:.0%} of the requests are calls that may not be repeated; a customer's
callers use 3 VMs at a time; every runner's load changes all the time; names of
nodes and runners have about 10 characters. Bytes are payload in and out together,
without TCP/IP; a share message is taken to cost 30 us of transport and a demand
message 60 us. The traffic of callers and upstreams is not control and not in the
tables.
"""


FINDINGS = """## Where a bound is near or broken, and what would mend it

- **Bytes of the busiest node** (one that is a gateway between failure domains, holds
  the ordering duty and has three times the mean load, all at once). What it sends stays
  within 24 KB/s; sent and received together do not at 320 nodes. Beats go to every
  node and are the largest part. Mending: condensed beats between domains (one message
  with all of a domain's revisions and states), and demand summed up by domain on its
  way to the holder.
- **Key-value writes**: claims are two writes each, sent in groups per node. At a share
  of {limit:.0%} of the requests that may not be repeated the bound of several hundred
  writes/s is reached. Mending: claims sent to one writer for each of a few shards, so
  that one call carries many.
- **Noticing a death** takes near 10 s by design (three heartbeats of 3 s); the routes
  of callers do not wait for it, since a handed-out list has three VMs.
- **Memory** is mostly Python and its libraries. One process for each entry VM stays
  below the bound.
"""


def list_other_slopes(measurements: Measurements) -> list[list]:
    """Return the slopes from the benchmark and the exchange, one run each."""
    bench = json.loads(BENCH.read_text())
    requests, tokens = bench["capacity"]
    first, last = measurements.exchange_results[0], measurements.exchange_results[-1]
    grown_kb = (last.rss_mb_mean - first.rss_mb_mean) * 1_000
    return [
        ["a request of one token, relayed", requests[4], "", "", "us"],
        ["a relayed token, of 200 an answer", tokens[5], "", "", "us"],
        ["memory of an open stream", bench["memory"][2], "", "", "kB"],
        ["memory of a peer", grown_kb / (last.nodes - first.nodes), "", "", "kB"],
    ]


def main() -> None:
    """Write docs/CAPACITY.md and print the comparison with the bounds."""
    measurements = Measurements(json.loads(SLOPES.read_text()))
    limit = (WRITES_BOUND - 0.1 * 320 - 1) / (2 * 1_200)
    text = [HEADER.format(share=NON_REPEATABLE_SHARE), "## Against the bounds", ""]
    text += render_bounds(measurements)
    text += [FINDINGS.format(limit=limit), "## By role", ""]
    for size in SIZES:
        text += render_size(measurements, size)
    text += ["## Bad days, at 320 nodes", ""] + render_failure_scenarios(measurements)
    text += ["## Measured: exchange between daemons as separate processes", ""]
    rows = [
        list(msgspec.structs.astuple(item)) for item in measurements.exchange_results
    ]
    names = [field.replace("_", " ") for field in Result.__struct_fields__]
    text += [render_markdown(names, rows), ""]
    text += [
        "`spread ms`: until a change sent to one node was in force on all.",
        "`notice ms`: "
        "until a killed node was noticed by all. `replaced ms`: until a change sent",
        "while a third of the processes had just been started anew was in force on",
        "all; with many processes this is mostly the time that 8 cores take to start",
        "them.",
        "",
        "## Measured: slopes",
        "",
    ]
    slopes = [
        [s.name, s.value, s.low, s.high, s.unit] for s in measurements.list_slopes()
    ]
    slopes += list_other_slopes(measurements)
    text += [render_markdown(["slope", "median", "least", "most", "unit"], slopes), ""]
    PAGE.write_text("\n".join(text))
    print("\n".join(render_bounds(measurements)))


if __name__ == "__main__":
    main()
