"""Duties that pass on while an order or a report is under way, with real processes."""

import asyncio
import contextlib
import signal
from enum import Enum
from typing import Iterable

import aiohttp
import msgspec
import pytest

from standins.ports import find_ports
from tests.dutyplatform import find_faults
from tests.dutysite import PORTS_PER_SITE, DutySite, DutyVm
from tests.nodedutysite import PORTS_PER_FLEET, NodeDutySite, NodeVm
from tests.tcppath import SMALL_WINDOW_BYTES

SLOW_PATH_S = 0.65
STOP_OBSTACLE_S = 0.5
"""Ends before the call is given up, so that its bytes are sent again."""
OBSTACLE_S = 12.0
"""Longer than a takeover."""
BACKOFF_S = 7.0
"""The kernel sends lost bytes again after pauses of up to this length."""
AFTER_RESUME_S = 1.5


class Way(Enum):
    """How the duty passes on."""

    TERM_OVER = "term over"
    CUT = "cut"
    KILL = "kill"
    PAUSE = "pause"
    STOP = "planned stop"
    RESTART = "restart"
    STORE_BACK = "store back from an old copy"


class Obstacle(Enum):
    """What keeps a call under way."""

    LOSS = "loss"
    """Connections open, but all that the holder writes is lost."""
    DELAY = "delay"
    """What the holder writes arrives later."""
    CONNECT = "connect"
    """Nothing arrives, so that a connection is being opened."""
    ANSWER = "answer"
    """The call arrives, but its answer does not."""
    FULL = "full"
    """The receiver's window is full, so that a part of a report waits at the holder."""


async def put_call_under_way(
    vm: DutyVm | NodeVm, obstacle: Obstacle, site: DutySite | NodeDutySite
) -> None:
    """Return at the moment at which a call of the holder is under way."""
    path = vm.platform_path
    if obstacle is Obstacle.DELAY:
        path.delay_s = SLOW_PATH_S
        await site.wait_until(lambda: path.bytes_under_way)
        return
    if obstacle is Obstacle.ANSWER:
        path.hold_answers()
        count = len(site.calls)
        await site.wait_until(lambda: len(site.calls) > count)
        return
    if obstacle is Obstacle.CONNECT:
        path.cut()
        await site.wait_until(path.is_connecting)
        return
    if obstacle is Obstacle.LOSS:
        path.cut_after_connecting()
    else:
        path.stop_reading()
    await site.wait_until(path.has_unacknowledged_bytes)


async def pass_on(vm: DutyVm | NodeVm, way: Way, site: DutySite | NodeDutySite) -> None:
    """Make the duty pass on."""
    if way is Way.TERM_OVER:
        vm.store_path.cut()
    if way is Way.CUT:
        vm.cut()
    if way is Way.PAUSE:
        vm.signal(signal.SIGSTOP)
    if way is Way.STOP:
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(STOP_OBSTACLE_S)
        vm.heal()
    if way in (Way.KILL, Way.RESTART):
        await vm.kill()
    if way is Way.RESTART:
        await vm.start()
    if way is Way.STORE_BACK:
        site.bring_store_back()


async def hand_over(
    site: DutySite | NodeDutySite, way: Way, obstacle: Obstacle
) -> list[str]:
    """Pass the duty on while a call is under way; return the faults."""
    async with aiohttp.ClientSession() as site.session:
        traffic = asyncio.create_task(site.send_requests())
        try:
            await site.start_duties(
                SMALL_WINDOW_BYTES if obstacle is Obstacle.FULL else 0
            )
            holder = site.find_holder()
            first_fence = site.find_last().fence
            await put_call_under_way(holder, obstacle, site)
            await pass_on(holder, way, site)

            def has_passed_on() -> bool:
                return site.find_last().fence > first_fence

            # The holder may take a duty again whose record the store lost; its calls
            # arrive only once the path heals.
            with contextlib.suppress(TimeoutError):
                await site.wait_until(has_passed_on, OBSTACLE_S)
            await asyncio.sleep(SLOW_PATH_S)
            holder.heal()
            await site.wait_until(has_passed_on)
            await asyncio.sleep(BACKOFF_S)
            holder.signal(signal.SIGCONT)
            await asyncio.sleep(AFTER_RESUME_S)
        finally:
            traffic.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await traffic
            await site.stop()
    return [
        f"{way.value}, {obstacle.value}: {text}" for text in find_faults(site.calls)
    ]


class Case(msgspec.Struct, frozen=True):
    """A way in which the duty passes on, and what keeps a call under way meanwhile."""

    way: Way
    obstacle: Obstacle


def list_cases(obstacles: tuple[Obstacle, ...]) -> list[Case]:
    """Return each way with each of some obstacles."""
    return [Case(way, obstacle) for way in Way for obstacle in obstacles]


async def hand_over_all(
    sites: Iterable[DutySite | NodeDutySite], cases: list[Case]
) -> list[str]:
    """Play the cases at the same time, on a site each; return the faults."""
    tasks: list[asyncio.Task] = []
    async with asyncio.TaskGroup() as group:
        for site, case in zip(sites, cases, strict=True):
            scenario = hand_over(site, case.way, case.obstacle)
            tasks.append(group.create_task(scenario))
    return [fault for task in tasks for fault in task.result()]


# Guards against ONE: an order or a report that was under way when its sender's duty
# passed on arrived after the next holder's, as the sender's kernel went on sending it.
@pytest.mark.parametrize(
    "obstacles",
    [
        (Obstacle.LOSS, Obstacle.CONNECT),
        (Obstacle.DELAY, Obstacle.ANSWER),
        (Obstacle.FULL,),
    ],
)
def test_no_call_under_way_arrives_after_the_next_holders(obstacles, tmp_path):
    cases = list_cases(obstacles)
    ports = find_ports(PORTS_PER_SITE * len(cases))
    sites: list[DutySite] = []
    for number in range(len(cases)):
        folder = tmp_path / str(number)
        folder.mkdir()
        first = PORTS_PER_SITE * number
        sites.append(DutySite(folder, ports[first : first + PORTS_PER_SITE]))
    assert asyncio.run(hand_over_all(sites, cases)) == []


# As above, on the product's own interface, whose orders are shorter than any window.
@pytest.mark.parametrize(
    "obstacles",
    [(Obstacle.LOSS, Obstacle.CONNECT), (Obstacle.DELAY, Obstacle.ANSWER)],
)
def test_no_order_under_way_arrives_after_the_next_holders(obstacles):
    cases = list_cases(obstacles)
    ports = find_ports(PORTS_PER_FLEET * len(cases))
    sites: list[NodeDutySite] = []
    for number in range(len(cases)):
        first = PORTS_PER_FLEET * number
        sites.append(NodeDutySite(ports[first : first + PORTS_PER_FLEET]))
    assert asyncio.run(hand_over_all(sites, cases)) == []
