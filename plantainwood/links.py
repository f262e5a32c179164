"""Links between daemons: gossip, catalogue updates, usage copies, shares of limits."""

import asyncio

import msgspec
from mode import Service

from plantainwood.core.catalogue import decode_document, make_delta
from plantainwood.core.fleetmessages import Message
from plantainwood.core.membership import pick_partners
from plantainwood.core.messages import (
    CatalogueRequest,
    CatalogueUpdate,
    GossipBatch,
    NodeDemand,
    ShareGrant,
    ShareRequest,
    UsageCopy,
    UsageStored,
)
from plantainwood.guardedtask import contain_errors, guarded_task
from plantainwood.messenger import Messenger, make_messenger
from plantainwood.node import Node
from plantainwood.shares import apply_grant, grant_shares

HEARTBEAT_INTERVAL_MS = 3_000
MARKS_AGAIN_MS = 200
"""The least time between sending a crash mark and sending it again."""


class PeerLinks(Service):
    """Gossip with a few partners every round; other nodes are sent single messages."""

    def __init__(self, node: Node, **kwargs) -> None:
        self.node = node
        self._messenger: Messenger | None = None
        self._partners: list[str] = []
        self._addresses: dict[str, str] = {}
        self._heard_nodes: set[str] = set()
        self._last_heartbeat_ms = -HEARTBEAT_INTERVAL_MS
        self._marks_sent_ms = 0
        self._announced_state = node.state
        super().__init__(**kwargs)

    async def on_start(self) -> None:
        """Start listening; add this node's profile and the configured peers."""
        links = self.node.settings.links
        self._messenger = make_messenger(
            links.host,
            links.port,
            links.secret,
            self.node.metrics,
            self.node.settings.machine.file_descriptors,
        )
        self.node.gossip_table.merge(self.node.make_profile(), "")
        for peer in self.node.settings.peers:
            self._addresses[peer.node] = peer.link_address

    async def on_stop(self) -> None:
        """Close the sockets."""
        if self._messenger is not None:
            self._messenger.close()

    def send(self, name: str, message: Message) -> None:
        """Send a message to a node by name; drop it if its address is unknown."""
        address = self._find_address(name)
        if address is not None and self._messenger is not None:
            self._messenger.send([address], message)

    def _reconnect(self, name: str) -> None:
        """Dial a node that has just started, if it did not listen before."""
        address = self._find_address(name)
        if address is not None and self._messenger is not None:
            self._messenger.reconnect(address)

    def _find_address(self, name: str) -> str | None:
        member = self.node.members.find(name)
        if member is not None:
            return member.profile.link_address
        return self._addresses.get(name)

    def learn_address(self, name: str, address: str) -> None:
        """Record the address of a node from the platform's list of VMs."""
        self._addresses[name] = address

    @guarded_task
    async def _run_rounds(self) -> None:
        node = self.node
        round_s = node.settings.links.round_ms / 1_000
        while not self.should_stop:
            self.run_round()
            try:
                await asyncio.wait_for(node.send_now.wait(), round_s)
            except TimeoutError:
                pass
            node.send_now.clear()

    def run_round(self) -> None:
        """Send each partner the records that it lacks, and this node's revision.

        A new heartbeat is made every HEARTBEAT_INTERVAL_MS, and when the state changes.
        """
        node = self.node
        now_ms = node.clock.now_ms()
        for name in node.members.forget_gone(now_ms):
            node.gossip_table.drop_origin(name)
        if (
            now_ms - self._last_heartbeat_ms >= HEARTBEAT_INTERVAL_MS
            or self._announced_state != node.state
        ):
            self._last_heartbeat_ms = now_ms
            self._announced_state = node.state
            node.gossip_table.merge(node.make_heartbeat(), "")
        self._update_partners(now_ms)
        if now_ms - self._marks_sent_ms >= MARKS_AGAIN_MS:
            self._marks_sent_ms = now_ms
            node.gossip_table.send_marks_again()
        # Catalogue updates go first, so that the batch confirms the new revision.
        self._send_catalogue_updates()
        for partner in self._partners:
            self._send_batch(partner, now_ms)
        if self._messenger is not None:
            in_use = {self._find_address(name) or "" for name in self._partners}
            self._messenger.close_idle(in_use)
        node.metrics.confirm_age.set(
            {}, node.confirmation.compute_age_ms(now_ms) / 1_000
        )

    def _update_partners(self, now_ms: int) -> None:
        """Pick partners among the live nodes and the configured peers not yet heard."""
        node = self.node
        domains = {node.settings.node: node.settings.domain}
        for peer in node.settings.peers:
            if node.members.find(peer.node) is None:
                domains[peer.node] = peer.domain
        for member in node.members.list_live(now_ms):
            domains[member.profile.origin] = member.profile.domain
        self._partners = pick_partners(node.settings.node, domains)
        own = node.settings.domain
        same_domain = {name for name in self._partners if domains[name] == own}
        node.gossip_table.set_partners(self._partners, same_domain)

    def _send_batch(self, partner: str, now_ms: int) -> None:
        node = self.node
        batch = GossipBatch(
            sender=node.settings.node,
            incarnation=node.incarnation,
            revision=node.confirmation.revision,
            confirm_age_ms=node.confirmation.compute_age_ms(now_ms),
            records=node.gossip_table.take_missing(partner),
            full=partner not in self._heard_nodes,
        )
        self.send(partner, batch)

    def _send_catalogue_updates(self) -> None:
        """Forward a new revision at once, as a delta to what each partner reported."""
        node = self.node
        if not node.catalogue_changed.is_set():
            return
        node.catalogue_changed.clear()
        for partner in self._partners:
            member = node.members.find(partner)
            known = 0
            if member is not None and member.heartbeat is not None:
                known = member.heartbeat.revision
            self.send_catalogue_delta(partner, known)

    def send_catalogue_delta(self, partner: str, known_revision: int) -> None:
        """Send the entries newer than a revision that the receiver is known to have."""
        catalogue = self.node.catalogue
        if known_revision >= catalogue.revision:
            return
        document = make_delta(catalogue, known_revision)
        data = msgspec.json.encode(document)
        self.send(partner, CatalogueUpdate(self.node.settings.node, data))

    @guarded_task
    async def _receive(self) -> None:
        assert self._messenger is not None
        async for message in self._messenger.receive():
            with contain_errors(type(message).__name__):
                self.handle_message(message)

    def handle_message(self, message: Message) -> None:
        """Handle one message from another node."""
        node = self.node
        match message:
            case GossipBatch():
                self._apply_batch(message)
            case CatalogueUpdate():
                node.apply_document(decode_document(message.document))
            case CatalogueRequest(sender, revision):
                self.send_catalogue_delta(sender, revision)
            case UsageCopy(_, record):
                node.usage_copies.put(record)
            case UsageStored(_, key, sequence):
                node.usage_copies.drop(key, sequence)
            case ShareRequest():
                self.send(message.sender, grant_shares(node, message))
            case ShareGrant():
                apply_grant(node, message)
            case NodeDemand():
                node.node_demands[message.sender] = (message, node.clock.now_ms())

    def _apply_batch(self, batch: GossipBatch) -> None:
        node = self.node
        now_ms = node.clock.now_ms()
        for record in batch.records:
            node.apply_gossip_record(record, batch.sender)
        if batch.full:
            node.gossip_table.resend(batch.sender)
            self._reconnect(batch.sender)
        self._heard_nodes.add(batch.sender)
        node.confirmation.record_peer_confirmation(
            batch.revision, batch.confirm_age_ms, now_ms
        )
        if batch.revision > node.catalogue.revision:
            request = CatalogueRequest(node.settings.node, node.catalogue.revision)
            self.send(batch.sender, request)
