"""Runners that say in an answer that they leave get no further requests."""

from fakes.runner import make_response
from tests.edgesite import run

REQUESTS = 12


def make_script(leaving_runner: list):
    """Return a script with which one runner says in its answers that it leaves."""

    async def script(request, writer) -> None:
        own = request.headers[b"expect-instance"].decode()
        extra = "Server-Leaving: 1\r\n" if own in leaving_runner else ""
        writer.write(make_response(request, own.encode(), extra=extra))

    return script


# Guards against new requests to a runner whose answer said that it leaves (DRAIN).
def test_a_runner_that_says_it_leaves_gets_no_further_request():
    leaving = ["i-0", "i-1"]

    async def scenario(site):
        served: list[str] = []
        for number in range(REQUESTS):
            status, _, body = await site.call("GET", "/r/x", Request_Id=f"r-{number}")
            assert status == 200
            served.append(body.decode())
        for name in leaving:
            assert served.count(name) <= 1
        assert served.count("i-2") >= REQUESTS - len(leaving)

    run(scenario, script=make_script(leaving), runners=3)


def test_a_value_that_is_not_one_says_nothing():
    async def script(request, writer) -> None:
        body = request.headers[b"expect-instance"]
        writer.write(make_response(request, body, extra="Server-Leaving: 0\r\n"))

    async def scenario(site):
        for number in range(REQUESTS):
            result = await site.call("GET", "/r/x", Request_Id=f"r-{number}")
            assert result[0] == 200

    run(scenario, script=script)


# Guards against blaming a runner for the answer of another process at its address.
def test_another_process_at_the_address_does_not_make_a_runner_leave():
    async def script(request, writer) -> None:
        if request.request_id == b"r-0":
            extra = "Server-Leaving: 1\r\nNot-Executed: 1\r\n"
            writer.write(make_response(request, b"", status=421, extra=extra))
            return
        writer.write(make_response(request, b"served"))

    async def scenario(site):
        await site.call("GET", "/r/x", Request_Id="r-0")
        status, _, body = await site.call("GET", "/r/x", Request_Id="r-1")
        assert (status, body) == (200, b"served")

    run(scenario, script=script)
