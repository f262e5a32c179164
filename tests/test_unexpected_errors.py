"""An unexpected error or a malformed value stops no service of a daemon."""

import asyncio

from mode import Service

from plantainwood.broker import RequestBroker
from plantainwood.core import events as ev
from tests.edgesite import make_config, run


def fail_once(owner, name: str) -> asyncio.Event:
    """Let a method raise an unexpected error at its next call; return what it sets."""
    original = getattr(owner, name)
    failed = asyncio.Event()

    def fail_first(*arguments, **options):
        if not failed.is_set():
            failed.set()
            raise KeyError("unexpected")
        return original(*arguments, **options)

    setattr(owner, name, fail_first)
    return failed


# Guards against one error that ends a daemon's work while its process lives on.
def test_heartbeats_go_on_after_an_error_in_one():
    async def scenario(site):
        edge = site.daemon.edge
        failed = fail_once(edge, "make_heartbeat")
        await failed.wait()
        sequence = edge._heartbeat_sequence
        await site.wait_until(lambda: edge._heartbeat_sequence > sequence + 2)

    run(scenario)


def test_the_store_is_read_after_an_error_in_applying_a_change():
    async def scenario(site):
        failed = fail_once(site.daemon._view_builder, "apply")
        site.store.put("op/config", make_config(version=2))
        await failed.wait()
        site.store.put("op/config", make_config(version=3))
        view_builder = site.daemon._view_builder
        await site.wait_until(lambda: view_builder._config.version == 3)

    run(scenario)


# Guards against a leaving that is known but not in force, until something else changes.
def test_a_change_is_in_force_after_an_error_in_putting_it_into_force():
    async def scenario(site):
        failed = fail_once(site.daemon.edge, "apply_view")
        site.store.put("op/config", make_config(version=2))
        await failed.wait()
        await site.wait_until(lambda: site.daemon.edge.view.routes.version == 2)

    run(scenario)


def test_ticks_go_on_after_an_error_in_one(monkeypatch):
    async def scenario(site):
        failed = asyncio.Event()
        ticks: list[ev.Tick] = []
        feed = RequestBroker.feed

        def fail_first(broker, event):
            if isinstance(event, ev.Tick) and not failed.is_set():
                failed.set()
                raise KeyError("unexpected")
            ticks.append(event)
            feed(broker, event)

        monkeypatch.setattr(RequestBroker, "feed", fail_first)
        await failed.wait()
        await site.wait_until(lambda: len(ticks) > 3)

    run(scenario)


def test_a_link_address_that_cannot_be_dialled_stops_no_heartbeats():
    async def scenario(site):
        edge = site.daemon.edge
        site.store.put("vms/vm-9", "no address")
        await site.wait_until(lambda: "vm-9" in edge.vms.list_addresses())
        sequence = edge._heartbeat_sequence
        await site.wait_until(lambda: edge._heartbeat_sequence > sequence + 3)

    run(scenario)


def test_all_services_of_a_daemon_run_after_such_errors():
    async def scenario(site):
        site.store.put("vms/vm-9", "no address")
        fail_once(site.daemon.edge, "make_heartbeat")
        await asyncio.sleep(0.5)
        crashed: list[Service] = []
        for service in site.daemon._services:
            if service.crashed:
                crashed.append(service)
        assert crashed == []

    run(scenario)
