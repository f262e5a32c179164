"""Heartbeats over relays in a large fleet, in memory: reach and message counts."""

import msgspec

from plantainwood.core.clock import VirtualClock
from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.core.messages import NodeState
from plantainwood.core.mirror import Item
from plantainwood.core.relays import RELAYED_HEARTBEAT_INTERVAL_MS, find_relays
from plantainwood.edge import Edge
from plantainwood.edgesettings import EdgeAddresses
from plantainwood.fleet import FleetLinks
from plantainwood.metrics import Metrics
from tests.samples import SETTINGS

DOMAINS = 4


class Network:
    """Queue messages until the end of a round, and count them."""

    def __init__(self) -> None:
        self.fleet_links: dict[str, FleetLinks] = {}
        self.queue: list[tuple[str, object]] = []
        self.sent = 0

    def deliver(self) -> None:
        """Deliver the queued messages; drop those to removed VMs."""
        queue, self.queue = self.queue, []
        for address, message in queue:
            links = self.fleet_links.get(address)
            if links is not None:
                links.handle_message(message)


class MemoryMessenger:
    """Send to an in-memory network."""

    def __init__(self, network: Network) -> None:
        self._network = network

    def send(self, addresses, message) -> None:
        """Queue a message for each address."""
        for address in addresses:
            self._network.sent += 1
            self._network.queue.append((address, message))

    def close_idle(self, in_use) -> None:
        """Do nothing: there are no connections."""


class LargeFleet:
    """VMs that share one virtual clock and know each other's addresses."""

    def __init__(self, count: int) -> None:
        self.clock = VirtualClock(now_ms=100_000)
        self.network = Network()
        self.edges: dict[str, Edge] = {}
        names = [f"vm-{number}" for number in range(count)]
        for number, name in enumerate(names):
            addresses = EdgeAddresses(
                f"h{number}:1", "h:2", "h:3", f"h{number}:4", metrics_port=5
            )
            settings = msgspec.structs.replace(
                SETTINGS,
                node=name,
                domain=f"d{number % DOMAINS}",
                addresses=addresses,
            )
            edge = Edge(settings, self.clock, Metrics())
            links = FleetLinks(edge, lambda items: None, MemoryMessenger(self.network))
            self.edges[name] = edge
            self.network.fleet_links[f"tcp://{addresses.links}"] = links
        for edge in self.edges.values():
            for number, name in enumerate(names):
                edge.vms.learn_address(name, f"tcp://h{number}:4")

    def run(self, rounds: int) -> None:
        """Let every VM send a heartbeat in each round; a round lasts one interval."""
        for _ in range(rounds):
            for links in list(self.network.fleet_links.values()):
                links.send_heartbeat(urgent=False)
            self.network.deliver()
            self.clock.advance(RELAYED_HEARTBEAT_INTERVAL_MS)

    def kill(self, name: str) -> None:
        """Remove a VM without notice to the others."""
        edge = self.edges.pop(name)
        del self.network.fleet_links[f"tcp://{edge.settings.addresses.links}"]

    def get_live_vms(self, name: str) -> set[str]:
        """Return the other VMs that a VM counts as live."""
        heartbeats: list[VmHeartbeat] = self.edges[name].vms.list_live(
            self.clock.now_ms()
        )
        return {heartbeat.sender for heartbeat in heartbeats}

    def get_domains(self) -> dict[str, str]:
        """Return the failure domain of each VM."""
        return {name: edge.settings.domain for name, edge in self.edges.items()}

    def all_vms_list_each_other(self) -> bool:
        """Return whether every VM counts exactly the other existing VMs as live."""
        names = set(self.edges)
        return all(self.get_live_vms(name) == names - {name} for name in names)


def test_a_large_fleet_discovers_all_vms_and_sends_few_messages():
    fleet = LargeFleet(40)
    fleet.run(6)
    assert fleet.all_vms_list_each_other()
    before = fleet.network.sent
    fleet.run(10)
    assert fleet.all_vms_list_each_other()
    assert (fleet.network.sent - before) / 10 < 5 * 40 + 64


def test_the_loss_of_a_relay_hides_no_other_vm():
    fleet = LargeFleet(40)
    fleet.run(6)
    lost_relay = find_relays("d1", fleet.get_domains())[0]
    fleet.kill(lost_relay)
    for _ in range(12):
        fleet.run(1)
        for name in fleet.edges:
            assert fleet.get_live_vms(name) >= set(fleet.edges) - {name}
    assert fleet.all_vms_list_each_other()


def test_the_fleet_recovers_from_the_loss_of_all_relays_of_a_domain():
    fleet = LargeFleet(40)
    fleet.run(6)
    for name in find_relays("d1", fleet.get_domains()):
        fleet.kill(name)
    fleet.run(20)
    assert fleet.all_vms_list_each_other()


def test_the_fleet_recovers_from_the_loss_of_half_its_vms():
    fleet = LargeFleet(40)
    fleet.run(6)
    for number in range(0, 40, 2):
        fleet.kill(f"vm-{number}")
    fleet.run(20)
    assert fleet.all_vms_list_each_other()


def test_a_leaving_vm_notifies_all_others_at_once():
    fleet = LargeFleet(40)
    fleet.run(6)
    edge = fleet.edges["vm-7"]
    edge.state = NodeState.LEAVING
    fleet.network.fleet_links["tcp://h7:4"].send_heartbeat(urgent=True)
    fleet.network.deliver()
    for name in set(fleet.edges) - {"vm-7"}:
        assert "vm-7" not in fleet.edges[name].vms.list_live_names(fleet.clock.now_ms())


def test_demand_forwarded_by_two_relays_counts_once():
    fleet = LargeFleet(40)
    fleet.run(6)
    origin = next(
        name
        for name, domain in fleet.get_domains().items()
        if name not in find_relays(domain, fleet.get_domains())
    )
    fleet.edges[origin].router.sent_tokens["service/pool"] = 10_000
    fleet.run(4)
    for edge in fleet.edges.values():
        assert (
            edge.get_demand_peak("pool").compute_rate_per_s(fleet.clock.now_ms())
            == 5_000
        )


def test_forwarding_by_relays_does_not_shift_the_agreed_time():
    fleet = LargeFleet(40)
    before = {name: edge.agreed_time.now(0) for name, edge in fleet.edges.items()}
    fleet.run(20)
    for name, edge in fleet.edges.items():
        assert abs(edge.agreed_time.now(0) - before[name]) <= 1


def test_an_item_missing_from_a_full_read_is_deleted_on_all_vms():
    fleet = LargeFleet(4)
    fleet.run(3)
    old_items = [Item("servers/i-1", 5, b"ready"), Item("servers/i-2", 6, b"ready")]
    for edge in fleet.edges.values():
        edge.mirror.replace(6, old_items)
    reader = fleet.edges["vm-0"]
    reader.mirror.replace(9, [old_items[1]])
    reader.mirror.confirm(9, fleet.clock.now_ms())
    link_address = f"tcp://{reader.settings.addresses.links}"
    fleet.network.fleet_links[link_address].publish_snapshot()
    fleet.network.deliver()
    for edge in fleet.edges.values():
        assert set(edge.mirror.items) == {"servers/i-2"}
        assert edge.mirror.revision == 9


def test_an_expired_registration_stops_no_heartbeats():
    fleet = LargeFleet(40)
    fleet.run(6)
    for edge in fleet.edges.values():
        for name in fleet.edges:
            edge.vms.forget_address(name)
    fleet.run(12)
    assert fleet.all_vms_list_each_other()
