"""Duties performed only by the holder of their lease: upstream orders, billing."""

import asyncio
from typing import Callable

from mode import Service

from plantainwood.core.billing import close_window
from plantainwood.core.catalogue import UpstreamKind
from plantainwood.core.fleetmessages import Message
from plantainwood.core.hashing import rank_members
from plantainwood.core.leases import Lease
from plantainwood.core.loads import TIERS
from plantainwood.core.messages import NodeDemand
from plantainwood.core.orders import Action, Order, issue_order
from plantainwood.core.planner import (
    CostPlanner,
    Demand,
    Planner,
    StaticPlanner,
    UpstreamState,
)
from plantainwood.guardedtask import guarded_task
from plantainwood.leaserenewer import LeaseRenewer
from plantainwood.logs import log_event
from plantainwood.node import BILLING_DUTY, ORDERS_DUTY, Node
from plantainwood.poller import trim_trailing_zeros
from plantainwood.procedures import Driver
from plantainwood.settings import PlannerKind

LEASE_CANDIDATES = 3
RENEWALS_PER_TERM = 3
URGENT_TIER = 0
DEMAND_INTERVAL_MS = 10_000
DEMAND_LIFETIME_MS = 25_000
ORDER_REPEAT_MS = 60_000


def find_lease_candidates(node: Node, duty: str) -> list[str]:
    """Return the live nodes, at most LEASE_CANDIDATES, that contend for a duty."""
    return rank_members(f"duty\0{duty}", node.list_live_nodes())[:LEASE_CANDIDATES]


def make_demand(node: Node) -> NodeDemand:
    """Return this node's waiting and running requests, and its polls' results."""
    by_pool: dict[str, tuple[int, ...]] = {}
    for name, pool in node.broker.dispatcher.state.pools.items():
        by_tier = [0] * TIERS
        for request in pool.running.values():
            by_tier[request.tier] += 1
        for tier in pool.tiers.values():
            by_tier[tier.tier] += len(tier.queue)
        if any(by_tier):
            by_pool[name] = trim_trailing_zeros(tuple(by_tier))
    return NodeDemand(node.settings.node, by_pool, node.upstream_reachable)


class NodeLeaseRenewer(LeaseRenewer):
    """Renew one of a node's leases, or contend for it."""

    def __init__(self, node: Node, lease: Lease, **kwargs) -> None:
        self.node = node
        super().__init__(lease, node.metrics, **kwargs)

    def get_driver(self) -> Driver:
        """Return the driver of the lease's procedures."""
        return self.node.clients.driver

    def may_try(self) -> bool:
        """Return whether to renew or acquire the lease."""
        if self.lease.is_held():
            return True
        candidates = find_lease_candidates(self.node, self.lease.duty)
        return self.node.settings.node in candidates

    def get_pause_ms(self, held: bool) -> int:
        """Return the pause before the next renewal, or the next try to acquire."""
        return self.node.settings.duties.lease_term_ms // RENEWALS_PER_TERM


def make_planner(kind: PlannerKind) -> Planner:
    """Return a new planner of the kind that the settings name."""
    if kind is PlannerKind.STATIC:
        return StaticPlanner()
    return CostPlanner()


class OrderIssuer(Service):
    """Send orders to start and stop upstreams as planned, while the lease is held."""

    def __init__(
        self, node: Node, send: Callable[[str, Message], None], **kwargs
    ) -> None:
        self.node = node
        self._send_message = send
        self._planners: dict[str, Planner] = {}
        self._sent_ms: dict[tuple[Action, str], int] = {}
        super().__init__(**kwargs)

    @guarded_task
    async def _send_demand(self) -> None:
        node = self.node
        while not self.should_stop:
            await asyncio.sleep(DEMAND_INTERVAL_MS / 1_000)
            for name in find_lease_candidates(node, ORDERS_DUTY):
                if name != node.settings.node:
                    self._send_message(name, make_demand(node))

    @guarded_task
    async def _run(self) -> None:
        node = self.node
        if node.settings.duties.planner is PlannerKind.NONE:
            return
        while not self.should_stop:
            await asyncio.sleep(node.settings.duties.plan_every_ms / 1_000)
            if node.leases[ORDERS_DUTY].is_held():
                for model in node.catalogue.models:
                    await self._plan(f"model/{model}", model)

    async def _plan(self, pool: str, model: str) -> None:
        node = self.node
        now_ms = node.clock.now_ms()
        planner = self._planners.get(pool)
        if planner is None:
            planner = make_planner(node.settings.duties.planner)
            self._planners[pool] = planner
        states = self._list_upstream_states(model, now_ms)
        plan = planner.plan(states, self._compute_demand(pool, now_ms), now_ms)
        for name in plan.start:
            if not await self._send_order(Action.START, name):
                planner.record_unavailable(name, now_ms)
        for name in plan.stop:
            await self._send_order(Action.STOP, name)

    async def _send_order(self, action: Action, upstream: str) -> bool:
        """Send an order; return whether the platform accepted it.

        An order accepted less than ORDER_REPEAT_MS ago is not sent again.
        """
        node = self.node
        now_ms = node.clock.now_ms()
        sent_ms = self._sent_ms.get((action, upstream))
        if sent_ms is not None and now_ms - sent_ms < ORDER_REPEAT_MS:
            return True
        entry = node.catalogue.upstreams[upstream]
        order = Order(action, upstream, entry.domain, entry.checks_fencing)
        lease = node.leases[ORDERS_DUTY]
        gone = node.find_gone(lease.previous_holder)
        accepted = await node.clients.driver.run(
            issue_order(order, lease, node.clock, gone)
        )
        if accepted:
            self._sent_ms[(action, upstream)] = now_ms
        log_event(
            "order",
            action=action.value,
            upstream=upstream,
            fence=lease.fence,
            taken=accepted,
        )
        return accepted

    def _list_upstream_states(self, model: str, now_ms: int) -> list[UpstreamState]:
        """Return a model's upstreams; one that no node polls counts as running.

        Those in domains that are evacuated or return are left out, so that they are
        neither started nor stopped, and others serve in their place.
        """
        evacuations = self.node.broker.dispatcher.state.evacuations
        reachable_by_name: dict[str, bool] = {}
        for demand in self._list_fresh_demands(now_ms):
            for name, reachable in demand.reachable.items():
                reachable_by_name[name] = (
                    reachable_by_name.get(name, False) or reachable
                )
        states: list[UpstreamState] = []
        for name, entry in self.node.catalogue.upstreams.items():
            if entry.kind is not UpstreamKind.ENGINE or model not in entry.models:
                continue
            if not evacuations.list_in_service([entry.domain], now_ms):
                continue
            states.append(
                UpstreamState(
                    name,
                    entry.domain,
                    entry.slots,
                    entry.cost_per_hour,
                    entry.cheap,
                    reachable_by_name.get(name, True),
                )
            )
        return states

    def _list_fresh_demands(self, now_ms: int) -> list[NodeDemand]:
        demands = [make_demand(self.node)]
        for demand, heard_ms in self.node.node_demands.values():
            if now_ms - heard_ms <= DEMAND_LIFETIME_MS:
                demands.append(demand)
        return demands

    def _compute_demand(self, pool: str, now_ms: int) -> Demand:
        """Return how many slots all nodes together use and wait for in a pool."""
        by_tier = [0] * TIERS
        for demand in self._list_fresh_demands(now_ms):
            for tier, count in enumerate(demand.by_pool.get(pool, ())):
                by_tier[tier] += count
        return Demand(float(by_tier[URGENT_TIER]), float(sum(by_tier)))


class Billing(Service):
    """Close and report ended billing windows, while the lease is held."""

    def __init__(self, node: Node, **kwargs) -> None:
        self.node = node
        self._reported_windows: dict[str, int] = {}
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        duties = self.node.settings.duties
        pause_ms = min(5_000, duties.billing_window_ms / 4)
        while not self.should_stop:
            await asyncio.sleep(pause_ms / 1_000)
            if self.node.leases[BILLING_DUTY].is_held():
                await self.close_ended_windows()

    async def close_ended_windows(self) -> None:
        """Close, for each firm, the newest window that ended billing_grace_ms ago."""
        node = self.node
        duties = node.settings.duties
        ended_ms = node.clock.wall_ms() - duties.billing_grace_ms
        window = node.ledger.find_window_start(ended_ms) - duties.billing_window_ms
        firms = {customer.owner for customer in node.catalogue.customers.values()}
        lease = node.leases[BILLING_DUTY]
        for firm in sorted(firms):
            if self._reported_windows.get(firm) == window:
                continue
            procedure = close_window(firm, window, duties.billing_window_ms, lease)
            if await node.clients.driver.run(procedure):
                self._reported_windows[firm] = window
                log_event("window_reported", firm=firm, window=window)
