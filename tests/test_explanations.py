"""From a request's id to its cause, by the log lines that docs/OPERATIONS.md shows."""

import logging

import aiohttp
import pytest

from tests.edgesite import break_off_first, run


def find_lines(caplog, request_id: str) -> list[logging.LogRecord]:
    """Return the records that name a request."""
    return [r for r in caplog.records if getattr(r, "request", "") == request_id]


@pytest.fixture(autouse=True)
def listen(caplog):
    """Record this program's events."""
    caplog.set_level(logging.INFO, logger="plantainwood")


def test_a_refusal_though_engines_were_free(caplog):
    async def scenario(site):
        runner = site.runners[0]
        from tests.edgesite import make_entry

        site.store.put("servers/i-0", make_entry(runner, state="draining"))
        await site.wait_until(lambda: site.upstreams == 0)
        status, headers, _ = await site.call("GET", "/r/x", Request_Id="r-free")
        assert status == 503 and float(headers["Retry-After"]) > 0

    run(scenario)
    (line,) = find_lines(caplog, "r-free")
    assert line.getMessage() == "refused"
    assert (line.code, line.outcome) == ("no_upstream", "not_run")
    assert line.config == 1 and line.config_age_ms >= 0
    states = [r.state for r in caplog.records if r.getMessage() == "upstream"]
    assert states[-1] == "draining"


def test_a_stream_cut_in_the_middle(caplog):
    async def scenario(site):
        with pytest.raises(aiohttp.ClientError):
            await site.call("POST", "/n/x", b"b", Request_Id="r-cut")

    run(scenario, script=break_off_first)
    lines = find_lines(caplog, "r-cut")
    assert [r.getMessage() for r in lines] == [
        "dispatched",
        "attempt_failed",
        "refused",
    ]
    assert "estimate" in vars(lines[0])
    assert lines[0].upstream == lines[1].upstream
    assert not lines[1].proved_not_run
    assert (lines[2].code, lines[2].outcome) == ("upstream_failed", "unknown")


def test_an_unsafe_call_with_unknown_outcome(caplog):
    async def script(seen, writer):
        writer.transport.abort()

    async def scenario(site):
        status, _, _ = await site.call("POST", "/u/x", b"b", Request_Id="r-lost")
        assert status == 502

    run(scenario, script=script)
    dispatched, failed, refused = find_lines(caplog, "r-lost")
    assert dispatched.getMessage() == "dispatched"
    assert failed.reason == "closed by the upstream"
    assert (failed.proved_not_run, failed.crashed) == (False, False)
    assert (refused.code, refused.outcome) == ("upstream_failed", "unknown")
