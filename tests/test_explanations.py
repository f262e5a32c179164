"""The log lines in docs/OPERATIONS.md that explain what became of a request."""

import logging

import aiohttp
import pytest

from tests.edgesite import reset_unless_resumed, run


def find_log_records(caplog, request_id: str) -> list[logging.LogRecord]:
    """Return the log records with a request's id."""
    return [r for r in caplog.records if getattr(r, "request", "") == request_id]


@pytest.fixture(autouse=True)
def record_events(caplog):
    """Capture the log records of plantainwood from INFO on."""
    caplog.set_level(logging.INFO, logger="plantainwood")


def test_the_log_explains_a_refusal_while_engines_are_free(caplog):
    async def scenario(site):
        runner = site.runners[0]
        from tests.edgesite import make_entry

        site.store.put("servers/i-0", make_entry(runner, state="draining"))
        await site.wait_until(lambda: site.usable_upstream_count == 0)
        status, headers, _ = await site.call("GET", "/r/x", Request_Id="r-free")
        assert status == 503 and float(headers["Retry-After"]) > 0

    run(scenario)
    (record,) = find_log_records(caplog, "r-free")
    assert record.getMessage() == "refused"
    assert (record.code, record.outcome) == ("no_upstream", "not_run")
    assert record.config == 1 and record.config_age_ms >= 0
    states = [r.state for r in caplog.records if r.getMessage() == "upstream"]
    assert states[-1] == "draining"


def test_the_log_explains_a_stream_cut_in_the_middle(caplog):
    async def scenario(site):
        with pytest.raises(aiohttp.ClientError):
            await site.call("POST", "/n/x", b"b", Request_Id="r-cut")

    run(scenario, script=reset_unless_resumed)
    records = find_log_records(caplog, "r-cut")
    assert [r.getMessage() for r in records] == [
        "dispatched",
        "attempt_failed",
        "answer_cut",
        "refused",
    ]
    assert "estimate" in vars(records[0])
    assert (records[0].version, records[0].resumes) == ("v1", "-")
    assert records[0].registry > 0
    assert records[0].upstream == records[1].upstream
    assert not records[1].proved_not_run
    assert records[1].fingerprint
    cut, refused = records[2:]
    assert (cut.cause, cut.upstream) == ("attempt_failed", records[0].upstream)
    assert (cut.attempt, cut.of, cut.events, cut.config) == (1, 2, 3, 1)
    assert cut.last_failure == records[1].reason
    assert 0 < cut.left_ms < 9_000 and cut.since_event_ms < 3_000
    assert cut.budget > 0
    assert (refused.code, refused.outcome) == ("upstream_failed", "unknown")


def test_the_log_explains_an_unsafe_call_with_unknown_outcome(caplog):
    async def script(request, writer):
        writer.transport.abort()

    async def scenario(site):
        status, _, _ = await site.call("POST", "/u/x", b"b", Request_Id="r-lost")
        assert status == 502

    run(scenario, script=script)
    dispatched, failed, refused = find_log_records(caplog, "r-lost")
    assert dispatched.getMessage() == "dispatched"
    assert failed.reason == "closed by the upstream"
    assert (failed.proved_not_run, failed.crashed) == (False, False)
    assert (refused.code, refused.outcome) == ("upstream_failed", "unknown")
