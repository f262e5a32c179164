"""Which part of a failure domain's demand is served by upstreams of other domains.

Traffic between domains takes time and costs money for each byte, so work stays in the
domain of its VM unless it would start sooner elsewhere by more than that cost. A pool's
shares come from a plan that all VMs compute alike (overflowplan.py). Each session is
mapped to a domain by its hash, so a change of a share moves only a part of the
sessions. The routers add the extra cost of a domain to the score of its upstreams.
"""

import copy

import msgspec

from plantainwood.core.domaindemands import DomainDemands
from plantainwood.core.hashing import compute_weighted_score, rank_members
from plantainwood.core.overflowplan import (
    DomainFigures,
    ShareRamp,
    plan_shares,
)
from plantainwood.core.pathcosts import (
    PathOptions,
    compute_fetch_cost_ms,
    compute_request_cost_ms,
)
from plantainwood.core.pathtimes import PathTimes
from plantainwood.core.requests import Request

REFRESH_MS = 100
"""How long the figures of a pool are used before they are computed again."""
STALE_COST_MS = 500.0
"""The extra cost of a domain with stale figures."""
UNHEARD_CAPACITY_SHARE = 0.5
"""The share that counts of the capacity of a domain without VMs; some may be unseen."""
HYSTERESIS_MS = 25.0
"""The advantage of the domain that a session is mapped to."""
LAG_MS = 500
"""How old figures of other VMs may be while their heartbeats arrive."""
SHARE_UNITS = 10_000
"""The resolution of shares as weights."""
MIN_REPORTED_CHANGE = 0.1
"""The change of a share that is reported."""


class DomainWaits(msgspec.Struct):
    """The usable upstreams of a failure domain, and the sum of their waits."""

    upstreams: int = 0
    wait_ms: float = 0.0

    def add(self, wait_ms: float) -> None:
        """Add an upstream, where work sent now waits for a time."""
        self.upstreams += 1
        self.wait_ms += wait_ms


class PoolOverflow:
    """The figures and the shares in force of one pool, or of a partition of it."""

    __slots__ = ("figures", "ramp", "refreshed_ms")

    def __init__(self, now_ms: int) -> None:
        self.figures: dict[str, DomainFigures] = {}
        self.ramp = ShareRamp(now_ms)
        self.refreshed_ms: int | None = None

    def copy(self) -> "PoolOverflow":
        """Return an object whose plan may be made anew without effect on this one."""
        found = copy.copy(self)
        found.ramp = self.ramp.copy()
        return found


class ShareChange(msgspec.Struct, frozen=True):
    """A change of the share of a pool's demand that another domain serves."""

    pool: str
    domain: str
    share: float
    before: float


class DomainOverflow:
    """Decide for one VM which part of its demand other failure domains serve."""

    __slots__ = (
        "own",
        "options",
        "demands",
        "path_times",
        "_pools",
        "_sent",
        "_reported_shares",
    )

    def __init__(self, own: str, options: PathOptions) -> None:
        self.own = own
        self.options = options
        self.demands = DomainDemands(own)
        self.path_times = PathTimes()
        self._pools: dict[str, PoolOverflow] = {}
        """By pool, or pool and partition."""
        self._sent: dict[tuple[str, str], int] = {}
        """Requests and KV transfers by source and target domain."""
        self._reported_shares: dict[tuple[str, str], float] = {}

    def copy(self) -> "DomainOverflow":
        """Return an overflow for choices that have no effect on this one.

        What `record_sent` and `take_changes` change is shared.
        """
        found = copy.copy(self)
        found.demands = self.demands.copy()
        found._pools = {key: pool.copy() for key, pool in self._pools.items()}
        return found

    def find_shares(self, key: str) -> dict[str, float]:
        """Return the shares in force that other domains serve of a pool's demand."""
        pool = self._pools.get(key)
        return dict(pool.ramp.shares) if pool is not None else {}

    def get_or_create_pool(self, key: str, now_ms: int) -> PoolOverflow:
        """Return the state of a pool or of a partition of it."""
        return self._pools.setdefault(key, PoolOverflow(now_ms))

    def is_due(self, pool: PoolOverflow, request: Request, now_ms: int) -> bool:
        """Tell whether a pool's plan is to be made again.

        A request with constraints of its own does not stand for the others, so it
        causes no new plan.
        """
        if pool.refreshed_ms is None:
            return True
        if request.avoid_upstream or request.version or request.domains is not None:
            return False
        return now_ms - pool.refreshed_ms >= REFRESH_MS

    def update_pool(
        self,
        pool: PoolOverflow,
        request: Request,
        waits: dict[str, DomainWaits],
        work_per_ms: float,
        demand_share: float,
        now_ms: int,
    ) -> None:
        """Make a pool's plan from the upstreams that a request may use, by domain.

        `work_per_ms` is the capacity of one upstream; `demand_share` is the part of the
        pool's demand that these upstreams serve.
        """
        figures: dict[str, DomainFigures] = {}
        usable: set[str] = set()
        for domain in sorted({*waits, *self.demands.list_heard()}):
            found = waits.get(domain, DomainWaits())
            stale = self.demands.is_stale(domain, now_ms)
            capacity = work_per_ms * found.upstreams
            if self.demands.is_unheard(domain, now_ms):
                capacity *= UNHEARD_CAPACITY_SHARE
            demand = self.demands.compute_rate(request.pool, domain, now_ms)
            figures[domain] = DomainFigures(
                wait_ms=found.wait_ms / max(1, found.upstreams),
                capacity=capacity,
                demand=demand_share * demand,
                cost_ms=self._compute_path_ms(request, domain, now_ms),
                accepts_overflow=not stale,
            )
            if found.upstreams and domain != self.own and not stale:
                usable.add(domain)
        pool.figures = figures
        pool.ramp.update(plan_shares(self.own, figures), usable, now_ms)
        pool.refreshed_ms = now_ms

    def map_session(self, pool: PoolOverflow, session: str, domains: set[str]) -> str:
        """Return the domain whose share of the demand a session belongs to.

        `domains` are those with an upstream for it. Without a share in any of them, the
        session's ranking decides, which is the same on all VMs.
        """
        shares = {name: pool.ramp.shares.get(name, 0.0) for name in domains}
        if self.own in domains:
            shares[self.own] = 1.0 - sum(pool.ramp.shares.values())
        best = ""
        best_score = 0.0
        for domain, share in sorted(shares.items()):
            weight = round(share * SHARE_UNITS)
            if weight <= 0:
                continue
            score = compute_weighted_score(f"overflow\0{session}", domain, weight)
            if not best or score > best_score:
                best = domain
                best_score = score
        return best or rank_members(session, sorted(domains))[0]

    def compute_extra_ms(
        self, pool: PoolOverflow, request: Request, mapped: str, now_ms: int
    ) -> dict[str, float]:
        """Return the extra cost of each domain for a request mapped to one of them.

        For the other domains it includes the wait that would grow there if all VMs of
        this domain sent their work there by the same figures. That part shrinks while
        the request waits.
        """
        waited_ms = max(0, now_ms - request.queued_ms)
        demand = pool.figures[self.own].demand
        extra_ms: dict[str, float] = {}
        for domain, item in pool.figures.items():
            found = self.compute_away_ms(request, domain, now_ms)
            if domain != mapped and item.capacity > 0:
                growth_ms = LAG_MS * demand / item.capacity
                found += max(0.0, HYSTERESIS_MS + growth_ms - waited_ms)
            extra_ms[domain] = found
        return extra_ms

    def compute_away_ms(self, request: Request, domain: str, now_ms: int) -> float:
        """Return the cost of another domain, stale figures included; 0 for the own."""
        if domain == self.own:
            return 0.0
        cost_ms = self._compute_path_ms(request, domain, now_ms)
        if self.demands.is_stale(domain, now_ms):
            return cost_ms + STALE_COST_MS
        return cost_ms

    def _compute_path_ms(self, request: Request, domain: str, now_ms: int) -> float:
        """Return the cost of the path to a domain, as measured if that is slower."""
        measured_ms = self.path_times.find_one_way_ms(domain, now_ms)
        slower_ms = 2 * max(0.0, measured_ms - self.options.path_ms)
        return slower_ms + compute_request_cost_ms(self.options, request)

    def compute_fetch_ms(self, source: str, target: str, tokens: int) -> float:
        """Return the cost of a KV transfer from one domain's engine to another's."""
        if not source or source == target:
            return 0.0
        return compute_fetch_cost_ms(self.options, tokens)

    def record_sent(self, domain: str, source_domain: str) -> None:
        """Count an attempt, and the KV transfer from another domain that it causes."""
        self._count_sent(self.own, domain)
        if source_domain and source_domain != domain:
            self._count_sent(source_domain, domain)

    def _count_sent(self, source: str, target: str) -> None:
        self._sent[source, target] = self._sent.get((source, target), 0) + 1

    def take_sent(self) -> dict[tuple[str, str], int]:
        """Return what was sent by pair of domains since the last call, and reset it."""
        found, self._sent = self._sent, {}
        return found

    def take_changes(self) -> list[ShareChange]:
        """Return the shares that changed by MIN_REPORTED_CHANGE, or that ended."""
        changes: list[ShareChange] = []
        for name, pool in sorted(self._pools.items()):
            shares = pool.ramp.shares
            known = {domain for key, domain in self._reported_shares if key == name}
            for domain in sorted({*known, *shares}):
                share = shares.get(domain, 0.0)
                before = self._reported_shares.get((name, domain), 0.0)
                ended = before > 0 and share <= 0
                if abs(share - before) < MIN_REPORTED_CHANGE and not ended:
                    continue
                self._reported_shares[name, domain] = share
                changes.append(ShareChange(name, domain, share, before))
        return changes
