"""Heartbeats over relays in a large fleet, in memory: reach and message counts."""

import logging

from plantainwood.core.messages import NodeState
from plantainwood.core.mirror import Item
from plantainwood.core.relays import find_relays
from tests.largefleet import LargeFleet


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
    lost_relay = find_relays("d1", fleet.get_domains(), {})[0]
    fleet.kill(lost_relay)
    for _ in range(12):
        fleet.run(1)
        for name in fleet.edges:
            assert fleet.get_live_vms(name) >= set(fleet.edges) - {name}
    assert fleet.all_vms_list_each_other()


def test_the_fleet_recovers_from_the_loss_of_all_relays_of_a_domain():
    fleet = LargeFleet(40)
    fleet.run(6)
    for name in find_relays("d1", fleet.get_domains(), {}):
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
        other = fleet.edges[name]
        live = other.vms.list_live_names(other.awake_clock.now_ms())
        assert "vm-7" not in live


def test_demand_forwarded_by_two_relays_counts_once():
    fleet = LargeFleet(40)
    fleet.run(6)
    origin = next(
        name
        for name, domain in fleet.get_domains().items()
        if name not in find_relays(domain, fleet.get_domains(), {})
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
    fleet.network.fleet_links[link_address].mirror_links.publish_snapshot()
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


def test_a_vm_logs_when_it_begins_and_ceases_to_relay(caplog):
    caplog.set_level(logging.INFO, logger="plantainwood")
    fleet = LargeFleet(40)
    fleet.run(6)
    relays = find_relays("d1", fleet.get_domains(), {})
    records = [r for r in caplog.records if r.getMessage() == "relaying"]
    assert len([r for r in records if r.active]) >= len(relays)
    assert all(r.members and r.link_mbps for r in records if r.active)


# Guards against heartbeats that pile up on VMs of a small fleet, where nobody relays.
def test_a_small_fleet_keeps_no_heartbeats_to_relay():
    fleet = LargeFleet(5)
    fleet.run(20)
    for links in fleet.network.fleet_links.values():
        assert links.count_unrelayed() <= 2 * len(fleet.edges)
