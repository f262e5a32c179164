"""What each role of a daemon costs at a size, from the measured slopes."""

import msgspec

from experiments.exchange import Result
from experiments.slopes import Slope
from plantainwood.core.membership import DOMAINS_PER_UPSTREAM, FEW_DOMAINS
from plantainwood.core.placement import LIST_LENGTH
from plantainwood.duties import DEMAND_INTERVAL_MS, LEASE_CANDIDATES
from plantainwood.shares import SHARE_REQUEST_INTERVAL_MS
from plantainwood.watcher import WATCHERS_PER_DOMAIN

NON_REPEATABLE_SHARE = 0.05
"""The share of requests that go to plain services and may not be repeated."""
DEMAND_BYTES = 200
"""A message of a node with six active pools and four polled upstreams."""


class Size(msgspec.Struct, frozen=True):
    """A fleet and its load."""

    label: str
    nodes: int
    domains: int
    runners: int
    customers: int
    requests_per_s: float
    tokens_per_s: float


SIZES = [
    Size("today", 7, 4, 9, 10, 20, 1_300),
    Size("40 nodes", 40, 8, 75, 245, 150, 46_000),
    Size("320 nodes", 320, 8, 600, 980, 1_200, 370_000),
]


class Cost(msgspec.Struct):
    """What a role costs a node: averages for each second."""

    role: str
    mechanism: str
    state: str
    messages: float = 0.0
    bytes: float = 0.0
    reads: float = 0.0
    writes: float = 0.0
    cpu_percent: float = 0.0
    memory_mb: float = 0.0


class Figures:
    """The measured slopes, by name."""

    def __init__(self, data: dict) -> None:
        self._slopes: dict[str, Slope] = {}
        for item in data["slopes"]:
            slope = msgspec.convert(item, Slope)
            self._slopes[slope.name] = slope
        self.exchange = [msgspec.convert(item, Result) for item in data["exchange"]]

    def get(self, name: str) -> float:
        """Return a slope's median."""
        return self._slopes[name].value

    def all(self) -> list[Slope]:
        """Return all slopes."""
        return list(self._slopes.values())

    def exchange_at(self, field: str, nodes: int) -> float:
        """Return a figure of the exchange at some size, along the measured line."""
        points = [(item.nodes, getattr(item, field)) for item in self.exchange]
        (low, first), (high, last) = points[0], points[-1]
        if nodes <= low:
            return first
        for (a, left), (b, right) in zip(points, points[1:], strict=False):
            if a <= nodes <= b:
                return left + (right - left) * (nodes - a) / (b - a)
        slope = (last - points[-2][1]) / (high - points[-2][0])
        return last + slope * (nodes - high)


def micros(count_per_s: float, each_us: float) -> float:
    """Return processor time in percent of a core."""
    return count_per_s * each_us / 1e4


def cost_roles(figures: Figures, size: Size, busiest: bool) -> list[Cost]:
    """Return what each role costs the mean, or the busiest, node."""
    kind = "max" if busiest else "mean"
    serving = size.domains if size.domains <= FEW_DOMAINS else DOMAINS_PER_UPSTREAM
    polls = size.runners * serving / size.nodes
    active = min(size.customers, max(5.0, size.customers * LIST_LENGTH / size.nodes))
    active *= 3 if busiest else 1
    requests = size.requests_per_s / size.nodes * (3 if busiest else 1)
    claims = requests * NON_REPEATABLE_SHARE
    watchers = min(size.nodes, WATCHERS_PER_DOMAIN * size.domains)
    is_watcher = 1.0 if busiest else watchers / size.nodes
    share = 1.0 if busiest else 1.0 / size.nodes
    largest = figures.get("document of 980 customers and 600 upstreams")
    homes = min(active, size.nodes - 1.0)
    asks = homes * 1_000 / SHARE_REQUEST_INTERVAL_MS
    ask_us = figures.get("codec of a share call for 30 customers") / 2 + 30
    demands = 1_000 / DEMAND_INTERVAL_MS
    demand_out = LEASE_CANDIDATES * demands
    demand_in = demands * (size.nodes if busiest else LEASE_CANDIDATES)
    return [
        Cost(
            "exchange between nodes",
            "digests over rings, links.py and core/gossip.py",
            f"{size.nodes} members, {round(polls * size.nodes / size.domains)} loads",
            messages=figures.exchange_at(f"messages_{kind}", size.nodes),
            bytes=figures.exchange_at(f"bytes_{kind}", size.nodes),
            cpu_percent=figures.exchange_at(f"cpu_percent_{kind}", size.nodes),
            memory_mb=figures.exchange_at("rss_mb_mean", size.nodes),
        ),
        Cost(
            "load poller",
            "rendezvous among a domain's nodes, poller.py",
            f"{polls:.1f} upstreams",
            messages=polls,
            cpu_percent=micros(polls, figures.get("load poll")),
        ),
        Cost(
            "watcher",
            "polling of the revision, watcher.py",
            f"a catalogue of {size.customers} customers",
            reads=2.0 * is_watcher,
            cpu_percent=micros(2.0 * is_watcher, figures.get("key-value read")),
            memory_mb=largest / 1_000 * 4 * size.customers / 980,
        ),
        Cost(
            "catalogue news",
            "deltas pushed along the rings, core/catalogue.py",
            "tombstones and change ids",
            messages=450 / 86_400 * 6,
            bytes=450
            / 86_400
            * 6
            * figures.get("delta at 980 customers and 600 upstreams"),
            cpu_percent=micros(
                450 / 86_400,
                figures.get("merge of a delta at 980 customers and 600 upstreams"),
            ),
        ),
        Cost(
            "shares of limits",
            "a home for each customer, shares.py and core/limits.py",
            f"{round(active)} active customers",
            messages=4 * asks,
            bytes=4 * asks * (40 + 38 * active / max(1.0, homes)),
            cpu_percent=micros(4 * asks, ask_us),
        ),
        Cost(
            "claim writer",
            "create-if-absent in groups, core/claims.py and store.py",
            "none",
            reads=2 * claims,
            writes=2 * claims,
            cpu_percent=micros(claims, figures.get("claim and settling")),
        ),
        Cost(
            "usage",
            "cumulative records, copies on two peers, usageflow.py",
            f"{round(active * 2)} lines and two peers' copies",
            messages=4.0,
            bytes=4.0 * (60 + 40 * active),
            reads=0.1,
            writes=0.1,
            cpu_percent=micros(0.1, figures.get("usage flush of 30 customers"))
            + micros(4.0, 40),
        ),
        Cost(
            "lease candidate and holder, orders",
            "observed lease in the key-value service, duties.py, core/leases.py",
            "demand of every node" if busiest else "none",
            messages=demand_out + demand_in,
            bytes=(demand_out + demand_in) * DEMAND_BYTES,
            reads=share / 3,
            writes=share / 3,
            cpu_percent=micros(demand_out + demand_in, 60),
        ),
        Cost(
            "lease holder, billing",
            "frozen windows, core/billing.py",
            "one window's records while it closes" if busiest else "none",
            reads=share * 0.7,
            writes=share / 3,
            memory_mb=3.0 * share,
        ),
    ]
