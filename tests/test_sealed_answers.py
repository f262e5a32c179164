"""What counts as a runner's answer, by its head, on each kind of route."""

import asyncio

import aiohttp
import pytest

from bridge.codec import RunnerCodec
from fakes.runner import make_response, reset_connection
from plantainwood.answerparser import ResponseHead
from plantainwood.calls import AttemptResult
from tests.edgesite import STREAM, answer_stream, run
from tests.processsite import ROOT, ProcessSite, run_processes
from tests.test_failures_through_vms import read_all
from tests.test_streams_of_lost_vms import answer as answer_warming
from tests.test_streams_of_lost_vms import set_up
from tests.test_two_builds import unpack_build

EARLIER_BUILD = "3e0ce12"
"""The last one that passes on a success without a seal."""
SEAL = b"Response-Seal: "
SPOILT = {
    "name of the seal": (SEAL, b"Response-Sea-: "),
    "no seal": (SEAL, b"X-Other: "),
    "empty seal": (SEAL, SEAL + b"\r\nX-Seal: "),
    "two seals": (SEAL, SEAL + b"other\r\n" + SEAL),
    "encoded": (SEAL, b"Content-Encoding: gzip\r\n" + SEAL),
    "encoded as itself": (SEAL, b"Content-Encoding: identity\r\n" + SEAL),
    "encoded again": (
        SEAL,
        b"Content-Encoding: identity\r\nContent-Encoding: gzip\r\n" + SEAL,
    ),
    "two ids": (SEAL, b"Request-Id: other\r\n" + SEAL),
    "not executed": (SEAL, b"Not-Executed: 1\r\n" + SEAL),
}
STATUSES = (200, 201, 202, 203, 204, 205, 206, 226, 299)
SAFE_PATHS = ("/r/x", "/o/x")
UNSAFE_PATHS = ("/u/x", "/n/x")
"""Calls that run once at most: a booking, and a stream that can't be resumed."""
TRAILERS = (
    b"Transfer-Encoding: chunked\r\nTrailer: Response-Seal\r\n\r\n"
    b"2\r\nok\r\n0\r\nResponse-Seal: s\r\n\r\n"
)


CODED = (
    b"Response-Seal: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\n\r\n"
)
BODIES = {"seal in a trailer": TRAILERS, "coded on the way": CODED}
"""What replaces the answer from its seal on."""


class SpoilingRunner:
    """A script: the first answer is spoilt, later ones are sound."""

    def __init__(self, spoil: str, status: int) -> None:
        self.spoil = spoil
        self.status = status
        self.answers = 0

    async def __call__(self, request, writer) -> None:
        self.answers += 1
        if self.answers == 1:
            writer.write(self._make_spoilt(request))
            return
        if request.line.startswith((b"POST /s/", b"POST /n/")):
            await answer_stream(request, writer)
            return
        writer.write(make_response(request, b"ok"))

    def _make_spoilt(self, request) -> bytes:
        body = b"" if self.status == 204 else b"id: 1\ndata: spoilt\n\n"
        answer = make_response(request, body, self.status)
        if self.spoil in BODIES:
            return answer.partition(SEAL)[0] + BODIES[self.spoil]
        return answer.replace(*SPOILT[self.spoil])


# Guards against a success without the runner's seal, or with another body than its own
# (MIXED): any 2xx that named the request was passed on.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("spoil", [*SPOILT, *BODIES])
def test_a_call_that_may_run_twice_is_answered_by_another_runner(spoil, status):
    async def scenario(site):
        for path in (*SAFE_PATHS, "/s/x"):
            script = SpoilingRunner(spoil, status)
            for runner in site.runners:
                runner.script = script
            answer = await site.call("POST", path, b"b")
            assert (answer[0], answer[2]) == (200, STREAM if path == "/s/x" else b"ok")
            assert answer[1].getall("Response-Seal") != ["other"]
            assert script.answers == 2

    run(scenario, script=SpoilingRunner(spoil, status), runners=2)


# Guards against the same for calls that may have run: they are not sent again, and the
# caller is promised nothing.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("spoil", [*SPOILT, *BODIES])
def test_a_call_that_may_have_run_ends_with_an_error(spoil, status):
    async def scenario(site):
        for path in UNSAFE_PATHS:
            script = SpoilingRunner(spoil, status)
            for runner in site.runners:
                runner.script = script
            answer = await site.call("POST", path, b"b")
            assert answer[0] == 502
            assert script.answers == 1

    run(scenario, script=SpoilingRunner(spoil, status), runners=2)


# Guards against a stream that is taken over by what is no answer of a runner.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("spoil", [*SPOILT, *BODIES])
def test_a_stream_goes_on_with_an_answer_of_a_runner_only(spoil, status):
    spoiling = SpoilingRunner(spoil, status)

    async def script(request, writer):
        if b"last-event-id" in request.headers:
            await spoiling(request, writer)
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: " + request.request_id + b"\r\n"
            b"Response-Seal: first\r\nContent-Type: text/event-stream\r\n\r\n"
            + STREAM[: STREAM.index(b"id: 4") + 3]
        )
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer)

    async def scenario(site):
        with pytest.raises(aiohttp.ClientError):
            await site.call("POST", "/s/x", b"b")
        assert spoiling.answers == 1

    run(scenario, script=script, runners=2)


# Guards against a status that promises that a call did not run, without the runner's
# word for it (REFUSED): it was passed on, and a next try may have run it again (TWICE).
@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("path", UNSAFE_PATHS)
def test_a_promise_without_proof_is_not_passed_on(path, status):
    async def script(request, writer):
        writer.write(make_response(request, b"busy", status))

    async def scenario(site):
        assert (await site.call("POST", path, b"b"))[0] == 502
        assert sum(len(runner.received) for runner in site.runners) == 1

    run(scenario, script=script, runners=2)


def test_answers_by_their_heads():
    def classify(status: int, *headers: tuple[bytes, bytes]) -> AttemptResult:
        named = [(b"Request-Id", b"a"), *headers]
        return RunnerCodec().classify_response(ResponseHead(status, named))

    seal = (b"Response-Seal", b"s")
    proof = (b"Not-Executed", b"1")
    identity = (b"Content-Encoding", b"identity")
    for status in STATUSES:
        assert classify(status, seal) is AttemptResult.ANSWER
        assert classify(status, seal, seal) is AttemptResult.ANSWER
        assert classify(status, seal, identity) is AttemptResult.INVALID
        assert classify(status) is AttemptResult.INVALID
    for status in (301, 304, 400, 401, 404, 413, 431):
        assert classify(status) is AttemptResult.ANSWER
        assert classify(status, seal) is AttemptResult.ANSWER
    for status in (400, 408, 429, 503):
        assert classify(status, proof) is AttemptResult.BUSY
    for status in (408, 429, 503):
        assert classify(status, seal) is AttemptResult.UNPROVED
    for status in (500, 501, 502, 504):
        assert classify(status) is AttemptResult.FAILED
    for status in (404, 500):
        encoding = (b"Content-Encoding", b"gzip")
        assert classify(status, encoding) is AttemptResult.INVALID
    assert classify(421) is AttemptResult.WRONG_INSTANCE


# Guards against a success that reaches its caller without its seal, or with two: the
# Connection of the runner listed it, or its head repeated it.
@pytest.mark.parametrize("path", ["/r/x", "/u/x", "/s/x"])
@pytest.mark.parametrize(
    "extra",
    [
        b"Connection: Response-Seal, Request-Id\r\n",
        b"Connection: keep-alive\r\nconnection: response-seal\r\n",
        b"Response-Seal: seal-id-1\r\n",
        b"Request-Id: id-1\r\nresponse-seal: seal-id-1\r\n",
    ],
)
def test_a_success_reaches_its_caller_with_one_id_and_one_seal(path, extra):
    async def script(request, writer):
        answer = make_response(request, b"id: 1\ndata: x\n\n")
        writer.write(answer.replace(SEAL, extra + SEAL))

    async def scenario(site):
        for _ in range(2):
            status, headers, _ = await site.call("POST", path, b"b")
            assert status == 200
            assert headers.getall("Response-Seal") == ["seal-id-1"]
            assert headers.getall("Request-Id") == ["id-1"]

    run(scenario, script=script)


# Guards against what does not count and comes through another VM, also one of the build
# that passes it on.
@pytest.mark.parametrize("path", ["/r/x", "/u/x", "/s/x"])
@pytest.mark.parametrize("earlier", [False, True])
def test_a_success_without_a_seal_comes_through_no_second_vm(earlier, path, tmp_path):
    runs: list[bytes] = []

    async def script(request, writer) -> None:
        if not request.request_id.startswith(b"spoilt"):
            await answer_warming(request, writer)
            return
        runs.append(request.request_id)
        answer = make_response(request, b"id: 1\ndata: spoilt\n\n")
        writer.write(answer.replace(*SPOILT["no seal"]))

    async def scenario(site: ProcessSite) -> None:
        await set_up(site)
        for number in range(6):
            received = await read_all(site, path, f"spoilt-{number}")
            assert received.split()[1] == b"502", received
            assert b"spoilt\n" not in received
        if path == "/u/x":
            assert len(runs) == len(set(runs))
        sent = sum(len(vm.list_events("vm_call_refused")) for vm in site.vms[1:])
        served = sum(len(vm.list_events("vm_call_served")) for vm in site.vms[1:])
        assert sent + served > 0, "no call went through another VM"

    earlier_root = tmp_path / "earlier"
    earlier_root.mkdir()
    roots = [ROOT]
    if earlier:
        unpack_build(earlier_root, EARLIER_BUILD)
        roots = [ROOT, earlier_root, earlier_root]
    run_processes(scenario, script, tmp_path, runners=4, roots=roots)
