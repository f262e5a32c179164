"""One unreadable entry under servers/ stops all machines from reading the store."""

import asyncio

from sitelib import (
    encode_head,
    encode_request,
    has_trouble,
    make_config,
    run_case,
    send,
)

UNREADABLE = "[" * 2_000
"""An entry of another writer whose bytes can't be read (2 kB; valueBytes allows 1 MiB)."""
SECOND_KEY = "second-key"
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
ROUNDS = 10


def make_tenants(*keys: str) -> list[dict]:
    return [
        {"name": "acme", "apiKeys": ["secret-key"]},
        {"name": "other", "apiKeys": list(keys)},
    ]


def make_script(site, name: str):
    """Return what a sound runner does."""

    async def answer(request, writer) -> None:
        label = request.request_id.decode()
        tenant = request.headers.get(b"tenant", b"").decode()
        site.record.write(f"runner {name}: runs {label} for tenant {tenant}")
        ran[label] = name
        writer.write(encode_head(request, 200, "Content-Length: 2\r\n") + b"ok")

    return answer


ran: dict[str, str] = {}


async def main(site) -> bool:
    site.configure(tenants=make_tenants(SECOND_KEY))
    for number in range(1, 4):
        name = f"i-{number}"
        await site.add_runner(name, make_script(site, name), zone="abc"[number - 1])
    await site.start_vms()
    await asyncio.sleep(2.0)
    if has_trouble():
        site.store.put("servers/i-of-another-writer", UNREADABLE)
        site.record.write("disruption: an unreadable entry servers/i-of-another-writer")
    await asyncio.sleep(5.0)

    # Planned work, acknowledged by the store, which is stable all the while.
    site.put_config(make_config(2, tenants=make_tenants()))
    site.record.write("operator: version 2 without second-key is acknowledged")
    site.register("i-1", state="draining", sequence=2)
    site.record.write("runner i-1: draining is acknowledged")
    await asyncio.sleep(max(DRAIN_S, CONFIG_APPLY_S) + 2.0)

    drained = 0
    revoked = 0
    for number in range(ROUNDS):
        for vm in site.vms:
            label = f"late-{vm.name}-{number}"
            await send(vm, encode_request("GET", f"/r/{label}", label), label=label)
            drained += ran.get(label) == "i-1"
            label = f"revoked-{vm.name}-{number}"
            data = encode_request("GET", f"/r/{label}", label, key=SECOND_KEY)
            await send(vm, data, label=label)
            revoked += label in ran
        await asyncio.sleep(0.3)
    site.record.write(
        f"4 s and more after the acknowledgement: {drained} requests reached the"
        f" draining runner, {revoked} ran with the key that was taken away"
    )
    return not drained and not revoked


run_case(__file__, main, vms=3)
