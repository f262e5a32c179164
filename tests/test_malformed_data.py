"""Data of others that can't be read harms only what it belongs to."""

import asyncio

import msgspec
import pytest

from bridge.config import decode_config
from fakes.runner import make_response
from plantainwood.core.catalogue import decode_document
from plantainwood.core.clock import make_clock
from plantainwood.core.decoding import MalformedError
from plantainwood.core.effects import Read, StoredValue
from plantainwood.core.errors import StoreError
from plantainwood.core.fleetmessages import MirrorRequest
from plantainwood.core.frames import FrameError, decode_frame, seal
from plantainwood.core.leaserecords import LeaseTimes
from plantainwood.core.leases import Lease
from plantainwood.core.versionrecords import decode_versions
from plantainwood.documents import InvalidYamlError, read_yaml
from plantainwood.vmcalls import decode_call
from tests.edgesite import answer_request_line, run
from tests.test_odd_entries import nest

DEEP = nest(100_000).encode()
DEEP_MSGPACK = b"\x91" * 100_000 + b"\xc0"
SECRET = "0123456789abcdef"
MANY_DIGITS = "9" * 5_000
ODD_HEADERS = {
    "load": f"Server-Load: {MANY_DIGITS},1,2",
    "limit": "Server-Limit: 1e308",
    "brittle": "Server-Brittle: 1e308",
    "keep_alive": f"Keep-Alive: timeout={MANY_DIGITS}",
}


# Guards against RecursionError in place of the error that each reader documents.
@pytest.mark.parametrize(
    ("read", "error"),
    [
        (lambda: decode_config(b'{"version":1,"x":' + DEEP + b"}"), MalformedError),
        (lambda: decode_versions(DEEP), MalformedError),
        (lambda: decode_document(b'{"x":' + DEEP + b"}"), ValueError),
        (lambda: decode_frame(seal(DEEP_MSGPACK, b"s"), b"s"), FrameError),
        (lambda: decode_call(seal(DEEP_MSGPACK, b"s"), 0, "s"), FrameError),
        (lambda: read_yaml(nest(3_000)), InvalidYamlError),
    ],
)
def test_deeply_nested_data_is_malformed(read, error):
    with pytest.raises(error):
        read()


# Guards against a duty whose task ends at a record that can't be read.
@pytest.mark.parametrize("value", [DEEP, b"\xff", b'{"fence":1e999}'])
def test_an_unreadable_lease_is_not_held_and_raises_nothing(value):
    clock = make_clock()
    lease = Lease("fleet", "vm-1", 1, clock, LeaseTimes(3_000, 500, 600), lambda: 0)
    procedure = lease.renew_or_acquire()
    assert isinstance(next(procedure), Read)
    with pytest.raises(StopIteration) as end:
        procedure.send(StoredValue(value, 7))
    assert end.value.value is False


def test_a_record_that_cannot_be_read_is_a_store_error():
    from plantainwood.core.decoding import decode_record

    with pytest.raises(StoreError):
        decode_record(DEEP, msgspec.Struct)


# Guards against one header of one upstream that fails requests or stops a service.
@pytest.mark.parametrize("name", ODD_HEADERS)
def test_an_upstreams_header_that_cannot_be_used_fails_no_request(name, caplog):
    async def script(request, writer):
        extra = ODD_HEADERS[name] + "\r\n"
        writer.write(make_response(request, request.line, extra=extra))

    async def scenario(site):
        for number in range(8):
            status, _, _ = await site.call(
                "GET", f"/r/{number}", Request_Id=f"{number}"
            )
            assert status == 200
        await asyncio.sleep(0.5)

    run(scenario, script=script)
    events = {record.getMessage() for record in caplog.records}
    assert not events & {"task_failed", "attempt_error"}


def test_an_upstreams_endless_retry_after_fails_no_request_elsewhere(caplog):
    async def script(request, writer):
        if request.headers[b"expect-instance"] == b"i-0":
            extra = "Not-Executed: 1\r\nRetry-After: 1e308\r\n"
            writer.write(make_response(request, b"", status=503, extra=extra))
            return
        await answer_request_line(request, writer)

    async def scenario(site):
        for number in range(8):
            status, _, _ = await site.call(
                "GET", f"/r/{number}", Request_Id=f"{number}"
            )
            assert status == 200

    run(scenario, script=script, runners=2)
    assert "attempt_error" not in {record.getMessage() for record in caplog.records}


# Guards against one caller whose token counts no message between VMs can bear.
@pytest.mark.parametrize("counts", ["9" * 400 + ",1", "1," + "9" * 19, "-5,1", "1_0,1"])
def test_a_caller_with_impossible_token_counts_harms_no_other(counts, caplog):
    async def scenario(site):
        status, _, _ = await site.call(
            "POST", "/s/x", b"b", Request_Id="odd", Token_Counts=counts
        )
        assert status == 400
        sequence = site.daemon.edge._heartbeat_sequence
        await site.wait_until(
            lambda: site.daemon.edge._heartbeat_sequence > sequence + 2
        )
        status, _, _ = await site.call(
            "GET", "/r/x", Request_Id="sound", Token_Counts="10,5"
        )
        assert status == 200

    run(scenario)
    assert "task_failed" not in {record.getMessage() for record in caplog.records}


# Guards against a VM that hears little, since each bad message makes it pause.
def test_messages_after_one_that_cannot_be_handled_are_handled_at_once():
    async def scenario(site):
        links = site.daemon._fleet_links
        handled: list[MirrorRequest] = []

        async def receive():
            for number in range(20):
                yield MirrorRequest(f"vm-{number}", "tcp://127.0.0.1:1", 0)
            await asyncio.sleep(60)

        def handle(message):
            handled.append(message)
            raise KeyError("unexpected")

        links.handle_message = handle
        links._messenger.receive = receive
        receiving = asyncio.create_task(type(links)._receive.fun(links))
        await asyncio.sleep(0.1)
        receiving.cancel()
        assert len(handled) == 20

    run(scenario)


# Guards against a store whose header ends each read.
@pytest.mark.parametrize("era", ["\u00b2", MANY_DIGITS, "x", ""])
def test_a_store_era_that_is_no_number_ends_no_read(era):
    async def scenario(site):
        assert site.daemon._store._record_era(era) == 0

    run(scenario)
