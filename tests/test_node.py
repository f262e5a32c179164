"""Whether a node may serve, and when a VM that it does not hear counts as gone."""

from plantainwood.core.clock import VirtualClock
from plantainwood.core.confirmation import MAX_CONFIRM_AGE_MS
from plantainwood.core.messages import Heartbeat, NodeProfile, NodeState
from plantainwood.metrics import Metrics
from plantainwood.node import Node
from plantainwood.platform import Vm
from plantainwood.settings import parse_settings
from tests.test_settings import ENVIRONMENT, VALID_SETTINGS

PEERS = """
peers:
  - {node: vm-2, domain: ba-sur, link_address: "tcp://127.0.0.1:1"}
  - {node: vm-3, domain: ba-sur, link_address: "tcp://127.0.0.1:2"}
"""


def make_node(text: str) -> Node:
    """Return a node whose last confirmation of the catalogue has just expired."""
    clock = VirtualClock(now_ms=10_000, epoch_ms=1_800_000_000_000)
    node = Node(parse_settings(text, ENVIRONMENT), clock, Metrics())
    node.confirmation.record_store_read(1, clock.now_ms())
    assert node.may_serve()
    clock.advance(MAX_CONFIRM_AGE_MS + 1)
    return node


def receive_heartbeat(node: Node, name: str) -> None:
    """Pass the profile and a heartbeat of another node to a node."""
    node.apply_gossip_record(
        NodeProfile(name, 1, "ba-sur", "http://x", "tcp://x"), name
    )
    node.apply_gossip_record(Heartbeat(name, 1, 1, NodeState.LIVE, 1, 0), name)


def test_a_node_without_peers_serves_after_its_confirmation_expires():
    assert make_node(VALID_SETTINGS).may_serve()


def test_a_node_that_hears_half_of_its_peers_or_fewer_does_not_serve():
    node = make_node(VALID_SETTINGS + PEERS)
    assert not node.may_serve()
    receive_heartbeat(node, "vm-2")
    assert not node.may_serve(), "half of the peers is not a quorum"
    receive_heartbeat(node, "vm-3")
    assert node.may_serve()


def test_the_platforms_vm_list_overrides_the_configured_peers():
    node = make_node(VALID_SETTINGS + PEERS)
    node.listed_vms = {
        "vm-1": Vm("ba-norte", ""),
        "vm-2": Vm("ba-sur", "", leaving=True),
    }
    assert node.may_serve(), "the only other listed VM is leaving"
    node.listed_vms["vm-9"] = Vm("ba-sur", "")
    assert not node.may_serve()


def test_only_a_silent_vm_that_is_no_longer_listed_is_gone():
    node = make_node(VALID_SETTINGS + PEERS)
    assert node.find_gone("vm-2") == set(), "the platform has given no list"
    node.listed_vms = {"vm-2": Vm("ba-sur", "")}
    assert node.find_gone("vm-2") == set(), "a listed VM may only be frozen"
    node.listed_vms = {}
    assert node.find_gone("vm-2") == {"vm-2"}
    receive_heartbeat(node, "vm-2")
    assert node.find_gone("vm-2") == set(), "its heartbeats arrive"
