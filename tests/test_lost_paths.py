"""VMs that lose the path to all upstreams while callers and other VMs reach them."""

import asyncio

import pytest

from tests.edgesite import answer_request_line, answer_stream
from tests.fleetsite import LostPath, run_fleet

KNOWN_AFTER_S = 3.0
"""How long a VM has to notice that its path is lost."""
REQUESTS = 24
ANSWER_S = 0.05
LEAST_SERVED_SHARE = 2 / 3
WAYS = list(LostPath)


async def answer(request, writer) -> None:
    """Answer streams with events and other requests with their request line."""
    await asyncio.sleep(ANSWER_S)
    if request.line.split()[1].startswith(b"/s/"):
        await answer_stream(request, writer)
        return
    await answer_request_line(request, writer)


async def use_all(site, rounds: int = 8) -> None:
    """Send requests to every VM, so that it has open connections to the runners."""
    for number in range(rounds):
        calls = [
            site.call(vm, "GET", "/r/x", Request_Id=f"warm-{vm}-{number}-{copy}")
            for vm in range(len(site.daemons))
            for copy in range(2)
        ]
        await asyncio.gather(*calls)


async def count_served(site, vm: int, prefix: str) -> int:
    """Send requests of three kinds to a VM at once; return how many are served."""
    calls = []
    for number in range(REQUESTS):
        method, path, body = (
            ("GET", "/r/x", b""),
            ("POST", "/u/x", b"booking"),
            ("POST", "/s/x", b"prompt"),
        )[number % 3]
        name = f"{prefix}-{number}"
        calls.append(site.call(vm, method, path, body, Request_Id=name))
    answers = await asyncio.gather(*calls)
    return sum(status == 200 for status, _, _ in answers)


# Guards against VMs without a path to the upstreams that fail their callers (RECOVER).
@pytest.mark.parametrize("how", WAYS, ids=lambda how: how.value)
@pytest.mark.parametrize(
    "lost", [[0], [0, 1], [0, 2]], ids=["one", "most", "failure-domain"]
)
def test_callers_of_a_vm_without_a_path_are_served(how, lost):
    async def scenario(site):
        await use_all(site)
        for vm in lost:
            site.lose_path(vm, how)
        calls = [
            site.call(vm, "GET", "/r/x", Request_Id=f"first-{vm}-{number}")
            for vm in lost
            for number in range(4)
        ]
        await asyncio.gather(*calls)
        await asyncio.sleep(KNOWN_AFTER_S)
        for vm in lost:
            served = await count_served(site, vm, f"late-{vm}")
            assert served >= LEAST_SERVED_SHARE * REQUESTS
        assert max(site.count_received().values()) == 1

    run_fleet(scenario, answer)
