"""Shares of customers' limits, which one node per customer allocates and leases."""

import asyncio
from typing import Callable

from mode import Service

from plantainwood.core.fleetmessages import Message
from plantainwood.core.hashing import rank_members
from plantainwood.core.limits import ShareAllocator
from plantainwood.core.messages import ShareGrant, ShareRequest
from plantainwood.guardedtask import guarded_task
from plantainwood.node import Node

SHARE_REQUEST_INTERVAL_MS = 2_500


def compute_limit_floor(others: int) -> float:
    """Return the share of a limit that a node may use while it holds no lease.

    With n other live nodes that is 1 / (2 n); a node that is alone may use it all.
    """
    return 1.0 / (2 * others) if others else 1.0


def find_allocator_node(node: Node, customer: str) -> str:
    """Return the allocator of a customer's limits: the first live node by rank."""
    return rank_members(f"home\0{customer}", node.list_live_nodes())[0]


def collect_share_requests(node: Node) -> dict[str, ShareRequest]:
    """Return demand and served tokens since the last call, by allocator node.

    Both counts start again at zero.
    """
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
    """Grant a node its shares, as the allocator node of the requested customers."""
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
    """Apply the granted shares and charge the tokens that other nodes served."""
    now_ms = node.clock.now_ms()
    dispatcher = node.broker.dispatcher
    for customer, share in grant.shares.items():
        limit = dispatcher.state.limits.get(customer)
        if limit is not None:
            limit.set_share(share, now_ms)
    for customer, tokens in grant.served_elsewhere.items():
        dispatcher.charge_remote(customer, tokens)


class ShareRequester(Service):
    """Request this node's shares of customers' limits from their allocator nodes."""

    def __init__(
        self, node: Node, send: Callable[[str, Message], None], **kwargs
    ) -> None:
        self.node = node
        self._send = send
        super().__init__(**kwargs)

    @guarded_task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(SHARE_REQUEST_INTERVAL_MS / 1_000)
            self.request_shares()

    def request_shares(self) -> None:
        """Send a request to each allocator node; grant locally if that is this node."""
        node = self.node
        live_others = len(node.members.list_live(node.clock.now_ms()))
        node.broker.dispatcher.state.limit_floor = compute_limit_floor(live_others)
        for allocator_node, request in collect_share_requests(node).items():
            if allocator_node == node.settings.node:
                apply_grant(node, grant_shares(node, request))
            else:
                self._send(allocator_node, request)
