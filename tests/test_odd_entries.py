"""One odd entry of another writer among those of the upstreams harms nobody."""

import asyncio
import json
from collections import Counter

import pytest

from fakes.runner import make_response
from tests.edgesite import make_config, make_entry
from tests.processsite import ProcessSite, run_processes

DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
CONFIG_S = 1.0
ROUNDS = 8
DEEP_LEVELS = 100_000
ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "born": 1_000,
}


def make_odd_entry(field: str, json_text: str) -> bytes:
    """Return an otherwise sound entry with this JSON as the value of a field."""
    mark = "@value@"
    return json.dumps({**ENTRY, field: mark}).replace(f'"{mark}"', json_text).encode()


def nest(levels: int) -> str:
    """Return JSON that is nested so deeply."""
    return "[" * levels + "]" * levels


ODD_ENTRIES = {
    "deeply_nested": [b"[" * 2_000, make_odd_entry("extra", nest(DEEP_LEVELS))],
    "number_too_large": [
        make_odd_entry("slots", "9" * 400),
        make_odd_entry("slots", "9" * 30),
        make_odd_entry("born", "9" * 400),
        make_odd_entry("born", "9" * 5_000),
    ],
    "port_out_of_range": [
        make_odd_entry("address", '"127.0.0.1:99999"'),
        make_odd_entry("address", '"127.0.0.1:0"'),
        make_odd_entry("address", f'"127.0.0.1:{"9" * 5_000}"'),
        make_odd_entry("address", '"127.0.0.1:\\u00b2"'),
    ],
    "host_that_is_no_address": [
        make_odd_entry("address", f'"{"a" * 70}:8080"'),
        make_odd_entry("address", '"a..b:8080"'),
        make_odd_entry("address", '"::1:8169"'),
        make_odd_entry("address", '"127.0\\u0000.0.1:80"'),
    ],
    "no_text": [make_odd_entry("zone", '"?"').replace(b"?", b"\xff"), b"\xff", b""],
}


async def answer(request, writer) -> None:
    """Answer with the upstream's instance and the customer's name."""
    tenant = request.headers.get(b"tenant", b"")
    writer.write(make_response(request, request.headers[b"expect-instance"] + tenant))


def make_tenants(*keys: str) -> list[dict]:
    """Return a customer with the usual key and one with these keys."""
    return [
        {"name": "acme", "apiKeys": ["secret-key"]},
        {"name": "other", "apiKeys": list(keys)},
    ]


async def write_odd_entries(site: ProcessSite, entries: list[bytes]) -> None:
    """Let a second key be in force, then write the entries."""
    site.store.put("op/config", make_config(version=2, tenants=make_tenants("key-2")))
    await site.wait_for_config(2, CONFIG_S)
    for number, entry in enumerate(entries):
        site.store.put(f"servers/i-odd-{number}", entry)
    await asyncio.sleep(1.0)


async def change_all(site: ProcessSite) -> None:
    """Let i-0 drain and withdraw the second key; wait until that must hold."""
    site.store.put("servers/i-0", make_entry(site.runners[0], state="draining"))
    site.store.put("op/config", make_config(version=3, tenants=make_tenants()))
    await asyncio.sleep(max(DRAIN_S, CONFIG_APPLY_S) + 0.3)


async def count_mistakes(site: ProcessSite) -> dict[str, int]:
    """Return how many requests to all VMs ran or failed that should not have."""
    mistakes = {"failed": 0, "reached the leaving": 0, "ran with a withdrawn key": 0}
    for number in range(ROUNDS):
        for vm in site.vms:
            path = f"/r/{vm.name}-{number}"
            status, _, body = await site.call(vm, path, f"sound-{path}")
            mistakes["failed"] += status != 200
            mistakes["reached the leaving"] += body.startswith(b"i-0")
            status, _, _ = await site.call(
                vm, path, f"withdrawn-{path}", Authorization="Token key-2"
            )
            mistakes["ran with a withdrawn key"] += status == 200
    return mistakes


# Guards against one entry that can't be read or dialled and stops the reading of the
# store (DRAIN: upstreams that leave are used), ends a process or fails requests.
@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entries_stop_no_vm_from_following_the_store(name, tmp_path):
    async def scenario(site: ProcessSite) -> None:
        await write_odd_entries(site, ODD_ENTRIES[name])
        await change_all(site)
        mistakes = await count_mistakes(site)
        assert not any(mistakes.values()), mistakes
        assert site.list_ended() == []
        for vm in site.vms:
            for event in ("task_failed", "attempt_error", "attempt_failed"):
                assert vm.list_events(event) == []
        # A VM that starts now finds everything but the odd entries.
        await site.vms[0].kill()
        await site.vms[0].start()
        status, _, _ = await site.call(site.vms[0], "/r/after", "after")
        assert status == 200

    run_processes(scenario, answer, tmp_path)


# Guards against the answer of a process that is no upstream, whose address an odd entry
# names, in place of an upstream's (DENIED, MIXED).
@pytest.mark.parametrize("named", ["a VM for callers", "a VM's directory", "the store"])
def test_an_entry_that_names_another_process_denies_nobody(named, tmp_path):
    async def scenario(site: ProcessSite) -> None:
        ports = site.vms[0].ports
        addresses = {
            "a VM for callers": f"127.0.0.1:{ports[0]}",
            "a VM's directory": f"127.0.0.1:{ports[2]}",
            "the store": site.store.address,
        }
        entry = {**ENTRY, "address": addresses[named], "slots": 64}
        site.store.put("servers/i-odd", json.dumps(entry))
        await asyncio.sleep(1.0)
        statuses: Counter[tuple[str, int]] = Counter()
        for number in range(3 * ROUNDS):
            for vm in site.vms:
                for path in ("/r/x", "/o/x", "/u/x"):
                    name = f"{path}-{vm.name}-{number}"
                    status, headers, _ = await site.call(vm, path, name)
                    statuses[path, status] += 1
                    assert status != 200 or "Response-Seal" in headers
        denied = [key for key in statuses if 400 <= key[1] < 500]
        assert denied == [], statuses
        assert {key[1] for key in statuses if key[0] == "/r/x"} == {200}, statuses

    run_processes(scenario, answer, tmp_path)
