"""Shares of customers' limits, asked from and leased by each customer's home node."""

import asyncio
from typing import Callable

from mode import Service

from plantainwood.core.fleetmessages import Message
from plantainwood.core.hashing import rank_members
from plantainwood.core.limits import ShareAllocator
from plantainwood.core.messages import ShareGrant, ShareRequest
from plantainwood.node import Node

SHARE_REQUEST_INTERVAL_MS = 2_500


def compute_limit_floor(others: int) -> float:
    """Return the share of a limit that a node uses before it has a lease."""
    return 1.0 / (2 * others) if others else 1.0


def find_allocator_node(node: Node, customer: str) -> str:
    """Return the home of a customer: the first live node in its ranking."""
    return rank_members(f"home\0{customer}", node.list_live_nodes())[0]


def collect_share_requests(node: Node) -> dict[str, ShareRequest]:
    """Return this node's demand and service since the last call, by home."""
    requests: dict[str, ShareRequest] = {}
    served, node.served_tokens = node.served_tokens, {}
    for customer, limit in node.broker.dispatcher.state.limits.items():
        if not limit.demand and not limit.running and customer not in served:
            continue
        allocator_node = find_allocator_node(node, customer)
        request = requests.setdefault(
            allocator_node, ShareRequest(node.settings.node, {}, {})
        )
        request.demand[customer] = limit.demand + limit.running
        request.served[customer] = served.get(customer, 0)
        limit.demand = 0.0
    return requests


def grant_shares(node: Node, request: ShareRequest) -> ShareGrant:
    """Return the shares for a node's demand, as the home of its customers."""
    now_ms = node.clock.now_ms()
    shares: dict[str, float] = {}
    served_elsewhere: dict[str, int] = {}
    for customer, demand in request.demand.items():
        allocator = node.share_allocators.setdefault(customer, ShareAllocator())
        shares[customer] = allocator.grant(request.sender, demand, now_ms)
        other_tokens = allocator.exchange_served_tokens(
            request.sender, request.served.get(customer, 0)
        )
        if other_tokens:
            served_elsewhere[customer] = other_tokens
    return ShareGrant(node.settings.node, shares, served_elsewhere)


def apply_grant(node: Node, grant: ShareGrant) -> None:
    """Use the shares, and charge what other nodes served."""
    now_ms = node.clock.now_ms()
    dispatcher = node.broker.dispatcher
    for customer, share in grant.shares.items():
        limit = dispatcher.state.limits.get(customer)
        if limit is not None:
            limit.set_share(share, now_ms)
    for customer, tokens in grant.served_elsewhere.items():
        dispatcher.charge_remote(customer, tokens)


class ShareRequester(Service):
    """Ask each customer's home for this node's share of its limits."""

    def __init__(
        self, node: Node, send: Callable[[str, Message], None], **kwargs
    ) -> None:
        self.node = node
        self._send = send
        super().__init__(**kwargs)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(SHARE_REQUEST_INTERVAL_MS / 1_000)
            self.request_shares()

    def request_shares(self) -> None:
        """Ask every home once; this node answers itself where it is the home."""
        node = self.node
        live_others = len(node.members.list_alive(node.clock.now_ms()))
        node.broker.dispatcher.state.limit_floor = compute_limit_floor(live_others)
        for allocator_node, request in collect_share_requests(node).items():
            if allocator_node == node.settings.node:
                apply_grant(node, grant_shares(node, request))
            else:
                self._send(allocator_node, request)
