"""The connection limit of an upstream, shared among the VMs."""

import msgspec

from plantainwood.core import events as ev
from plantainwood.core.catalogue import (
    Customer,
    DiscoveredUpstream,
    Service,
    ServiceClass,
    UpstreamKind,
    assemble_catalogue,
)
from plantainwood.core.dispatcher import Dispatcher
from plantainwood.core.upstreamset import compute_max_own_in_flight
from plantainwood.core.vms import compute_share
from tests.samples import make_heartbeat

UPSTREAM = DiscoveredUpstream(
    owner="",
    kind=UpstreamKind.PLAIN,
    address="10.0.0.1:80",
    domain="a",
    service="pool",
    slots=100,
    max_connections=96,
)


def make_dispatcher() -> Dispatcher:
    """Return a dispatcher with one upstream."""
    dispatcher = Dispatcher("vm-1", 1)
    customer = Customer(
        owner="", classes=["k"], requests_per_s=1e9, tokens_per_s=1e9, concurrent=10**6
    )
    dispatcher.apply_catalogue(
        assemble_catalogue(
            1,
            {"k": ServiceClass(owner="", tier=1, queue_timeout_ms=10_000)},
            {"c": customer},
            {"pool": Service(owner="")},
            {"u": UPSTREAM},
        )
    )
    return dispatcher


def dispatch_arrivals(dispatcher: Dispatcher, count: int) -> list:
    """Feed arrivals; return the dispatches."""
    dispatches = []
    for number in range(count):
        event = ev.Arrival(f"r{number}", "c", "k", "service/pool", repeatable=True)
        for decision in dispatcher.decide(event, 0):
            if isinstance(decision, ev.Dispatch):
                dispatches.append(decision)
    return dispatches


def test_no_more_attempts_run_than_the_share_and_the_others_wait():
    dispatcher = make_dispatcher()
    dispatcher.set_connection_share(1 / 6)
    dispatches = dispatch_arrivals(dispatcher, 40)
    assert len(dispatches) == int(0.9 * 96 / 6)
    done = ev.AttemptDone(dispatches[0].request_id, dispatches[0].attempt)
    more = dispatcher.decide(done, 1)
    assert [type(decision) for decision in more] == [ev.Dispatch]


def test_a_single_vm_may_use_all_usable_connections():
    dispatcher = make_dispatcher()
    assert len(dispatch_arrivals(dispatcher, 95)) == int(0.9 * 96)


def test_all_shares_together_stay_within_the_connection_limit():
    weights = [107] * 40 + [52] * 20 + [215] * 14
    entry = msgspec.structs.replace(UPSTREAM, max_connections=760)
    used = 0
    for position, weight in enumerate(weights):
        others = weights[:position] + weights[position + 1 :]
        heartbeats = [
            make_heartbeat(f"vm-{n}", other) for n, other in enumerate(others)
        ]
        used += compute_max_own_in_flight(entry, compute_share(weight, heartbeats))
    assert 0.8 * 760 < used <= 760
