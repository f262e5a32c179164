"""After three crashes of runners, all sound requests with a shared part are refused."""

import asyncio

from sitelib import (
    encode_chunk,
    encode_head,
    encode_request,
    has_trouble,
    make_config,
    make_event,
    run_case,
    send,
)

from fakes.runner import FakeRunner

RUNNERS = 12
CRASHES = (0.30, 0.55, 0.80)
"""Seconds after the first user at which a runner crashes that has a request which has
not begun (3 of 12 runners: share 0.25)."""
BACK_S = 2.0
FIRST_EVENT_S = 1.2
EVENTS = 6
USERS = 36
USERS_PER_S = 20
"""hint-thread has 9.85 requests a second, and 2.2 times that in a burst."""
LATER = 60
LATER_GAP_S = 0.3
CONTACT_S = 3.0
SHARED_PART = "5c1e07a2"
CHUNKED = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
SERVICE = {
    "name": "pool",
    "healthPath": "/health",
    "engine": {"kvCacheTokens": 411_451},
}


def make_script(site, name: str, began: set[str], reading: dict[str, int]):
    """Return what a sound runner does."""

    async def answer(request, writer) -> None:
        label = request.request_id.decode()
        reading[name] = reading.get(name, 0) + 1
        try:
            await asyncio.sleep(FIRST_EVENT_S)
        finally:
            reading[name] -= 1
        began.add(label)
        writer.write(encode_head(request, 200, CHUNKED, "seal-" + name))
        for number in range(1, EVENTS + 1):
            writer.write(encode_chunk(make_event(number)))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    return answer


def encode_prompt(number: int) -> bytes:
    """Return a request with the shared part, and a session and a text of its own."""
    parts = (
        f"{SHARED_PART}:2520,{0xA0000000 + number:x}:3780,{0xB0000000 + number:x}:2890"
    )
    return encode_request(
        "POST",
        "/s/hint",
        f"hint-{number}",
        f'{{"number":{number}}}'.encode(),
        Model="m",
        Token_Counts="9190,17",
        Prompt_Prefix=parts,
    )


async def crash(site, name: str, script) -> None:
    """Let a runner's process end; it is back as a new process after some seconds."""
    site.record.write(f"disruption: runner {name} crashes")
    old = site.runners[name]
    await old.stop()
    await asyncio.sleep(BACK_S)
    port = int(old.address.rpartition(":")[2])
    runner = FakeRunner(script)
    runner.address = old.address
    runner._server = await asyncio.start_server(runner._serve, "127.0.0.1", port)
    site.runners[name] = runner
    site.register(name, zone="abc"[int(name[2:]) % 3], slots=64, born=1_700_000_100_000)
    site.record.write(f"runner {name}: is back")


async def main(site) -> bool:
    config = make_config(1, services=[SERVICE])
    for route in config["routes"]:
        route["targetLatencyMs"] = 1_500
    site.put_config(config)
    began: set[str] = set()
    scripts = {}
    reading: dict[str, int] = {}
    for number in range(1, RUNNERS + 1):
        name = f"i-{number}"
        scripts[name] = make_script(site, name, began, reading)
        await site.add_runner(name, scripts[name], zone="abc"[number % 3], slots=64)
    await site.start_vms()
    site.record.write(f"{USERS} users come, with prompts that share one part")
    calls = []

    async def let_users_come() -> None:
        for number in range(USERS):
            vm = site.vms[number % len(site.vms)]
            data = encode_prompt(number)
            calls.append(asyncio.create_task(send(vm, data, label=f"hint-{number}")))
            await asyncio.sleep(1 / USERS_PER_S)

    coming = asyncio.create_task(let_users_come())
    crashes = []
    if has_trouble():
        passed = 0.0
        crashed: set[str] = set()
        for at in CRASHES:
            await asyncio.sleep(at - passed)
            passed = at
            busy = [name for name in scripts if reading.get(name, 0) > 0]
            name = next(name for name in busy if name not in crashed)
            crashed.add(name)
            crashes.append(asyncio.create_task(crash(site, name, scripts[name])))
    await coming
    answers = await asyncio.gather(*calls)
    for task in crashes:
        await task
    site.record.write("all runners serve")
    await asyncio.sleep(CONTACT_S + 1.0)
    later_calls = []
    for number in range(USERS, USERS + LATER):
        vm = site.vms[number % len(site.vms)]
        data = encode_prompt(number)
        later_calls.append(asyncio.create_task(send(vm, data, label=f"hint-{number}")))
        await asyncio.sleep(LATER_GAP_S)
    later = await asyncio.gather(*later_calls)
    every = [*answers, *later]
    denied = sum(400 <= answer.status < 500 for answer in every)
    denied_later = sum(400 <= answer.status < 500 for answer in later)
    bound = 5 + len(every) / 500
    site.record.write(
        f"{len(every)} proper requests: {denied} ended with 4xx (allowed: {bound:.1f});"
        f" of the {LATER} sent when all runners served again: {denied_later}"
    )
    if not has_trouble() and any(answer.status != 200 for answer in every):
        raise RuntimeError("requests without disruption were not served")
    return denied <= bound


run_case(__file__, main, vms=3)
