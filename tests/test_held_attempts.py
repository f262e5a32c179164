"""Silent attempts that are held until the attempt that replaces them has begun."""

import asyncio

import pytest

from fakes.runner import make_response
from tests.edgesite import Site, answer_stream, run
from tests.test_silences import BEGUN, EVENTS, FOREVER_S, check_whole

MAX_BOTH_S = 0.4
"""How long two upstreams may work on one request; of the rule TWICE."""
REFUSAL_S = 0.15
LATE_HEAD_S = 0.7
NOT_RUN = 503
FAILED = 500


class Replaced:
    """A script whose first attempt falls silent within a stream; the next one is late.

    The first attempt goes on once the next one has come, if `wakes`.
    """

    def __init__(self, wakes: bool, refusal: int, next_s: float) -> None:
        self._wakes = wakes
        self._refusal = refusal
        """The status of the next attempt; 0: it is answered."""
        self._next_s = next_s
        """How long after it has come the next attempt is answered."""
        self._next_came = asyncio.Event()
        self._next_came_s = 0.0
        self.count = 0
        self.given_up_s: float | None = None
        """When the first attempt was given up, after the next one had come."""

    async def __call__(self, request, writer) -> None:
        self.count += 1
        if self.count == 1:
            await self._answer_first(request, writer)
            return
        self._next_came_s = asyncio.get_running_loop().time()
        self._next_came.set()
        await asyncio.sleep(self._next_s)
        if self._refusal:
            extra = "Not-Executed: 1\r\n" if self._refusal == NOT_RUN else ""
            writer.write(make_response(request, b"", self._refusal, extra))
            return
        await answer_stream(request, writer)

    async def _answer_first(self, request, writer) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number, event in enumerate(EVENTS):
            if number == BEGUN:
                await self._stay_silent()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def _stay_silent(self) -> None:
        try:
            await self._next_came.wait()
            await asyncio.sleep(0.02 if self._wakes else FOREVER_S)
        except asyncio.CancelledError:
            now_s = asyncio.get_running_loop().time()
            self.given_up_s = now_s - self._next_came_s
            raise


# Guards against a stream that ends because its silent attempt is given up for one that
# is refused or fails then (LOST); what the silent one has sent is relayed once.
@pytest.mark.parametrize("refusal", [NOT_RUN, FAILED])
def test_a_silent_attempt_goes_on_if_the_next_one_is_refused(refusal):
    script = Replaced(wakes=True, refusal=refusal, next_s=REFUSAL_S)

    async def scenario(site: Site) -> None:
        status, _, received = await site.call("POST", "/s/x", b"whole")
        check_whole("stream", status, received)
        assert script.count == 2
        assert script.given_up_s is None

    run(scenario, script=script, runners=2)


# Guards against two upstreams that work on one stream for long (TWICE), and against a
# stream that has events of both (ORDER).
@pytest.mark.parametrize("next_s", [0.0, LATE_HEAD_S])
def test_a_held_attempt_is_given_up_once_the_next_one_has_begun_or_soon(next_s):
    script = Replaced(wakes=False, refusal=0, next_s=next_s)

    async def scenario(site: Site) -> None:
        status, _, received = await site.call("POST", "/s/x", b"whole")
        check_whole("stream", status, received)
        assert script.count == 2
        assert script.given_up_s is not None
        assert script.given_up_s < MAX_BOTH_S

    run(scenario, script=script, runners=2)


# Guards against connections and counts that stay behind when a caller leaves while an
# attempt is held (GONE).
def test_a_caller_that_leaves_ends_the_held_attempt_too():
    script = Replaced(wakes=False, refusal=0, next_s=FOREVER_S)

    async def scenario(site: Site) -> None:
        call = asyncio.create_task(site.call("POST", "/s/x", b"whole"))
        await site.wait_until(lambda: script.count == 2)
        call.cancel()
        await site.wait_until(lambda: sum(r.closed_by_caller for r in site.runners) > 1)
        state = site.daemon.edge.broker.dispatcher.state
        await site.wait_until(lambda: not state.requests)
        for load in state.loads.values():
            assert load.count_own_in_flight() == 0

    run(scenario, script=script, runners=2)
