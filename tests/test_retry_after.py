"""Runners that answer 503 with Retry-After get no request for so long."""

import asyncio
import time

import pytest

from fakes.runner import make_response
from tests.edgesite import run

REQUESTS = 12
PAUSE_S = 1.2


def make_script(value: str, not_executed: bool = True):
    """Return a script with which runner i-0 rejects its first request."""
    rejected: list[float] = []
    reached: list[float] = []

    async def script(request, writer) -> None:
        own = request.headers[b"expect-instance"]
        if own == b"i-0":
            reached.append(time.monotonic())
            if not rejected:
                rejected.append(time.monotonic())
                extra = f"Retry-After: {value}\r\n"
                if not_executed:
                    extra += "Not-Executed: 1\r\n"
                writer.write(make_response(request, b"", status=503, extra=extra))
                return
        writer.write(make_response(request, own))

    return script, rejected, reached


async def call_until(site, deadline_s: float) -> None:
    """Send requests until a time, all of which must be served."""
    number = 0
    while time.monotonic() < deadline_s:
        number += 1
        result = await site.call("GET", "/r/x", Request_Id=f"r-{number}")
        assert result[0] == 200
        await asyncio.sleep(0.01)


# Guards against requests to a runner that has asked for none for a time (BUDGET).
@pytest.mark.parametrize("not_executed", [True, False])
def test_a_runner_gets_no_request_until_the_time_that_it_named(not_executed):
    script, rejected, reached = make_script(f"{PAUSE_S}", not_executed)

    async def scenario(site):
        await call_until(site, time.monotonic() + PAUSE_S)
        assert rejected, "i-0 got no request at all"
        await call_until(site, rejected[0] + PAUSE_S + 0.5)
        early = [at for at in reached[1:] if at < rejected[0] + PAUSE_S]
        assert early == []
        assert len(reached) > 1

    run(scenario, script=script, runners=2)


# Guards against holding a request until its deadline though no runner will take it.
def test_a_request_is_refused_at_once_while_all_runners_want_none():
    script, rejected, reached = make_script("60")

    async def scenario(site):
        began = time.monotonic()
        for number in range(2):
            status, headers, _ = await site.call(
                "GET", "/r/x", Request_Id=f"r-{number}"
            )
            assert status == 503
            assert 50 <= float(headers["Retry-After"]) <= 60
        assert time.monotonic() - began < 1.0
        assert len(reached) == 1

    run(scenario, script=script)


@pytest.mark.parametrize("value", ["soon", "-1", "nan", ""])
def test_an_unreadable_time_pauses_no_longer_than_any_rejection(value):
    script, rejected, reached = make_script(value)

    async def scenario(site):
        await call_until(site, time.monotonic() + 1.0)
        assert len(reached) > 1

    run(scenario, script=script, runners=2)
