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
    text = [f"### {size.label}: {size.nodes} nodes, {size.upstreams} upstreams", ""]
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
        # Sent bytes are taken to be half of the bytes sent and received.
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
            verdict = "met" if max(values) <= bound else "**exceeded at the busiest**"
            if values[0] > bound:
                verdict = "**exceeded**"
            rows.append([size.label, label, values[0], values[1], bound, verdict])
        for label, field, bound in (
            ("KV reads/s of the fleet", "reads", READS_BOUND),
            ("KV writes/s of the fleet", "writes", WRITES_BOUND),
        ):
            value = sum_field(mean_costs, field) * nodes
            verdict = "met" if value <= bound else "**exceeded**"
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
            f"one every {86_400 / 170:.0f} s; each receives a catalogue document of "
            f"{document_kb:.0f} KB and {peers_kb + loads_kb:.0f} KB of gossip records "
            "from a partner",
            f"{(document_kb + peers_kb + loads_kb) * 170 / 86_400:.1f} KB/s in the "
            "whole fleet",
        ],
        [
            "a rack fails at once (20 nodes)",
            f"detected after {notice_ms / 1_000:.0f} s; the live nodes form the "
            "rings without it; usage since the last copy (interval 1 s) is lost",
            "20 failed nodes in one round, no extra messages",
        ],
        [
            "a failure domain fails (40 nodes)",
            "each of its upstreams is served from another domain as well; customers "
            "whose allocator node was in it get another; their shares restart at the "
            "floor",
            "the callers of 40 nodes go to the others: 14% more on each",
        ],
        [
            "a partition between regions for an hour",
            "the side that reaches the key-value service continues to serve; the "
            "other refuses once it hears from half of the nodes or fewer, and "
            "continues if it hears from more (see PROOFS.md, point 5)",
            "no extra messages",
        ],
        [
            "key-value service unavailable for an hour, then available again",
            "each node retries after pauses of at most 5 s, with jitter",
            f"{reads_per_s:.0f} reads/s when it is available again, bound "
            f"{READS_BOUND}; usage: {nodes} records within 10 s, "
            f"{nodes / 10:.0f} writes/s",
        ],
        [
            "every caller asks for a new address",
            "answered from memory by any VM",
            "at 1,200 requests/s: 3.75/s for each node, as at any peak",
        ],
    ]
    text = [render_markdown(["event", "what happens", "cost"], rows), ""]
    text += [
        f"A catalogue change is in force everywhere after {spread_ms:.0f} ms, "
        "extrapolated linearly from the measured sizes, plus at most 0.5 s until a "
        "watcher reads an edit that was accepted elsewhere; the bound is 3 s.",
        "",
    ]
    return text


HEADER = """# Capacity

Made by `make capacity` (experiments/slopes.py, experiments/exchange.py,
experiments/capacity.py) from slopes (costs per unit) measured on one host of 8 cores;
no figure in the tables is written by hand. Sizes beyond 220 nodes were not run: their
gossip is extrapolated linearly from the measured sizes.

The tables below are of the product's own interface. On the users' platform the bench's
sweep shows the load: measurements/sweep.md.

At 90 VMs and 140 engines on the users' platform, processor time binds first: a day of
klangfjord-prod-grown was given up after 44 of some 70 s, with 615 s of processor time
used, a fifth of it for the starts of 90 processes (measurements/demands.md).

Assumptions: requests spread evenly over the nodes, and the busiest has three times the
mean; {share:.0%} of the requests are calls that may not be repeated; a customer's
callers use 3 VMs at a time; every upstream's load changes all the time; names of nodes
and upstreams have about 10 characters. Bytes are payload in and out together, without
TCP/IP; a share message is assumed to cost 30 us of transport and a demand message
60 us. The traffic of callers and upstreams is not control traffic and not in the
tables.
"""


FINDINGS = """## Bounds that are nearly reached or exceeded, and remedies

- **Bytes of the busiest node** (one that is a gateway between failure domains, holds
  the lease of the orders duty and has three times the mean load, all at once). What it
  sends stays within 24 KB/s; sent and received together do not at 320 nodes. Heartbeats
  go to every node and are the largest part. Remedy: condensed heartbeats between
  domains (one message with all of a domain's revisions and states), and demand summed
  by domain on its way to the lease holder.
- **Key-value writes**: claims are two writes each, sent in groups per node. At a share
  of {limit:.0%} of the requests that may not be repeated the bound of several hundred
  writes/s is reached. Remedy: claims sent to one writer for each of a few shards, so
  that one call carries many.
- **Detecting that a node died** takes about 10 s by design (three heartbeat intervals
  of 3 s); callers do not wait for it, since the address list that they get has three
  VMs.
- **Memory** is mostly Python and its libraries. One process on each VM that serves
  callers stays below the bound.
"""


def list_other_slopes(measurements: Measurements) -> list[list]:
    """Return the slopes from the benchmark and the exchange, one run each."""
    bench = json.loads(BENCH.read_text())
    requests, tokens = bench["capacity"]
    first, last = measurements.exchange_results[0], measurements.exchange_results[-1]
    grown_kb = (last.rss_mb_mean - first.rss_mb_mean) * 1_000
    return [
        ["a request of one token, relayed", requests[4], "", "", "us"],
        ["a relayed token, of 200 in a response", tokens[5], "", "", "us"],
        ["memory of an open stream", bench["memory"][2], "", "", "kB"],
        ["memory of a peer", grown_kb / (last.nodes - first.nodes), "", "", "kB"],
    ]


def main() -> None:
    """Write docs/CAPACITY.md and print the comparison with the bounds."""
    measurements = Measurements(json.loads(SLOPES.read_text()))
    # Usage is taken as 0.1 writes/s per node, the leases as 1 in all, a claim as 2.
    limit = (WRITES_BOUND - 0.1 * 320 - 1) / (2 * 1_200)
    text = [HEADER.format(share=NON_REPEATABLE_SHARE), "## Against the bounds", ""]
    text += render_bounds(measurements)
    text += [FINDINGS.format(limit=limit), "## By role", ""]
    for size in SIZES:
        text += render_size(measurements, size)
    text += [
        "## Failures and mass events, at 320 nodes",
        "",
    ] + render_failure_scenarios(measurements)
    text += ["## Measured: gossip between daemons as separate processes", ""]
    rows = [
        list(msgspec.structs.astuple(item)) for item in measurements.exchange_results
    ]
    names = [field.replace("_", " ") for field in Result.__struct_fields__]
    text += [render_markdown(names, rows), ""]
    text += [
        "`spread ms`: time until a change sent to one node was in force on all.",
        "`notice ms`: "
        "time until all had detected a killed node. `replaced ms`: time until a change",
        "sent while a third of the processes had just been restarted was in force on",
        "all; with many processes this is mostly the time that 8 cores take to start",
        "them.",
        "",
        "## Measured: slopes\n\n"
        "Most names are those stored in docs/measurements/slopes.json. In them, a\n"
        "beat is a heartbeat, digests are gossip records, a share call is a share\n"
        "request, core is the dispatcher, and settling a claim is completing it.",
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
