"""The upstreams that a node knows, and which of them it may use."""

import random
from typing import Iterable

from plantainwood.core.affinity import PrefixHints
from plantainwood.core.brittleness import BrittlePools, SlotDivision
from plantainwood.core.catalogue import (
    Catalogue,
    DiscoveredUpstream,
    ServingVm,
    Upstream,
    UpstreamKind,
)
from plantainwood.core.coldupstreams import ColdSource, ColdUpstreams
from plantainwood.core.dispatcheroptions import Options
from plantainwood.core.evacuations import EvacuationChange, Evacuations
from plantainwood.core.hashing import pick_subset
from plantainwood.core.leavingupstreams import ANY_ADDRESS, LeavingUpstreams
from plantainwood.core.loads import UpstreamLoad
from plantainwood.core.membership import select_serving_domains
from plantainwood.core.pools import Pool
from plantainwood.core.regions import DomainRegions
from plantainwood.core.requests import Request
from plantainwood.core.streamversions import StreamVersions
from plantainwood.core.upstreamlimits import UpstreamLimits

USABLE_CONNECTION_SHARE = 0.9
"""The fraction of an upstream's connections that the nodes divide among them; the rest
is left for probes and for shares that overlap while VMs join and leave."""


class UpstreamSet:
    """Hold every load estimate of one node, and what its upstreams ask for."""

    __slots__ = (
        "options",
        "node",
        "catalogue",
        "pools",
        "loads",
        "upstream_limits",
        "cold_upstreams",
        "cold_sources",
        "brittle_pools",
        "slot_divisions",
        "nodes",
        "stream_versions",
        "hints",
        "router",
        "running_by_upstream",
        "last_crash_ms",
        "leaving_upstreams",
        "pauses_until_ms",
        "path_lost",
        "serving_vms",
        "evacuations",
        "regions",
        "_connection_share",
        "_own_domain",
        "_domains",
    )

    def __init__(self, node: str, seed: int, options: Options) -> None:
        self.options = options
        self.node = node
        self.catalogue = Catalogue()
        self.pools: dict[str, Pool] = {}
        self.loads: dict[str, UpstreamLoad] = {}
        self.upstream_limits = UpstreamLimits(node)
        self.cold_upstreams = ColdUpstreams(node)
        self.cold_sources: dict[str, ColdSource] = {}
        """The upstreams that are cold now, with the source of the knowledge."""
        self.brittle_pools = BrittlePools()
        self.slot_divisions: dict[str, SlotDivision] = {}
        """By pool, for those that were brittle."""
        self.nodes = [node]
        """The live nodes, this one included, sorted."""
        self.stream_versions = StreamVersions()
        self.hints = PrefixHints()
        self.router = options.make_router(random.Random(seed), self.hints)
        self.running_by_upstream: dict[str, dict[str, Request]] = {}
        self.last_crash_ms: dict[str, int] = {}
        self.leaving_upstreams = LeavingUpstreams()
        self.pauses_until_ms: dict[str, int] = {}
        """Until when upstreams want no attempts of this node; kept while their entries
        lapse and return."""
        self.path_lost = False
        """Whether this node reaches no upstreams."""
        self.serving_vms: dict[str, ServingVm] = {}
        """The VMs that serve for this node while its path is lost, by load name."""
        self.evacuations = Evacuations()
        self.regions = DomainRegions("", {})
        self._connection_share = 1.0
        self._own_domain = ""
        self._domains: list[str] = []

    def set_connection_share(self, share: float) -> None:
        """Set the share of each upstream's connections that this node may use."""
        self._connection_share = share
        for load in self.loads.values():
            load.max_own_in_flight = compute_max_own_in_flight(load.entry, share)

    def set_domains(self, own: str, domains: list[str]) -> None:
        """Select every pool's subset again if the own or the live domains changed."""
        if (own, domains) == (self._own_domain, self._domains):
            return
        self._own_domain = own
        self._domains = domains
        for pool in self.pools.values():
            self.choose_subset(pool)

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Replace the catalogue; loads are kept by name."""
        self.catalogue = catalogue
        for name, entry in catalogue.upstreams.items():
            load = self.loads.get(name)
            if load is None or load.entry.address != entry.address:
                load = self.loads[name] = UpstreamLoad(name, entry)
                load.unwilling_until_ms = self.pauses_until_ms.get(name, 0)
                load.rate = self.upstream_limits.find_rate(name)
            load.entry = entry
            load.leaving = self._is_leaving(name, entry)
            load.evacuated = self.evacuations.is_evacuated(entry.domain)
            load.max_own_in_flight = compute_max_own_in_flight(
                entry, self._connection_share
            )
        for name, load in list(self.loads.items()):
            if name in catalogue.upstreams or name in self.serving_vms:
                continue
            self._remove_load(load)
        for pool in self.pools.values():
            self.choose_subset(pool)

    def set_evacuated(self, domains: Iterable[str], now_ms: int) -> EvacuationChange:
        """Replace the failure domains that are sent nothing; return what changed."""
        change = self.evacuations.update(domains, now_ms)
        if not change.begun and not change.ended:
            return change
        for name, load in self.loads.items():
            if name not in self.serving_vms:
                load.evacuated = self.evacuations.is_evacuated(load.entry.domain)
        for pool in self.pools.values():
            self.choose_subset(pool)
        return change

    def set_serving_vms(self, vms: dict[str, ServingVm]) -> None:
        """Replace the VMs that may serve for this node; loads are kept by name."""
        for name in self.serving_vms.keys() - vms.keys():
            self._remove_load(self.loads[name])
        self.serving_vms = vms
        for name, entry in vms.items():
            load = self.loads.get(name)
            if load is None or load.entry.address != entry.address:
                load = self.loads[name] = UpstreamLoad(name, entry)
            load.entry = entry
            load.leaving = False

    def list_unreached_pools(self, now_ms: int) -> tuple[str, ...]:
        """Return the pools of which this node reaches no upstream, sorted."""
        found: list[str] = []
        for name, pool in self.pools.items():
            if pool.is_unreached(now_ms):
                found.append(name)
        return tuple(sorted(found))

    def lacks_path(
        self,
        pool: Pool,
        version: str,
        now_ms: int,
        domains: frozenset[str] | None = None,
    ) -> bool:
        """Tell whether only other VMs can serve a pool's requests.

        `version` is that of the upstreams which a resumed stream needs, if any, and
        `domains` has the failure domains that may serve, if not all may.
        """
        return self.path_lost or pool.is_unreached(now_ms, version, domains)

    def list_serving_vms(self) -> list[UpstreamLoad]:
        """Return the loads of the VMs that may serve for this node."""
        return [self.loads[name] for name in self.serving_vms]

    def _remove_load(self, load: UpstreamLoad) -> None:
        """Send an upstream nothing more, and forget it once it runs no attempt."""
        load.leaving = True
        if not self._is_in_use(load.name):
            self._forget_upstream(load.name)

    def _is_in_use(self, name: str) -> bool:
        """Return whether an attempt of this node runs on an upstream."""
        return bool(self.running_by_upstream.get(name))

    def pause_upstream(self, name: str, until_ms: int, now_ms: int) -> None:
        """Send an upstream nothing until a time, unless it asked for a longer pause."""
        for paused in list(self.pauses_until_ms):
            if self.pauses_until_ms[paused] <= now_ms:
                del self.pauses_until_ms[paused]
        load = self.loads.get(name)
        if load is None:
            return
        load.unwilling_until_ms = max(load.unwilling_until_ms, until_ms)
        self.pauses_until_ms[name] = load.unwilling_until_ms

    def _is_leaving(self, name: str, entry: Upstream) -> bool:
        """Tell whether an upstream told this node or its registry that it leaves."""
        if isinstance(entry, DiscoveredUpstream) and entry.leaving:
            return True
        return self.leaving_upstreams.has(name, entry.address)

    def has_said_it_leaves(self, name: str) -> bool:
        """Return whether it is recorded that an upstream has said that it leaves."""
        load = self.loads.get(name)
        address = load.entry.address if load is not None else ANY_ADDRESS
        return self.leaving_upstreams.has(name, address)

    def record_leaving(self, name: str) -> None:
        """Send nothing more to an upstream that has said that it leaves.

        One that this node does not know gets nothing at whichever address it turns up.
        """
        load = self.loads.get(name)
        if load is None:
            self.leaving_upstreams.add(name, ANY_ADDRESS)
            return
        load.leaving = True
        self.leaving_upstreams.add(name, load.entry.address)

    def _forget_upstream(self, name: str) -> None:
        """Delete the state of a removed upstream that runs no attempt of this node."""
        self.running_by_upstream.pop(name, None)
        self.last_crash_ms.pop(name, None)
        self.router.forget(name)
        del self.loads[name]

    def choose_subset(self, pool: Pool) -> None:
        """Select this node's bounded subset of the upstreams that serve a pool."""
        members = self.list_members(pool.name)
        pool.group = self.select_group(members)
        self.set_ramps(pool.group)
        self.router.set_pool_upstreams(pool.name, members)

    def list_members(self, pool: str) -> list[UpstreamLoad]:
        """Return all upstreams of a pool, those that get nothing included."""
        members: list[UpstreamLoad] = []
        for upstream, entry in self.catalogue.upstreams.items():
            if _serves_pool(entry, pool):
                members.append(self.loads[upstream])
        return members

    def select_group(self, members: list[UpstreamLoad]) -> list[UpstreamLoad]:
        """Return the upstreams of a pool that this node sends to."""
        domains: dict[str, str] = {}
        for load in members:
            if load.leaving or load.evacuated:
                continue
            if self._domains and load.entry.kind is UpstreamKind.ENGINE:
                if self._own_domain not in select_serving_domains(
                    load.name, self._domains
                ):
                    continue
            domains[load.name] = load.entry.domain
        subset = pick_subset(self.node, domains, self.options.subset_size)
        return [self.loads[upstream] for upstream in subset]

    def set_ramps(self, group: list[UpstreamLoad]) -> None:
        """Set how much the failure domains that return to service take of a pool."""
        slots: dict[str, int] = {}
        for load in group:
            domain = load.entry.domain
            slots[domain] = slots.get(domain, 0) + load.entry.slots
        ramps = self.evacuations.make_ramps(slots)
        for load in group:
            load.ramp = ramps.get(load.entry.domain)

    def update_rate(self, upstream: str) -> None:
        """Apply what is known of an upstream's limit to what this node may send."""
        load = self.loads.get(upstream)
        if load is not None:
            load.rate = self.upstream_limits.find_rate(upstream)

    def update_cold(self, now_ms: int) -> None:
        """Apply which upstreams are cold to what this node may send them."""
        cold = self.cold_upstreams.list_cold(now_ms)
        for name in self.cold_sources.keys() - cold.keys():
            if name in self.loads:
                self.loads[name].end_cold()
        for name in cold.keys() & self.loads.keys():
            self.loads[name].cold_rate = self.cold_upstreams.find_rate(name, now_ms)
        self.cold_upstreams.forget_rates(set(cold))
        self.cold_sources = cold

    def update_rooms(self, now_ms: int) -> None:
        """Apply which pools are brittle to what this node may send their upstreams."""
        for pool in self.pools.values():
            rooms: dict[str, int] = {}
            if self.brittle_pools.is_brittle(pool.name, now_ms):
                slots = {
                    load.name: load.entry.slots
                    for load in pool.group
                    if not load.leaving
                }
                division = self.slot_divisions.setdefault(pool.name, SlotDivision())
                rooms = division.update(self.node, self.nodes, slots)
            for load in pool.group:
                load.room = rooms.get(load.name)


def _serves_pool(entry: Upstream, pool: str) -> bool:
    kind, name = pool.split("/", 1)
    if kind == "model":
        return entry.kind is UpstreamKind.ENGINE and name in entry.models
    return entry.service == name


def compute_max_own_in_flight(entry: Upstream, share: float) -> int:
    """Return how many attempts a node may run at once on an upstream; 0: no bound.

    `share` is the node's share of the fleet. Each attempt uses one connection. All
    nodes together stay below the upstream's limit, except that each node may always
    use one connection.
    """
    if not isinstance(entry, DiscoveredUpstream) or not entry.max_connections:
        return 0
    return max(1, int(USABLE_CONNECTION_SHARE * share * entry.max_connections))
