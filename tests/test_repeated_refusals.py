"""A faulty upstream writes an earlier refusal once more, on a kept connection."""

import asyncio

import pytest

from fakes.runner import make_response
from tests.edgesite import run
from tests.processsite import ProcessSite, run_processes

WORK_S = 0.05
ROUNDS = 6
KEPT_CONNECTIONS = 6
NOT_RUN_STATUSES = (429, 503)


class RepeatingUpstreams:
    """Refuse some requests, and repeat the refusal on the next kept connection."""

    def __init__(self, with_id: bool) -> None:
        self._with_id = with_id
        self._refusals: dict[bytes, bytes] = {}
        """The last refusal of each upstream."""
        self._refused: set[tuple[bytes, bytes]] = set()
        self._kept: set[asyncio.StreamWriter] = set()
        """The connections that have carried a request before."""
        self.ran: list[bytes] = []
        """The ids of the requests that they ran, in order."""

    async def answer(self, request, writer) -> None:
        """Refuse a request that is to be refused at first; run any other."""
        instance = request.headers[b"expect-instance"]
        if request.request_id.startswith(b"full") and self._refuse(
            request, instance, writer
        ):
            return
        self.ran.append(request.request_id)
        if writer in self._kept:
            writer.write(self._refusals.pop(instance, b""))
            await writer.drain()
        self._kept.add(writer)
        await asyncio.sleep(WORK_S)
        writer.write(make_response(request, request.request_id))

    def _refuse(self, request, instance: bytes, writer) -> bool:
        """Refuse a request once at each upstream; return whether it was refused."""
        if (request.request_id, instance) in self._refused:
            return False
        self._refused.add((request.request_id, instance))
        refusal = make_response(request, b"", 503, "Not-Executed: 1\r\n")
        writer.write(refusal)
        if not self._with_id:
            id_line = b"Request-Id: " + request.request_id + b"\r\n"
            refusal = refusal.replace(id_line, b"")
        self._refusals[instance] = refusal
        return True


async def send_all(call) -> list[tuple[str, int, bytes]]:
    """Send rounds of a request that is refused at first after some that are not.

    Those before it leave connections that are kept. Returns names, statuses, bodies.
    """

    async def send(name: str) -> tuple[str, int, bytes]:
        status, _, body = await call(name)
        return name, status, body

    results = []
    for number in range(ROUNDS):
        sound = [f"sound-{number}-{index}" for index in range(KEPT_CONNECTIONS)]
        results += await asyncio.gather(*(send(name) for name in sound))
        results.append(await send(f"full-{number}"))
    return results


def assert_told_the_truth(results, ran: list[bytes]) -> None:
    """Assert that what ran ran once, and was not answered as not run."""
    for name, status, body in results:
        count = ran.count(name.encode())
        assert count <= 1, name
        assert not (count and status in NOT_RUN_STATUSES), name
        if status == 200:
            assert body == name.encode()


# Guards against "not run" for a request that runs (REFUSED), or a second run (TWICE):
# with an id, the refusal is that of an earlier try of the same request.
@pytest.mark.parametrize("with_id", [True, False])
def test_a_refusal_written_once_more_is_not_taken_for_an_answer(with_id):
    upstreams = RepeatingUpstreams(with_id)

    async def scenario(site):
        async def call(name):
            return await site.call("POST", "/u/x", b"b", Request_Id=name)

        results = await send_all(call)
        assert_told_the_truth(results, upstreams.ran)
        assert [status for _, status, _ in results] == [200] * len(results)

    run(scenario, script=upstreams.answer, runners=2)


@pytest.mark.parametrize("with_id", [True, False])
def test_processes_do_not_take_it_for_an_answer_either(with_id, tmp_path):
    upstreams = RepeatingUpstreams(with_id)

    async def scenario(site: ProcessSite) -> None:
        async def call(name):
            return await site.call(site.vms[0], "/u/x", name)

        results = await send_all(call)
        assert_told_the_truth(results, upstreams.ran)
        assert [status for _, status, _ in results] == [200] * len(results)

    run_processes(scenario, upstreams.answer, tmp_path, runners=2, vms=2)


# Guards against trust in a refusal that says of no request that it was not run.
def test_an_upstream_that_never_echoes_ids_proves_nothing_on_a_kept_connection():
    ran: list[bytes] = []

    async def script(request, writer):
        id_line = b"Request-Id: " + request.request_id + b"\r\n"
        if request.request_id == b"second":
            ran.append(request.request_id)
            refusal = make_response(request, b"", 503, "Not-Executed: 1\r\n")
            writer.write(refusal.replace(id_line, b""))
            return
        writer.write(make_response(request, b"x").replace(id_line, b""))

    async def scenario(site):
        assert (await site.call("POST", "/u/x", b"b", Request_Id="first"))[0] == 200
        status, _, _ = await site.call("POST", "/u/x", b"b", Request_Id="second")
        assert status == 502
        assert ran == [b"second"]

    run(scenario, script=script)
