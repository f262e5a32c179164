"""Shares of customers' limits, asked from and leased by each customer's home node."""

import asyncio
from typing import Callable

from mode import Service

from plantainwood.core.fleetmessages import Message
from plantainwood.core.hashing import rank_members
from plantainwood.core.limits import ShareAllocator
from plantainwood.core.messages import ShareGrant, ShareRequest
from plantainwood.node import Node

ASK_EVERY_MS = 2_500


def limit_floor(others: int) -> float:
    """Return the share of a limit that a node uses before it has a lease."""
    return 1.0 / (2 * others) if others else 1.0


def find_home(node: Node, customer: str) -> str:
    """Return the home of a customer: the first live node in its ranking."""
    return rank_members(f"home\0{customer}", node.list_live_nodes())[0]


def collect_asks(node: Node) -> dict[str, ShareRequest]:
    """Return this node's demand and service since the last call, by home."""
    asks: dict[str, ShareRequest] = {}
    served, node.served_tokens = node.served_tokens, {}
    for customer, limit in node.broker.dispatcher.state.limits.items():
        if not limit.demand and not limit.running and customer not in served:
            continue
        home = find_home(node, customer)
        ask = asks.setdefault(home, ShareRequest(node.settings.node, {}, {}))
        ask.demand[customer] = limit.demand + limit.running
        ask.served[customer] = served.get(customer, 0)
        limit.demand = 0.0
    return asks


def answer_ask(node: Node, ask: ShareRequest) -> ShareGrant:
    """Return the shares for a node's demand, as the home of its customers."""
    now_ms = node.clock.now_ms()
    shares: dict[str, float] = {}
    elsewhere: dict[str, int] = {}
    for customer, demand in ask.demand.items():
        home = node.share_allocators.setdefault(customer, ShareAllocator())
        shares[customer] = home.grant(ask.sender, demand, now_ms)
        others = home.exchange_served_tokens(ask.sender, ask.served.get(customer, 0))
        if others:
            elsewhere[customer] = others
    return ShareGrant(node.settings.node, shares, elsewhere)


def take_grant(node: Node, grant: ShareGrant) -> None:
    """Use the shares, and charge what other nodes served."""
    now_ms = node.clock.now_ms()
    dispatcher = node.broker.dispatcher
    for customer, share in grant.shares.items():
        limit = dispatcher.state.limits.get(customer)
        if limit is not None:
            limit.set_share(share, now_ms)
    for customer, tokens in grant.served_elsewhere.items():
        dispatcher.charge_remote(customer, tokens)


class Shares(Service):
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
            await asyncio.sleep(ASK_EVERY_MS / 1_000)
            self.ask()

    def ask(self) -> None:
        """Ask every home once; this node answers itself where it is the home."""
        node = self.node
        alive = len(node.members.alive(node.clock.now_ms()))
        node.broker.dispatcher.state.limit_floor = limit_floor(alive)
        for home, ask in collect_asks(node).items():
            if home == node.settings.node:
                take_grant(node, answer_ask(node, ask))
            else:
                self._send(home, ask)
