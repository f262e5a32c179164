"""An order of a machine that was cut off arrives after the next holder's orders."""

import asyncio

from sitelib import (
    Link,
    encode_head,
    has_trouble,
    make_config,
    run_case,
)

CUT_S = 8.0
"""node_cut; the site file cuts single machines off for 8 and for 12 s."""
THAW_S = 0.3
"""bounds.thawMs"""
SERVICE = {
    "name": "pool",
    "healthPath": "/health",
    "engine": {"kvCacheTokens": 400_000},
    "scaling": {
        "min": 0,
        "max": 4,
        "bootS": 4.0,
        "spotPrice": 0.4,
        "zonePrices": {"a": 1.0, "b": 1.0, "c": 1.0},
    },
}


async def answer(request, writer) -> None:
    writer.write(encode_head(request, 200, "Content-Length: 2\r\n") + b"ok")


def find_lower_tokens(calls: list[dict], healed_at: float) -> list[dict]:
    """Return the calls with a lower token than one before for the same subject."""
    highest: dict[tuple, int] = {}
    found: list[dict] = []
    for call in calls:
        body = call["body"]
        subject = (call["path"], body.get("service"), body.get("zone"))
        is_excused = 0 <= call["at"] - healed_at <= THAW_S
        if call["fence"] < highest.get(subject, 0) and not is_excused:
            found.append(call)
        highest[subject] = max(call["fence"], highest.get(subject, 0))
    return found


async def main(site) -> bool:
    site.put_config(make_config(1, services=[SERVICE]))
    for number, zone in enumerate("aabbc"):
        name = f"i-{number}"
        await site.add_runner(name, answer, zone=zone, spot=True, slots=64)
    site.cloud.dry_zones = {"c"}
    links: dict[str, list[Link]] = {}
    for vm in site.vms:
        to_store = Link(site.store.address, site.record, f"{vm.name} to the store")
        to_cloud = Link(site.cloud.address, site.record, f"{vm.name} to the platform")
        links[vm.name] = [to_store, to_cloud]
        for link in links[vm.name]:
            await link.start()
        vm.store_address = to_store.address
        vm.cloud_address = to_cloud.address
    await site.start_vms()
    await asyncio.sleep(8.0)
    orders = [call for call in site.cloud.calls if call["path"] == "/scale"]
    if not orders:
        raise RuntimeError("no machine sends orders")
    holder = orders[-1]["holder"]
    healed_at = 0.0
    if has_trouble():
        for link in links[holder]:
            link.cut(CUT_S)
        healed_at = links[holder][0].healed_at
        site.record.write(f"disruption: {holder} is cut off for {CUT_S} s")
    await asyncio.sleep(CUT_S + 8.0)
    found = find_lower_tokens(site.cloud.calls, healed_at)
    for call in found:
        site.record.write(
            f"lower token: fence {call['fence']} of {call['holder']} at"
            f" {call['at']:.3f} s, {call['at'] - healed_at:.3f} s after the link healed"
        )
    site.record.write(f"calls with a lower fencing token than seen: {len(found)}")
    for vm_links in links.values():
        for link in vm_links:
            link.stop()
    return not found


run_case(__file__, main, vms=3)
