"""Estimate the cost of each role of a daemon at a fleet size from measured slopes."""

import msgspec

from experiments.exchange import Result
from experiments.slopes import Slope
from plantainwood.core.membership import DOMAINS_PER_UPSTREAM, FEW_DOMAINS
from plantainwood.core.placement import LIST_LENGTH
from plantainwood.duties import DEMAND_INTERVAL_MS, LEASE_CANDIDATES
from plantainwood.shares import SHARE_REQUEST_INTERVAL_MS
from plantainwood.watcher import WATCHERS_PER_DOMAIN

NON_REPEATABLE_SHARE = 0.05
"""Share of requests that go to plain services and may not be repeated."""
DEMAND_BYTES = 200
"""Demand message of a node with six active pools and four polled upstreams."""


class Size(msgspec.Struct, frozen=True):
    """A fleet and its load; the rates are of the whole fleet."""

    label: str
    nodes: int
    domains: int
    upstreams: int
    customers: int
    requests_per_s: float
    tokens_per_s: float


SIZES = [
    Size("today", 7, 4, 9, 10, 20, 1_300),
    Size("40 nodes", 40, 8, 75, 245, 150, 46_000),
    Size("320 nodes", 320, 8, 600, 980, 1_200, 370_000),
]


class Cost(msgspec.Struct):
    """Cost of a role on one node, the mean or the busiest.

    Messages, bytes, reads and writes are averages per second.
    """

    role: str
    mechanism: str
    state: str
    messages: float = 0.0
    bytes: float = 0.0
    reads: float = 0.0
    writes: float = 0.0
    cpu_percent: float = 0.0
    memory_mb: float = 0.0


class Measurements:
    """Measured slopes by name, and the results of the exchange by fleet size."""

    def __init__(self, data: dict) -> None:
        self._slopes: dict[str, Slope] = {}
        for item in data["slopes"]:
            slope = msgspec.convert(item, Slope)
            self._slopes[slope.name] = slope
        self.exchange_results = [
            msgspec.convert(item, Result) for item in data["exchange"]
        ]

    def get_median(self, name: str) -> float:
        """Return a slope's median."""
        return self._slopes[name].value

    def list_slopes(self) -> list[Slope]:
        """Return all slopes."""
        return list(self._slopes.values())

    def estimate_exchange(self, field: str, nodes: int) -> float:
        """Estimate a field of Result at a fleet size by linear interpolation.

        Below the smallest measured size its value is used; beyond the largest the
        last segment is extended.
        """
        points = [(item.nodes, getattr(item, field)) for item in self.exchange_results]
        (low, first), (high, last) = points[0], points[-1]
        if nodes <= low:
            return first
        for (a, left), (b, right) in zip(points, points[1:], strict=False):
            if a <= nodes <= b:
                return left + (right - left) * (nodes - a) / (b - a)
        slope = (last - points[-2][1]) / (high - points[-2][0])
        return last + slope * (nodes - high)


def compute_cpu_percent(count_per_s: float, each_us: float) -> float:
    """Return the CPU use of calls that take `each_us` microseconds, in % of a core."""
    return count_per_s * each_us / 1e4


def estimate_role_costs(
    measurements: Measurements, size: Size, busiest: bool
) -> list[Cost]:
    """Estimate what each role costs on the mean or the busiest node."""
    statistic = "max" if busiest else "mean"
    polling_domains = (
        size.domains if size.domains <= FEW_DOMAINS else DOMAINS_PER_UPSTREAM
    )
    polls_per_s = size.upstreams * polling_domains / size.nodes
    active_customers = min(
        size.customers, max(5.0, size.customers * LIST_LENGTH / size.nodes)
    )
    active_customers *= 3 if busiest else 1
    requests_per_s = size.requests_per_s / size.nodes * (3 if busiest else 1)
    claims_per_s = requests_per_s * NON_REPEATABLE_SHARE
    watcher_count = min(size.nodes, WATCHERS_PER_DOMAIN * size.domains)
    watcher_share = 1.0 if busiest else watcher_count / size.nodes
    lease_share = 1.0 if busiest else 1.0 / size.nodes
    largest_document_kb = measurements.get_median(
        "document of 980 customers and 600 upstreams"
    )
    allocator_count = min(active_customers, size.nodes - 1.0)
    share_requests_per_s = allocator_count * 1_000 / SHARE_REQUEST_INTERVAL_MS
    share_request_us = (
        measurements.get_median("codec of a share call for 30 customers") / 2 + 30
    )
    demands_per_s = 1_000 / DEMAND_INTERVAL_MS
    demands_out_per_s = LEASE_CANDIDATES * demands_per_s
    demands_in_per_s = demands_per_s * (size.nodes if busiest else LEASE_CANDIDATES)
    return [
        Cost(
            "gossip between nodes",
            "gossip records over rings, links.py and core/gossip.py",
            f"{size.nodes} members, "
            f"{round(polls_per_s * size.nodes / size.domains)} loads",
            messages=measurements.estimate_exchange(
                f"messages_{statistic}", size.nodes
            ),
            bytes=measurements.estimate_exchange(f"bytes_{statistic}", size.nodes),
            cpu_percent=measurements.estimate_exchange(
                f"cpu_percent_{statistic}", size.nodes
            ),
            memory_mb=measurements.estimate_exchange("rss_mb_mean", size.nodes),
        ),
        Cost(
            "load poller",
            "rendezvous hashing among a domain's nodes, poller.py",
            f"{polls_per_s:.1f} upstreams",
            messages=polls_per_s,
            cpu_percent=compute_cpu_percent(
                polls_per_s, measurements.get_median("load poll")
            ),
        ),
        Cost(
            "watcher",
            "polling of the revision, watcher.py",
            f"a catalogue of {size.customers} customers",
            reads=2.0 * watcher_share,
            cpu_percent=compute_cpu_percent(
                2.0 * watcher_share, measurements.get_median("key-value read")
            ),
            memory_mb=largest_document_kb / 1_000 * 4 * size.customers / 980,
        ),
        Cost(
            "catalogue updates",
            "deltas pushed along the rings, core/catalogue.py",
            "tombstones and change ids",
            messages=450 / 86_400 * 6,
            bytes=450
            / 86_400
            * 6
            * measurements.get_median("delta at 980 customers and 600 upstreams"),
            cpu_percent=compute_cpu_percent(
                450 / 86_400,
                measurements.get_median(
                    "merge of a delta at 980 customers and 600 upstreams"
                ),
            ),
        ),
        Cost(
            "shares of limits",
            "an allocator node for each customer, shares.py and core/limits.py",
            f"{round(active_customers)} active customers",
            messages=4 * share_requests_per_s,
            bytes=4
            * share_requests_per_s
            * (40 + 38 * active_customers / max(1.0, allocator_count)),
            cpu_percent=compute_cpu_percent(4 * share_requests_per_s, share_request_us),
        ),
        Cost(
            "claim writer",
            "create-if-absent in groups, core/claims.py and store.py",
            "none",
            reads=2 * claims_per_s,
            writes=2 * claims_per_s,
            cpu_percent=compute_cpu_percent(
                claims_per_s, measurements.get_median("claim and settling")
            ),
        ),
        Cost(
            "usage",
            "cumulative records, copies on two peers, usageflow.py",
            f"{round(active_customers * 2)} usage lines and copies of two peers' lines",
            messages=4.0,
            bytes=4.0 * (60 + 40 * active_customers),
            reads=0.1,
            writes=0.1,
            cpu_percent=compute_cpu_percent(
                0.1, measurements.get_median("usage flush of 30 customers")
            )
            + compute_cpu_percent(4.0, 40),
        ),
        Cost(
            "lease candidate and holder, orders",
            "observed lease in the key-value service, duties.py, core/leases.py",
            "demand of every node" if busiest else "none",
            messages=demands_out_per_s + demands_in_per_s,
            bytes=(demands_out_per_s + demands_in_per_s) * DEMAND_BYTES,
            reads=lease_share / 3,
            writes=lease_share / 3,
            cpu_percent=compute_cpu_percent(demands_out_per_s + demands_in_per_s, 60),
        ),
        Cost(
            "lease holder, billing",
            "frozen windows, core/billing.py",
            "one window's records while it closes" if busiest else "none",
            reads=lease_share * 0.7,
            writes=lease_share / 3,
            memory_mb=3.0 * lease_share,
        ),
    ]
