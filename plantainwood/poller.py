"""Polling of upstreams' load and of the platform's list of VMs."""

import asyncio
from typing import Callable

from mode import Service

from plantainwood.core import events as ev
from plantainwood.core.catalogue import UpstreamKind
from plantainwood.core.hashing import hash_poller, rank_members
from plantainwood.core.membership import select_serving_domains
from plantainwood.core.messages import LeavingNotice, LoadNotice
from plantainwood.guardedtask import guarded_task
from plantainwood.node import Node

POLL_INTERVAL_MS = 1_000
CHANGED_LOAD_INTERVAL_MS = 2_000
UNCHANGED_LOAD_INTERVAL_MS = 5_000
VM_LIST_INTERVAL_MS = 5_000
TICK_INTERVAL_MS = 250


def make_load_notice(node: Node, upstream: str, by_tier: tuple[int, ...]) -> LoadNotice:
    """Return a load report in the compact form that nodes send to each other."""
    return LoadNotice(
        upstream,
        hash_poller(node.settings.node),
        node.clock.wall_ms() // 1_000,
        trim_trailing_zeros(by_tier),
    )


def trim_trailing_zeros(by_tier: tuple[int, ...]) -> tuple[int, ...]:
    """Return counts by tier without the trailing zeros."""
    counts = list(by_tier)
    while counts and not counts[-1]:
        counts.pop()
    return tuple(counts)


class Poller(Service):
    """Poll the engines that rendezvous hashing assigns to this node.

    Each engine is polled by one live node of each failure domain that uses it.
    """

    def __init__(
        self, node: Node, learn_address: Callable[[str, str], None], **kwargs
    ) -> None:
        self.node = node
        self._learn_address = learn_address
        self._last_sent: dict[str, tuple[tuple[int, ...], int]] = {}
        super().__init__(**kwargs)

    def pick_upstreams(self) -> list[str]:
        """Return the upstreams that this node polls for its failure domain.

        Also tell the dispatcher which failure domains are live.
        """
        node = self.node
        now_ms = node.clock.now_ms()
        own_domain = node.settings.domain
        nodes = node.list_live_nodes(own_domain)
        domains = node.members.list_live_domains(own_domain, now_ms)
        node.broker.dispatcher.set_domains(own_domain, domains)
        assigned: list[str] = []
        for upstream, entry in node.catalogue.upstreams.items():
            if entry.kind is not UpstreamKind.ENGINE:
                continue
            if own_domain not in select_serving_domains(upstream, domains):
                continue
            if rank_members(f"poll\0{upstream}", nodes)[0] == node.settings.node:
                assigned.append(upstream)
        return assigned

    @guarded_task
    async def _poll_upstreams(self) -> None:
        while not self.should_stop:
            assigned = self.pick_upstreams()
            self.node.upstream_reachable = {
                name: self.node.upstream_reachable.get(name, True) for name in assigned
            }
            await asyncio.gather(*(self._poll_upstream(name) for name in assigned))
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)

    async def _poll_upstream(self, upstream: str) -> None:
        node = self.node
        entry = node.catalogue.upstreams.get(upstream)
        if entry is None:
            return
        report = await node.clients.engine.read_load(entry.address)
        node.upstream_reachable[upstream] = report is not None
        if report is None:
            return
        by_tier, lag_ms = report
        node.broker.feed(ev.LoadReported(upstream, by_tier, lag_ms))
        sent_counts, sent_ms = self._last_sent.get(upstream, ((), 0))
        now_ms = node.clock.now_ms()
        interval_ms = (
            UNCHANGED_LOAD_INTERVAL_MS
            if by_tier == sent_counts
            else CHANGED_LOAD_INTERVAL_MS
        )
        if now_ms - sent_ms < interval_ms:
            return
        self._last_sent[upstream] = (by_tier, now_ms)
        notice = make_load_notice(node, upstream, by_tier)
        node.apply_gossip_record(notice, "")

    @guarded_task
    async def _poll_vm_list(self) -> None:
        while not self.should_stop:
            await self.update_vm_list()
            await asyncio.sleep(VM_LIST_INTERVAL_MS / 1_000)

    async def update_vm_list(self) -> None:
        """Read the platform's list of VMs: link addresses and leaving upstreams."""
        node = self.node
        vms = await node.clients.driver.platform.list_vms()
        for name, vm in (vms or {}).items():
            entry = node.catalogue.upstreams.get(name)
            if entry is not None:
                if vm.leaving:
                    node.apply_gossip_record(LeavingNotice(name, entry.address), "")
                continue
            self._learn_address(name, vm.link_address)
        if vms is not None:
            node.listed_vms = vms

    @guarded_task
    async def _tick(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(TICK_INTERVAL_MS / 1_000)
            self.node.broker.feed(ev.Tick())
            self._set_gauges()

    def _set_gauges(self) -> None:
        metrics = self.node.metrics
        cost = 0.0
        for upstream, reachable in self.node.upstream_reachable.items():
            entry = self.node.catalogue.upstreams.get(upstream)
            if reachable and entry is not None:
                cost += entry.cost_per_hour
        metrics.upstream_cost.set({}, cost)
        for name, pool in self.node.broker.dispatcher.state.pools.items():
            labels = {"pool": name}
            metrics.waiting.set(labels, pool.count_waiting())
            metrics.running.set(labels, len(pool.running))
