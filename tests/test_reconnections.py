"""Links to VMs that did not listen when they were dialled, as after a loss of all."""

import asyncio

import msgspec
import pytest

from plantainwood import transport
from plantainwood.core.clock import make_clock
from plantainwood.core.fleetmessages import VmHeartbeat
from plantainwood.edge import Edge
from plantainwood.edgesettings import EdgeAddresses
from plantainwood.fleet import FleetLinks
from plantainwood.messenger import Messenger, make_messenger
from plantainwood.metrics import Metrics
from standins.ports import find_ports
from tests.samples import SETTINGS, make_heartbeat

TIMEOUT_S = 10
LONG_PAUSE_MS = 60_000
"""Longer than the test: only `reconnect` can dial again in time."""


def make_links(port: int, known: dict[str, int]) -> FleetLinks:
    """Return the links of vm-1, which knows the link ports of other VMs."""
    addresses = EdgeAddresses("h:1", "h:2", "h:3", f"127.0.0.1:{port}", metrics_port=5)
    settings = msgspec.structs.replace(SETTINGS, addresses=addresses)
    edge = Edge(settings, make_clock(), Metrics())
    for name, other in known.items():
        edge.vms.learn_address(name, f"tcp://127.0.0.1:{other}")
    messenger = make_messenger("127.0.0.1", port, SETTINGS.fleet, edge.metrics)
    return FleetLinks(edge, lambda items: None, messenger)


async def receive_heartbeat(messenger: Messenger) -> VmHeartbeat:
    """Return the first heartbeat that arrives."""
    async for message in messenger.receive():
        if isinstance(message, VmHeartbeat):
            return message
    raise AssertionError("the socket closed")


@pytest.fixture
def long_pauses(monkeypatch):
    """Make the pause between two dials longer than the test."""
    monkeypatch.setattr(transport, "RECONNECT_MIN_MS", LONG_PAUSE_MS)
    monkeypatch.setattr(transport, "RECONNECT_MAX_MS", LONG_PAUSE_MS)


# Guards against a VM that stays unknown to those that started just before it, since
# they dialled it while its process was still starting.
def test_a_vm_that_is_heard_is_dialled_at_once(long_pauses):
    async def scenario() -> None:
        own_port, late_port = find_ports(2)
        links = make_links(own_port, {"vm-2": late_port})
        links.send_heartbeat(urgent=True)
        await asyncio.sleep(0.2)
        late = make_messenger("127.0.0.1", late_port, SETTINGS.fleet, Metrics())
        try:
            heartbeat = make_heartbeat("vm-2", 100)
            address = f"tcp://127.0.0.1:{late_port}"
            links.handle_message(
                msgspec.structs.replace(heartbeat, link_address=address)
            )
            links.send_heartbeat(urgent=True)
            async with asyncio.timeout(TIMEOUT_S):
                assert (await receive_heartbeat(late)).sender == "vm-1"
        finally:
            late.close()
            links._messenger.close()

    asyncio.run(scenario())


# Guards against frames that are lost because a connection in use is closed.
def test_a_connected_vm_is_not_dialled_again(long_pauses):
    async def scenario() -> None:
        own_port, other_port = find_ports(2)
        links = make_links(own_port, {"vm-2": other_port})
        other = make_messenger("127.0.0.1", other_port, SETTINGS.fleet, Metrics())
        try:
            links.send_heartbeat(urgent=True)
            async with asyncio.timeout(TIMEOUT_S):
                await receive_heartbeat(other)
            address = f"tcp://127.0.0.1:{other_port}"
            push_sockets = links._messenger._transport._push_sockets
            before = push_sockets[address]
            links._messenger.reconnect(address)
            assert push_sockets[address] is before
        finally:
            other.close()
            links._messenger.close()

    asyncio.run(scenario())


# Guards against frames that wait for a VM which has just started, and are dropped when
# it is dialled a second time.
def test_a_vm_is_not_dialled_again_while_it_may_not_accept_yet(long_pauses):
    async def scenario() -> None:
        own_port, late_port = find_ports(2)
        links = make_links(own_port, {"vm-2": late_port})
        address = f"tcp://127.0.0.1:{late_port}"
        push_sockets = links._messenger._transport._push_sockets
        links.send_heartbeat(urgent=True)
        links._messenger.reconnect(address)
        links.send_heartbeat(urgent=True)
        before = push_sockets[address]
        links._messenger.reconnect(address)
        assert push_sockets[address] is before
        links._messenger.close()

    asyncio.run(scenario())


# Guards against idle links to a VM that has restarted: they count as strangers there
# until a frame comes, and displace each other without end.
def test_a_vm_that_has_started_gets_a_frame_from_each_other_one():
    async def scenario() -> None:
        own_port, new_port = find_ports(2)
        links = make_links(own_port, {})
        vms = links.edge.vms
        # VMs that run longer are the ones that hand notices over.
        for name in ("old-1", "old-2", "old-3", "old-4"):
            vms.record(make_heartbeat(name, 100), links.edge.awake_clock.now_ms())
        new = make_messenger("127.0.0.1", new_port, SETTINGS.fleet, Metrics())
        try:
            heartbeat = make_heartbeat("vm-2", 100)
            address = f"tcp://127.0.0.1:{new_port}"
            links.handle_message(
                msgspec.structs.replace(heartbeat, link_address=address, revision=0)
            )
            async with asyncio.timeout(TIMEOUT_S):
                async for message in new.receive():
                    assert message.sender == "vm-1"
                    break
        finally:
            new.close()
            links._messenger.close()

    asyncio.run(scenario())
