"""A large fleet in memory: VMs that exchange heartbeats over relays."""

from collections import Counter

import msgspec

from plantainwood.core.clock import VirtualClock
from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.frames import encode_frame
from plantainwood.core.relays import RELAYED_HEARTBEAT_INTERVAL_MS
from plantainwood.edge import Edge
from plantainwood.edgesettings import EdgeAddresses
from plantainwood.fleet import FleetLinks
from plantainwood.metrics import Metrics
from tests.awakeclocks import advance_awake
from tests.samples import SETTINGS

DOMAINS = 4
SECRET = b"0123456789abcdef"


class Network:
    """Queue messages until the end of a round, and count them."""

    def __init__(self) -> None:
        self.fleet_links: dict[str, FleetLinks] = {}
        self.queue: list[tuple[str, object]] = []
        self.sent = 0
        self.sent_bytes: Counter[str] = Counter()
        """Bytes of all frames sent, by VM."""
        self.received_bytes: Counter[str] = Counter()
        """Bytes of all frames sent to a link address."""

    def deliver(self) -> None:
        """Deliver the queued messages; drop those to removed VMs."""
        queue, self.queue = self.queue, []
        for address, message in queue:
            links = self.fleet_links.get(address)
            if links is not None:
                links.handle_message(message)


class MemoryMessenger:
    """Send to an in-memory network."""

    def __init__(self, network: Network, node: str) -> None:
        self._network = network
        self._node = node

    def send(self, addresses, message) -> int:
        """Queue a message for each address; return the bytes that this takes."""
        size = len(encode_frame(message, SECRET))
        sent_bytes = 0
        for address in addresses:
            self._network.sent += 1
            self._network.sent_bytes[self._node] += size
            self._network.received_bytes[address] += size
            self._network.queue.append((address, message))
            sent_bytes += size
        return sent_bytes

    def close_idle(self, in_use) -> None:
        """Do nothing: there are no connections."""

    def reconnect(self, address) -> None:
        """Do nothing: there are no connections."""


class LargeFleet:
    """VMs that share one virtual clock and know each other's addresses."""

    def __init__(self, count: int, links_mbps: list[float] | None = None) -> None:
        self.clock = VirtualClock(now_ms=100_000)
        self.network = Network()
        self.edges: dict[str, Edge] = {}
        self._links_mbps = links_mbps or [SETTINGS.link_mbps] * count
        for number in range(count):
            self._start(number)

    def _start(self, number: int) -> Edge:
        """Start a VM that knows the link addresses of all others."""
        addresses = EdgeAddresses(
            f"h{number}:1", "h:2", "h:3", f"h{number}:4", metrics_port=5
        )
        settings = msgspec.structs.replace(
            SETTINGS,
            node=f"vm-{number}",
            domain=f"d{number % DOMAINS}",
            addresses=addresses,
            link_mbps=self._links_mbps[number],
        )
        edge = Edge(settings, self.clock, Metrics())
        messenger = MemoryMessenger(self.network, settings.node)
        links = FleetLinks(edge, lambda items: None, messenger)
        self.edges[settings.node] = edge
        self.network.fleet_links[f"tcp://{addresses.links}"] = links
        for other in range(len(self._links_mbps)):
            edge.vms.learn_address(f"vm-{other}", f"tcp://h{other}:4")
        return edge

    def restart(self, name: str) -> Edge:
        """Replace a VM's process by a new one that knows nothing of before."""
        self.kill(name)
        return self._start(int(name.removeprefix("vm-")))

    def run(self, rounds: int) -> None:
        """Let every VM send a heartbeat in each round; a round lasts one interval."""
        for _ in range(rounds):
            for links in list(self.network.fleet_links.values()):
                links.send_heartbeat(urgent=False)
            self.network.deliver()
            advance_awake(
                self.clock, self.edges.values(), RELAYED_HEARTBEAT_INTERVAL_MS
            )

    def kill(self, name: str) -> None:
        """Remove a VM without notice to the others."""
        edge = self.edges.pop(name)
        del self.network.fleet_links[f"tcp://{edge.settings.addresses.links}"]

    def get_live_vms(self, name: str) -> set[str]:
        """Return the other VMs that a VM counts as live."""
        edge = self.edges[name]
        heartbeats: list[VmHeartbeat] = edge.vms.list_live(edge.awake_clock.now_ms())
        return {heartbeat.sender for heartbeat in heartbeats}

    def get_domains(self) -> dict[str, str]:
        """Return the failure domain of each VM."""
        return {name: edge.settings.domain for name, edge in self.edges.items()}

    def all_vms_list_each_other(self) -> bool:
        """Return whether every VM counts exactly the other existing VMs as live."""
        names = set(self.edges)
        return all(self.get_live_vms(name) == names - {name} for name in names)
