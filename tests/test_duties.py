"""Orders to the platform and crashing requests, over real processes."""

import signal

import pytest

from standins.fleet import Fleet, call, wait_until
from tests.calls import CHAT_PATH, StreamedChat, make_chat, send

DUTIES = {
    "lease_term_ms": 3_000,
    "lease_margin_ms": 500,
    "planner": "static",
    "plan_every_ms": 300,
}
CRASHING_PROMPT = "the request that crashes"


@pytest.fixture
def fleet():
    """Run a fleet that orders the start of every upstream that is not running."""
    running = Fleet(nodes=3, engines=4, duties=DUTIES)
    try:
        running.start()
        running.load_catalogue()
        yield running
    finally:
        running.stop()


def read_orders(fleet: Fleet) -> list[dict]:
    """Return the orders that the platform accepted, by time of arrival."""
    return call("GET", fleet.url("platform") + "/taken")["orders"]


def list_ordered_upstreams(fleet: Fleet) -> set[str]:
    """Return the upstreams that the accepted orders concern."""
    return {order["upstream"] for order in read_orders(fleet)}


def test_a_frozen_lease_holder_issues_no_order_once_replaced(fleet):
    holder = wait_until(lambda: fleet.find_holder("orders", fleet.nodes))
    fleet.kill("engine-2")
    assert wait_until(lambda: read_orders(fleet), 40)
    others = [node for node in fleet.nodes if node != holder]
    fleet.kill(holder, signal.SIGSTOP)
    assert wait_until(lambda: fleet.find_holder("orders", others), 40)
    fleet.kill("engine-3")
    assert wait_until(lambda: "engine-3" in list_ordered_upstreams(fleet), 60)
    fleet.kill(holder, signal.SIGCONT)
    fleet.kill("engine-4")
    assert wait_until(lambda: "engine-4" in list_ordered_upstreams(fleet), 60)
    orders = read_orders(fleet)
    fences = [order["fence"] for order in orders]
    assert fences == sorted(fences)
    assert fences[0] < fences[-1]
    assert {order["action"] for order in orders} == {"start"}
    assert "engine-1" not in list_ordered_upstreams(fleet)


def test_a_crashing_request_costs_two_engines_at_most(fleet):
    key, _ = fleet.grant()
    for name in fleet.engines:
        fleet.control(name, crash_on=CRASHING_PROMPT)
    other_streams = [
        StreamedChat(fleet, key, f"beside {n}", 300, "vm-2") for n in range(4)
    ]
    for stream in other_streams:
        assert stream.started.wait(20)
    first = send(fleet, CHAT_PATH, make_chat(CRASHING_PROMPT), key, "vm-1")
    assert first.get_error()["code"] == "crash_suspect"
    for node in fleet.nodes:
        again = send(fleet, CHAT_PATH, make_chat(CRASHING_PROMPT), key, node)
        assert again.get_error()["code"] == "crash_suspect"
    lost = [name for name in fleet.engines if fleet.processes[name].poll() is not None]
    assert len(lost) <= 2
    for stream in other_streams:
        assert stream.wait_for_indexes() == list(range(300)), "unrelated stream was cut"
