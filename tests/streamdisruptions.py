"""What disturbs the streams of a play: configurations, silence, stops, releases."""

import asyncio
import signal

from tests.streamplay import Disruption, StreamPlay

CONFIG_EVERY_S = 0.4
MANY_ROUTES = 3_000
STORE_TROUBLE_S = 1.0
STORE_PAUSE_S = 2.0
DRAIN_S = 1.0


def join(*disruptions: Disruption) -> Disruption:
    """Return a disruption that does several at once."""

    async def disturb(play: StreamPlay) -> None:
        async with asyncio.TaskGroup() as group:
            for each in disruptions:
                group.create_task(each(play))

    return disturb


def configure(many_routes: bool = False) -> Disruption:
    """Write a configuration each CONFIG_EVERY_S, every other one with many routes."""

    async def disturb(play: StreamPlay) -> None:
        number = 0
        while True:
            number += 1
            await asyncio.sleep(CONFIG_EVERY_S)
            play.write_config(MANY_ROUTES if many_routes and number % 2 else 0)

    return disturb


def silence(seconds: float, runners: list[int], at_s: list[float]) -> Disruption:
    """Let runners be silent for a time, at times from the play's start."""

    async def disturb(play: StreamPlay) -> None:
        start_s = asyncio.get_running_loop().time()
        for each_s in at_s:
            await _wait_until(start_s + each_s)
            play.silence(runners, seconds)

    return disturb


def stop_vms(seconds: float, vms: list[int], at_s: list[float]) -> Disruption:
    """Let VMs stand still for a time, at times from the play's start."""

    async def disturb(play: StreamPlay) -> None:
        start_s = asyncio.get_running_loop().time()
        stopped = [play.site.vms[number] for number in vms]
        for each_s in at_s:
            await _wait_until(start_s + each_s)
            for vm in stopped:
                vm.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            for vm in stopped:
                vm.signal(signal.SIGCONT)

    return disturb


def hang_up(every_s: float) -> Disruption:
    """Send SIGHUP to the VMs in turn."""

    async def disturb(play: StreamPlay) -> None:
        while True:
            for vm in play.site.vms:
                await asyncio.sleep(every_s)
                vm.signal(signal.SIGHUP)

    return disturb


def release(at_s: float, silent_s: float = 0.0) -> Disruption:
    """Let runners of v2 come and those of v1 drain; the last of v1 is then silent.

    The second half of the runners are the ones that come.
    """

    async def disturb(play: StreamPlay) -> None:
        count = len(play.site.runners)
        old, new = range(count // 2), range(count // 2, count)
        for number in new:
            play.site.store.remove(f"servers/i-{number}")
        await asyncio.sleep(at_s)
        for number in new:
            play.register(number, version="v2")
        for number in old[:-1]:
            play.register(number, "draining")
        await asyncio.sleep(DRAIN_S)
        for number in old[:-1]:
            play.site.store.remove(f"servers/i-{number}")
        play.register(old[-1], "draining")
        if silent_s:
            play.silence(list(old), silent_s)
            await asyncio.sleep(silent_s)
        await asyncio.sleep(DRAIN_S)
        play.site.store.remove(f"servers/i-{old[-1]}")

    return disturb


def trouble_store() -> Disruption:
    """Let the store be down, slow and silent in turn."""

    async def disturb(play: StreamPlay) -> None:
        faults = play.site.store.faults
        while True:
            for name, value, calm in (
                ("down", True, False),
                ("slow_s", 0.4, 0.0),
                ("silent", True, False),
            ):
                await asyncio.sleep(STORE_PAUSE_S)
                setattr(faults, name, value)
                await asyncio.sleep(STORE_TROUBLE_S)
                setattr(faults, name, calm)

    return disturb


def withdraw(what: str, at_s: float) -> Disruption:
    """Write a configuration without the routes, the customer's key or the service."""
    changes: dict[str, dict] = {
        "routes": {"routes": []},
        "key": {"tenants": [{"name": "acme", "apiKeys": ["other-key"]}]},
        "customer": {"tenants": [{"name": "other", "apiKeys": ["other-key"]}]},
        "service": {"services": []},
    }

    async def disturb(play: StreamPlay) -> None:
        await asyncio.sleep(at_s)
        play.write_config(**changes[what])

    return disturb


async def _wait_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))
