"""Crash marks reach the other nodes, before a caller can send a request again there.

Three nodes in one process, and links that lose or delay messages.
"""

import asyncio
from types import SimpleNamespace

import pytest

from plantainwood.broker import ActiveRequest
from plantainwood.core import events as ev
from plantainwood.core.clock import VirtualClock
from plantainwood.core.errors import ErrorCode, Outcome, RequestError
from plantainwood.core.fleetmessages import Message
from plantainwood.core.keys import Identity
from plantainwood.core.messages import CrashMark
from plantainwood.links import PeerLinks
from plantainwood.metrics import Metrics
from plantainwood.node import MARKS_WAIT_MS, Node
from plantainwood.pipeline.exchange import ApiKind, Exchange
from plantainwood.pipeline.relay import ExchangeAttempts
from plantainwood.pipeline.schedule import make_arrival
from plantainwood.settings import parse_settings
from tests.test_settings import ENVIRONMENT, VALID_SETTINGS

NAMES = ["vm-1", "vm-2", "vm-3"]
ROUND_MS = 1_000
LINK_PORT = 8002
MARK = CrashMark("a fingerprint", "engine-1")


class Links:
    """Links between nodes: messages wait until they are delivered, or get lost."""

    def __init__(self) -> None:
        self.clock = VirtualClock(now_ms=10_000, epoch_ms=1_800_000_000_000)
        self.peer_links: dict[str, PeerLinks] = {}
        self._under_way: list[tuple[str, Message]] = []
        for number, name in enumerate(NAMES):
            links = PeerLinks(self._make_node(number, name))
            links._messenger = self
            for other, peer in enumerate(NAMES):
                links.learn_address(peer, f"tcp://127.0.0.1:{LINK_PORT + other}")
            self.peer_links[f"tcp://127.0.0.1:{LINK_PORT + number}"] = links
        for _ in range(3):
            self.run_round()

    def _make_node(self, number: int, name: str) -> Node:
        text = VALID_SETTINGS.replace("vm-1", name)
        text = text.replace(f"port: {LINK_PORT}", f"port: {LINK_PORT + number}")
        text += "peers:\n"
        for other, peer in enumerate(NAMES):
            if other != number:
                address = f"tcp://127.0.0.1:{LINK_PORT + other}"
                text += f"  - {{node: {peer}, domain: ba-norte,"
                text += f' link_address: "{address}"}}\n'
        node = Node(parse_settings(text, ENVIRONMENT), self.clock, Metrics())
        node.gossip_table.merge(node.make_profile(), "")
        return node

    @property
    def nodes(self) -> list[Node]:
        """Return all nodes, by name."""
        return [links.node for links in self.peer_links.values()]

    def send(self, addresses: list[str], message: Message) -> None:
        """Take a message of a node."""
        for address in addresses:
            self._under_way.append((address, message))

    def close_idle(self, in_use: set[str]) -> None:
        """Do nothing: there are no connections."""

    def reconnect(self, address: str) -> None:
        """Do nothing: there are no connections."""

    def send_all(self) -> None:
        """Let each node send what it has for the others."""
        for links in self.peer_links.values():
            links.run_round()

    def deliver(self) -> None:
        """Deliver all messages that are under way."""
        under_way, self._under_way = self._under_way, []
        for address, message in under_way:
            self.peer_links[address].handle_message(message)

    def lose(self) -> int:
        """Lose all messages that are under way; return how many held a mark."""
        lost = [message for _, message in self._under_way if MARK in message.records]
        self._under_way.clear()
        return len(lost)

    def run_round(self) -> None:
        """Let each node send, deliver it, and let a round pass."""
        self.send_all()
        self.deliver()
        self.clock.advance(ROUND_MS)

    def knows_mark(self, number: int) -> bool:
        """Tell whether a node has the mark."""
        return self.nodes[number].gossip_table.find(*MARK.key) is not None


def make_attempts(node: Node) -> ExchangeAttempts:
    """Return a request that has crashed an upstream and is refused for it."""
    exchange = Exchange(node, SimpleNamespace(), "r-1", ApiKind.PLAIN, b"crash")
    exchange.identity = Identity("customer", "key")
    exchange.active_request = ActiveRequest("r-1", exchange.identity, False)
    exchange.attempts = 2
    error = RequestError(ErrorCode.CRASH_SUSPECT, "it crashes", Outcome.UNKNOWN)
    exchange.active_request.decisions.put_nowait(ev.Refuse("r-1", error))
    fingerprint = make_arrival(exchange).fingerprint
    node.apply_gossip_record(CrashMark(fingerprint, "engine-1"), "")
    return ExchangeAttempts(exchange)


# Guards against a crashing request that runs again at a node which was sent the marks
# once, in a message that was lost.
def test_a_mark_whose_message_is_lost_arrives_later():
    links = Links()
    links.nodes[0].apply_gossip_record(MARK, "")
    links.send_all()
    assert links.lose() == 2
    links.clock.advance(ROUND_MS)
    links.run_round()
    assert links.knows_mark(1)
    assert links.knows_mark(2)


def test_a_mark_is_not_sent_on_and_on():
    links = Links()
    links.nodes[0].apply_gossip_record(MARK, "")
    for _ in range(3):
        links.run_round()
    links.send_all()
    assert links.lose() == 0, "all nodes have it"


def test_a_mark_that_never_comes_back_is_given_up():
    links = Links()
    links.nodes[0].apply_gossip_record(MARK, "")
    for _ in range(15):
        links.send_all()
        links.lose()
        links.clock.advance(ROUND_MS)
    links.send_all()
    assert links.lose() == 0


# Guards against a third and a fourth upstream that the same request crashes: its caller
# was refused, and sent it to the next node before that node knew of the marks.
def test_a_crashing_request_is_refused_once_the_other_nodes_know_of_it():
    async def scenario():
        links = Links()
        attempts = make_attempts(links.nodes[0])
        refusal = asyncio.create_task(attempts.follow_decisions())
        await asyncio.sleep(0.05)
        assert not refusal.done(), "the marks are under way"
        for _ in range(2):
            links.send_all()
            links.deliver()
        with pytest.raises(RequestError):
            async with asyncio.timeout(MARKS_WAIT_MS / 1_000 / 2):
                await refusal
        for node in links.nodes[1:]:
            assert any(
                isinstance(record, CrashMark)
                for record in node.gossip_table.list_records()
            )

    asyncio.run(scenario())


def test_a_refusal_does_not_wait_for_a_node_that_never_answers():
    async def scenario():
        attempts = make_attempts(Links().nodes[0])
        with pytest.raises(RequestError):
            async with asyncio.timeout(MARKS_WAIT_MS / 1_000 + 1):
                await attempts.follow_decisions()

    asyncio.run(scenario())
