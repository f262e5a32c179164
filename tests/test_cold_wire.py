"""What configurations, entries and responses say of cold upstreams, or fail to."""

import json

import msgspec
import pytest

from bridge.codec import RunnerCodec
from bridge.view import ViewBuilder
from fakes.runner import make_response
from plantainwood.answerparser import ResponseHead
from plantainwood.core import events as ev
from plantainwood.core.catalogue import DiscoveredUpstream
from plantainwood.core.coldupstreams import ColdSource
from plantainwood.core.mirror import Item
from plantainwood.edge import make_edge
from plantainwood.procedures import Driver
from tests.edgesite import make_config, make_entry, run
from tests.samples import SETTINGS, make_heartbeat
from tests.test_fleet import run as run_with_fleet
from tests.test_fleet import wait_until
from tests.test_odd_entries import ENTRY

SERVICE = {"name": "pool", "coldStartS": 6, "coldPerS": 4.5}
MALFORMED = ["-1", "1e999", "true", "null", '"8"', "[]", "{}", "9" * 400]
NAME = "i-1@10.0.0.1:80@7"


def make_view_builder(services: list[dict] = [SERVICE]) -> ViewBuilder:
    """Return a builder with a configuration that has these services."""
    builder = ViewBuilder()
    builder.apply([Item("op/config", 1, make_config(services=services))])
    return builder


def make_raw_entry(remaining: str | None, born: int = 7) -> bytes:
    """Return an entry with a text in place of `coldRemainingMs`; None: without it."""
    entry = {**ENTRY, "service": "pool", "address": "10.0.0.1:80", "born": born}
    text = json.dumps(entry)
    if remaining is not None:
        text = text[:-1] + f', "coldRemainingMs": {remaining}}}'
    return text.encode()


def test_the_configuration_says_how_long_upstreams_are_cold():
    builder = make_view_builder()
    builder.apply([Item("servers/i-1", 2, make_raw_entry(None))])
    (entry,) = builder.build().catalogue.upstreams.values()
    assert isinstance(entry, DiscoveredUpstream)
    assert (entry.cold_start_ms, entry.cold_per_s) == (6_000, 4.5)


# Guards against a configuration that is refused, or a service without upstreams,
# because of one malformed number.
@pytest.mark.parametrize("field", ["coldStartS", "coldPerS"])
@pytest.mark.parametrize("text", MALFORMED)
def test_a_malformed_number_of_a_service_counts_as_absent(field, text, caplog):
    caplog.set_level("WARNING", "plantainwood")
    service = {**SERVICE, field: msgspec.Raw(text.encode())}
    builder = make_view_builder([service])
    for revision in range(2, 5):
        builder.apply([Item("servers/i-1", revision, make_raw_entry(None))])
    (entry,) = builder.build().catalogue.upstreams.values()
    assert (entry.cold_start_ms, entry.cold_per_s) == (0, 0.0)
    lines = [r for r in caplog.records if r.message == "config_field_ignored"]
    assert [line.field for line in lines] == [field]
    assert len(lines[0].value) <= 64


@pytest.mark.parametrize("text", MALFORMED)
def test_a_malformed_remaining_time_counts_as_absent(text, caplog):
    caplog.set_level("WARNING", "plantainwood")
    builder = make_view_builder()
    for revision in range(2, 5):
        builder.apply([Item("servers/i-1", revision, make_raw_entry(text))])
    assert NAME in builder.build().catalogue.upstreams
    assert builder.take_cold_entries() == {}
    lines = [r for r in caplog.records if r.message == "upstream_field_ignored"]
    assert len(lines) == 1


# Guards against a new view of all upstreams each time that the remaining time is
# written, which is every 1.2 s for each cold one.
def test_a_remaining_time_alone_changes_no_view():
    builder = make_view_builder()
    assert builder.apply([Item("servers/i-1", 2, make_raw_entry("4000"))])
    builder.mark_in_force()
    assert not builder.apply([Item("servers/i-1", 3, make_raw_entry("2800.4"))])
    assert builder.take_cold_entries() == {NAME: 2_800}
    assert builder.take_cold_entries() == {}
    assert builder.apply([Item("servers/i-1", 4, make_raw_entry("6000", born=8))])
    assert builder.take_cold_entries() == {"i-1@10.0.0.1:80@8": 6_000}


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"2500", 2_500),
        (b"0", 0),
        (b"1.2", 2),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"", None),
        (b"soon", None),
        (b"9" * 400, None),
    ],
)
def test_the_header_is_read_or_says_nothing(value, expected):
    head = ResponseHead(200, [(b"Cold-Remaining", value)])
    assert RunnerCodec().read_cold_ms(head) == expected


def test_a_malformed_header_is_logged_once(caplog):
    caplog.set_level("INFO", "plantainwood")
    codec = RunnerCodec()
    for _ in range(5):
        codec.read_cold_ms(ResponseHead(200, [(b"Cold-Remaining", b"soon")]))
    assert len(caplog.records) == 1


def make_unbound_edge(bootstrap: bool):
    """Return the state of a VM that has no clients of the store and the platform."""
    edge = make_edge(msgspec.structs.replace(SETTINGS, bootstrap=bootstrap))
    edge.driver = Driver(None, None)
    return edge


def apply_entries(edge, builder: ViewBuilder, *entries: tuple[str, int]) -> None:
    """Apply entries (id, born) as a VM does that has just read them."""
    revision = edge.mirror.revision + 1
    items = []
    for instance, born in entries:
        items.append(Item(f"servers/{instance}", revision, make_raw_entry(None, born)))
    edge.mirror.apply(edge.mirror.revision, revision, items)
    edge.mirror.confirm(revision, edge.clock.now_ms())
    builder.apply(items)
    edge.apply_view(builder.build())


@pytest.mark.parametrize("bootstrap", [True, False])
def test_upstreams_known_from_the_start_are_not_cold(bootstrap):
    edge = make_unbound_edge(bootstrap)
    state = edge.broker.dispatcher.state
    builder = make_view_builder()
    apply_entries(edge, builder, ("i-1", 1), ("i-2", 2))
    assert state.cold_sources == {}
    apply_entries(edge, builder, ("i-3", 3))
    assert bool(state.cold_sources) != bootstrap
    edge.has_heard_demand = True
    apply_entries(edge, builder, ("i-1", 4))
    assert state.cold_sources["i-1@10.0.0.1:80@4"] is ColdSource.NEW
    assert "i-1@10.0.0.1:80@1" not in state.cold_sources


# Guards against all upstreams counted as new by a VM that was cut off from the store.
def test_a_new_name_is_not_cold_for_a_vm_without_a_current_mirror():
    edge = make_unbound_edge(bootstrap=False)
    edge.vms.learn_address("vm-2", "tcp://h:9")
    builder = make_view_builder()
    edge.apply_view(builder.build())
    builder.apply([Item("servers/i-1", 1, make_raw_entry(None))])
    edge.apply_view(builder.build())
    assert edge.broker.dispatcher.state.cold_sources == {}


def test_the_settings_bounds_are_in_force_and_a_change_too():
    edge = make_edge(SETTINGS)
    cold_upstreams = edge.broker.dispatcher.state.cold_upstreams
    assert cold_upstreams.bounds.compute_most(4.0) == 4.0
    cold = msgspec.structs.replace(SETTINGS.cold, overage=1.5, slack=5.0)
    edge.apply_settings(msgspec.structs.replace(SETTINGS, cold=cold))
    assert cold_upstreams.bounds.compute_most(4.0) == 11.0


def test_a_vm_at_whose_address_another_one_runs_is_not_counted():
    edge = make_edge(SETTINGS)
    edge.vms.learn_address("vm-2", "tcp://h:9")
    edge.vms.learn_address("vm-3", "tcp://h:10")
    new = msgspec.structs.replace(make_heartbeat("vm-4", 1), link_address="tcp://h:9")
    edge.vms.record(new, 1_000)
    assert edge.vms.list_current_names(1_000) == {"vm-3", "vm-4"}


async def answer_cold(request, writer) -> None:
    """Answer that the runner is cold for five more seconds."""
    extra = "Cold-Remaining: 5000\r\n"
    writer.write(make_response(request, b"ok", extra=extra))


# Guards against a header, an entry or a heartbeat that reaches no decision.
def test_a_response_makes_an_upstream_cold_and_its_entry_warm():
    async def scenario(site):
        services = [{"name": "pool", "coldStartS": 6, "coldPerS": 4}]
        site.store.put("op/config", make_config(2, services=services))
        edge = site.daemon.edge
        state = edge.broker.dispatcher.state
        await site.wait_until(lambda: edge.view.routes.version == 2)
        assert (await site.call("GET", "/o/x"))[0] == 200
        (name,) = state.loads
        assert state.cold_sources == {name: ColdSource.RESPONSE}
        assert state.loads[name].cold_rate is not None
        assert 4_000 < edge.make_heartbeat().cold_ms[name] <= 5_000
        entry = make_entry(site.runners[0], coldRemainingMs=60_000, sequence=9)
        site.store.put("servers/i-0", entry)
        await site.wait_until(lambda: state.cold_sources[name] is ColdSource.ENTRY)
        site.daemon._fleet_links.send_heartbeat(urgent=False)
        assert edge.metrics.cold_upstreams.get({}) == 1

    run(scenario, script=answer_cold)


# Guards against an upstream that counts as warm though its connection was refused.
def test_a_refused_connection_makes_an_upstream_cold():
    async def scenario(site):
        services = [{"name": "pool", "coldStartS": 6, "coldPerS": 4}]
        site.store.put("op/config", make_config(2, services=services))
        state = site.daemon.edge.broker.dispatcher.state
        edge = site.daemon.edge
        await site.wait_until(lambda: edge.view.routes.version == 2)
        await site.runners[0].stop()
        for _ in range(10):
            await site.call("GET", "/t/x")
        assert ColdSource.BROKEN in state.cold_sources.values()

    run(scenario, runners=2)


# Guards against what one VM found out that the others never learn, and against a share
# of each VM that is divided by other numbers of VMs.
def test_what_a_vm_finds_out_is_known_to_all_and_the_rate_is_divided():
    async def scenario(store, daemons):
        services = [{"name": "pool", "coldStartS": 6, "coldPerS": 4}]
        store.put("op/config", make_config(2, services=services))
        store.put(
            "servers/i-1", make_raw_entry(None).replace(b"10.0.0.1", b"127.0.0.1")
        )
        states = [daemon.edge.broker.dispatcher.state for daemon in daemons]
        await wait_until(lambda: all(state.loads for state in states))
        (name,) = states[0].loads
        said = ev.ColdNamed(name, ColdSource.RESPONSE, 5_000)
        daemons[0].edge.broker.feed(said)
        await wait_until(lambda: all(name in state.cold_sources for state in states))
        assert states[1].cold_sources[name] is ColdSource.REPORT
        assert daemons[1].edge.make_heartbeat().cold_ms == {}
        shares = [state.cold_upstreams.compute_share(name) for state in states]
        assert sum(share > 0 for share in shares) == 3
        assert len(set(shares)) == 1

    run_with_fleet(scenario, count=3)
